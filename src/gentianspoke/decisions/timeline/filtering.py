"""Choosing the events of the time line that an operator asked for."""

import dataclasses

from gentianspoke.decisions.timeline import events


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """What to keep; an empty text or ``None`` keeps everything.

    ``flow`` is a part of the flow's text, such as a caller's address and
    port. ``since_ms`` and ``until_ms`` are wall clock milliseconds since
    1970, the latter excluded.
    """

    flow: str = ''
    service: str = ''
    instance: str = ''
    kind: str = ''
    since_ms: int | None = None
    until_ms: int | None = None


def matches(chosen: Filter, event: events.Event) -> bool:
    """Return whether the filter keeps an event."""
    if chosen.flow and chosen.flow not in event.flow:
        return False
    if chosen.service and chosen.service != event.service:
        return False
    if chosen.instance and chosen.instance != event.instance:
        return False
    if chosen.kind and chosen.kind != event.kind:
        return False
    return is_within(event.wall_ms, chosen.since_ms, chosen.until_ms)


def is_within(
    wall_ms: int, since_ms: int | None, until_ms: int | None
) -> bool:
    """Return whether a time is in a span; ``None`` leaves an end open."""
    if since_ms is not None and wall_ms < since_ms:
        return False
    return until_ms is None or wall_ms < until_ms
