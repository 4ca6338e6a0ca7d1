"""Consumers are counted across relays, and those that lag are listed."""

import pytest

from gentianspoke.codec import feed as feed_codec
from gentianspoke.decisions.control import consumers

RETENTION_MS = consumers.DEPARTED_RETENTION_MS


def connect_consumers(versions, now=0):
    """Connect consumers, which then report that they run ``versions``.

    ``versions`` maps the names of the consumers to catalogue versions. Each
    consumer has version 0 when it connects. Return the consumers, and the
    numbers of their connections by name.
    """
    feed_consumers = consumers.Consumers()
    numbers = {}
    for name, version in versions.items():
        numbers[name] = feed_consumers.connect(name, 0, now)
        feed_consumers.record_version(numbers[name], version)
    return feed_consumers, numbers


@pytest.mark.parametrize(
    ('version', 'in_force_count', 'lagging_names'),
    [(1, 3, []), (2, 2, ['c']), (3, 1, ['b', 'c']), (4, 0, ['a', 'b', 'c'])],
)
@pytest.mark.parametrize('relayed', [False, True])
def test_a_summary_through_a_relay_equals_the_direct_summary(
    version, in_force_count, lagging_names, relayed
):
    feed_consumers, _ = connect_consumers({'a': 3, 'b': 2, 'c': 1})
    summary = feed_consumers.summarize(0)
    if relayed:
        leader = consumers.Consumers()
        message = feed_codec.encode_summary(summary)
        leader.record_summary(
            leader.connect('relay', 0, 0), feed_codec.decode_summary(message)
        )
        summary = leader.summarize(0)
    assert summary.consumer_count == 3
    assert summary.count_in_force(version) == in_force_count
    assert summary.list_lagging_consumers(version) == lagging_names


@pytest.mark.parametrize(
    ('planned', 'later_ms', 'expected_count'),
    [
        (True, 0, 1),
        (False, 0, 2),
        (False, RETENTION_MS - 1, 2),
        (False, RETENTION_MS, 1),
    ],
)
def test_only_a_lost_consumer_counts_as_lagging_for_the_retention_time(
    planned, later_ms, expected_count
):
    feed_consumers, numbers = connect_consumers({'a': 3, 'b': 3})
    feed_consumers.disconnect(numbers['a'], 0, planned=planned)
    summary = feed_consumers.summarize(later_ms)
    assert summary.consumer_count == expected_count
    assert summary.count_in_force(3) == 1
    assert summary.list_lagging_consumers(3) == (
        ['a'] if expected_count == 2 else []
    )


def test_a_consumer_that_moved_to_another_relay_counts_once():
    leader = consumers.Consumers()
    old_relay, numbers = connect_consumers({'a': 3})
    new_relay, _ = connect_consumers({'a': 3})
    old_relay.disconnect(numbers['a'], 5, planned=False)
    for name, relay in (('old', old_relay), ('new', new_relay)):
        leader.record_summary(leader.connect(name, 0, 0), relay.summarize(5))
    assert leader.summarize(5).consumer_count == 1
    assert leader.summarize(5).list_lagging_consumers(3) == []


def test_the_size_of_a_summary_is_bounded():
    feed_consumers, _ = connect_consumers(
        {f'agent-{n}': n for n in range(1, 101)}
    )
    summary = feed_consumers.summarize(0)
    # One more item counts the consumers of all older versions.
    assert len(summary.counts) <= consumers.MAX_VERSION_COUNTS + 1
    assert len(summary.laggards) == consumers.MAX_LAGGARDS
    assert summary.consumer_count == 100
    assert summary.count_in_force(91) == 10
