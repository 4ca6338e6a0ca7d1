"""Retry budget: a token bucket that limits further offers of openings.

The budget of a service is full at first. Every new opening that an agent
places as the home, and every opening that is offered to the agent, adds
``retry_permille`` thousandths of an offer to the budget of its service. A
further offer costs a whole offer: the agent makes one if it cannot admit at
once an opening that was offered to it, or if its upstream has returned an
opening. The offer with which a home diverts a new opening costs nothing. An
opening gets no further offer when the budget is used up, so that retries do
not multiply the load in an overload.
"""

from gentianspoke.core import services
from gentianspoke.decisions.agent import state as agent_state

# Cost of an offer to a further member, in thousandths of an offer.
OFFER_COST_PERMILLE = 1_000
# Capacity of the budget, as the number of openings whose shares it can hold.
# It allows a short burst of further offers.
MAX_SAVED_OPENINGS = 50


def deposit(state: agent_state.AgentState, service: services.Service) -> None:
    """Add the share of one opening to the budget of the service."""
    balance = _get_balance(state, service) + service.limits.retry_permille
    state.retry_budgets[service.number] = min(
        _get_max_balance(service), balance
    )


def withdraw(state: agent_state.AgentState, service: services.Service) -> bool:
    """Withdraw the cost of one offer; return whether the budget covers it."""
    balance = _get_balance(state, service)
    if balance < OFFER_COST_PERMILLE:
        return False
    state.retry_budgets[service.number] = balance - OFFER_COST_PERMILLE
    return True


def _get_balance(
    state: agent_state.AgentState, service: services.Service
) -> int:
    return state.retry_budgets.get(service.number, _get_max_balance(service))


def _get_max_balance(service: services.Service) -> int:
    return service.limits.retry_permille * MAX_SAVED_OPENINGS
