"""The measured work of requests at an agent's upstream."""

import builders
import pytest

from gentianspoke.decisions.agent import upstream_capacity

SLOTS = 2
WORK_MS = 60


def observe(requests, answers_ms):
    """Return the work after requests at 0 ms with answers in their order."""
    work = upstream_capacity.UpstreamWork()
    for number in range(requests):
        key = builders.flow_key(1_000 + number)
        upstream_capacity.note_request(work, key, SLOTS, 0)
    for number, now in enumerate(answers_ms):
        end(work, number, now)
    return work


def end(work, number, now, has_answer=True):
    key = builders.flow_key(1_000 + number)
    upstream_capacity.note_end(work, key, SLOTS, now, has_answer=has_answer)


# Failure: the wait in the upstream's queue counts as work, so a busy upstream
# looks slow, loses flows, looks fast and gets them back.
@pytest.mark.parametrize('rounds', [4, 20])
def test_the_wait_in_the_queue_is_no_work(rounds):
    answers_ms = [
        (number // SLOTS + 1) * WORK_MS for number in range(rounds * SLOTS)
    ]
    work = observe(rounds * SLOTS, answers_ms)
    now = answers_ms[-1]
    expected_us = WORK_MS * upstream_capacity.US_PER_MS
    assert upstream_capacity.estimate_work_us(work, now) == expected_us


# Failures: an upstream that fails fast, or that stops answering, looks idle
# and gets more flows than one that works.
@pytest.mark.parametrize(
    ('answers_ms', 'now', 'min_work_ms', 'max_work_ms'),
    [
        pytest.param([0] * 16, 0, 90, 480, id='fails-fast'),
        pytest.param([], 4_060, 1_000, 1_000, id='is-silent'),
        pytest.param([], 100, 60, 60, id='works'),
    ],
)
def test_a_failing_upstream_does_not_look_faster(
    answers_ms, now, min_work_ms, max_work_ms
):
    work = observe(SLOTS, [WORK_MS] * SLOTS)
    for number in range(2, 10):
        key = builders.flow_key(1_000 + number)
        upstream_capacity.note_request(work, key, SLOTS, 0)
        end(work, number, WORK_MS)
    for number, answer_ms in enumerate([*answers_ms, None], 20):
        key = builders.flow_key(1_000 + number)
        upstream_capacity.note_request(work, key, SLOTS, 0)
        if answer_ms is not None:
            end(work, number, answer_ms)
    work_ms = upstream_capacity.estimate_work_us(work, now) / 1_000
    assert min_work_ms <= work_ms <= max_work_ms


# Failure: requests that the upstream dropped occupy the slots of the record,
# so that all further answers seem to come from the queue, as failures do.
@pytest.mark.parametrize(
    ('now', 'mean_ms'),
    [
        pytest.param(1_000, WORK_MS, id='not-yet-stuck'),
        pytest.param(6_000, 2 * WORK_MS, id='stuck'),
    ],
)
def test_requests_without_an_answer_do_not_look_like_failures(now, mean_ms):
    work = observe(SLOTS, [WORK_MS] * SLOTS)
    for number in range(2, 4 + 60):
        key = builders.flow_key(1_000 + number)
        request_ms = now if number >= 4 else 0
        upstream_capacity.note_request(work, key, SLOTS, request_ms)
        if number >= 4:
            end(work, number, now + 2 * WORK_MS)
    assert not upstream_capacity.is_failing(work)
    assert work.mean_us == pytest.approx(mean_ms * 1_000, rel=0.1)


# Failure: a caller that closes its flow early makes the upstream look fast, or
# its request occupies a place in the record for ever.
def test_a_flow_that_ends_without_an_answer_changes_no_mean():
    work = observe(4, [WORK_MS] * 2)
    for number in (2, 3):
        end(work, number, WORK_MS + 1, has_answer=False)
    assert work.mean_us == WORK_MS * upstream_capacity.US_PER_MS
    assert not work.started
    assert not work.waiting
