"""Gauges of an agent, set each time its metrics page is rendered."""

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
    set_gauge('unsent', sum(sock.unsent_count for sock in sockets))
