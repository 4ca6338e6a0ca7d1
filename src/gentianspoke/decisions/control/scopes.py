"""Which part of the feed a consumer gets."""

import dataclasses
import enum

from gentianspoke.core import services


class Detail(enum.Enum):
    """How much of each member a consumer gets."""

    ROUTING = 'routing'
    FULL = 'full'


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """The part of the feed that one consumer gets.

    ``names`` limits entries and views to these services; an empty one is
    no limit. ``catalogue`` tells whether the consumer gets entries at all:
    a control instance has them from its own log.
    """

    detail: Detail
    names: frozenset[str] = frozenset()
    catalogue: bool = True

    def select(
        self, entries: dict[str, services.Service]
    ) -> list[services.Service]:
        """Return the entries of this scope, ordered by name."""
        names = self.names & entries.keys() if self.names else entries.keys()
        return [entries[name] for name in sorted(names)]

    def includes_service(
        self, number: int, entries: dict[str, services.Service]
    ) -> bool:
        """Return whether the service of a number is in this scope."""
        if not self.names:
            return True
        return any(
            entries[name].number == number
            for name in self.names
            if name in entries
        )


def scope_for_role(role: str, names: frozenset[str]) -> Scope:
    """Return the scope of a consumer by its role."""
    match role:
        case 'entry':
            return Scope(Detail.ROUTING, names)
        case 'control':
            return Scope(Detail.FULL, names, catalogue=False)
        case _:
            return Scope(Detail.FULL, names)
