"""The recent changes at each instance, as context of a failed flow."""

import dataclasses

from gentianspoke.decisions.timeline import events

# The longest time between a change and a failure that it may have caused.
MAX_CAUSE_AGE_MS = 30_000
# The greatest difference that is expected between two instances' wall clocks.
MAX_CLOCK_SKEW_MS = 1_000


@dataclasses.dataclass(slots=True)
class InstanceContext:
    """The latest changes at one instance.

    Times are wall clock milliseconds since 1970, ``None`` for a change that
    did not occur. ``restarted_after_stop_ms`` is when the instance started
    again after a planned stop, and ``restarted_after_crash_ms`` is when it
    started again without having completed a planned stop. An instance that
    crashes writes no event, so only its next start shows the crash.
    ``stopping_ms`` and ``draining_ms`` are ``None`` again after a start.
    ``running`` is true from a start to the end of a planned stop.
    ``isolated`` is true while no majority confirms the state of a control
    instance. ``feed_lost_ms`` is when the instance lost the feed of a control
    instance, and ``feed_source`` is the address of that control instance.
    """

    role: str = ''
    running: bool = False
    restarted_after_stop_ms: int | None = None
    restarted_after_crash_ms: int | None = None
    stopping_ms: int | None = None
    draining_ms: int | None = None
    feed_lost_ms: int | None = None
    feed_source: str = ''
    isolated: bool = False


@dataclasses.dataclass(slots=True)
class Context:
    """The contexts of all instances that wrote events so far.

    ``instances`` maps the instances' names to their contexts.
    """

    instances: dict[str, InstanceContext] = dataclasses.field(
        default_factory=dict
    )

    def get_or_add_instance(self, instance: str) -> InstanceContext:
        """Return the context of an instance; add an empty one if unknown."""
        return self.instances.setdefault(instance, InstanceContext())


def update(context: Context, event: events.Event) -> None:
    """Update the context of the instance that wrote the event."""
    state = context.get_or_add_instance(event.instance)
    state.role = event.role
    match event.body:
        case events.ProcessSyncing():
            _record_start(state, event.wall_ms)
        case events.ProcessStopping():
            state.stopping_ms = event.wall_ms
        case events.ProcessStopped():
            state.running = False
        case events.UpstreamDraining():
            state.draining_ms = event.wall_ms
        case events.FeedLost(source=source):
            state.feed_lost_ms = event.wall_ms
            state.feed_source = source
        case events.ControlIsolated():
            state.isolated = True
        case events.ControlConfirmed():
            state.isolated = False
        case _:
            pass


def has_lost_feed_recently(state: InstanceContext, wall_ms: int) -> bool:
    """Return whether the instance recently lost a control instance's feed."""
    return _is_recent(state.feed_lost_ms, wall_ms)


def has_agent_ended_recently(state: InstanceContext, wall_ms: int) -> bool:
    """Return whether an agent recently ended, by a planned stop or not.

    Return ``False`` for an instance that is no agent.
    """
    if state.role != 'agent':
        return False
    ends = (
        state.restarted_after_crash_ms,
        state.restarted_after_stop_ms,
        state.stopping_ms,
    )
    return any(_is_recent(end_ms, wall_ms) for end_ms in ends)


def describe_recent_changes(
    context: Context, event: events.Event
) -> tuple[str, ...]:
    """Return short texts on recent changes that may explain a failure.

    ``event`` is the event of the failure.
    """
    state = context.get_or_add_instance(event.instance)
    failure_ms = event.wall_ms
    texts: list[str] = []
    if _is_recent(state.draining_ms, failure_ms):
        texts.append(f'the upstream beside {event.instance} was draining')
    if _is_recent(state.stopping_ms, failure_ms):
        texts.append(f'{event.instance} was stopping as planned')
    if _is_recent(state.feed_lost_ms, failure_ms):
        texts.append(f'{event.instance} had lost {state.feed_source}')
    for name, other in sorted(context.instances.items()):
        if _is_recent(other.restarted_after_crash_ms, failure_ms):
            texts.append(f'{name} ended without a planned stop')
        elif other.isolated:
            texts.append(f'{name} was cut off from a majority of control')
        elif _is_recent(other.restarted_after_stop_ms, failure_ms):
            texts.append(f'{name} had restarted as planned')
    return tuple(texts)


def _record_start(state: InstanceContext, wall_ms: int) -> None:
    if state.running:
        state.restarted_after_crash_ms = wall_ms
    elif state.stopping_ms is not None:
        state.restarted_after_stop_ms = wall_ms
    state.running = True
    state.draining_ms = None
    state.stopping_ms = None


def _is_recent(change_ms: int | None, failure_ms: int) -> bool:
    # Causal order does not order the events of two instances that exchanged
    # no message. A change that occurred after the failure may therefore be
    # read before it, and must not count as its cause.
    return change_ms is not None and (
        -MAX_CLOCK_SKEW_MS <= failure_ms - change_ms <= MAX_CAUSE_AGE_MS
    )
