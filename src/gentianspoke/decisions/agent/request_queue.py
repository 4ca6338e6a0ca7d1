"""Order in which complete requests start at an upstream, and for how long.

Load pattern: bursts of one class or of all, and the return of many callers at
once, fill an upstream of one or two slots whose own queue is short and knows
neither classes nor callers. The upstream then answers the most urgent request
as late as any other, or tells it that there is no room.

The agent therefore forwards at most as many requests as there are slots plus
``EXTRA_REQUESTS``, and holds the further ones. Nothing waits long for an
answer that does not come: a forwarded request counts only for a bounded time,
and each held one is forwarded after a bounded time at the latest.

If more requests are held than can start in time, the least urgent one is
forwarded at once: the upstream takes it or refuses it, and after a refusal its
caller may try another upstream. During such an overload, the agent keeps as
many requests at the upstream as this takes, so that its refusals are for the
least urgent ones.
"""

import collections
import dataclasses

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.agent import records

# Requests at the upstream in addition to its slots, so that no slot is idle
# between the end of a request and the arrival of the next one.
EXTRA_REQUESTS = 1
MAX_HELD_REQUESTS = 64
# A request is held for at most its timeout divided by this, so that its caller
# can still use the answer.
TIMEOUT_DIVISOR = 2
# A request without an answer counts against the slots for this many times the
# mean work of a request, but at least for ``MIN_ANSWER_WAIT_MS``.
ANSWER_WAIT_FACTOR = 8
MIN_ANSWER_WAIT_MS = 500
# A request should start within this many times the wait limit of its service,
# which is a fraction of the time in which callers expect the answer.
START_WAIT_FACTOR = 2
# Each of so many starts takes the request that must start first, whatever its
# class, so that no class is starved.
URGENT_START_INTERVAL = 4
# The same for a service without a wait limit.
DEFAULT_START_WAIT_MS = 500
# Starts are counted by caller for at most this time.
FAIRNESS_WINDOW_MS = 1_000
# An overload lasts for this time after the last request that was forwarded
# because too many were held.
OVERLOAD_MS = 1_000
# An answer that begins within this time, while as many older requests as there
# are slots have no answer yet, is a refusal. The instance's loopback interface
# takes less than a millisecond.
MAX_REFUSAL_MS = 10
# At least this many requests are held before one is forwarded as surplus.
MIN_HELD_REQUESTS = 4
# Number of waits that are kept between two ticks for the metrics.
MAX_WAITS = 1_000


@dataclasses.dataclass(slots=True)
class HeldRequest:
    """A request whose last packet, and any later packet, is held.

    It is forwarded by ``start_by_ms`` at the latest, and is not started from
    ``expires_ms`` on. The last is ``None`` if the timeout of the service is
    not known.
    """

    key: packets.FlowKey
    caller: bytes
    is_bulk: bool
    priority: int
    held_ms: int
    start_by_ms: int
    expires_ms: int | None
    packets: list[records.HeldPacket]


@dataclasses.dataclass(slots=True)
class RequestQueue:
    """The requests that an agent holds, and those at its upstream.

    ``started_ms`` contains the time at which each request was forwarded whose
    answer has not begun, the oldest first. ``counts`` contains the starts and
    drops by reason since the last tick, ``waits_ms`` the waits of the started
    requests. Until ``overloaded_until_ms``, the upstream gets up to
    ``overload_limit`` requests.
    """

    is_enabled: bool = False
    held: dict[packets.FlowKey, HeldRequest] = dataclasses.field(
        default_factory=dict
    )
    started_ms: dict[packets.FlowKey, int] = dataclasses.field(
        default_factory=dict
    )
    starts_by_caller: collections.Counter[bytes] = dataclasses.field(
        default_factory=collections.Counter
    )
    starts_counted_since_ms: int = 0
    starts: int = 0
    overloaded_until_ms: int = 0
    overload_limit: int = 0
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    waits_ms: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_WAITS)
    )


def make_request(
    service: services.Service | None,
    held_packet: records.HeldPacket,
    since_ms: int,
    now: int,
) -> HeldRequest:
    """Return a request that is held from ``now`` on.

    ``since_ms`` is when its caller is known to have begun it.
    """
    key = held_packet.packet.key
    timeout_ms = service.limits.timeout_ms if service else 0
    hold_ms = _get_start_wait_ms(service)
    if timeout_ms:
        hold_ms = min(hold_ms, timeout_ms // TIMEOUT_DIVISOR)
    return HeldRequest(
        key=key,
        caller=packets.get_caller_address(key),
        is_bulk=_is_bulk(service),
        priority=service.priority if service else 0,
        held_ms=now,
        start_by_ms=now + hold_ms,
        expires_ms=since_ms + timeout_ms if timeout_ms else None,
        packets=[held_packet],
    )


def note_start(
    queue: RequestQueue, key: packets.FlowKey, slots: int, now: int
) -> int:
    """Record that a request of the flow was forwarded to the upstream.

    Return how many requests must end before it can start there.
    """
    queue.started_ms.pop(key, None)
    queue.started_ms[key] = now
    return max(0, len(queue.started_ms) - slots)


def has_room(
    queue: RequestQueue, slots: int, mean_work_ms: int, now: int
) -> bool:
    """Return whether one more request may be forwarded to the upstream."""
    started_ms = queue.started_ms
    limit = slots + EXTRA_REQUESTS
    if now < queue.overloaded_until_ms:
        limit = max(limit, queue.overload_limit)
    while len(started_ms) >= limit:
        answer_wait_ms = max(
            MIN_ANSWER_WAIT_MS, mean_work_ms * ANSWER_WAIT_FACTOR
        )
        oldest_key = next(iter(started_ms))
        if now - started_ms[oldest_key] < answer_wait_ms:
            return False
        del started_ms[oldest_key]
        queue.counts['answer-overdue'] += 1
    return True


def note_answer(
    queue: RequestQueue, key: packets.FlowKey, slots: int, now: int
) -> bool:
    """Record that the answer of a request has begun.

    Return whether the answer can only be a refusal of the upstream, whose
    slots are occupied by older requests.
    """
    started_ms = queue.started_ms.pop(key, None)
    if started_ms is None or now - started_ms > MAX_REFUSAL_MS:
        return False
    others = len(queue.started_ms)
    if others < slots:
        return False
    queue.overload_limit = others
    queue.counts['refused-by-upstream'] += 1
    return True


def is_overloaded(
    queue: RequestQueue, request: HeldRequest, slots: int, mean_work_ms: int
) -> bool:
    """Return whether more requests are held than can start in time."""
    if len(queue.held) > MAX_HELD_REQUESTS:
        return True
    wait_ms = request.start_by_ms - request.held_ms
    startable = wait_ms * slots // max(1, mean_work_ms)
    return len(queue.held) > max(MIN_HELD_REQUESTS, startable)


def count_ahead(queue: RequestQueue, service: services.Service) -> int:
    """Return how many held requests start before a new one of a service."""
    if _is_bulk(service):
        return len(queue.held)
    return sum(
        not request.is_bulk and request.priority <= service.priority
        for request in queue.held.values()
    )


def take_surplus(queue: RequestQueue) -> HeldRequest:
    """Remove the least urgent held request, and return it.

    The caller of this function forwards it.
    """
    request = max(queue.held.values(), key=lambda item: _rank(queue, item))
    del queue.held[request.key]
    return request


def note_surplus(queue: RequestQueue, now: int) -> None:
    """Record that a request is forwarded although there is no room for it."""
    if now >= queue.overloaded_until_ms:
        queue.overload_limit = 0
    queue.overloaded_until_ms = now + OVERLOAD_MS
    queue.overload_limit = max(queue.overload_limit, len(queue.started_ms) + 1)


def take_next(queue: RequestQueue, now: int) -> HeldRequest:
    """Remove the held request that starts next, and return it.

    Bulk requests come last, the others in the order of their priority. Among
    equals, the caller with the fewest starts comes first, and then the request
    that must start first. No request is starved, because each is forwarded by
    ``HeldRequest.start_by_ms``.
    """
    if now - queue.starts_counted_since_ms >= FAIRNESS_WINDOW_MS:
        queue.starts_by_caller.clear()
        queue.starts_counted_since_ms = now
    queue.starts += 1
    requests = queue.held.values()
    if queue.starts % URGENT_START_INTERVAL == 0:
        request = min(requests, key=lambda item: item.start_by_ms)
    else:
        request = min(requests, key=lambda item: _rank(queue, item))
    queue.starts_by_caller[request.caller] += 1
    del queue.held[request.key]
    return request


def discard(queue: RequestQueue, key: packets.FlowKey, reason: str) -> None:
    """Remove the held request of a flow, if there is one."""
    if queue.held.pop(key, None) is not None:
        queue.counts[reason] += 1


def take_packets(
    queue: RequestQueue, key: packets.FlowKey
) -> list[records.HeldPacket]:
    """Remove the held packets of a flow, and return them."""
    request = queue.held.pop(key, None)
    if request is None:
        return []
    queue.counts['flow-returned'] += 1
    return request.packets


def _is_bulk(service: services.Service | None) -> bool:
    if service is None:
        return False
    return services.is_bulk(service) or services.has_bulk_answer(service)


def _get_start_wait_ms(service: services.Service | None) -> int:
    if service is None or not service.limits.wait_ms:
        return DEFAULT_START_WAIT_MS
    return service.limits.wait_ms * START_WAIT_FACTOR


def _rank(
    queue: RequestQueue, request: HeldRequest
) -> tuple[bool, int, int, int]:
    return (
        request.is_bulk,
        request.priority,
        queue.starts_by_caller[request.caller],
        request.start_by_ms,
    )
