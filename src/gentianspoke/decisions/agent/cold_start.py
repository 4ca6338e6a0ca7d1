"""Limit on the openings that reach an upstream that has just started.

Load pattern: an upstream is slow for some time after its start, and the return
of a zone or a crash of many upstreams starts several at once. All callers that
lost a flow open a new one at that moment.

The agent sees every opening that its upstream receives, so it alone counts
them. It allows ``openings_per_s`` of them in any sliding second while the
upstream is cold: for the time that the upstream reports, and until its first
report. First transmissions and retransmissions count alike.
"""

import collections
import dataclasses

# The upstream receives an opening some time after the agent's decision. The
# window is longer than a second, so that two openings that the upstream
# receives within one second are never decided further apart.
WINDOW_MS = 1_100


@dataclasses.dataclass(slots=True)
class ColdStart:
    """What an agent knows about the cold phase of its upstream.

    ``openings_per_s`` is 0 if there is no limit. ``cold_until_ms`` is ``None``
    until the first report of the upstream. Until ``full_until_ms``, the window
    counts as full, because an earlier run of the agent may have delivered
    openings that this one does not know. ``was_silent`` is true if the
    upstream has been silent since its last report. ``declined`` counts the
    openings that found the window full.
    """

    openings_per_s: int = 0
    cold_until_ms: int | None = None
    full_until_ms: int = 0
    was_silent: bool = False
    declined: int = 0
    # Times of the last deliveries, at most ``openings_per_s`` of them.
    delivered_ms: collections.deque[int] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Start without known deliveries."""
        self.delivered_ms = collections.deque(maxlen=self.openings_per_s)


def begin(openings_per_s: int, now: int) -> ColdStart:
    """Return the state of an agent that starts at ``now``."""
    return ColdStart(openings_per_s, full_until_ms=now + WINDOW_MS)


def note_report(
    cold_start: ColdStart, cold_remaining_ms: int, now: int
) -> bool:
    """Record the upstream's report; return whether it has become cold.

    Without further reports, ``cold_remaining_ms`` counts down with the clock.
    """
    was_cold = is_reported_cold(cold_start, now)
    cold_start.cold_until_ms = now + cold_remaining_ms
    cold_start.was_silent = False
    return not was_cold and is_reported_cold(cold_start, now)


def is_reported_cold(cold_start: ColdStart, now: int) -> bool:
    """Return whether there is a limit and the upstream reported to be cold."""
    return get_cold_remaining_ms(cold_start, now) > 0


def get_cold_remaining_ms(cold_start: ColdStart, now: int) -> int:
    """Return how long the upstream stays cold, 0 if it is not known to be."""
    until_ms = cold_start.cold_until_ms
    if not cold_start.openings_per_s or until_ms is None:
        return 0
    return max(0, until_ms - now)


def has_room(cold_start: ColdStart, now: int, is_silent: bool) -> bool:
    """Return whether one more opening may be delivered now.

    The limit also holds while the upstream is silent (``is_silent``), and
    after that until its next report: it may have been started again.
    """
    limit = cold_start.openings_per_s
    if not limit:
        return True
    until_ms = cold_start.cold_until_ms
    may_have_restarted = is_silent or cold_start.was_silent
    if until_ms is not None and now >= until_ms and not may_have_restarted:
        return True
    if now < cold_start.full_until_ms:
        return False
    delivered_ms = cold_start.delivered_ms
    return len(delivered_ms) < limit or now - delivered_ms[0] >= WINDOW_MS


def note_delivery(cold_start: ColdStart, now: int) -> None:
    """Record that an opening was delivered to the upstream."""
    if cold_start.openings_per_s:
        cold_start.delivered_ms.append(now)
