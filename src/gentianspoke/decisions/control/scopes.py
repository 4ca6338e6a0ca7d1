"""Scopes, which select the part of the feed that a consumer gets."""

import dataclasses
import enum

from gentianspoke.core import services


class Detail(enum.Enum):
    """Which fields of each member a consumer gets.

    ``ROUTING`` leaves out the fields that only agents need, and only for
    services without ``handshake``.
    """

    ROUTING = 'routing'
    FULL = 'full'


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """The part of the feed that one consumer gets.

    ``names`` limits entries and views to the named services; an empty set
    means no limit. ``catalogue`` is true if the consumer gets entries. It
    is false for a control instance, which has them from its own log.
    """

    detail: Detail
    names: frozenset[str] = frozenset()
    catalogue: bool = True

    def choose_detail(self, *, all_handshake: bool) -> Detail:
        """Return the detail of the views that this scope's consumers get.

        ``all_handshake`` tells whether all services have ``handshake``. An
        agent then needs no more detail than an entry instance. A control
        instance always needs the full detail, because it relays the views.
        """
        if all_handshake and self.catalogue:
            return Detail.ROUTING
        return self.detail

    def select_entries(
        self, entries: dict[str, services.Service]
    ) -> list[services.Service]:
        """Return the entries in this scope, ordered by name."""
        names = self.names & entries.keys() if self.names else entries.keys()
        return [entries[name] for name in sorted(names)]

    def includes_service(
        self, number: int, entries: dict[str, services.Service]
    ) -> bool:
        """Return whether the service ``number`` is in this scope."""
        if not self.names:
            return True
        return any(
            entries[name].number == number
            for name in self.names
            if name in entries
        )


def make_scope(role: str, names: frozenset[str]) -> Scope:
    """Return the scope of a consumer by its role, limited to ``names``."""
    match role:
        case 'entry':
            return Scope(Detail.ROUTING, names)
        case 'control':
            return Scope(Detail.FULL, names, catalogue=False)
        case _:
            return Scope(Detail.FULL, names)
