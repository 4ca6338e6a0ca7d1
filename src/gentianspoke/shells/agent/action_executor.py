"""Executes the actions that an agent's decisions return."""

import collections
import dataclasses

from gentianspoke import clock
from gentianspoke.codec import frame
from gentianspoke.codec import packet_codec
from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import pacing
from gentianspoke.net import datagrams
from gentianspoke.shells import paced_link
from gentianspoke.shells import process

# Reasons for which a held request started or was dropped, other than that the
# upstream had room or the caller closed its flow.
UNUSUAL_REASONS = frozenset(
    ('answer-overdue', 'hold-limit', 'surplus', 'expired', 'flow-ended')
)
# Shortest time between two events about such requests.
REQUEST_LOG_INTERVAL_MS = 1_000


class ActionExecutor:
    """Sends and counts packets as the actions of one agent require."""

    def __init__(
        self,
        proc: process.Process,
        cfg: settings.AgentSettings,
        codec: packet_codec.PacketCodec,
        link: paced_link.Link,
        upstream_socket: datagrams.DatagramSocket,
    ) -> None:
        """Send packets through the link and the socket.

        ``upstream_socket`` is used for the upstream, and ``link`` for callers
        and other agents.
        """
        self._proc = proc
        self._cfg = cfg
        self._codec = codec
        self._link = link
        self._upstream_socket = upstream_socket
        # Unusual starts and drops of held requests since the last log line.
        self._unlogged_requests: collections.Counter[str] = (
            collections.Counter()
        )
        self._requests_logged_ms = 0

    def execute_all(self, decided_actions: core.Actions) -> None:
        """Execute actions in their order."""
        for action in decided_actions:
            self._execute(action)

    def write_flow_reports(self, state: agent_state.AgentState) -> None:
        """Write the reports of failed and refused flows; update metrics.

        The reports are written as events. They and the queue waits are then
        removed from the state.
        """
        counts = self._proc.metrics.counts
        for report in state.flow_reports:
            verdict = report.verdict
            service = state.services_by_number.get(report.service)
            outcome = verdict.outcome.value
            counts.verdicts[f'{outcome}-{verdict.fault.value}'] += 1
            self._proc.events.write(
                'flow-verdict',
                service=service.name if service else '',
                flow=packets.describe_key(report.key),
                outcome=outcome,
                fault=verdict.fault.value,
                reason=verdict.reason,
                **dict(verdict.evidence),
            )
        state.flow_reports.clear()
        while state.queue_waits:
            wait_s = state.queue_waits.popleft() / clock.MS_PER_S
            self._proc.metrics.observe_queue_wait(wait_s)
        self._write_request_counts(state)
        if state.dropped_flow_reports:
            counts.dropped['report-overflow'] += state.dropped_flow_reports
            state.dropped_flow_reports = 0

    def _write_request_counts(self, state: agent_state.AgentState) -> None:
        queue = state.requests
        while queue.waits_ms:
            wait_s = queue.waits_ms.popleft() / clock.MS_PER_S
            self._proc.metrics.observe_request_wait(wait_s)
        if queue.counts:
            self._proc.metrics.counts.requests.update(queue.counts)
            for reason in UNUSUAL_REASONS & queue.counts.keys():
                self._unlogged_requests[reason] += queue.counts[reason]
            queue.counts.clear()
        if self._unlogged_requests:
            self._log_unusual_requests(state)

    def _log_unusual_requests(self, state: agent_state.AgentState) -> None:
        now = self._proc.clock.now()
        if now - self._requests_logged_ms < REQUEST_LOG_INTERVAL_MS:
            return
        self._requests_logged_ms = now
        self._proc.events.write(
            'request-queue',
            held=len(state.requests.held),
            at_upstream=len(state.requests.started_ms),
            slots=state.capacity.slots,
            reasons=' '.join(
                f'{reason}={count}'
                for reason, count in sorted(self._unlogged_requests.items())
            ),
        )
        self._unlogged_requests.clear()

    def write_inquiry_reports(self, state: agent_state.AgentState) -> None:
        """Write the results of inquiries as events, and update metrics."""
        counts = self._proc.metrics.counts
        for report in state.inquiries.reports:
            counts.inquiries['flows-found'] += report.found
            counts.inquiries['flows-ended'] += report.ended
            counts.inquiries['flows-undecided'] += report.undecided
            self._proc.events.write(
                'flow-inquiry', **dataclasses.asdict(report)
            )
        state.inquiries.reports.clear()

    def _send_inquiry(
        self,
        members: tuple[views.Member, ...],
        inquiry: frames.FlowInquiry,
    ) -> None:
        # All members get the same frame, which is encoded only once.
        stamped_inquiry = dataclasses.replace(
            inquiry, logical=self._proc.events.logical
        )
        data = frame.encode(stamped_inquiry, self._proc.ring)
        for member in members:
            self._send(data, (member.host, member.port))
        self._proc.metrics.counts.inquiries['sent'] += len(members)

    def _execute(self, action: actions.Action) -> None:
        counts = self._proc.metrics.counts
        match action:
            case actions.Deliver(raw=raw):
                self._upstream_socket.send(raw, self._cfg.upstream)
                counts.packets['delivered'] += 1
            case actions.Answer(raw=raw, segment_id=segment_id):
                self._send_to_caller(raw, segment_id)
                counts.packets['answered'] += 1
            case actions.SendFrame(member=member, forward=forward):
                forward.logical = self._proc.events.logical
                data = frame.encode(forward, self._proc.ring)
                self._send(data, (member.host, member.port))
                counts.packets['passed'] += 1
            case actions.NotifyOwnership(member=member, owned=owned):
                data = frame.encode(owned, self._proc.ring)
                self._send(data, (member.host, member.port))
            case actions.SendInquiry(members=members, inquiry=inquiry):
                self._send_inquiry(members, inquiry)
            case actions.AnswerInquiry(member=member, reply=reply):
                stamped_reply = dataclasses.replace(
                    reply, logical=self._proc.events.logical
                )
                data = frame.encode(stamped_reply, self._proc.ring)
                self._send(data, (member.host, member.port))
                counts.inquiries['answered'] += 1
            case actions.Drop(reason=reason):
                counts.dropped[reason] += 1
            case actions.Hold(reason=reason):
                counts.packets[reason] += 1
            case actions.Refuse(packet=packet, reason=reason):
                self._send_to_caller(self._codec.make_refusal(packet))
                counts.refused[reason] += 1
                self._write_flow_event('flow-refused', packet.key, reason)
            case actions.ResetCaller(key=key, seq=seq, ack=ack):
                raw = self._codec.make_reset_to_caller(key, seq, ack)
                self._send_to_caller(raw)
                counts.resets[action.reason] += 1
                self._write_flow_event('flow-reset', key, action.reason)
            case actions.ResetUpstream(key=key, seq=seq, ack=ack):
                raw = self._codec.make_reset_to_upstream(key, seq, ack)
                self._upstream_socket.send(raw, self._cfg.upstream)
                counts.resets[action.reason] += 1

    def _send_to_caller(
        self, raw: bytes, segment_id: pacing.SegmentId | None = None
    ) -> None:
        address = self._codec.find_next_hop(raw) or self._cfg.fabric
        self._send(raw, address, segment_id)

    def _send(
        self,
        data: bytes,
        address: units.Address,
        segment_id: pacing.SegmentId | None = None,
    ) -> None:
        datagram = pacing.OutgoingDatagram(data, *address, segment_id)
        if not self._link.send(datagram):
            self._proc.metrics.counts.dropped['link-full'] += 1

    def _write_flow_event(
        self, event: str, key: packets.FlowKey, reason: str
    ) -> None:
        flow = packets.describe_key(key)
        self._proc.events.write(event, flow=flow, reason=reason)
