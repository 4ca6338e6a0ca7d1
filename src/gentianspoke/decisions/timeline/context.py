"""What was going on around a flow that failed, instance by instance."""

import dataclasses

from gentianspoke.decisions.timeline import events

# How long before a failure an event may still explain it, and how far the
# wall clocks of two instances are expected to differ at most.
RECENT_MS = 30_000
SKEW_MS = 1_000


@dataclasses.dataclass(slots=True)
class InstanceContext:
    """The latest changes at one instance; wall clock milliseconds."""

    role: str = ''
    running: bool = False
    restarted_ms: int | None = None
    crashed_ms: int | None = None
    stopping_ms: int | None = None
    draining_ms: int | None = None
    feed_lost_ms: int | None = None
    feed_source: str = ''
    isolated: bool = False


@dataclasses.dataclass(slots=True)
class Context:
    """All instances seen so far, by name."""

    instances: dict[str, InstanceContext] = dataclasses.field(
        default_factory=dict
    )

    def at(self, instance: str) -> InstanceContext:
        """Return the context of an instance, a new one at first."""
        return self.instances.setdefault(instance, InstanceContext())


def take(context: Context, event: events.Event) -> None:
    """Note an event that changes an instance."""
    around = context.at(event.instance)
    around.role = event.role
    match event.body:
        case events.ProcessSyncing():
            _note_start(around, event.wall_ms)
        case events.ProcessStopping():
            around.stopping_ms = event.wall_ms
        case events.ProcessStopped():
            around.running = False
        case events.UpstreamDraining():
            around.draining_ms = event.wall_ms
        case events.FeedLost(source=source):
            around.feed_lost_ms = event.wall_ms
            around.feed_source = source
        case events.ControlIsolated():
            around.isolated = True
        case events.ControlConfirmed():
            around.isolated = False
        case _:
            pass


def lost_feed(around: InstanceContext, wall_ms: int) -> bool:
    """Return whether the instance lately lost its control instance."""
    return _recent(around.feed_lost_ms, wall_ms)


def lately_ended(around: InstanceContext, wall_ms: int) -> bool:
    """Return whether an agent lately ended, as planned or not."""
    if around.role != 'agent':
        return False
    ends = (around.crashed_ms, around.restarted_ms, around.stopping_ms)
    return any(_recent(end_ms, wall_ms) for end_ms in ends)


def describe(context: Context, event: events.Event) -> tuple[str, ...]:
    """Return what lately happened around an event, as short texts."""
    around = context.at(event.instance)
    now = event.wall_ms
    found: list[str] = []
    if _recent(around.draining_ms, now):
        found.append(f'the upstream beside {event.instance} was draining')
    if _recent(around.stopping_ms, now):
        found.append(f'{event.instance} was stopping as planned')
    if _recent(around.feed_lost_ms, now):
        found.append(f'{event.instance} had lost {around.feed_source}')
    for name, other in sorted(context.instances.items()):
        if _recent(other.crashed_ms, now):
            found.append(f'{name} ended without a planned stop')
        elif other.isolated:
            found.append(f'{name} was cut off from a majority of control')
        elif _recent(other.restarted_ms, now):
            found.append(f'{name} had restarted as planned')
    return tuple(found)


def _note_start(around: InstanceContext, wall_ms: int) -> None:
    if around.running:
        around.crashed_ms = wall_ms
    elif around.stopping_ms is not None:
        around.restarted_ms = wall_ms
    around.running = True
    around.draining_ms = None
    around.stopping_ms = None


def _recent(then_ms: int | None, now_ms: int) -> bool:
    # In causal order a later event of an instance that no message connects
    # may come first; it explains nothing.
    return then_ms is not None and (-SKEW_MS <= now_ms - then_ms <= RECENT_MS)
