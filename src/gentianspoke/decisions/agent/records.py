"""The flows of an agent's upstream, and the ones it diverted elsewhere."""

import dataclasses
import enum

from gentianspoke.core import frames
from gentianspoke.core import packets

NO_OPENING = -1


class Phase(enum.Enum):
    """Where a flow stands."""

    QUEUED = 'queued'
    OPEN = 'open'
    CLOSED = 'closed'


@dataclasses.dataclass(slots=True)
class Flow:
    """One flow of the agent's own upstream.

    ``isn`` is the initial sequence number of the caller's opening,
    ``NO_OPENING`` where none was seen. ``view`` is the view in which the
    flow was placed. Times are milliseconds of the agent's clock; ``up``
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
    holds_slot: bool = False
    up_finished: bool = False
    down_finished: bool = False
    # The opening itself, kept only while the flow is queued.
    held: packets.Segment | None = None
    queued_until_ms: int = 0
    # The frame that an adopted flow came with, until the upstream answers.
    unconfirmed: frames.Forward | None = None


@dataclasses.dataclass(slots=True)
class Diversion:
    """A flow that this agent, as its decider, placed at another member."""

    target: int
    isn: int
    service: int
    bucket: int
    view: int
    used_ms: int


@dataclasses.dataclass(slots=True)
class ServiceCounts:
    """Counts of one service at the agent's upstream."""

    open_flows: int = 0
    running: int = 0
    queued: int = 0
