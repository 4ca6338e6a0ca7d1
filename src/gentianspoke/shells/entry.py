"""The entry process: takes the fabric's packets and forwards them."""

import asyncio

import loguru

from gentianspoke.codec import frame
from gentianspoke.codec import wire
from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions import pacing
from gentianspoke.decisions import routing
from gentianspoke import errors
from gentianspoke.net import datagrams
from gentianspoke.shells import feed_client
from gentianspoke.shells import front_end
from gentianspoke.shells import paced
from gentianspoke.shells import process

# Time between a planned stop, when /ready turns 503, and the last packet.
STOP_DELAY_S = 1.0


class Entry:
    """The shell around the route table of one entry."""

    def __init__(
        self,
        proc: process.Process,
        sock: datagrams.DatagramSocket,
        codec: wire.Wire,
        link: paced.Link,
    ) -> None:
        """Begin without a catalogue; nothing is forwarded until it came."""
        self._link = link
        self._proc = proc
        self._codec = codec
        self._sock = sock
        self._entries: dict[str, services.Service] = {}
        self._is_confirmed = False
        self.table = routing.RouteTable()
        proc.metrics.on_render(self._set_gauges)

    def take(self, update: feed_client.Update) -> int:
        """Take an update of the feed, return the version in force."""
        match update:
            case feed_client.CatalogueUpdate():
                self._take_catalogue(update)
            case views.View():
                self.table.set_view(update)
            case feed_client.Confirmed():
                self._is_confirmed = True
                if self._proc.life.state == 'syncing':
                    self._proc.life.advance('serve')
        return self.table.catalogue_version

    async def forward_packets(self) -> None:
        """Forward packets until cancelled; one task reads the socket."""
        while True:
            for raw, sender in await self._sock.receive_burst():
                self.handle_packet(raw, sender)
            self._link.send_due()

    def handle_packet(self, raw: bytes, sender: units.Address) -> None:
        """Forward a packet, refuse it, or count why it was dropped."""
        dropped = self._proc.metrics.counts.dropped
        try:
            self._forward(raw, sender)
        except errors.PacketError as exc:
            dropped[exc.reason] += 1
        except Exception:
            # A fault in the handling of one packet must not end the task
            # that carries all other flows.
            loguru.logger.exception('a packet was not handled')
            dropped['internal-error'] += 1

    def _take_catalogue(self, update: feed_client.CatalogueUpdate) -> None:
        if update.version < self.table.catalogue_version:
            return
        if update.snapshot:
            self._entries.clear()
        self._entries.update((item.name, item) for item in update.entries)
        self.table.set_catalogue(update.version, [*self._entries.values()])
        self._proc.events.write('catalogue-in-force', version=update.version)

    def _forward(self, raw: bytes, sender: units.Address) -> None:
        counts = self._proc.metrics.counts
        if not self._is_confirmed:
            # What the first source told may be older than what a majority
            # has accepted.
            counts.dropped['not-confirmed'] += 1
            return
        packet = self._codec.parse(raw)
        match routing.route(self.table, packet):
            case actions.SendFrame() as action:
                self._send_frame(action, packet)
            case actions.Refuse(packet=refused, reason=reason):
                reset = self._codec.reset_for(refused)
                address = self._codec.destination(reset) or sender
                self._sock.send(reset, address)
                counts.refused[reason] += 1
                flow = packets.describe_key(refused.key)
                self._proc.events.write(
                    'flow-refused', flow=flow, reason=reason
                )
            case actions.Drop(reason=reason):
                counts.dropped[reason] += 1

    def _send_frame(
        self, action: actions.SendFrame, packet: packets.Packet
    ) -> None:
        forward, member = action.forward, action.member
        forward.logical = self._proc.events.logical
        outgoing = pacing.Outgoing(
            frame.encode(forward, self._proc.ring),
            member.host,
            member.port,
            # An opening or an acknowledgement of an upload need not wait.
            pacing.segment_id(packet) if action.is_bulk else None,
        )
        counts = self._proc.metrics.counts
        if self._link.send(outgoing):
            counts.packets['forwarded'] += 1
        else:
            counts.dropped['link-full'] += 1

    def _set_gauges(self) -> None:
        set_gauge = self._proc.metrics.set_gauge
        set_gauge('services', len(self.table.rankings))
        set_gauge('unsent', self._sock.unsent)


async def run(
    cfg: settings.Settings,
    front: front_end.FrontEnd[Entry] | None = None,
) -> None:
    """Run an entry until a planned stop."""
    front = front or front_end.default_front_end()
    match cfg.role:
        case settings.EntrySettings(listen=listen, link_kbps=link_kbps):
            pass
        case _:
            raise errors.SettingsError('settings', 'entry', 'missing; add it')
    async with process.run_process(cfg, 'entry') as proc:
        with datagrams.open_datagrams(listen) as sock:
            link = paced.Link(sock, proc.clock, link_kbps)
            entry = Entry(proc, sock, front.codec, link)
            async with (
                process.run_tasks(
                    entry.forward_packets(),
                    link.send_queued(),
                    feed_client.follow_feeds(proc, 'entry', entry.take),
                ),
                front.serve(proc, entry),
            ):
                await proc.stop.wait()
                proc.life.advance('stop')
                await asyncio.sleep(STOP_DELAY_S)
