"""What a decision asks its shell to do, as data classes to match on."""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import views


@dataclasses.dataclass(slots=True)
class Deliver:
    """Hand the packet to the upstream beside this agent."""

    raw: bytes


@dataclasses.dataclass(slots=True)
class Answer:
    """Hand a packet of the upstream to the fabric, for the caller."""

    raw: bytes


@dataclasses.dataclass(slots=True)
class SendFrame:
    """Send the frame to another agent.

    ``is_bulk`` tells that it may wait for other packets.
    """

    member: views.Member
    forward: frames.Forward
    is_bulk: bool = False


@dataclasses.dataclass(slots=True)
class Refuse:
    """Tell the caller that its opening was not run."""

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
    """Do nothing with the packet; ``reason`` is counted."""

    reason: str


@dataclasses.dataclass(slots=True)
class Hold:
    """Do nothing yet: the packet is kept; ``reason`` is counted."""

    reason: str


@dataclasses.dataclass(slots=True)
class NotifyOwnership:
    """Tell another agent which flow this one owns."""

    member: views.Member
    owned: frames.Owned


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
)
