"""Events of the time line as data classes to match on.

Their kinds and fields are those of ``schema/models/event.json``. A kind
that no verdict depends on needs no data class.
"""

import dataclasses

from gentianspoke.core import verdicts

Value = str | int | float | bool
Evidence = tuple[tuple[str, Value], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSyncing:
    """A process began and waits for what it needs to serve."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessServing:
    """A process serves."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStopping:
    """A process began its planned stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStopped:
    """A process ended its planned stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueInForce:
    """A consumer took a catalogue version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueAnswered:
    """A control instance answered an edit."""

    accepted: bool
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ControlIsolated:
    """No majority has lately confirmed a control instance."""

    confirmed_age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ControlConfirmed:
    """A majority confirms a control instance again."""

    confirmed_age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class FeedLost:
    """A consumer left a control instance for the next one."""

    source: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EventsOmitted:
    """More events of a kind came in a second than a process writes."""

    kind: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDraining:
    """The upstream said that it drains."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopGraceOver:
    """A planned stop has waited for flows in progress."""

    running_left: int
    queued_left: int
    open_left: int
    announced: bool
    took_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class FlowRefused:
    """An opening was refused as not run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FlowReset:
    """The balancer reset a flow."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FlowVerdict:
    """An agent's verdict on a flow of its upstream."""

    verdict: verdicts.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class OtherKind:
    """A kind that is only shown, such as one of another version."""


Body = (
    ProcessSyncing
    | ProcessServing
    | ProcessStopping
    | ProcessStopped
    | CatalogueInForce
    | CatalogueAnswered
    | ControlIsolated
    | ControlConfirmed
    | FeedLost
    | EventsOmitted
    | UpstreamDraining
    | StopGraceOver
    | FlowRefused
    | FlowReset
    | FlowVerdict
    | OtherKind
)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event: where and when it was written, and what it says.

    ``logical`` is the Lamport clock of the process, ``wall_ms`` the
    milliseconds since 1970 by the clock of its instance. ``service`` and
    ``flow`` are empty where the event concerns none.
    """

    kind: str
    instance: str
    role: str
    logical: int
    wall_ms: int
    service: str
    flow: str
    fields: Evidence
    body: Body
