"""Filtering of the events of the time line."""

import dataclasses

from gentianspoke.decisions.timeline import events


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Conditions on events; an empty string or ``None`` is no condition.

    ``flow`` is a substring of the flow's text, such as a caller's address
    and port. ``since_ms`` (inclusive) and ``until_ms`` (exclusive) are wall
    clock milliseconds since 1970.
    """

    flow: str = ''
    service: str = ''
    instance: str = ''
    kind: str = ''
    since_ms: int | None = None
    until_ms: int | None = None


def matches(conditions: Filter, event: events.Event) -> bool:
    """Return whether an event meets all conditions of the filter."""
    if conditions.flow and conditions.flow not in event.flow:
        return False
    if conditions.service and conditions.service != event.service:
        return False
    if conditions.instance and conditions.instance != event.instance:
        return False
    if conditions.kind and conditions.kind != event.kind:
        return False
    return is_within(event.wall_ms, conditions.since_ms, conditions.until_ms)


def is_within(
    wall_ms: int, since_ms: int | None, until_ms: int | None
) -> bool:
    """Return whether a time is in a period.

    The period begins at ``since_ms`` and ends before ``until_ms``. ``None``
    means that the period has no such limit.
    """
    if since_ms is not None and wall_ms < since_ms:
        return False
    return until_ms is None or wall_ms < until_ms
