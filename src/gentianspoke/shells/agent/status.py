"""Reads the incarnation and the draining state of an upstream."""

import dataclasses
import json

import h11

from gentianspoke.config import settings
from gentianspoke.net import pages

HTTP_OK = 200
# A longer time counts as this one, which is a day.
MAX_COLD_REMAINING_MS = 86_400_000


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """The status that an upstream reports.

    ``incarnation`` is empty and ``slots`` is 0 if the upstream does not report
    them. ``is_young`` is true if the upstream cannot have flows from before
    this agent started. ``age_ms`` is the time since the upstream's start, 0 if
    it does not report it. ``cold_remaining_ms`` is the time for which the
    upstream stays slow after its start, in milliseconds, 0 if it does not
    report it.
    """

    incarnation: str = ''
    draining: bool = False
    slots: int = 0
    is_young: bool = False
    age_ms: int = 0
    cold_remaining_ms: int = 0


async def read_status(cfg: settings.AgentSettings) -> UpstreamStatus | None:
    """Return the status on the upstream's page, or ``None``.

    The result is ``None`` if the settings name no page, or if the page cannot
    be read or is not valid.

    The page is a JSON object with ``incarnation`` (text), ``draining`` (true
    or false) and ``cold_remaining_ms`` (a whole number); other keys are
    ignored.
    """
    if cfg.status is None:
        return None
    try:
        code, body = await pages.fetch_page(cfg.status, '/status')
        content = json.loads(body) if code == HTTP_OK else None
    except (
        OSError,
        TimeoutError,
        ValueError,
        RecursionError,
        h11.RemoteProtocolError,
    ):
        return None
    if not isinstance(content, dict):
        return None
    return UpstreamStatus(
        incarnation=str(content.get('incarnation') or ''),
        draining=content.get('draining') is True,
        cold_remaining_ms=_read_cold_remaining_ms(
            content.get('cold_remaining_ms')
        ),
    )


def _read_cold_remaining_ms(value: object) -> int:
    match value:
        case bool():
            return 0
        case int():
            return max(0, min(value, MAX_COLD_REMAINING_MS))
        case _:
            return 0
