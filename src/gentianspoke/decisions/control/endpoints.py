"""Which entry has which port of which service address."""

import collections.abc
import dataclasses

from gentianspoke.core import services


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One port of a service address."""

    protocol: int
    address: bytes
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointConflict:
    """An entry asks for a port that ``holder`` has or asks for too."""

    name: str
    holder: str
    port: int


def endpoints(entry: services.Service) -> list[Endpoint]:
    """Return what no other entry in force may have."""
    return [
        Endpoint(entry.protocol, entry.address, port) for port in entry.ports
    ]


class EndpointOwners:
    """The owner of each endpoint, by the name of its entry.

    Asking all entries at each edit would make an edit as slow as the
    catalogue is long.
    """

    def __init__(self) -> None:
        """Begin without an owner."""
        self._owners: dict[Endpoint, str] = {}

    def replace_all(
        self, entries: collections.abc.Iterable[services.Service]
    ) -> None:
        """Forget everything and take the endpoints of ``entries``."""
        self._owners.clear()
        for entry in entries:
            self.claim(entry)

    def claim(self, entry: services.Service) -> None:
        """Give an entry its endpoints, none where it is retired."""
        if not entry.retired:
            for endpoint in endpoints(entry):
                self._owners[endpoint] = entry.name

    def release(self, entry: services.Service) -> None:
        """Take the endpoints from an entry that still has them."""
        for endpoint in endpoints(entry):
            # Another edit of the same request may own it by now.
            if self._owners.get(endpoint) == entry.name:
                del self._owners[endpoint]

    def conflicts(
        self, put: dict[str, services.Service], edited: set[str]
    ) -> list[EndpointConflict]:
        """Return the clashes if ``put`` came into force, by name.

        What the ``edited`` entries have now is free.
        """
        claimed: dict[Endpoint, str] = {}
        conflicts: list[EndpointConflict] = []
        for name in sorted(put):
            for endpoint in endpoints(put[name]):
                owner = self._owners.get(endpoint)
                if owner is None or owner in edited:
                    owner = name
                holder = claimed.setdefault(endpoint, owner)
                if holder != name:
                    conflicts.append(
                        EndpointConflict(name, holder, endpoint.port)
                    )
        return conflicts
