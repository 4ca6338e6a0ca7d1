"""Members of a service, as numbered views.

A view number only grows. The control instance that issues views puts its
term into the upper bits, so that a later leader's views are newer.
"""

import dataclasses
import enum

TERM_SHIFT_BITS = 32


class State(enum.Enum):
    """Whether a member gets new flows."""

    LIVE = 'live'
    DRAINING = 'draining'
    SUSPECT = 'suspect'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of an upstream, with the agent beside it.

    ``number`` identifies the incarnation. ``joined_view`` is the view in
    which the member became live and ``closed_view`` the one in which it
    ceased to be, 0 while it is live. ``acked_view`` is the newest view
    known to be applied by the member. ``oldest_flow_view`` is the view of
    its oldest open flow outside the buckets that are now its own, 0 where
    there is none.
    """

    number: int
    instance: str
    host: str
    port: int
    zone: str
    weight: int
    state: State
    joined_view: int
    closed_view: int = 0
    acked_view: int = 0
    oldest_flow_view: int = 0
    recovering: bool = False

    @property
    def is_live(self) -> bool:
        """Whether the member gets new flows."""
        return self.state is State.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """All members of one service at one moment, ordered by number.

    ``number`` grows with each change of the live set and is what members
    acknowledge; ``revision`` grows with each other change, such as an
    acknowledgement, while the number stays.
    """

    service: int
    number: int
    members: tuple[Member, ...]
    revision: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """The pair by which a newer view is told from an older one."""
        return (self.number, self.revision)


def make_view_number(term: int, sequence: int) -> int:
    """Return the view number of a leader's term and its own sequence."""
    return (term << TERM_SHIFT_BITS) | sequence
