"""Actions that a decision returns and the process carries out."""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import views
from gentianspoke.decisions import pacing


@dataclasses.dataclass(slots=True)
class Deliver:
    """Deliver an IP packet to the upstream of this agent."""

    raw: bytes


@dataclasses.dataclass(slots=True)
class Answer:
    """Send an IP packet of the upstream to the caller through the fabric.

    ``segment_id`` is set if the packet is part of a bulk answer, which may be
    queued behind other packets.
    """

    raw: bytes
    segment_id: pacing.SegmentId | None = None


@dataclasses.dataclass(slots=True)
class SendFrame:
    """Send the frame to the agent of ``member``.

    If ``is_bulk`` is true, the frame may be queued behind other frames.
    """

    member: views.Member
    forward: frames.Forward
    is_bulk: bool = False


@dataclasses.dataclass(slots=True)
class Refuse:
    """Refuse an opening: tell the caller that its request did not run."""

    packet: packets.Packet
    reason: str


@dataclasses.dataclass(slots=True)
class ResetCaller:
    """Reset the caller's side of a flow with these sequence numbers."""

    key: packets.FlowKey
    seq: int
    ack: int
    reason: str


@dataclasses.dataclass(slots=True)
class ResetUpstream:
    """Reset the upstream's side of a flow with these sequence numbers."""

    key: packets.FlowKey
    seq: int
    ack: int
    reason: str


@dataclasses.dataclass(slots=True)
class Drop:
    """Send nothing for a packet, and count it as dropped under ``reason``.

    The packet is discarded, unless it is an opening that the agent has queued
    for a slot, or holds until the agent may place the opening.
    """

    reason: str


@dataclasses.dataclass(slots=True)
class Hold:
    """Count under ``reason`` a packet that is not yet delivered.

    The decision has already stored the packet in the record of its flow.
    """

    reason: str


@dataclasses.dataclass(slots=True)
class NotifyOwnership:
    """Send a notice to another agent that this agent owns a flow."""

    member: views.Member
    owned: frames.Owned


@dataclasses.dataclass(slots=True)
class SendInquiry:
    """Send an inquiry about flows to the agents of ``members``."""

    members: tuple[views.Member, ...]
    inquiry: frames.FlowInquiry


@dataclasses.dataclass(slots=True)
class AnswerInquiry:
    """Send the reply to an inquiry to the agent of ``member``."""

    member: views.Member
    reply: frames.FlowInquiryReply


Action = (
    Deliver
    | Answer
    | SendFrame
    | Refuse
    | ResetCaller
    | ResetUpstream
    | Drop
    | Hold
    | NotifyOwnership
    | SendInquiry
    | AnswerInquiry
)
