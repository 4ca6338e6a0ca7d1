"""The entry process, which forwards callers' packets to agents."""

import asyncio

import loguru

from gentianspoke.codec import frame
from gentianspoke.codec import packet_codec
from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions import entry_hold
from gentianspoke.decisions import pacing
from gentianspoke.decisions import routing
from gentianspoke import errors
from gentianspoke.net import datagrams
from gentianspoke.shells import feed_client
from gentianspoke.shells import front_end
from gentianspoke.shells import paced_link
from gentianspoke.shells import process

# After the stop signal, /ready returns 503, but packets are still forwarded
# for this time. A fabric that probes twice a second and removes an instance
# after two misses may take a little more than a second.
STOP_DELAY_S = 1.5


class Entry:
    """Forwards packets from its socket as the catalogue and views require."""

    def __init__(
        self,
        proc: process.Process,
        sock: datagrams.DatagramSocket,
        codec: packet_codec.PacketCodec,
        link: paced_link.Link,
        hold_ms: int = 0,
    ) -> None:
        """Start without a catalogue.

        Until the first confirmation from the feed, openings are held for
        ``hold_ms``, and other packets are dropped.
        """
        self._link = link
        self._proc = proc
        self._codec = codec
        self._sock = sock
        self._catalogue_entries: dict[str, services.Service] = {}
        self._is_confirmed = False
        self._hold: entry_hold.HoldState | None = None
        if hold_ms:
            self._hold = entry_hold.HoldState(hold_ms, proc.clock.now())
        self.table = routing.RouteTable()
        proc.metrics.on_render(self._set_gauges)

    def apply_update(self, update: feed_client.Update) -> int:
        """Apply a feed update; return the catalogue version in use."""
        match update:
            case feed_client.CatalogueUpdate():
                self._apply_catalogue(update)
            case views.View():
                self.table.set_view(update)
            case feed_client.SourceConfirmation():
                self._is_confirmed = True
                if self._proc.life.state == 'syncing':
                    self._proc.life.advance('serve')
        if self._hold is not None and self._hold.openings:
            self._decide_held_openings(self._hold)
        return self.table.catalogue_version

    async def forward_packets(self) -> None:
        """Read and forward packets until cancelled."""
        while True:
            for raw, sender in await self._sock.receive_burst():
                self.handle_packet(raw, sender)
            self._link.send_due()

    def handle_packet(self, raw: bytes, sender: units.Address) -> None:
        """Forward or refuse a packet, or count the reason for a drop."""
        drop_counts = self._proc.metrics.counts.dropped
        try:
            self._forward(raw, sender)
        except errors.PacketError as exc:
            drop_counts[exc.reason] += 1
        except Exception:
            # An error in the handling of one packet must not end the task
            # that forwards the packets of all other flows.
            loguru.logger.exception(
                'a packet was dropped because of an internal error; report it'
                ' as a bug'
            )
            drop_counts['internal-error'] += 1

    def _apply_catalogue(self, update: feed_client.CatalogueUpdate) -> None:
        if update.version < self.table.catalogue_version:
            return
        if update.is_snapshot:
            self._catalogue_entries.clear()
        self._catalogue_entries.update(
            (entry.name, entry) for entry in update.entries
        )
        self.table.set_catalogue(
            update.version, [*self._catalogue_entries.values()]
        )
        self._proc.events.write('catalogue-in-force', version=update.version)

    def _forward(self, raw: bytes, sender: units.Address) -> None:
        if not self._is_confirmed and self._hold is None:
            self._proc.metrics.counts.dropped[entry_hold.NOT_CONFIRMED] += 1
            return
        packet = self._codec.parse(raw)
        action = self._decide(packet)
        if self._hold is None or not self._hold_opening(
            self._hold, action, packet, sender
        ):
            self._execute(action, packet, sender)

    def _decide(self, packet: packets.Packet) -> actions.Action:
        if not self._is_confirmed:
            # The catalogue from the first source may be older than the one
            # that a majority has accepted.
            return actions.Drop(entry_hold.NOT_CONFIRMED)
        return routing.route(self.table, packet)

    def _hold_opening(
        self,
        hold: entry_hold.HoldState,
        action: actions.Action,
        packet: packets.Packet,
        sender: units.Address,
    ) -> bool:
        """Hold an opening that cannot be routed yet; return whether it is."""
        match action, packet:
            case actions.SendFrame(member=member), _ if member.is_live:
                return False
            case _, packets.Segment():
                now = self._proc.clock.now()
                if not entry_hold.may_hold(hold, action, packet, now):
                    return False
                opening = entry_hold.HeldOpening(packet, *sender, now)
                result = entry_hold.hold(hold, opening)
                self._proc.metrics.counts.holds[result.value] += 1
                return True
            case _:
                return False

    def _decide_held_openings(self, hold: entry_hold.HoldState) -> None:
        """Decide the held openings again after an update of the feed."""
        now = self._proc.clock.now()
        due = entry_hold.pop_openings(hold, self.table, now)
        routed_count = 0
        for opening in due.openings:
            action = self._decide(opening.packet)
            if entry_hold.may_hold(hold, action, opening.packet, now):
                entry_hold.hold(hold, opening)
                continue
            routed_count += 1
            sender = opening.sender_host, opening.sender_port
            self._execute(
                entry_hold.decide_again(action), opening.packet, sender
            )
        counts = self._proc.metrics.counts.holds
        counts['routed'] += routed_count
        counts['expired'] += due.expired_count
        if routed_count or due.expired_count:
            self._proc.events.write(
                'held-openings-decided',
                routed=routed_count,
                expired=due.expired_count,
                still_held=len(hold.openings),
                is_confirmed=self._is_confirmed,
            )
            self._link.send_due()

    def _execute(
        self,
        action: actions.Action,
        packet: packets.Packet,
        sender: units.Address,
    ) -> None:
        counts = self._proc.metrics.counts
        match action:
            case actions.SendFrame():
                self._send_frame(action, packet)
            case actions.Refuse(packet=refused_packet, reason=reason):
                reset = self._codec.make_refusal(refused_packet)
                address = self._codec.find_next_hop(reset) or sender
                self._sock.send(reset, address)
                counts.refused[reason] += 1
                flow = packets.describe_key(refused_packet.key)
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
        outgoing = pacing.OutgoingDatagram(
            frame.encode(forward, self._proc.ring),
            member.host,
            member.port,
            # The packets of an upload that carry no data, such as its opening,
            # get no segment id, so that they overtake queued bulk data.
            pacing.get_segment_id(packet) if action.is_bulk else None,
        )
        counts = self._proc.metrics.counts
        if self._link.send(outgoing):
            counts.packets['forwarded'] += 1
        else:
            counts.dropped['link-full'] += 1

    def _set_gauges(self) -> None:
        set_gauge = self._proc.metrics.set_gauge
        set_gauge('services', len(self.table.rankings))
        if self._hold is not None:
            set_gauge('openings_held', len(self._hold.openings))
        set_gauge('unsent', self._sock.unsent_count)


async def run(
    cfg: settings.Settings,
    own_front_end: front_end.FrontEnd[Entry] | None = None,
) -> None:
    """Run an entry until the process gets a stop signal.

    Raises :class:`gentianspoke.errors.SettingsError` if the settings are
    those of another role.
    """
    own_front_end = own_front_end or front_end.make_default_front_end()
    match cfg.role:
        case settings.EntrySettings(listen=listen) as role:
            pass
        case _:
            raise errors.SettingsError('settings', 'entry', 'missing; add it')
    async with process.run_process(cfg, 'entry') as proc:
        with datagrams.open_datagrams(listen) as sock:
            link = paced_link.Link(sock, proc.clock, role.link_kbps)
            codec = own_front_end.codec
            entry = Entry(proc, sock, codec, link, role.hold_ms)
            async with (
                process.run_tasks(
                    entry.forward_packets(),
                    link.send_queued(),
                    feed_client.follow_feeds(
                        proc, 'entry', entry.apply_update
                    ),
                ),
                own_front_end.serve(proc, entry),
            ):
                await proc.stop.wait()
                proc.life.advance('stop')
                await asyncio.sleep(STOP_DELAY_S)
