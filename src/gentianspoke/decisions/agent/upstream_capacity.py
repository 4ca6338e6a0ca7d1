"""Estimate of the requests a second that an upstream can sustain.

The load pattern: upstreams of one pool differ in speed by a factor of up to
three, so equal numbers of flows leave the fast ones idle while the slow ones
build queues. An agent therefore measures the work of a request at its own
upstream, and reports the mean to the other members.

The work of a request lasts from its start to the beginning of its answer. An
upstream starts its requests in the order of their arrival, as many at a time
as it has slots, so the agent knows when each leaves the upstream's queue, and
that wait does not count. An answer that comes much faster than the mean is not
work but a failure. It leaves the mean as it is and reduces the capacity
instead, because an upstream that fails fast would otherwise look idle. An
upstream that stops answering is assumed to need a part of the time since then.
"""

import dataclasses

from gentianspoke.core import packets
from gentianspoke.core import shares

US_PER_MS = 1_000
US_PER_S = 1_000_000
# Number of answers from which on the mean is used and reported.
MIN_ANSWERS = 8
# A new value has a weight of 1 / MEAN_DIVISOR in the moving averages.
MEAN_DIVISOR = 16
# The same for an answer that is too fast to be work. The mean follows only
# after minutes, for the case that all requests of a pool have become short.
FAST_MEAN_DIVISOR = 1_024
# An answer that takes less than the mean divided by this is no work.
FAST_ANSWER_DIVISOR = 16
# The assumed work at a silent upstream is the time since its last answer,
# divided by this, because the work of one request may be a few times the mean.
SILENCE_DIVISOR = 4
# A request without an answer for this time no longer occupies a slot in the
# record, which its flow could otherwise hold until its idle timeout.
STUCK_MS = 5_000
# The smallest share of answers that counts as worked on, in thousandths. It
# bounds the effect of fast answers.
MIN_WORKED_PERMILLE = 125
# If fewer answers than this are worked on, the upstream is failing.
FAILING_PERMILLE = 500


@dataclasses.dataclass(slots=True)
class UpstreamWork:
    """The observed work of the agent's own upstream.

    ``started`` maps the running requests to their start in ms, and ``waiting``
    those in the upstream's queue to their arrival; both have the oldest first.
    ``mean_us`` is the moving average of the work of a request, 0 before the
    first one has ended. ``worked_permille`` is that of the share of answers
    that took time, and ``answers`` counts the answers with work.
    ``answered_ms`` is the time of the last answer of any kind.
    """

    started: dict[packets.FlowKey, int] = dataclasses.field(
        default_factory=dict
    )
    waiting: dict[packets.FlowKey, int] = dataclasses.field(
        default_factory=dict
    )
    mean_us: int = 0
    worked_permille: int = shares.PERMILLE
    answers: int = 0
    answered_ms: int = 0


def note_request(
    work: UpstreamWork, key: packets.FlowKey, slots: int, now: int
) -> None:
    """Record that a complete request was delivered to the upstream."""
    _remove_stuck(work, slots, now)
    if len(work.started) < slots:
        work.started[key] = now
    else:
        work.waiting[key] = now


def note_end(
    work: UpstreamWork,
    key: packets.FlowKey,
    slots: int,
    now: int,
    *,
    has_answer: bool,
) -> int:
    """Record that a request was answered or its flow ended.

    Return the mean work of a request in milliseconds.
    """
    if has_answer:
        work.answered_ms = now
    start_ms = work.started.pop(key, None)
    if start_ms is None:
        arrived_ms = work.waiting.pop(key, now)
        if has_answer and _is_fast(work, (now - arrived_ms) * US_PER_MS):
            # The upstream refuses requests while its slots are occupied.
            _note_worked(work, 0)
    else:
        _start_waiting(work, slots, now)
        if has_answer:
            _note_work(work, (now - start_ms) * US_PER_MS)
    return work.mean_us // US_PER_MS


def clear(work: UpstreamWork) -> None:
    """Forget everything, for a new incarnation of the upstream."""
    work.started.clear()
    work.waiting.clear()
    work.mean_us = 0
    work.worked_permille = shares.PERMILLE
    work.answers = 0


def is_failing(work: UpstreamWork) -> bool:
    """Return whether most of the last answers came too fast to be work."""
    return work.worked_permille < FAILING_PERMILLE


def estimate_work_us(work: UpstreamWork, now: int) -> int:
    """Return the work of a request in microseconds, 0 if it is not known.

    The result contains the failures: an upstream that answers every other
    request without work counts as half as fast.
    """
    if work.answers < MIN_ANSWERS:
        return 0
    worked_permille = max(MIN_WORKED_PERMILLE, work.worked_permille)
    work_us = work.mean_us * shares.PERMILLE // worked_permille
    oldest_ms = next(iter(work.started.values()), now)
    silent_ms = now - max(oldest_ms, work.answered_ms)
    return max(1, work_us, silent_ms * US_PER_MS // SILENCE_DIVISOR)


def _note_work(work: UpstreamWork, worked_us: int) -> None:
    if _is_fast(work, worked_us):
        _note_worked(work, 0)
        work.mean_us += (worked_us - work.mean_us) // FAST_MEAN_DIVISOR
        return
    _note_worked(work, shares.PERMILLE)
    work.answers += 1
    # The first values count equally, so that the mean settles quickly.
    divisor = min(work.answers, MEAN_DIVISOR)
    work.mean_us += (worked_us - work.mean_us) // divisor


def _is_fast(work: UpstreamWork, worked_us: int) -> bool:
    return worked_us * FAST_ANSWER_DIVISOR < work.mean_us


def _remove_stuck(work: UpstreamWork, slots: int, now: int) -> None:
    """Remove requests that the upstream seems to have dropped."""
    while work.started:
        key, start_ms = next(iter(work.started.items()))
        if now - start_ms < STUCK_MS:
            return
        del work.started[key]
        _start_waiting(work, slots, now)


def _start_waiting(work: UpstreamWork, slots: int, now: int) -> None:
    while work.waiting and len(work.started) < slots:
        key = next(iter(work.waiting))
        del work.waiting[key]
        work.started[key] = now


def _note_worked(work: UpstreamWork, value_permille: int) -> None:
    work.worked_permille += (
        value_permille - work.worked_permille
    ) // MEAN_DIVISOR
