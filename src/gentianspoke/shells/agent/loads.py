"""Sends an agent's load reports to the other members of its services."""

import asyncio

from gentianspoke.codec import frame
from gentianspoke.core import frames
from gentianspoke.core import views
from gentianspoke.decisions.agent import cold_start
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import upstream_capacity
from gentianspoke.net import datagrams
from gentianspoke.shells import process

LOAD_REPORT_INTERVAL_S = 0.5
# Maximum number of reports that are sent in one interval. If there are more
# receivers, they get reports in turn. A receiver assumes the median load for a
# member whose last report is old.
MAX_REPORTS_PER_INTERVAL = 8
# The same for an agent with more receivers than ``MANY_RECEIVERS``. Most
# reports are too old there when the next one comes, and a report costs both
# agents as much as a packet of a flow.
MAX_REPORTS_TO_MANY = 3
MANY_RECEIVERS = 24


async def report_load(
    proc: process.Process,
    state: agent_state.AgentState,
    peer_socket: datagrams.DatagramSocket,
) -> None:
    """Send this agent's flow counts to other members, until cancelled."""
    first_receiver_index = 0
    while True:
        await asyncio.sleep(LOAD_REPORT_INTERVAL_S)
        receivers = _list_receivers(state)
        report_count = compute_report_count(len(receivers))
        # The receivers in one pool get the same report.
        reports_by_pool: dict[int, bytes] = {}
        for offset in range(report_count):
            pool, member = receivers[
                (first_receiver_index + offset) % len(receivers)
            ]
            if pool not in reports_by_pool:
                report = build_report(
                    state, pool, proc.events.logical, proc.clock.now()
                )
                reports_by_pool[pool] = frame.encode(report, proc.ring)
            data = reports_by_pool[pool]
            peer_socket.send(data, (member.host, member.port))
        first_receiver_index += report_count


def compute_report_count(receiver_count: int) -> int:
    """Return how many receivers get a report in one interval."""
    if receiver_count > MANY_RECEIVERS:
        return MAX_REPORTS_TO_MANY
    return min(MAX_REPORTS_PER_INTERVAL, receiver_count)


def _list_receivers(
    state: agent_state.AgentState,
) -> list[tuple[int, views.Member]]:
    return [
        (pool, member)
        for pool in state.get_own_pools()
        if pool in state.rankings
        for member in state.rankings[pool].view.members
        if member.number != state.number
    ]


def build_report(
    state: agent_state.AgentState, pool: int, logical: int, now: int
) -> frames.LoadReport:
    """Return this agent's load report for one pool."""
    counts = state.counts[pool]
    slots, work_us = 0, 0
    if state.even_load is not None:
        slots = state.capacity.slots
        work_us = upstream_capacity.estimate_work_us(state.even_load.work, now)
    return frames.LoadReport(
        pool,
        state.number,
        counts.open_flows,
        counts.running,
        counts.queued + len(state.requests.held),
        logical,
        slots,
        work_us,
        cold_start.get_cold_remaining_ms(state.cold, now),
    )
