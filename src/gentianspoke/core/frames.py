"""Frames that entry instances and agents exchange, without their encoding.

An entry instance receives callers' packets from the fabric, the network
between the callers and the load balancer, and forwards them to the agents.
Each agent runs beside one upstream, and owns the flows that this upstream
handles. An opening is the first packet of a flow. A slot is the permission to
run one request at an upstream.
"""

import dataclasses
import enum

# The sender number of an entry instance, which is not a member of a view.
ENTRY_SENDER = 0
# Largest number of flows in one inquiry, which is the number of bits in the
# fields of the reply.
MAX_INQUIRY_FLOWS = 32


class Purpose(enum.IntEnum):
    """The action that a frame requests from the agent that receives it.

    ``ROUTE`` asks it to process the packet or to send it towards the owner.
    ``OFFER`` asks it to accept an opening for its upstream. ``ASK`` asks it
    whether it knows an opening's flow; if it does not, it returns the frame
    to the bucket's home, the member that decides on the openings of the
    bucket. ``ADOPT`` asks a recovering agent to deliver the packet of a flow
    that no agent knows, to find out whether its upstream has the flow.
    """

    ROUTE = 0
    OFFER = 1
    ASK = 2
    ADOPT = 3


@dataclasses.dataclass(slots=True)
class Forward:
    """A packet that is forwarded to the agent that owns its flow.

    ``service`` is the number of the service, and ``bucket`` is the flow's
    bucket among those of the service. ``target`` is the number of the member
    that the frame is addressed to, and ``sender`` that of the member that
    sends it. ``tried`` lists the members that did not own the flow, in the
    order in which they were asked. If ``purpose`` is ``ADOPT``, it lists
    instead the members that could not adopt the flow. If ``decider`` is the
    number of a member, the bucket's home, ``view`` is the number of the view
    in which this member decided on the opening or began to ask others for a
    record of it. Otherwise ``decider`` is ``ENTRY_SENDER``, and ``view`` is
    the number of the view that the first sender of the frame used.
    ``logical`` is the sender's Lamport clock. ``pool`` is the pool that the
    target belongs to; 0 stands for the service's own pool.

    ``hops_left``, ``wait_left_ms`` and ``offers_left`` are how often the
    frame may still be forwarded, how long its opening may still wait for a
    slot, and how often the opening may still be offered to a member.
    """

    service: int
    view: int
    bucket: int
    target: int
    packet: bytes
    purpose: Purpose = Purpose.ROUTE
    tried: tuple[int, ...] = ()
    hops_left: int = 0
    wait_left_ms: int = 0
    offers_left: int = 0
    sender: int = ENTRY_SENDER
    decider: int = ENTRY_SENDER
    logical: int = 0
    pool: int = 0

    def __post_init__(self) -> None:
        """Set ``pool`` to the service's own pool if none is given."""
        if not self.pool:
            self.pool = self.service


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The sender's flow counts for one pool, summed over the pool's services.

    ``open_flows`` counts the open flows, ``running`` the requests that hold
    a slot, and ``queued`` the openings that wait for a slot. ``logical`` is
    the sender's Lamport clock. ``cold_remaining_ms`` is the time for which the
    sender's upstream stays cold after its start, in milliseconds. ``slots`` is
    the number of requests that the sender's upstream works on at a time, and
    ``work_us`` the mean work of a request in microseconds; both are 0 if
    unknown.
    """

    pool: int
    sender: int
    open_flows: int
    running: int
    queued: int
    logical: int = 0
    slots: int = 0
    work_us: int = 0
    cold_remaining_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Owned:
    """A notice to a member that the sender owns a flow.

    It goes to a member that did not know the flow. That member then sends
    later packets of the flow directly to the owner, without a search.
    ``target`` is the number of the member that receives the notice. ``key``
    is the flow key that ``core.packets`` describes, and ``logical`` the
    sender's Lamport clock.
    """

    service: int
    pool: int
    bucket: int
    target: int
    sender: int
    key: bytes
    logical: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FlowInquiry:
    """A question to other members: which of these flows they have.

    ``pool`` is the pool that the sender is a member of, and ``service`` the
    service of one of the flows. The pools of the flows' services are the same.
    ``number`` identifies the inquiry at its sender, and stays the same when
    the inquiry is repeated. ``keys`` holds the flow keys, and ``instances``
    the digests of the names of all instances that the sender knows in the
    pools. ``logical`` is the sender's Lamport clock.
    """

    pool: int
    service: int
    number: int
    keys: tuple[bytes, ...]
    instances: tuple[int, ...]
    sender: int
    logical: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FlowInquiryReply:
    """A member's answer to an inquiry.

    Bit i of ``owned`` and ``absent`` stands for flow i of the inquiry. A flow
    of ``owned`` is established at the sender's upstream, and the upstream
    certainly does not have a flow of ``absent``. ``lists_all`` tells whether
    the inquiry lists all instances that the sender of the reply knows. It is
    false if the sender's own feed is old.
    ``pool`` and ``number`` are those of the inquiry, and ``logical`` is the
    sender's Lamport clock.
    """

    pool: int
    number: int
    owned: int
    absent: int
    lists_all: bool
    sender: int
    logical: int = 0


Frame = Forward | LoadReport | Owned | FlowInquiry | FlowInquiryReply
