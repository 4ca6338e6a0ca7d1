"""A paced link queues datagrams that exceed its rate and keeps their order."""

import asyncio

import builders
import pytest

from gentianspoke import clock
from gentianspoke.decisions import pacing
from gentianspoke.shells import paced_link

DATAGRAM_COUNT = 20
KEY = builders.flow_key()


class Sink:
    """A substitute for a socket that records what is sent."""

    def __init__(self):
        """Create a sink without datagrams."""
        self.sent = []

    def send(self, data, address):
        """Record a datagram and its address."""
        self.sent.append((data, address))


def make_datagram(number):
    """Return a datagram whose destination port is ``number``."""
    return pacing.OutgoingDatagram(bytes(1_250), 'h', number, (KEY, number))


@pytest.mark.parametrize(
    ('link_kbps', 'sent_at_once'),
    [
        pytest.param(0, DATAGRAM_COUNT, id='unknown-rate'),
        pytest.param(2_000, 5, id='slow-link'),
    ],
)
async def test_a_link_sends_all_datagrams_in_order_at_its_rate(
    link_kbps, sent_at_once
):
    manual_clock = clock.ManualClock()
    sink = Sink()
    link = paced_link.Link(sink, manual_clock, link_kbps)
    for number in range(DATAGRAM_COUNT):
        assert link.send(make_datagram(number))
    link.send_due()
    assert len(sink.sent) == sent_at_once
    send_task = asyncio.create_task(link.send_queued())
    while len(sink.sent) < DATAGRAM_COUNT:
        manual_clock.advance(5)
        await asyncio.sleep(0.001)
    send_task.cancel()
    assert [address[1] for _, address in sink.sent] == list(
        range(DATAGRAM_COUNT)
    )
