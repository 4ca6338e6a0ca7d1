"""Ownership of service addresses and ports by catalogue entries."""

import collections.abc
import dataclasses

from gentianspoke.core import services


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A protocol, a service address and one of its ports."""

    protocol: int
    address: bytes
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointConflict:
    """A conflict of two entries over one port of a service address.

    The entry ``name`` claims the port; ``holder`` owns it or claims it in
    the same request.
    """

    name: str
    holder: str
    port: int


def list_endpoints(entry: services.Service) -> list[Endpoint]:
    """Return the endpoints of an entry, one for each of its ports."""
    return [
        Endpoint(entry.protocol, entry.address, port) for port in entry.ports
    ]


class EndpointOwners:
    """An index from each endpoint to the name of the entry that owns it.

    An endpoint has at most one owner, which is not retired. Without this
    index each edit would have to search all entries, which takes time
    proportional to the size of the catalogue.
    """

    def __init__(self) -> None:
        """Initialize the index without owners."""
        self._owners: dict[Endpoint, str] = {}

    def replace_all(
        self, entries: collections.abc.Iterable[services.Service]
    ) -> None:
        """Rebuild the index from ``entries``."""
        self._owners.clear()
        for entry in entries:
            self.claim(entry)

    def claim(self, entry: services.Service) -> None:
        """Make an entry the owner of its endpoints unless it is retired."""
        if not entry.retired:
            for endpoint in list_endpoints(entry):
                self._owners[endpoint] = entry.name

    def release(self, entry: services.Service) -> None:
        """Remove the ownership of those endpoints that an entry still owns."""
        for endpoint in list_endpoints(entry):
            # Another edit of the same request may already have claimed the
            # endpoint for another entry.
            if self._owners.get(endpoint) == entry.name:
                del self._owners[endpoint]

    def find_conflicts(
        self, put_entries: dict[str, services.Service], edited_names: set[str]
    ) -> list[EndpointConflict]:
        """Return the conflicts that adding or replacing entries would cause.

        ``put_entries`` maps names to these entries, and the conflicts are
        ordered by these names. An endpoint counts as free if its present
        owner is in ``edited_names``, since the same request replaces or
        retires that owner.
        """
        claimed: dict[Endpoint, str] = {}
        conflicts: list[EndpointConflict] = []
        for name in sorted(put_entries):
            for endpoint in list_endpoints(put_entries[name]):
                owner = self._owners.get(endpoint)
                if owner is None or owner in edited_names:
                    owner = name
                holder = claimed.setdefault(endpoint, owner)
                if holder != name:
                    conflicts.append(
                        EndpointConflict(name, holder, endpoint.port)
                    )
        return conflicts
