"""The flows of an agent's upstream, and the ones it diverted elsewhere."""

import dataclasses
import enum

from gentianspoke.core import frames
from gentianspoke.core import packets

NO_OPENING = -1
NO_SEQ = -1
# A moment before any other.
NEVER_MS = -(10**12)


class Phase(enum.Enum):
    """Where a flow stands.

    A closed or refused flow is remembered for a while, so that a late copy
    of its opening does not open it again.
    """

    QUEUED = 'queued'
    OPEN = 'open'
    CLOSED = 'closed'
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True)
class Direction:
    """What was last seen of one direction of a TCP flow.

    ``seq`` is the sequence number of the newest segment that asks for an
    acknowledgement, ``ack`` what the sender has received so far, both
    ``NO_SEQ`` before the first. ``end`` follows the newest segment's last
    byte. ``retransmissions`` counts retransmissions of ``seq`` since ``since_ms``.
    """

    seq: int = NO_SEQ
    end: int = NO_SEQ
    ack: int = NO_SEQ
    retransmissions: int = 0
    since_ms: int = 0
    finished: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingPacket:
    """A packet that waits until the upstream has shown a flow its own."""

    forward: frames.Forward
    packet: packets.Segment


@dataclasses.dataclass(slots=True)
class Flow:
    """One flow of the agent's own upstream.

    ``isn`` is the initial sequence number of the caller's opening,
    ``NO_OPENING`` where none was seen; ``newer_isn`` is that of another
    opening on the same five-tuple, delivered while this flow was open.
    ``view`` is the view in which the
    flow was placed. ``owner_told_ms`` is when a home was last told of the owner.
    Times are milliseconds of the agent's clock; ``up``
    is the direction from the caller to the upstream, ``down`` the other.
    """

    key: packets.FlowKey
    service: int
    bucket: int
    isn: int
    view: int
    phase: Phase
    opened_ms: int
    up_ms: int
    down_ms: int
    newer_isn: int = NO_OPENING
    # The pool in which the flow is counted.
    pool: int = 0
    # Whether a slot is held for each request rather than for the flow.
    slot_per_request: bool = False
    # Packets that came while the flow was not confirmed.
    waiting: list[WaitingPacket] = dataclasses.field(default_factory=list)
    owner_told_ms: int = NEVER_MS
    # The frame of an opening, until the upstream has answered it.
    offer: frames.Forward | None = None
    # Whether the upstream has sent anything but its handshake.
    confirmed: bool = False
    holds_slot: bool = False
    slot_ms: int = 0
    # Whether the slot is held for a request that has not come yet.
    slot_reserved: bool = False
    # Requests that had to end before this flow's could start.
    requests_ahead: int = 0
    answered: bool = False
    # The opening itself, kept only while the flow is queued.
    queued_opening: packets.Segment | None = None
    queued_until_ms: int = 0
    # The frame that an adopted flow came with, until the upstream answers.
    unconfirmed: frames.Forward | None = None
    up: Direction = dataclasses.field(default_factory=Direction)
    down: Direction = dataclasses.field(default_factory=Direction)


@dataclasses.dataclass(slots=True)
class Diversion:
    """A flow that this agent offered to another member.

    ``decider`` and ``view`` name the home that decided on the opening and
    the view in which it did. ``placed_view`` is this agent's own view at
    that time. ``closing`` is set once the caller has closed or reset.
    ``pool`` is the target's; 0 stands for the service's own.
    """

    target: int
    isn: int
    service: int
    bucket: int
    view: int
    used_ms: int
    decider: int = frames.ENTRY_SENDER
    placed_view: int = 0
    closing: bool = False
    pool: int = 0

    def __post_init__(self) -> None:
        """Name the service's own pool where none is given."""
        if not self.pool:
            self.pool = self.service


@dataclasses.dataclass(slots=True)
class Parked:
    """An opening that is held until its home may decide."""

    forward: frames.Forward
    packet: packets.Packet
    since_ms: int


@dataclasses.dataclass(slots=True)
class ServiceCounts:
    """Counts of one service at the agent's upstream.

    ``hold_ms`` is the mean time for which the upstream works on one request
    or short flow, 0 before the first one ended.
    """

    open_flows: int = 0
    running: int = 0
    queued: int = 0
    hold_ms: int = 0
