"""Table of the flows whose packets an agent passes to other members."""

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.agent import record_counts
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

# How long a diversion is kept without a packet after the caller has closed or
# reset the flow, or after the service was removed from the catalogue.
CALLER_CLOSED_TIMEOUT_MS = 60_000
# The same limit for a booking or a transfer that is still open.
SHORT_FLOW_TIMEOUT_MS = 300_000

State = agent_state.AgentState


def add(
    state: State, key: packets.FlowKey, diversion: records.Diversion
) -> None:
    """Record that the packets of a flow go to another member."""
    remove(state, key)
    state.diversions[key] = diversion
    record_counts.increment(
        state, diversion.pool, diversion.bucket, diversion.placed_view
    )
    # The caller may close the flow soon, so the first check does not wait for
    # the longer timeout of an open flow. It schedules the next check.
    due_ms = diversion.last_used_ms + min(
        CALLER_CLOSED_TIMEOUT_MS, get_idle_timeout_ms(state, diversion)
    )
    state.diversion_timers.add((key, diversion), due_ms)


def remove(state: State, key: packets.FlowKey) -> None:
    """Remove the diversion of a flow, if there is one."""
    diversion = state.diversions.pop(key, None)
    if diversion is None:
        return
    record_counts.decrement(
        state, diversion.pool, diversion.bucket, diversion.placed_view
    )


def get_idle_timeout_ms(state: State, diversion: records.Diversion) -> int:
    """Return after how many ms without a packet a diversion is removed.

    With a diversion, a packet is passed to the flow's owner without a search
    among the members, and all copies of an opening go to the same target.
    Short flows do not need this for long, and a diversion that is kept for
    longer than needed costs memory at this agent.
    """
    service = state.services_by_number.get(diversion.service)
    if diversion.caller_closed or service is None:
        return CALLER_CLOSED_TIMEOUT_MS
    match service.traffic:
        case services.Board():
            return service.limits.idle_ms
        case services.Booking() | services.Upload() | services.Download():
            return min(service.limits.idle_ms, SHORT_FLOW_TIMEOUT_MS)
