"""Records of an agent's own flows and of flows it diverted to others."""

import dataclasses
import enum

from gentianspoke.core import frames
from gentianspoke.core import packets

# Stands for the initial sequence number of an opening that was not seen.
NO_OPENING = -1
# Stands for a sequence or acknowledgement number that was not seen.
NO_SEQ = -1
# A time that is earlier than every reading of the clock.
NEVER_MS = -(10**12)
# Largest number of packets held for one flow. A caller has at most this many
# packets in flight.
MAX_HELD_PACKETS = 16


class Phase(enum.Enum):
    """The phase of a flow in its life cycle.

    The record of a closed or refused flow is kept for a while, so that a
    late copy of its opening does not open the flow again.
    """

    QUEUED = 'queued'
    OPEN = 'open'
    CLOSED = 'closed'
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True)
class Direction:
    """The last observed TCP state of one direction of a flow.

    ``seq`` is the sequence number of the last observed segment that has to
    be acknowledged, and ``end`` is the sequence number after its last byte.
    ``ack`` is the sender's latest acknowledgement number, and ``isn`` the
    sequence number of its SYN. All four are ``NO_SEQ`` until they have been
    seen. ``since_ms`` is when the segment
    with ``seq`` was first seen, and ``retransmissions`` counts its
    retransmissions. ``fin_seen`` is set once the sender has sent a FIN.
    """

    seq: int = NO_SEQ
    end: int = NO_SEQ
    ack: int = NO_SEQ
    isn: int = NO_SEQ
    retransmissions: int = 0
    since_ms: int = 0
    fin_seen: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HeldPacket:
    """A packet that is held beside the upstream.

    It waits until the upstream has confirmed its flow, or may start the
    request that it belongs to.
    """

    forward: frames.Forward
    packet: packets.Segment


@dataclasses.dataclass(slots=True)
class Flow:
    """The record of one flow of the agent's own upstream.

    ``isn`` is the initial sequence number of the caller's opening, or
    ``NO_OPENING`` if no opening was seen. ``newer_isn`` is that of another
    opening on the same five-tuple that was delivered while this flow was
    open. ``view`` is the view under which the record is counted
    (``record_counts.choose_placed_view``). ``owner_notice_sent_ms`` is when
    this agent last sent a notice that it owns the flow; the notice goes to
    the first member that was asked for the flow. ``up`` is the direction from
    the caller to the upstream, ``down`` the opposite one. ``last_up_ms`` and
    ``last_down_ms`` are when the last packet of each direction was seen, or
    when the flow was opened, left the queue or ended, if that is later. Times
    are milliseconds of the agent's clock.
    """

    key: packets.FlowKey
    service: int
    bucket: int
    isn: int
    view: int
    phase: Phase
    opened_ms: int
    last_up_ms: int
    last_down_ms: int
    newer_isn: int = NO_OPENING
    # The pool in which the flow is counted.
    pool: int = 0
    # Whether each request occupies a slot, instead of the whole flow. This is
    # so if the flow's service has ``handshake``.
    slot_per_request: bool = False
    # Packets that arrived before the upstream had confirmed the flow.
    held_packets: list[HeldPacket] = dataclasses.field(default_factory=list)
    owner_notice_sent_ms: int = NEVER_MS
    # The frame that carried the opening, until the upstream answers. It is
    # kept only with ``slot_per_request``, because only the upstreams of such
    # flows return openings.
    opening_forward: frames.Forward | None = None
    # Whether the upstream has sent a segment other than its SYN-ACK.
    answered_after_syn_ack: bool = False
    # Whether the upstream has sent any segment of the flow to this agent.
    upstream_seen: bool = False
    # Whether the flow occupies a slot, and since when.
    holds_slot: bool = False
    slot_since_ms: int = 0
    # Whether the slot is reserved for a request that has not arrived yet.
    slot_reserved: bool = False
    # Number of requests that had to end before the flow's request could start.
    requests_ahead: int = 0
    # Whether the upstream has sent a packet of the flow, as is assumed of an
    # adopted flow.
    answered: bool = False
    # The opening's segment, kept only while the flow is queued.
    queued_opening: packets.Segment | None = None
    # When the queued opening's wait expires, 0 if the flow never waited.
    queued_until_ms: int = 0
    # The frame with the packet for which the flow was adopted, until the
    # upstream has confirmed the flow.
    unconfirmed_forward: frames.Forward | None = None
    # Whether another owner of the unconfirmed flow is searched for.
    is_searched: bool = False
    up: Direction = dataclasses.field(default_factory=Direction)
    down: Direction = dataclasses.field(default_factory=Direction)


@dataclasses.dataclass(slots=True)
class Diversion:
    """The record of a flow whose packets go to another member, the target.

    Either this agent offered the opening to the target, or the target has
    sent a notice that it owns the flow. ``isn`` is the initial sequence
    number of the opening, or ``NO_OPENING`` for a datagram or after a notice.
    ``decider`` is the member number of the home that last decided on the
    opening, and ``view`` is the view in which it did so; after a notice, they
    are this agent's own number and view. ``placed_view`` is the view under
    which the record is counted (``record_counts.choose_placed_view``).
    ``caller_closed`` is set once the caller has sent a FIN or a reset.
    ``last_used_ms`` is when a packet was last passed to the target or, after
    a notice without a later packet, when the notice came. ``pool`` is the
    target's pool; 0, the default, is replaced by the service's own pool.
    """

    target: int
    isn: int
    service: int
    bucket: int
    view: int
    last_used_ms: int
    # By default no member, as in ``frames.Forward``.
    decider: int = frames.ENTRY_SENDER
    placed_view: int = 0
    caller_closed: bool = False
    pool: int = 0

    def __post_init__(self) -> None:
        """Set the pool to the service's own if no pool was given."""
        if not self.pool:
            self.pool = self.service


@dataclasses.dataclass(slots=True)
class HeldOpening:
    """An opening that is held until its home may place it."""

    forward: frames.Forward
    packet: packets.Packet
    since_ms: int


@dataclasses.dataclass(slots=True)
class PoolCounts:
    """Numbers of one pool's flows at the agent's upstream.

    ``open_flows`` counts the flows that have not ended, the queued ones
    included. ``running`` counts the occupied slots and ``queued`` the openings
    that wait for a slot. ``mean_work_ms`` is the moving average of the time
    for which the upstream works on one request or short flow, 0 before the
    first one has ended.
    """

    open_flows: int = 0
    running: int = 0
    queued: int = 0
    mean_work_ms: int = 0
