"""Data classes of the events of the time line.

Their kinds and fields are those of ``schema/models/event.json``. A kind of
event that is only shown, but not evaluated, needs no data class.
"""

import dataclasses

from gentianspoke.core import verdicts

Value = str | int | float | bool
Fields = tuple[tuple[str, Value], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSyncing:
    """A process started and waits for the data that it needs to serve."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessServing:
    """A process began to serve."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStopping:
    """A process began its planned stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStopped:
    """A process completed its planned stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueInForce:
    """A consumer began to use a catalogue version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueAnswered:
    """A control instance answered a request to change the catalogue.

    ``version`` is the catalogue version after the request.
    """

    accepted: bool
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ControlIsolated:
    """No majority has confirmed a control instance's state for some time.

    ``confirmed_age_ms`` is the time since a majority last confirmed it.
    """

    confirmed_age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ControlConfirmed:
    """A majority confirms a control instance's state again.

    ``confirmed_age_ms`` is the time since a majority last confirmed it.
    """

    confirmed_age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class FeedLost:
    """A consumer lost the feed of a control instance and tries the next one.

    ``source`` is the address of the control instance whose feed it lost.
    """

    source: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EventsOmitted:
    """A process did not write ``count`` events of a kind.

    A process limits the number of events that it writes per second.
    """

    kind: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDraining:
    """An upstream reported that it is draining."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopGraceOver:
    """A planned stop ended its wait for flows in progress.

    ``running_left`` counts the flows that still occupied a slot,
    ``queued_left`` those that waited for one, ``answering_left`` those whose
    bulk answer was still being sent, and ``open_left`` all flows that had not
    ended, including the queued ones. ``announced`` is true if a
    control instance accepted the announcement of the drain. ``took_ms`` is
    the time since the beginning of the stop.
    """

    running_left: int
    queued_left: int
    answering_left: int
    open_left: int
    announced: bool
    took_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class FlowRefused:
    """An opening was refused, and its request did not run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FlowReset:
    """The balancer reset a flow."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FlowVerdict:
    """An agent gave its verdict on a flow of its upstream."""

    verdict: verdicts.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class OtherKind:
    """An event of a kind that is shown but not evaluated.

    An example is a kind that only another version of this program writes.
    """


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
    """One event, with the place and time at which it was written.

    ``logical`` is the Lamport clock of the process. ``wall_ms`` is the time
    in milliseconds since 1970, by the wall clock of the instance.
    ``service`` and ``flow`` are empty if the event concerns none.
    ``fields`` holds the names and values of the kind's fields, for display,
    and ``body`` holds them as a data class if the kind has one.
    """

    kind: str
    instance: str
    role: str
    logical: int
    wall_ms: int
    service: str
    flow: str
    fields: Fields
    body: Body
