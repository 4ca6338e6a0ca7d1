"""The openings that an agent offered to other members."""

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.agent import placed
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

# How long a diversion serves after its caller has closed or reset.
CLOSING_MS = 60_000
# How long a diversion of short work serves without a packet.
SHORT_WORK_MS = 300_000

State = agent_state.AgentState


def add(
    state: State, key: packets.FlowKey, diversion: records.Diversion
) -> None:
    """Remember that an opening was offered to another member."""
    remove(state, key)
    state.diversions[key] = diversion
    placed.count(
        state, diversion.pool, diversion.bucket, diversion.placed_view
    )
    due_ms = diversion.used_ms + min(CLOSING_MS, idle_ms(state, diversion))
    state.diversion_schedule.add((key, diversion), due_ms)


def remove(state: State, key: packets.FlowKey) -> None:
    """Forget a diversion, if there is one for the flow."""
    diversion = state.diversions.pop(key, None)
    if diversion is None:
        return
    placed.uncount(
        state, diversion.pool, diversion.bucket, diversion.placed_view
    )


def idle_ms(state: State, diversion: records.Diversion) -> int:
    """Return after how long without a packet a diversion is forgotten.

    A diversion spares a packet the search along the trail, and keeps the
    copies of an opening together. Short work needs neither for long, and
    a diversion kept too long costs memory at its decider.
    """
    service = state.served.get(diversion.service)
    if diversion.closing or service is None:
        return CLOSING_MS
    match service.traffic:
        case services.Board():
            return service.limits.idle_ms
        case services.Booking() | services.Upload():
            return min(service.limits.idle_ms, SHORT_WORK_MS)
