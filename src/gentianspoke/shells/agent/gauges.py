"""Gauges of an agent, set each time its metrics page is rendered."""

from gentianspoke.decisions.agent import capacity_records
from gentianspoke.decisions.agent import capacity_shares
from gentianspoke.decisions.agent import cold_start
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.net import datagrams
from gentianspoke.shells import process


def set_gauges(
    proc: process.Process,
    state: agent_state.AgentState,
    sockets: tuple[datagrams.DatagramSocket, ...],
) -> None:
    """Set the gauges to the current values of the state and the sockets."""
    set_gauge = proc.metrics.set_gauge
    now = proc.clock.now()
    unfinished_flows = state.count_unfinished_flows(now)
    lease_left_ms = state.lease_until_ms - now
    set_gauge('flows_open', state.total_open)
    set_gauge('flows_running', state.total_running)
    set_gauge('flows_queued', unfinished_flows.queued)
    set_gauge('flows_answering', unfinished_flows.answering)
    set_gauge('flows_ended_kept', state.total_ended)
    set_gauge('openings_held', len(state.held_openings))
    set_gauge('diversions', len(state.diversions))
    set_gauge('orphans', len(state.orphans))
    set_gauge('lease_left_ms', max(0, lease_left_ms))
    set_gauge('unknown_flows', len(state.inquiries.unknown))
    set_gauge('doubtful_flows', len(state.inquiries.doubtful))
    set_gauge('draining', int(state.draining))
    set_gauge('evacuated', int(state.is_evacuated_anywhere()))
    set_gauge('joining', int(state.joining))
    set_gauge('recovering', int(state.recovering))
    set_gauge('requests_held', len(state.requests.held))
    set_gauge('requests_at_upstream', len(state.requests.started_ms))
    cold_remaining_ms = cold_start.get_cold_remaining_ms(state.cold, now)
    set_gauge('cold_remaining_ms', cold_remaining_ms)
    set_gauge('cold_declined', state.cold.declined)
    if state.even_load is not None:
        _set_load_gauges(proc, state, state.even_load, now)
    set_gauge('unsent', sum(sock.unsent_count for sock in sockets))


def _set_load_gauges(
    proc: process.Process,
    state: agent_state.AgentState,
    even_load: capacity_records.EvenLoad,
    now: int,
) -> None:
    """Set the gauges of placement by capacity, the largest of all pools."""
    pool_shares = [
        capacity_shares.get_shares(state, even_load, state.rankings[pool], now)
        for pool in state.get_own_pools()
        if pool in state.rankings
    ]
    capacity = capacity_shares.compute_own_capacity(state, even_load, now)
    spreads = [item.spread_permille for item in pool_shares]
    ages_ms = [item.report_age_ms for item in pool_shares]
    set_gauge = proc.metrics.set_gauge
    set_gauge('upstream_capacity', int(capacity))
    set_gauge('upstream_failing', int(even_load.is_failing))
    set_gauge('load_spread_permille', max(spreads, default=0))
    set_gauge('load_report_age_ms', max(ages_ms, default=0))
