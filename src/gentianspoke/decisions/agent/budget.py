"""The retry budget: which share of openings may be offered once more.

Every opening that an agent decides on earns ``retry_permille`` thousandths
of a further offer; each further offer spends a whole one. Openings beyond
that are refused, so that an overload is not multiplied by its retries.
"""

from gentianspoke.core import services
from gentianspoke.decisions.agent import state as agent_state

OFFER_COST = 1_000
# Openings whose share may be saved up for a short burst.
SAVED_OPENINGS = 50


def earn(state: agent_state.AgentState, service: services.Service) -> None:
    """Add the share of one opening to the budget of its service."""
    earned = _saved(state, service) + service.limits.retry_permille
    state.budgets[service.number] = min(_most(service), earned)


def spend(state: agent_state.AgentState, service: services.Service) -> bool:
    """Take a further offer from the budget; return whether there was one."""
    saved = _saved(state, service)
    if saved < OFFER_COST:
        return False
    state.budgets[service.number] = saved - OFFER_COST
    return True


def _saved(state: agent_state.AgentState, service: services.Service) -> int:
    return state.budgets.get(service.number, _most(service))


def _most(service: services.Service) -> int:
    return service.limits.retry_permille * SAVED_OPENINGS
