"""Sends an agent's load reports to the other members of its services."""

import asyncio

from gentianspoke.codec import frame
from gentianspoke.core import frames
from gentianspoke.core import views
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.net import datagrams
from gentianspoke.shells import process

LOAD_REPORT_INTERVAL_S = 0.5
# Maximum number of reports that are sent in one interval, however many members
# the services have. If there are more, the members get reports in turn. A
# receiver assumes the median load for a member whose last report is old.
MAX_REPORTS_PER_INTERVAL = 8


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
        for offset in range(min(MAX_REPORTS_PER_INTERVAL, len(receivers))):
            pool, member = receivers[
                (first_receiver_index + offset) % len(receivers)
            ]
            report = _build_report(state, pool, proc.events.logical)
            data = frame.encode(report, proc.ring)
            peer_socket.send(data, (member.host, member.port))
        first_receiver_index += MAX_REPORTS_PER_INTERVAL


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


def _build_report(
    state: agent_state.AgentState, pool: int, logical: int
) -> frames.LoadReport:
    counts = state.counts[pool]
    return frames.LoadReport(
        pool,
        state.number,
        counts.open_flows,
        counts.running,
        counts.queued,
        logical,
    )
