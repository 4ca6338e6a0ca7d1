"""Test an entry's refusal events and which packets it sends as bulk."""

import asyncio
import types

import builders
import loguru
import pytest

from demo import segments
from gentianspoke import clock
from gentianspoke.codec import ip
from gentianspoke.codec import keys
from gentianspoke.core import services
from gentianspoke.shells import entry
from gentianspoke.shells import feed_client
from gentianspoke.shells import paced_link
from gentianspoke.telemetry import event_files
from gentianspoke.telemetry import logs
from gentianspoke.telemetry import metrics

SENDER = ('127.0.0.1', 1)


class SingleBurstSocket:
    """A socket that receives one packet and records sent datagrams."""

    def __init__(self, raw):
        self._raw = raw
        self.sent_datagrams = []

    async def receive_burst(self):
        """Return the packet once, then cancel the task that reads."""
        if self._raw is None:
            raise asyncio.CancelledError
        raw, self._raw = self._raw, None
        return [(raw, SENDER)]

    def send(self, data, address):
        """Store the data with its address."""
        self.sent_datagrams.append((data, address))


async def test_a_refused_opening_is_logged_as_an_event_with_its_flow(tmp_path):
    path = tmp_path / 'entry-0.jsonl'
    logs.configure(str(path), 'INFO')
    proc = types.SimpleNamespace(
        events=logs.EventLog('entry-0', 'entry', clock.ManualClock()),
        metrics=metrics.Metrics('entry-0', 'entry'),
        life=types.SimpleNamespace(state='serving'),
    )
    key = builders.flow_key()
    # The TCP flags 2 are those of a SYN.
    sock = SingleBurstSocket(segments.build(key, 2, 100, 0))
    link = paced_link.Link(sock, clock.ManualClock(), 0)
    shell = entry.Entry(proc, sock, ip, link)
    board = builders.service(services.Board())
    shell.table.set_catalogue(1, [board])
    shell.table.set_view(builders.view())
    # An entry drops all packets until its source is confirmed.
    shell.apply_update(feed_client.SourceConfirmation(0, 1))
    with pytest.raises(asyncio.CancelledError):
        await shell.forward_packets()
    loguru.logger.remove()
    (stream,) = event_files.open_streams([str(path)], event_files.ReadCounts())
    (event,) = stream
    assert event.flow == 'tcp 10.9.0.1:5000 > 10.1.0.1:443'
    assert event.body.reason == 'no-upstream'
    assert [address for _, address in sock.sent_datagrams] == [SENDER]


@pytest.mark.parametrize(
    ('traffic', 'payload_bytes', 'is_bulk'),
    [
        pytest.param(services.Upload(False), 900, True, id='upload-data'),
        pytest.param(services.Upload(False), 0, False, id='upload-opening'),
        pytest.param(services.Booking(False), 900, False, id='booking-data'),
    ],
)
async def test_only_data_packets_of_uploads_are_sent_as_bulk(
    traffic, payload_bytes, is_bulk, tmp_path
):
    logs.configure(str(tmp_path / 'entry-0.jsonl'), 'INFO')
    proc = types.SimpleNamespace(
        events=logs.EventLog('entry-0', 'entry', clock.ManualClock()),
        metrics=metrics.Metrics('entry-0', 'entry'),
        life=types.SimpleNamespace(state='serving'),
        ring=keys.NO_KEYS,
    )
    # The TCP flags 2 are those of a SYN; this one may carry data.
    raw = segments.build(builders.flow_key(), 2, 100, 0, bytes(payload_bytes))
    sent_items = []
    link = types.SimpleNamespace(
        send=lambda item: sent_items.append(item) or True,
        send_due=lambda: None,
    )
    shell = entry.Entry(proc, SingleBurstSocket(raw), ip, link)
    shell.table.set_catalogue(1, [builders.service(traffic)])
    shell.table.set_view(builders.view(builders.member(1)))
    # An entry drops all packets until its source is confirmed.
    shell.apply_update(feed_client.SourceConfirmation(0, 1))
    with pytest.raises(asyncio.CancelledError):
        await shell.forward_packets()
    loguru.logger.remove()
    # Only bulk datagrams have a segment id.
    assert [item.segment_id is not None for item in sent_items] == [is_bulk]
