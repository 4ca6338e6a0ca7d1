"""Test that a slow link is used at its rate, with short requests first."""

import builders
import pytest

from gentianspoke.core import packets
from gentianspoke.decisions import pacing

LINK_KBPS = 2_000
BYTES_PER_MS = LINK_KBPS * pacing.MAX_USE_PERMILLE // 1_000 // 8
BURST_BYTES = BYTES_PER_MS * pacing.BURST_MS


def make_datagram(name, size=1_250, is_bulk=True, segment_id=None):
    data = name.encode().ljust(size, b'.')
    if is_bulk and segment_id is None:
        segment_id = (builders.flow_key(), name)
    return pacing.OutgoingDatagram(data, 'h', 1, segment_id)


def list_names(datagrams):
    return [item.data.rstrip(b'.').decode() for item in datagrams]


def make_pacer(count, **fields):
    """Return a pacer whose queue holds ``count`` datagrams, none sent yet."""
    pacer = pacing.Pacer(LINK_KBPS, 0)
    for number in range(count):
        assert pacer.add(make_datagram(str(number), **fields))
    return pacer


@pytest.mark.parametrize('until_ms', [0, 40, 100, 250])
def test_datagrams_are_sent_at_the_rate_of_the_link(until_ms):
    pacer = make_pacer(60)
    sent_bytes = 0
    for now in range(0, until_ms + 1, 5):
        sent_bytes += sum(len(item.data) for item in pacer.pop_due(now))
    max_bytes = BURST_BYTES + BYTES_PER_MS * until_ms
    datagram_bytes = len(make_datagram('x').data) + pacing.HEADER_BYTES
    assert (
        max_bytes - 2 * datagram_bytes
        <= sent_bytes
        <= max_bytes + datagram_bytes
    )


def test_all_datagrams_are_sent_in_order():
    pacer = make_pacer(30)
    sent_names = []
    for now in range(0, 1_000, 5):
        sent_names += list_names(pacer.pop_due(now))
    assert sent_names == [str(number) for number in range(30)]
    assert pacer.get_wait_ms() is None


def test_urgent_datagrams_overtake_bulk_datagrams():
    pacer = make_pacer(30)
    pacer.pop_due(0)
    pacer.add(make_datagram('urgent', 100, is_bulk=False))
    assert list_names(pacer.pop_due(20))[0] == 'urgent'


def test_only_a_retransmission_of_a_queued_segment_is_discarded():
    key = builders.flow_key()
    pacer = pacing.Pacer(LINK_KBPS, 0)
    datagram = make_datagram('part', segment_id=(key, 7))
    assert pacer.add(datagram) and pacer.add(datagram)
    assert list_names(pacer.pop_due(0)) == ['part']
    assert pacer.add(datagram)
    assert list_names(pacer.pop_due(100)) == ['part']


def test_datagrams_beyond_the_maximum_wait_are_dropped():
    pacer = pacing.Pacer(LINK_KBPS, 0)
    queued_count = sum(pacer.add(make_datagram(str(n))) for n in range(1_000))
    queued_bytes = queued_count * (1_250 + pacing.HEADER_BYTES)
    assert queued_bytes <= BYTES_PER_MS * pacing.MAX_WAIT_MS + 1_250 * 2


@pytest.mark.parametrize(
    ('link_kbps', 'is_paced'), [(0, False), (2_000, True), (1_000_000, False)]
)
def test_only_slow_links_are_paced(link_kbps, is_paced):
    assert pacing.needs_pacing(link_kbps) is is_paced


@pytest.mark.parametrize(
    ('size', 'has_id'),
    [pytest.param(0, False, id='no-data'), pytest.param(9, True, id='data')],
)
def test_only_segments_with_data_have_an_id(size, has_id):
    segment = packets.Segment(builders.flow_key(), 0, 7, 0, size, b'')
    expected = (segment.key, 7) if has_id else None
    assert pacing.get_segment_id(segment) == expected
