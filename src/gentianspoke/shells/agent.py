"""The agent process: carries out the agent's decisions on real sockets."""

import asyncio
import contextlib
import json
import secrets

import h11
import xxhash

from gentianspoke.codec import feed
from gentianspoke.codec import frame
from gentianspoke.codec import ip
from gentianspoke.config import settings
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.control import membership
from gentianspoke import errors
from gentianspoke.generated import feed_grpc
from gentianspoke.net import datagrams
from gentianspoke.net import pages
from gentianspoke.shells import feed_client
from gentianspoke.shells import process

TICK_S = 0.05
HEARTBEAT_S = 0.5
LOAD_REPORT_S = 0.5
STATUS_POLL_S = 0.5
ANNOUNCE_TIMEOUT_S = 1.0
MS_PER_S = 1_000
# The lease is given up this much early, against a clock that runs slow.
LEASE_MARGIN_PERMILLE = 50
PERMILLE = 1_000


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
        self._entries: dict[str, services.Service] = {}
        self._version = 0
        self._leaving = False
        self.state = agent_state.AgentState(
            number=member_number(proc.cfg.instance, incarnation),
            zone=proc.cfg.zone,
            capacity=agent_state.Capacity(
                cfg.slots, cfg.connections, cfg.ramp_ms
            ),
            started_ms=proc.clock.now(),
            recovering=recovering,
        )

    def take(self, update: feed_client.Update) -> int:
        """Take an update of the feed, return the version in force."""
        self.state.note_feed(self._proc.clock.now())
        match update:
            case feed_client.CatalogueUpdate():
                self._take_catalogue(update)
            case views.View():
                self.state.set_view(update)
            case feed_client.Confirmed(age_ms=age_ms):
                self.state.confirm_feed(self._proc.clock.now() - age_ms)
                if self._proc.life.state == 'syncing':
                    self._proc.life.advance('serve')
        return self._version

    async def read_peers(self) -> None:
        """Take frames of entries and agents until cancelled."""
        while True:
            for data, _ in await self._peers.receive_burst():
                self._on_frame(data)

    async def read_upstream(self) -> None:
        """Take packets of the upstream until cancelled."""
        while True:
            for raw, _ in await self._upstream.receive_burst():
                self._on_upstream_packet(raw)

    async def tick(self) -> None:
        """Carry out what time alone brings about, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._carry_out(core.on_tick(self.state, self._proc.clock.now()))
            self._write_reports()

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
                )
                data = frame.encode(report, self._proc.ring)
                for member in ranking.view.members:
                    if member.number != self.state.number:
                        self._peers.send(data, (member.host, member.port))

    async def announce(self) -> None:
        """Send heartbeats to control, one source after the other."""
        while True:
            for address in self._proc.cfg.feeds:
                with contextlib.suppress(*feed_client.CHANNEL_ERRORS):
                    await self._announce_to(address)
                await asyncio.sleep(HEARTBEAT_S)

    async def poll_status(self) -> None:
        """Watch the upstream's status page for draining and restarts."""
        if self._cfg.status is None:
            return
        while True:
            await asyncio.sleep(STATUS_POLL_S)
            status = await read_status(self._cfg)
            if status.get('draining') and not self.state.draining:
                self.state.draining = True
                self._proc.events.write('upstream-draining')

    async def stop(self) -> None:
        """Take no new flow, and wait for slots to become free."""
        self.state.draining = True
        deadline = self._proc.clock.now() + self._proc.cfg.grace_ms
        while self.state.running() and self._proc.clock.now() < deadline:
            await asyncio.sleep(TICK_S)
        self._proc.events.write(
            'stop-grace-over',
            running_left=self.state.running(),
            open_left=self.state.open_flows(),
        )

    async def _announce_to(self, address: tuple[str, int]) -> None:
        async with feed_client.open_channel(address) as channel:
            stub = feed_grpc.FeedStub(channel)
            while True:
                sent_ms = self._proc.clock.now()
                reply = await stub.Announce(
                    feed.encode_announcement(
                        self._announcement(), self._cfg.services
                    ),
                    timeout=ANNOUNCE_TIMEOUT_S,
                )
                if not reply.granted:
                    return
                margin = reply.lease_ms * LEASE_MARGIN_PERMILLE // PERMILLE
                until = sent_ms + reply.lease_ms - margin
                self.state.lease_until_ms = max(
                    self.state.lease_until_ms, until
                )
                await asyncio.sleep(HEARTBEAT_S)

    def _announcement(self) -> membership.Announcement:
        host, port = self._cfg.listen
        reports = tuple(
            membership.ServiceReport(
                service,
                ranking.view.number,
                core.oldest_flow_view(self.state, service),
                self.state.counts[service].open_flows,
            )
            for service, ranking in self.state.rankings.items()
        )
        draining = self.state.draining
        return membership.Announcement(
            number=self.state.number,
            instance=self._proc.cfg.instance,
            host=host,
            port=port,
            zone=self._proc.cfg.zone,
            weight=self._cfg.weight,
            state=views.State.DRAINING if draining else views.State.LIVE,
            recovering=self.state.recovering,
            services=(),
            reports=reports,
            leaving=self._leaving,
        )

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
        try:
            match frame.decode(data, self._proc.ring):
                case frames.Forward() as forward:
                    packet = ip.parse(forward.packet)
                    self._carry_out(
                        core.on_forward(self.state, forward, packet, now)
                    )
                case frames.LoadReport() as report:
                    core.on_load(self.state, report)
        except errors.PacketError as exc:
            self._proc.metrics.dropped.inc({'reason': exc.reason})

    def _on_upstream_packet(self, raw: bytes) -> None:
        try:
            packet = ip.parse(raw, reply=True)
        except errors.PacketError as exc:
            self._proc.metrics.dropped.inc({'reason': exc.reason})
            return
        now = self._proc.clock.now()
        self._carry_out(core.on_reply(self.state, packet, now))

    def _carry_out(self, decided: core.Actions) -> None:
        for action in decided:
            self._carry_out_one(action)

    def _carry_out_one(self, action: actions.Action) -> None:
        counters = self._proc.metrics
        match action:
            case actions.Deliver(raw=raw):
                self._upstream.send(raw, self._cfg.upstream)
                counters.packets.inc({'action': 'delivered'})
            case actions.Answer(raw=raw):
                self._peers.send(raw, self._cfg.fabric)
                counters.packets.inc({'action': 'answered'})
            case actions.Pass(member=member, forward=forward):
                data = frame.encode(forward, self._proc.ring)
                self._peers.send(data, (member.host, member.port))
                counters.packets.inc({'action': 'passed'})
            case actions.Refuse(packet=packet, reason=reason):
                self._peers.send(ip.reset_for(packet), self._cfg.fabric)
                counters.refused.inc({'reason': reason})
                self._write_flow('flow-refused', packet.key, reason)
            case actions.ResetCaller(key=key, seq=seq, ack=ack):
                raw = ip.reset_to_caller(key, seq, ack)
                self._peers.send(raw, self._cfg.fabric)
                counters.resets.inc({'reason': action.reason})
                self._write_flow('flow-reset', key, action.reason)
            case actions.ResetUpstream(key=key, seq=seq, ack=ack):
                raw = ip.reset_to_upstream(key, seq, ack)
                self._upstream.send(raw, self._cfg.upstream)
                counters.resets.inc({'reason': action.reason})
            case actions.Drop(reason=reason):
                counters.dropped.inc({'reason': reason})

    def _write_flow(
        self, event: str, key: packets.FlowKey, reason: str
    ) -> None:
        flow = packets.describe_key(key)
        self._proc.events.write(event, flow=flow, reason=reason)

    def _write_reports(self) -> None:
        for report in self.state.reports:
            verdict = report.verdict
            service = self.state.served.get(report.service)
            self._proc.events.write(
                'flow-verdict',
                service=service.name if service else '',
                flow=packets.describe_key(report.key),
                outcome=verdict.outcome.value,
                fault=verdict.fault.value,
                reason=verdict.reason,
                **dict(verdict.evidence),
            )
        self.state.reports.clear()


def member_number(instance: str, incarnation: str) -> int:
    """Return the 64-bit number of one incarnation of an upstream."""
    return xxhash.xxh3_64_intdigest(f'{instance}/{incarnation}'.encode()) or 1


async def read_status(cfg: settings.AgentSettings) -> dict[str, object]:
    """Return the upstream's status page, empty where it gives none.

    The page is a JSON object with ``incarnation`` (text), ``draining``
    (true or false) and ``load`` (running requests).
    """
    if cfg.status is None:
        return {}
    try:
        code, body = await pages.fetch_page(cfg.status, '/status')
        content = json.loads(body) if code == 200 else {}
    except (OSError, TimeoutError, ValueError, h11.RemoteProtocolError):
        return {}
    return content if isinstance(content, dict) else {}


async def run(cfg: settings.Settings) -> None:
    """Run an agent until a planned stop."""
    match cfg.role:
        case settings.AgentSettings() as role:
            pass
        case _:
            raise errors.SettingsError('settings', 'agent', 'missing; add it')
    status = await read_status(role)
    # Without a status page the agent cannot tell whether the upstream was
    # there before it, so it takes the older incarnation as gone.
    incarnation = str(status.get('incarnation') or secrets.token_hex(8))
    async with process.run_process(cfg, 'agent') as proc:
        with (
            datagrams.open_datagrams(role.listen) as peers,
            datagrams.open_datagrams(role.upstream_side) as upstream,
        ):
            recovering = 'incarnation' in status
            agent = Agent(proc, role, peers, upstream, incarnation, recovering)
            async with process.run_tasks(
                agent.read_peers(),
                agent.read_upstream(),
                agent.tick(),
                agent.report_load(),
                agent.announce(),
                agent.poll_status(),
                feed_client.follow_feeds(proc, 'agent', agent.take),
            ):
                await proc.stop.wait()
                proc.life.advance('stop')
                await agent.stop()
