"""A narrow link is used at its rate, and short requests go first."""

import builders
import pytest

from gentianspoke.core import packets
from gentianspoke.decisions import pacing

LINK_KBPS = 2_000
RATE = LINK_KBPS * pacing.MAX_USE_PERMILLE // 1_000 // 8
BURST = RATE * pacing.BURST_MS


def outgoing(name, size=1_250, is_bulk=True, segment_id=None):
    data = name.encode().ljust(size, b'.')
    if is_bulk and segment_id is None:
        segment_id = (builders.flow_key(), name)
    return pacing.Outgoing(data, 'h', 1, segment_id)


def names(items):
    return [item.data.rstrip(b'.').decode() for item in items]


def filled(count, **fields):
    """Return a pacer with an idle link to which datagrams were added."""
    pacer = pacing.Pacer(LINK_KBPS, 0)
    for number in range(count):
        assert pacer.add(outgoing(str(number), **fields))
    return pacer


@pytest.mark.parametrize('until_ms', [0, 40, 100, 250])
def test_no_more_is_sent_than_the_link_takes(until_ms):
    pacer = filled(60)
    sent = 0
    for now in range(0, until_ms + 1, 5):
        sent += sum(len(item.data) for item in pacer.take_due(now))
    most = BURST + RATE * until_ms
    one = len(outgoing('x').data) + pacing.HEADER_BYTES
    assert most - 2 * one <= sent <= most + one


def test_all_is_sent_in_the_end_and_in_order():
    pacer = filled(30)
    sent = []
    for now in range(0, 1_000, 5):
        sent += names(pacer.take_due(now))
    assert sent == [str(number) for number in range(30)]
    assert pacer.wait_ms() is None


def test_what_is_urgent_overtakes_what_is_bulk():
    pacer = filled(30)
    pacer.take_due(0)
    pacer.add(outgoing('urgent', 100, is_bulk=False))
    assert names(pacer.take_due(20))[0] == 'urgent'


def test_a_copy_of_what_waits_is_left_out_and_a_later_one_is_not():
    key = builders.flow_key()
    pacer = pacing.Pacer(LINK_KBPS, 0)
    item = outgoing('part', segment_id=(key, 7))
    assert pacer.add(item) and pacer.add(item)
    assert names(pacer.take_due(0)) == ['part']
    assert pacer.add(item)
    assert names(pacer.take_due(100)) == ['part']


def test_beyond_the_longest_wait_datagrams_are_dropped():
    pacer = pacing.Pacer(LINK_KBPS, 0)
    taken = sum(pacer.add(outgoing(str(n))) for n in range(1_000))
    waiting = taken * (1_250 + pacing.HEADER_BYTES)
    assert waiting <= RATE * pacing.MAX_WAIT_MS + 1_250 * 2


@pytest.mark.parametrize(
    ('link_kbps', 'narrow'), [(0, False), (2_000, True), (1_000_000, False)]
)
def test_only_narrow_links_are_paced(link_kbps, narrow):
    assert pacing.is_narrow(link_kbps) is narrow


@pytest.mark.parametrize(
    ('size', 'labelled'),
    [pytest.param(0, False, id='no-data'), pytest.param(9, True, id='data')],
)
def test_segments_with_data_are_told_by_their_place(size, labelled):
    segment = packets.Segment(builders.flow_key(), 0, 7, 0, size, b'')
    expected = (segment.key, 7) if labelled else None
    assert pacing.segment_id(segment) == expected
