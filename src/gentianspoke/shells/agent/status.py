"""The upstream's status page: its incarnation, and whether it drains."""

import dataclasses
import json

import h11

from gentianspoke.config import settings
from gentianspoke.net import pages

HTTP_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """What an upstream says of itself.

    ``incarnation`` is empty if unknown and ``slots`` 0. ``is_young`` tells
    that it cannot have flows from before this agent started.
    """

    incarnation: str = ''
    draining: bool = False
    slots: int = 0
    is_young: bool = False


async def read_status(cfg: settings.AgentSettings) -> UpstreamStatus | None:
    """Return the upstream's status, ``None`` where it tells none.

    The page is a JSON object with ``incarnation`` (text) and ``draining``
    (true or false); other keys are ignored.
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
    )
