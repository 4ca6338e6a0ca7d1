"""The tasks of an agent, which pass packets and ticks to its decisions."""

import asyncio
import dataclasses
import secrets
import time

import loguru
import xxhash

from gentianspoke.codec import frame
from gentianspoke.codec import packet_codec
from gentianspoke.config import settings
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.decisions.agent import capacity_records
from gentianspoke.decisions.agent import cold_start
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import flow_knowledge
from gentianspoke.decisions.agent import own_pools
from gentianspoke.decisions.agent import request_queue
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke import errors
from gentianspoke.net import datagrams
from gentianspoke.shells.agent import action_executor
from gentianspoke.shells.agent import feed_updates
from gentianspoke.shells.agent import gauges
from gentianspoke.shells.agent import heartbeat
from gentianspoke.shells.agent import status
from gentianspoke.shells import feed_client
from gentianspoke.shells import paced_link
from gentianspoke.shells import process

TICK_INTERVAL_S = 0.05
STATUS_POLL_INTERVAL_S = 0.5
NS_PER_S = 1_000_000_000
# Number of random bits of the first inquiry's number. The numbers that follow
# still fit into 64 bits.
INQUIRY_BITS = 62
# Placeholder for the member number of an agent whose upstream has not reported
# its incarnation yet. No member of a view has this number.
UNKNOWN_NUMBER = frames.ENTRY_SENDER


class Agent:
    """Runs the decisions of one agent on its sockets, feed and clock."""

    def __init__(
        self,
        proc: process.Process,
        cfg: settings.AgentSettings,
        codec: packet_codec.PacketCodec,
        peer_socket: datagrams.DatagramSocket,
        upstream_socket: datagrams.DatagramSocket,
        incarnation: str,
        recovering: bool,
    ) -> None:
        """Start for an upstream with the given incarnation.

        An empty ``incarnation`` means that it is not known yet. The agent
        then sends no heartbeat and admits no flow until
        :meth:`apply_status` is called with the incarnation. ``recovering``
        is true if the upstream may have flows from before the agent's start.
        """
        self._proc = proc
        self._cfg = cfg
        self._codec = codec
        self._peer_socket = peer_socket
        self._upstream_socket = upstream_socket
        self.link = paced_link.Link(peer_socket, proc.clock, cfg.link_kbps)
        self._executor = action_executor.ActionExecutor(
            proc, cfg, codec, self.link, upstream_socket
        )
        self._incarnation = incarnation
        self._last_status_ms = proc.clock.now()
        self.state = agent_state.AgentState(
            number=_compute_number_or_unknown(proc.cfg.instance, incarnation),
            zone=proc.cfg.zone,
            capacity=agent_state.Capacity(
                cfg.slots, cfg.connections, cfg.ramp_ms
            ),
            started_ms=proc.clock.now(),
            recovering=recovering,
            recovery_ms=cfg.recovery_ms,
            joining=True,
            own_pool=own_pools.make(cfg.pool),
            draining=not incarnation,
            requests=request_queue.RequestQueue(cfg.schedule_requests),
            cold=cold_start.begin(cfg.cold_openings_per_s, proc.clock.now()),
            even_load=_make_even_load(cfg.placement),
        )
        # Until the upstream turns out to be new, it may have flows that this
        # agent does not know.
        self.state.inquiries.complete_from_ms = (
            self.state.started_ms + cfg.recovery_ms
        )
        self.state.inquiries.enabled = cfg.inquire_flows
        # Late replies to an earlier run of the agent must match no inquiry.
        self.state.inquiries.next_number = secrets.randbits(INQUIRY_BITS)
        self.heartbeat = heartbeat.Heartbeat(proc, cfg, self.state)
        self._feed_updates = feed_updates.FeedUpdates(
            proc, cfg, self.state, self.heartbeat
        )
        if incarnation:
            self.heartbeat.upstream_known.set()
        proc.metrics.on_render(
            lambda: gauges.set_gauges(
                proc, self.state, (peer_socket, upstream_socket)
            )
        )

    def apply_update(self, update: feed_client.Update) -> int:
        """Apply a feed update; return the catalogue version in use."""
        return self._feed_updates.apply(update)

    async def read_peers(self) -> None:
        """Handle frames from entries and agents, until cancelled."""
        while True:
            for data, _ in await self._peer_socket.receive_burst():
                self.handle_frame(data)
            self.link.send_due()

    async def read_upstream(self) -> None:
        """Handle packets from the upstream, until cancelled."""
        while True:
            for raw, _ in await self._upstream_socket.receive_burst():
                self.handle_reply(raw)
            self.link.send_due()

    def handle_frame(self, data: bytes) -> None:
        """Handle a frame, or count why it was dropped."""
        try:
            self._dispatch_frame(data)
        except errors.PacketError as exc:
            self._proc.metrics.counts.dropped[exc.reason] += 1
        except Exception:
            self._report_internal_error(
                'a frame was dropped because of an internal error; report it'
                ' as a bug'
            )

    def handle_reply(self, raw: bytes) -> None:
        """Handle an upstream's packet, or count why it was dropped."""
        try:
            packet = self._codec.parse(raw, reply=True)
            self._executor.execute_all(self._decide_on_reply(packet))
        except errors.PacketError as exc:
            self._proc.metrics.counts.dropped[exc.reason] += 1
        except Exception:
            self._report_internal_error(
                'a reply was dropped because of an internal error; report it'
                ' as a bug'
            )

    def _decide_on_reply(self, packet: packets.Packet) -> core.Actions:
        now = self._proc.clock.now()
        match packet:
            case packets.Segment(is_returned=True):
                return core.on_returned(self.state, packet, now)
            case _:
                return core.on_reply(self.state, packet, now)

    async def tick(self) -> None:
        """Execute the actions that are due at each tick, until cancelled.

        Each tick also writes the reports of failed and refused flows, and
        checks whether the upstream still reports its status.
        """
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._proc.clock.now()
            self._executor.execute_all(core.on_tick(self.state, now))
            self.link.send_due()
            self._executor.write_flow_reports(self.state)
            self._executor.write_inquiry_reports(self.state)
            self._check_upstream_silence(now)
            self._write_failure_notices()

    async def poll_status(self) -> None:
        """Poll the upstream's status page for draining and restarts.

        Return at once if the settings name no status page.
        """
        if self._cfg.status is None:
            return
        while True:
            await asyncio.sleep(STATUS_POLL_INTERVAL_S)
            upstream_status = await status.read_status(self._cfg)
            if upstream_status is not None:
                self.apply_status(upstream_status)

    def drain(self) -> None:
        """Accept no new flow from now on, and announce this at once."""
        self.state.draining = True
        self.heartbeat.announce_now()

    def apply_status(self, upstream_status: status.UpstreamStatus) -> None:
        """Apply a status report of the upstream.

        The report has taken effect when the call returns. A new incarnation
        or a change of ``draining`` is announced at once. During a planned
        stop, the agent drains even if the report says otherwise.
        """
        self._last_status_ms = self._proc.clock.now()
        self._apply_cold_remaining(upstream_status.cold_remaining_ms)
        if (
            upstream_status.incarnation
            and upstream_status.incarnation != self._incarnation
        ):
            self._apply_incarnation(upstream_status)
        if upstream_status.slots:
            self.state.capacity = dataclasses.replace(
                self.state.capacity, slots=upstream_status.slots
            )
        if (
            upstream_status.draining == self.state.draining
            or self._proc.stop.is_set()
        ):
            return
        self.state.draining = upstream_status.draining
        self.heartbeat.announce_now()
        if upstream_status.draining:
            self._proc.events.write('upstream-draining')

    def _apply_cold_remaining(self, cold_remaining_ms: int) -> None:
        now = self._proc.clock.now()
        cold = self.state.cold
        if cold_start.note_report(cold, cold_remaining_ms, now):
            self._proc.events.write(
                'upstream-cold',
                cold_remaining_ms=cold_remaining_ms,
                openings_per_s=cold.openings_per_s,
            )

    def _check_upstream_silence(self, now: int) -> None:
        """Drain if the upstream has not reported its status for too long.

        The limit is the setting ``silent_ms``; if it is 0, there is none.
        """
        silent_ms = now - self._last_status_ms
        limit_ms = self._cfg.silent_ms
        if not limit_ms or silent_ms < limit_ms or self.state.draining:
            return
        self._proc.events.write('upstream-silent', silent_ms=silent_ms)
        self.drain()

    def _write_failure_notices(self) -> None:
        even_load = self.state.even_load
        if even_load is None or not even_load.failure_notices:
            return
        for notice in even_load.failure_notices:
            self._proc.events.write(
                'upstream-failing', **dataclasses.asdict(notice)
            )
        even_load.failure_notices.clear()

    def leave(self) -> None:
        """Drain, and announce that this incarnation has left."""
        self.heartbeat.upstream_has_left = True
        self.drain()

    def _apply_incarnation(
        self, upstream_status: status.UpstreamStatus
    ) -> None:
        incarnation = upstream_status.incarnation
        number = compute_member_number(self._proc.cfg.instance, incarnation)
        was_known = bool(self._incarnation)
        self._incarnation = incarnation
        self.heartbeat.upstream_has_left = False
        self.heartbeat.upstream_known.set()
        self._proc.events.write(
            'upstream-known',
            incarnation=f'{number:016x}',
            is_young=upstream_status.is_young,
        )
        now = self._proc.clock.now()
        if not was_known:
            # This agent has known no other incarnation of the upstream, so
            # its records stay. It may have taken another number from a frame
            # that was addressed to an earlier incarnation; see
            # _handle_forward.
            core.on_first_incarnation(
                self.state, number, upstream_status.is_young, now
            )
            self.heartbeat.announce_now()
            return
        decided_actions = core.on_incarnation(
            self.state, number, now, upstream_status.age_ms
        )
        if not upstream_status.is_young and self._cfg.status is None:
            # The first heartbeats were lost, or a late one of the earlier
            # incarnation came after the start of this agent.
            flow_knowledge.begin_recovery(self.state, now)
        self._executor.execute_all(decided_actions)
        self.heartbeat.announce_now()

    def _dispatch_frame(self, data: bytes) -> None:
        now = self._proc.clock.now()
        match frame.decode(data, self._proc.ring):
            case frames.Forward() as forward:
                self._proc.events.observe(forward.logical)
                packet = self._codec.parse(forward.packet)
                self._handle_forward(forward, packet, now)
            case frames.LoadReport() as report:
                self._proc.events.observe(report.logical)
                core.on_load(self.state, report, now)
            case frames.Owned() as owned:
                self._proc.events.observe(owned.logical)
                core.on_owned(self.state, owned, now)
            case frames.FlowInquiry() as inquiry:
                self._proc.events.observe(inquiry.logical)
                self._executor.execute_all(
                    core.on_inquiry(self.state, inquiry, now)
                )
            case frames.FlowInquiryReply() as reply:
                self._proc.events.observe(reply.logical)
                self._executor.execute_all(
                    core.on_inquiry_reply(self.state, reply, now)
                )

    def _handle_forward(
        self, forward: frames.Forward, packet: packets.Packet, now: int
    ) -> None:
        if (
            self.state.number == UNKNOWN_NUMBER
            and forward.target != UNKNOWN_NUMBER
        ):
            # Until the upstream reports its incarnation, the agent takes the
            # number to which others address their frames.
            self.state.number = forward.target
        open_flows_before = self.state.total_open
        started_ns = time.perf_counter_ns()
        decided_actions = core.on_forward(self.state, forward, packet, now)
        if self.state.total_open > open_flows_before:
            duration_ns = time.perf_counter_ns() - started_ns
            self._proc.metrics.observe_placement(duration_ns / NS_PER_S)
        self._executor.execute_all(decided_actions)

    def _report_internal_error(self, message: str) -> None:
        # An exception while one packet is handled must not end the task,
        # which also handles the packets of all other flows.
        loguru.logger.exception(message)
        self._proc.metrics.counts.dropped['internal-error'] += 1


def _compute_number_or_unknown(instance: str, incarnation: str) -> int:
    return (
        compute_member_number(instance, incarnation)
        if incarnation
        else UNKNOWN_NUMBER
    )


def _make_even_load(
    placement: settings.Placement,
) -> capacity_records.EvenLoad | None:
    match placement:
        case settings.Placement.CAPACITY:
            return capacity_records.EvenLoad()
        case settings.Placement.OPEN_FLOWS:
            return None


def compute_member_number(instance: str, incarnation: str) -> int:
    """Return the 64-bit number of one incarnation of an upstream.

    It is never ``UNKNOWN_NUMBER``.
    """
    return xxhash.xxh3_64_intdigest(f'{instance}/{incarnation}'.encode()) or 1
