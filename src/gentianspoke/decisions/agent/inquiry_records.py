"""Records of an agent about flows that it does not know.

``flow_inquiry`` describes the inquiries, ``flow_knowledge`` the answers and
``known_instances`` the instances that have to answer.
"""

import dataclasses
import enum

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import views

Pools = tuple[int, ...]


class FlowPhase(enum.Enum):
    """What this agent knows of an unknown flow.

    ``COLLECTED`` flows wait for the next inquiry. ``ASKED`` flows are part of
    an outstanding one. An inquiry has ended without a result for an
    ``UNDECIDED`` flow. ``ENDED`` flows are known to exist no longer.
    """

    COLLECTED = 'collected'
    ASKED = 'asked'
    UNDECIDED = 'undecided'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class UnknownFlow:
    """A flow that this agent does not know, with the caller's last segment.

    ``forward`` is the frame that carried ``segment``. ``since_ms`` is when the
    flow's first segment came after which the flow's members are asked, and
    ``last_ms`` when the last one came. ``candidates`` lists the members that
    may have the flow after an inquiry, ``undecided_count`` the inquiries that
    ended without a result, and ``candidates_tried`` counts those
    that have got a segment, over all rounds.
    """

    service: int
    pools: Pools
    forward: frames.Forward
    segment: packets.Segment
    since_ms: int
    last_ms: int
    phase: FlowPhase = FlowPhase.COLLECTED
    phase_since_ms: int = 0
    undecided_count: int = 0
    candidates: tuple[int, ...] = ()
    candidates_tried: int = 0


@dataclasses.dataclass(slots=True)
class Inquiry:
    """An outstanding inquiry; flow i of the frame is ``flows[i]``.

    ``absent`` holds the flows that an instance's upstream does not have, as in
    ``frames.FlowInquiryReply``, by the name of the instance. Instances that
    have not answered are not in it. ``complete`` names those whose answer
    knew no instance that this agent does not know.
    """

    frame: frames.FlowInquiry
    pools: Pools
    flows: tuple[UnknownFlow, ...]
    sent_ms: int
    last_sent_ms: int
    sent_count: int = 1
    absent: dict[str, int] = dataclasses.field(default_factory=dict)
    complete: set[str] = dataclasses.field(default_factory=set)
    found_count: int = 0
    ended_count: int = 0
    undecided_count: int = 0
    obstacle: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A member that is no longer listed in the view of its pool."""

    member: views.Member
    pool: int
    left_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class InquiryReport:
    """The result of one inquiry, for the log and the metrics.

    ``instances`` is the number of instances that had to answer, and
    ``unanswered`` the number of those without a complete answer. ``obstacle``
    names the reason for which the last undecided flow was not ended.
    """

    pool: int
    flows: int
    found: int
    ended: int
    undecided: int
    instances: int
    unanswered: int
    sent_count: int
    obstacle: str
    took_ms: int


@dataclasses.dataclass(slots=True)
class Inquiries:
    """The part of an agent's state that belongs to flow inquiries.

    ``enabled`` is the setting ``inquire_flows``. ``complete_from_ms`` is the
    time from which the agent's record counts as complete, that is, as one of
    all flows of its upstream. ``doubtful`` holds the flows that the upstream
    may have although the agent has no record of them, with the time at which
    that was noted, the oldest first.
    """

    enabled: bool = False
    complete_from_ms: int = 0
    doubtful: dict[packets.FlowKey, int] = dataclasses.field(
        default_factory=dict
    )
    departures: list[Departure] = dataclasses.field(default_factory=list)
    unknown: dict[packets.FlowKey, UnknownFlow] = dataclasses.field(
        default_factory=dict
    )
    outstanding: dict[int, Inquiry] = dataclasses.field(default_factory=dict)
    # Number of the next inquiry. A process begins with a random number, so
    # that late replies to its predecessor match no inquiry.
    next_number: int = 1
    # When the next inquiry may be sent, by the pools that it is about.
    next_send_ms: dict[Pools, int] = dataclasses.field(default_factory=dict)
    # Results since the last tick.
    reports: list[InquiryReport] = dataclasses.field(default_factory=list)
