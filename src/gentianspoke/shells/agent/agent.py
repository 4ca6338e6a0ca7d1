"""The tasks of an agent around its state."""

import asyncio
import time

import loguru
import xxhash

from gentianspoke.codec import frame
from gentianspoke.codec import ip
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
from gentianspoke.shells.agent import heartbeat
from gentianspoke.shells.agent import status
from gentianspoke.shells import feed_client
from gentianspoke.shells import process

TICK_S = 0.05
LOAD_REPORT_S = 0.5
STATUS_POLL_S = 0.5
NS_PER_S = 1_000_000_000


class Agent:
    """The shell around the state of one agent."""

    def __init__(
        self,
        proc: process.Process,
        cfg: settings.AgentSettings,
        peers: datagrams.DatagramSocket,
        upstream: datagrams.DatagramSocket,
        incarnation: str,
        recovering: bool,
    ) -> None:
        """Begin beside the upstream of the given incarnation."""
        self._proc = proc
        self._cfg = cfg
        self._peers = peers
        self._upstream = upstream
        self._effects = effects.Effects(proc, cfg, peers, upstream)
        self._entries: dict[str, services.Service] = {}
        self._version = 0
        self._incarnation = incarnation
        self.state = agent_state.AgentState(
            number=member_number(proc.cfg.instance, incarnation),
            zone=proc.cfg.zone,
            capacity=agent_state.Capacity(
                cfg.slots, cfg.connections, cfg.ramp_ms
            ),
            started_ms=proc.clock.now(),
            recovering=recovering,
            joining=True,
        )
        self.heartbeat = heartbeat.Heartbeat(proc, cfg, self.state)
        proc.metrics.on_render(self._set_gauges)

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
            packet = ip.parse(raw, reply=True)
            decided = core.on_reply(self.state, packet, self._proc.clock.now())
            self._effects.carry_out(decided)
        except errors.PacketError as exc:
            self._proc.metrics.counts.dropped[exc.reason] += 1
        except Exception:
            self._count_fault('a reply was not handled')

    async def tick(self) -> None:
        """Carry out what time alone brings about, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            now = self._proc.clock.now()
            self._effects.carry_out(core.on_tick(self.state, now))
            self._effects.write_reports(self.state)

    async def report_load(self) -> None:
        """Tell the other members of each service the own counts."""
        while True:
            await asyncio.sleep(LOAD_REPORT_S)
            for service, ranking in self.state.rankings.items():
                counts = self.state.counts[service]
                report = frames.LoadReport(
                    service,
                    self.state.number,
                    counts.open_flows,
                    counts.running,
                    counts.queued,
                    self._proc.events.logical,
                )
                data = frame.encode(report, self._proc.ring)
                for member in ranking.view.members:
                    if member.number != self.state.number:
                        self._peers.send(data, (member.host, member.port))

    async def poll_status(self) -> None:
        """Watch the upstream's status page for draining and restarts."""
        if self._cfg.status is None:
            return
        while True:
            await asyncio.sleep(STATUS_POLL_S)
            found = await status.read_status(self._cfg)
            if found is not None:
                self._take_status(found)

    def drain(self) -> None:
        """Take no new flow from now on, and tell control at once."""
        self.state.draining = True
        self.heartbeat.announce_now()

    def _take_status(self, found: status.UpstreamStatus) -> None:
        if found.incarnation and found.incarnation != self._incarnation:
            self._take_incarnation(found.incarnation)
        if found.draining == self.state.draining or self._proc.stop.is_set():
            return
        self.state.draining = found.draining
        self.heartbeat.announce_now()
        if found.draining:
            self._proc.events.write('upstream-draining')

    def _take_incarnation(self, incarnation: str) -> None:
        number = member_number(self._proc.cfg.instance, incarnation)
        self._incarnation = incarnation
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
        served = [
            self._entries[name]
            for name in self._cfg.services
            if name in self._entries
        ]
        self.state.set_catalogue(served)
        self._proc.events.write('catalogue-in-force', version=update.version)

    def _on_frame(self, data: bytes) -> None:
        now = self._proc.clock.now()
        match frame.decode(data, self._proc.ring):
            case frames.Forward() as forward:
                self._proc.events.observe(forward.logical)
                packet = ip.parse(forward.packet)
                self._on_forward(forward, packet, now)
            case frames.LoadReport() as report:
                self._proc.events.observe(report.logical)
                core.on_load(self.state, report)

    def _on_forward(
        self, forward: frames.Forward, packet: packets.Packet, now: int
    ) -> None:
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

    def _set_gauges(self) -> None:
        state = self.state
        gauges = self._proc.metrics.set_gauge
        lease_left_ms = state.lease_until_ms - self._proc.clock.now()
        gauges('flows_open', state.total_open)
        gauges('flows_running', state.total_running)
        gauges('flows_queued', sum(map(len, state.queues.values())))
        gauges('flows_ended_kept', state.total_ended)
        gauges('diversions', len(state.diversions))
        gauges('orphans', len(state.orphans))
        gauges('lease_left_ms', max(0, lease_left_ms))
        gauges('draining', int(state.draining))
        gauges('joining', int(state.joining))
        gauges('recovering', int(state.recovering))
        gauges('unsent', self._peers.unsent + self._upstream.unsent)


def member_number(instance: str, incarnation: str) -> int:
    """Return the 64-bit number of one incarnation of an upstream."""
    return xxhash.xxh3_64_intdigest(f'{instance}/{incarnation}'.encode()) or 1
