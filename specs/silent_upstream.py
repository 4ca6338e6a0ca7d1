"""Specification of the rule that silence does not show ownership.

Agent 0 has restarted while its upstream kept running, and does not know which
flows its upstream has. It delivers a packet of an unknown flow to the
upstream, which returns the packet if it does not know the flow. An upstream
that is down returns nothing. The rule is in
``decisions/agent/handshake_flows.py``: after the wait, the agent passes on the
flow's packets, but only a segment of the upstream makes the flow its own. When
the upstream restarts, the agent resets the callers of its own flows.

The property: no caller is reset while its flow is open at the other upstream.
"""

import enum
import typing

from specs import checking

OWN = 0
OTHER = 1
NOBODY = -1
# The upstreams that may have the flow at the start of a search.
HOLDERS = (OWN, OTHER)


class Mistake(enum.Enum):
    """A rule that the specification leaves out on purpose."""

    SILENCE = 'a recovering agent takes silence for ownership'


class Claim(enum.Enum):
    """What agent 0 holds of the flow."""

    UNKNOWN = 'unknown'
    DELIVERED = 'delivered'
    PRESUMED = 'presumed'
    SHOWN = 'shown'
    RETURNED = 'returned'


class State(typing.NamedTuple):
    """Agent 0, its upstream, and the upstream that has the flow open."""

    holder: int
    upstream_is_up: bool
    claim: Claim
    was_reset_open: bool
    stops: int


class SilentUpstream:
    """The specification; ``mistake`` names the rule that it leaves out."""

    name = 'silent-upstream'
    fields: tuple[str, ...] = State._fields

    def __init__(self, holder: int, mistake: Mistake | None = None) -> None:
        """Start after the restart of agent 0; ``holder`` has the flow."""
        self.mistake = mistake
        self.initial: tuple = State(holder, True, Claim.UNKNOWN, False, 2)
        self.invariants: checking.Invariants = {
            'no-open-flow-is-reset': lambda state: not state['was_reset_open']
        }

    def successors(self, state: tuple) -> list[checking.Step]:
        """Return all steps that are possible in a state."""
        current = State(*state)
        steps = self._list_upstream_steps(current)
        match current.claim:
            case Claim.UNKNOWN:
                steps.append(_claim(current, Claim.DELIVERED, 'delivers'))
            case Claim.DELIVERED:
                steps.append(_claim(current, Claim.PRESUMED, 'has waited'))
        return steps

    def _list_upstream_steps(self, state: State) -> list[checking.Step]:
        if not state.upstream_is_up:
            return [('upstream 0 restarts', self._restart(state))]
        steps: list[checking.Step] = []
        if state.stops:
            down = state._replace(upstream_is_up=False, stops=state.stops - 1)
            steps.append(('upstream 0 goes down', down))
        if state.claim in (Claim.DELIVERED, Claim.PRESUMED):
            if state.holder == OWN:
                steps.append(_claim(state, Claim.SHOWN, 'gets an answer'))
            else:
                steps.append(
                    _claim(state, Claim.RETURNED, 'gets the packet back')
                )
        return steps

    def _restart(self, state: State) -> State:
        holder = NOBODY if state.holder == OWN else state.holder
        is_own = state.claim is Claim.SHOWN or (
            self.mistake is Mistake.SILENCE and state.claim is Claim.PRESUMED
        )
        return state._replace(
            holder=holder,
            upstream_is_up=True,
            claim=Claim.UNKNOWN,
            was_reset_open=is_own and holder != NOBODY,
        )


def _claim(state: State, claim: Claim, label: str) -> checking.Step:
    return f'agent 0 {label}', state._replace(claim=claim)
