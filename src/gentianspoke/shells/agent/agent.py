"""The tasks of an agent around its state."""

import asyncio
import dataclasses
import time

import loguru
import xxhash

from gentianspoke.codec import frame
from gentianspoke.codec import wire
from gentianspoke.config import settings
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke import errors
from gentianspoke.net import datagrams
from gentianspoke.shells.agent import effects
from gentianspoke.shells.agent import gauges
from gentianspoke.shells.agent import heartbeat
from gentianspoke.shells.agent import status
from gentianspoke.shells import feed_client
from gentianspoke.shells import process

TICK_S = 0.05
STATUS_POLL_S = 0.5
NS_PER_S = 1_000_000_000
# Number of a member whose upstream has not told its incarnation yet.
UNKNOWN = frames.ENTRY_SENDER


class Agent:
    """The shell around the state of one agent."""

    def __init__(
        self,
        proc: process.Process,
        cfg: settings.AgentSettings,
        codec: wire.PacketCodec,
        peers: datagrams.DatagramSocket,
        upstream: datagrams.DatagramSocket,
        incarnation: str,
        recovering: bool,
    ) -> None:
        """Begin beside the upstream of the given incarnation.

        An empty one is not known yet: the agent announces nothing and
        admits nothing until :meth:`take_status` tells it.
        """
        self._proc = proc
        self._cfg = cfg
        self._codec = codec
        self._peers = peers
        self._upstream = upstream
        self._effects = effects.Effects(proc, cfg, codec, peers, upstream)
        self._entries: dict[str, services.Service] = {}
        self._version = 0
        self._incarnation = incarnation
        self._heard_ms = proc.clock.now()
        self.state = agent_state.AgentState(
            number=_number(proc.cfg.instance, incarnation),
            zone=proc.cfg.zone,
            capacity=agent_state.Capacity(
                cfg.slots, cfg.connections, cfg.ramp_ms
            ),
            started_ms=proc.clock.now(),
            recovering=recovering,
            recovery_ms=cfg.recovery_ms,
            joining=True,
            draining=not incarnation,
        )
        self.heartbeat = heartbeat.Heartbeat(proc, cfg, self.state)
        if incarnation:
            self.heartbeat.known.set()
        proc.metrics.on_render(
            lambda: gauges.set_gauges(proc, self.state, (peers, upstream))
        )

    def take(self, update: feed_client.Update) -> int:
        """Take an update of the feed, return the version in force."""
        now = self._proc.clock.now()
        self.state.note_feed(now)
        match update:
            case feed_client.CatalogueUpdate():
                self._take_catalogue(update)
            case views.View():
                self._take_view(update)
            case feed_client.Confirmed(age_ms=age_ms):
                self.state.confirm_feed(now - age_ms)
                if self._proc.life.state == 'syncing':
                    self._proc.life.advance('serve')
        return self._version

    async def read_peers(self) -> None:
        """Take frames of entries and agents until cancelled."""
        while True:
            for data, _ in await self._peers.receive_burst():
                self.handle_frame(data)

    async def read_upstream(self) -> None:
        """Take packets of the upstream until cancelled."""
        while True:
            for raw, _ in await self._upstream.receive_burst():
                self.handle_reply(raw)

    def handle_frame(self, data: bytes) -> None:
        """Carry out what is decided on a frame, or count why not."""
        try:
            self._on_frame(data)
        except errors.PacketError as exc:
            self._proc.metrics.counts.dropped[exc.reason] += 1
        except Exception:
            self._count_fault('a frame was not handled')

    def handle_reply(self, raw: bytes) -> None:
        """Carry out what is decided on an upstream's packet."""
        try:
            packet = self._codec.parse(raw, reply=True)
            self._effects.carry_out(self._decide_reply(packet))
        except errors.PacketError as exc:
            self._proc.metrics.counts.dropped[exc.reason] += 1
        except Exception:
            self._count_fault('a reply was not handled')

    def _decide_reply(self, packet: packets.Packet) -> core.Actions:
        now = self._proc.clock.now()
        match packet:
            case packets.Segment(returned=True):
                return core.on_returned(self.state, packet, now)
            case _:
                return core.on_reply(self.state, packet, now)

    async def tick(self) -> None:
        """Carry out what time alone brings about, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            now = self._proc.clock.now()
            self._effects.carry_out(core.on_tick(self.state, now))
            self._effects.write_reports(self.state)
            self._watch_upstream(now)

    async def poll_status(self) -> None:
        """Watch the upstream's status page for draining and restarts."""
        if self._cfg.status is None:
            return
        while True:
            await asyncio.sleep(STATUS_POLL_S)
            found = await status.read_status(self._cfg)
            if found is not None:
                self.take_status(found)

    def drain(self) -> None:
        """Take no new flow from now on, and tell control at once."""
        self.state.draining = True
        self.heartbeat.announce_now()

    def take_status(self, found: status.UpstreamStatus) -> None:
        """Take what the upstream says of itself; it holds on return."""
        self._heard_ms = self._proc.clock.now()
        if found.incarnation and found.incarnation != self._incarnation:
            self._take_incarnation(found)
        if found.slots:
            self.state.capacity = dataclasses.replace(
                self.state.capacity, slots=found.slots
            )
        if found.draining == self.state.draining or self._proc.stop.is_set():
            return
        self.state.draining = found.draining
        self.heartbeat.announce_now()
        if found.draining:
            self._proc.events.write('upstream-draining')

    def _watch_upstream(self, now: int) -> None:
        """Take no new flow once the upstream has not told for too long."""
        silent_ms = now - self._heard_ms
        limit_ms = self._cfg.silent_ms
        if not limit_ms or silent_ms < limit_ms or self.state.draining:
            return
        self._proc.events.write('upstream-silent', silent_ms=silent_ms)
        self.drain()

    def leave(self) -> None:
        """Take no new flow: the upstream has gone for good."""
        self.heartbeat.leaving = True
        self.drain()

    def _take_incarnation(self, found: status.UpstreamStatus) -> None:
        incarnation = found.incarnation
        number = member_number(self._proc.cfg.instance, incarnation)
        was_known = bool(self._incarnation)
        self._incarnation = incarnation
        self.heartbeat.leaving = False
        self.heartbeat.known.set()
        self._proc.events.write(
            'upstream-known',
            incarnation=f'{number:016x}',
            is_young=found.is_young,
        )
        if not was_known and self.state.number in (UNKNOWN, number):
            # Others may have called this agent by its number already.
            self.state.number = number
            self.state.recovering = not found.is_young
            self.heartbeat.announce_now()
            return
        now = self._proc.clock.now()
        decided = core.on_incarnation(self.state, number, now)
        self._effects.carry_out(decided)
        self.heartbeat.announce_now()

    def _take_view(self, view: views.View) -> None:
        known = self.state.rankings.get(view.service)
        self.state.set_view(view)
        if known is None or known.view.number != view.number:
            # Others wait for this agent's acknowledgement before they
            # place openings of the buckets that have changed hands.
            self.heartbeat.announce_now()
        if self.state.joining and self.state.is_shown_not_live():
            self.state.joining = False
            self.heartbeat.announce_now()

    def _take_catalogue(self, update: feed_client.CatalogueUpdate) -> None:
        if update.version < self._version:
            return
        if update.snapshot:
            self._entries.clear()
        self._entries.update((item.name, item) for item in update.entries)
        self._version = update.version
        self.state.set_catalogue(self._served())
        self._proc.events.write('catalogue-in-force', version=update.version)

    def _served(self) -> list[services.Service]:
        if not self._cfg.pool:
            return [
                self._entries[name]
                for name in self._cfg.services
                if name in self._entries
            ]
        entries = list(self._entries.values())
        self.state.own_pool = self._own_pool(entries)
        return entries

    def _own_pool(self, entries: list[services.Service]) -> int:
        """Return the pool of the upstream, as last known where none is."""
        for entry in entries:
            for share in entry.shares:
                if share.name == self._cfg.pool:
                    return share.pool
        return self.state.own_pool

    def _on_frame(self, data: bytes) -> None:
        now = self._proc.clock.now()
        match frame.decode(data, self._proc.ring):
            case frames.Forward() as forward:
                self._proc.events.observe(forward.logical)
                packet = self._codec.parse(forward.packet)
                self._on_forward(forward, packet, now)
            case frames.LoadReport() as report:
                self._proc.events.observe(report.logical)
                core.on_load(self.state, report)
            case frames.Owned() as owned:
                self._proc.events.observe(owned.logical)
                core.on_owned(self.state, owned, now)

    def _on_forward(
        self, forward: frames.Forward, packet: packets.Packet, now: int
    ) -> None:
        if self.state.number == UNKNOWN and forward.target != UNKNOWN:
            # Until its upstream has told, the agent is who it is called.
            self.state.number = forward.target
        opened = self.state.total_open
        begun_ns = time.perf_counter_ns()
        decided = core.on_forward(self.state, forward, packet, now)
        if self.state.total_open > opened:
            duration_ns = time.perf_counter_ns() - begun_ns
            self._proc.metrics.observe_placement(duration_ns / NS_PER_S)
        self._effects.carry_out(decided)

    def _count_fault(self, message: str) -> None:
        # A fault in the handling of one packet must not end the task that
        # carries all other flows.
        loguru.logger.exception(message)
        self._proc.metrics.counts.dropped['internal-error'] += 1


def _number(instance: str, incarnation: str) -> int:
    return member_number(instance, incarnation) if incarnation else UNKNOWN


def member_number(instance: str, incarnation: str) -> int:
    """Return the 64-bit number of one incarnation of an upstream."""
    return xxhash.xxh3_64_intdigest(f'{instance}/{incarnation}'.encode()) or 1
