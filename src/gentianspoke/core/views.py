"""Numbered views of the members of a pool.

View numbers increase monotonically. The control instance that issues a view
stores its term in the upper bits of the number, so the views of a leader of
a later term have higher numbers.
"""

import dataclasses
import enum

TERM_SHIFT_BITS = 32


class State(enum.Enum):
    """The state of a member; only a live member gets new flows.

    A member that joins is listed as draining at first. It becomes live only
    after its agent has received a view in which the member is not live, so the
    agent never acts on a view from before its own start. A member is suspect
    if its heartbeats are overdue, or if a new leader knows it only from the
    view of an earlier term. A member that would be live is evacuated as long
    as its availability zone is evacuated.
    """

    LIVE = 'live'
    DRAINING = 'draining'
    SUSPECT = 'suspect'
    EVACUATED = 'evacuated'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of an upstream and the agent on its instance.

    ``number`` identifies the incarnation: an upstream that restarts gets a new
    number and joins as a new member. ``host`` and ``port`` are the agent's
    address. ``joined_view`` is the number of the view in which the member
    became live. ``closed_view`` is the number of the view in which it stopped
    being live, 0 while it is live. ``acked_view`` is the newest view that the
    member has acknowledged as applied. Each record of a flow, or of an opening
    that was diverted to another member, is counted under the view in which it
    was placed. ``oldest_flow_view`` is the number of the oldest of these
    views, over the records in buckets of which the member is not the home. It
    is 0 if there is no such record, and if all services have ``handshake``.
    ``recovering`` is true while the agent, after a restart, does not know its
    upstream's older flows. ``zone_evacuated`` is true while the member's
    availability zone is evacuated, also if the member is draining or suspect.
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
    # Left out of the representation, because the digest of a view is computed
    # from it: a view without evacuated zones has the same digest as in earlier
    # versions. ``view_delta.compute_view_digest`` adds this field.
    zone_evacuated: bool = dataclasses.field(default=False, repr=False)

    @property
    def is_live(self) -> bool:
        """Whether the member is live and thus gets new flows."""
        return self.state is State.LIVE

    @property
    def is_live_or_evacuated(self) -> bool:
        """Whether only an evacuation may keep the member from being live."""
        return self.state in (State.LIVE, State.EVACUATED)


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """All members of one pool at one time, sorted by number.

    ``service`` is the number of the pool, which is the service's number if
    the service has a pool of its own. ``number`` increases with each new
    member and each change of the set of live members, and members
    acknowledge it. ``revision`` increases with every change, also with one
    that leaves ``number`` the same, such as an acknowledgement.
    """

    service: int
    number: int
    members: tuple[Member, ...]
    revision: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """The number and revision; a newer view has the greater pair."""
        return (self.number, self.revision)


def make_view_number(term: int, sequence: int) -> int:
    """Return the view number for a leader's term and sequence number."""
    return (term << TERM_SHIFT_BITS) | sequence
