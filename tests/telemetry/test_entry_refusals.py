"""An entry tells the time line of the openings that it refuses."""

import asyncio
import types

import builders
import loguru
import pytest

from demo import segments
from gentianspoke import clock
from gentianspoke.codec import ip
from gentianspoke.core import services
from gentianspoke.shells import entry
from gentianspoke.shells import feed_client
from gentianspoke.shells import paced
from gentianspoke.telemetry import event_files
from gentianspoke.telemetry import logs
from gentianspoke.telemetry import metrics

SENDER = ('127.0.0.1', 1)


class OneBurst:
    """A socket that has one packet, and then nothing more."""

    def __init__(self, raw):
        self._raw = raw
        self.sent = []

    async def receive_burst(self):
        """Return the packet, and end the reader after it."""
        if self._raw is None:
            raise asyncio.CancelledError
        raw, self._raw = self._raw, None
        return [(raw, SENDER)]

    def send(self, data, address):
        """Keep what is sent."""
        self.sent.append((data, address))


async def test_a_refusal_is_an_event_with_its_flow(tmp_path):
    path = tmp_path / 'entry-0.jsonl'
    logs.configure(str(path), 'INFO')
    proc = types.SimpleNamespace(
        events=logs.EventLog('entry-0', 'entry', clock.ManualClock()),
        metrics=metrics.Metrics('entry-0', 'entry'),
        life=types.SimpleNamespace(state='serving'),
    )
    key = builders.flow_key()
    sock = OneBurst(segments.build(key, 2, 100, 0))
    link = paced.Link(sock, clock.ManualClock(), 0)
    shell = entry.Entry(proc, sock, ip, link)
    board = builders.service(services.Board())
    shell.table.set_catalogue(1, [board])
    shell.table.set_view(builders.view())
    shell.take(feed_client.Confirmed(0, 1))
    with pytest.raises(asyncio.CancelledError):
        await shell.forward_packets()
    loguru.logger.remove()
    (stream,) = event_files.open_streams([str(path)], event_files.ReadCounts())
    (event,) = stream
    assert event.flow == 'tcp 10.9.0.1:5000 > 10.1.0.1:443'
    assert event.body.reason == 'no-upstream'
    assert [address for _, address in sock.sent] == [SENDER]
