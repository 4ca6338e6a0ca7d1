"""The retry budget: which share of openings may be offered once more.

Every opening that an agent decides on earns ``retry_permille`` thousandths
of a further offer; each further offer spends a whole one. Openings beyond
that are refused, so that an overload is not multiplied by its retries.
"""

from gentianspoke.core import services
from gentianspoke.decisions.agent import state as agent_state

OFFER_COST = 1_000
# Openings whose share may be saved up for a short burst.
MAX_SAVED_OPENINGS = 50


def deposit(state: agent_state.AgentState, service: services.Service) -> None:
    """Add the share of one opening to the budget of its service."""
    balance = _balance(state, service) + service.limits.retry_permille
    state.budgets[service.number] = min(_max_balance(service), balance)


def withdraw(state: agent_state.AgentState, service: services.Service) -> bool:
    """Take a further offer from the budget; return whether there was one."""
    balance = _balance(state, service)
    if balance < OFFER_COST:
        return False
    state.budgets[service.number] = balance - OFFER_COST
    return True


def _balance(state: agent_state.AgentState, service: services.Service) -> int:
    return state.budgets.get(service.number, _max_balance(service))


def _max_balance(service: services.Service) -> int:
    return service.limits.retry_permille * MAX_SAVED_OPENINGS
