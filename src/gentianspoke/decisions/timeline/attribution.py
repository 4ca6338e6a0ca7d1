"""Attribution of a flow's failure to a part of the path, from one event."""

import dataclasses

from gentianspoke.core import verdicts
from gentianspoke.decisions.timeline import context
from gentianspoke.decisions.timeline import events

# Evidence that a reader needs to check an agent's verdict, by outcome;
# ``verdicts.Verdict`` explains the names.
EXPECTED_EVIDENCE = {
    verdicts.Outcome.SILENT: (
        'last_up_ms_ago',
        'last_down_ms_ago',
        'up_repeats',
        'down_repeats',
    ),
}
# Weights of findings. An agent's own verdict is the most reliable, a reset
# is next, and a refusal has weight 0.
VERDICT_WEIGHT = 2
RESET_WEIGHT = 1
# The reason for refusing an opening that the caller retransmitted after an
# earlier refusal.
REFUSED_BEFORE = 'refused-before'
# Prefix of an agent's reason for the reset of a silent flow. The rest of the
# reason is the part at fault.
SILENT_PREFIX = 'silent-'
REFUSED = verdicts.Outcome.REFUSED_NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """The outcome and the part at fault that one event supports.

    ``fault`` is ``None`` if the part at fault is unknown. ``unknown`` lists
    the facts that the event leaves open. A finding replaces an earlier one on
    the same flow if its ``weight`` is greater.
    """

    outcome: verdicts.Outcome
    fault: verdicts.Fault | None
    reason: str
    evidence: tuple[str, ...] = ()
    unknown: tuple[str, ...] = ()
    weight: int = 0


def attribute_failure(
    event: events.Event, contexts: context.Context
) -> Finding | None:
    """Return the finding that an event supports.

    Its evidence includes the recent changes in ``contexts`` that may explain
    the failure. Return ``None`` if the event reports no failure of a flow.
    """
    match event.body:
        case events.FlowVerdict(verdict=verdict):
            finding = _assess_verdict(verdict)
        case events.FlowRefused(reason=reason):
            finding = _assess_refusal(reason, event, contexts)
        case events.FlowReset(reason=reason):
            finding = _assess_reset(reason, event, contexts)
        case _:
            return None
    return dataclasses.replace(
        finding,
        evidence=finding.evidence
        + context.describe_recent_changes(contexts, event),
    )


def _assess_verdict(verdict: verdicts.Verdict) -> Finding:
    evidence = tuple(f'{name}={value}' for name, value in verdict.evidence)
    present = {name for name, _ in verdict.evidence}
    unknown = [
        f'the agent gave no {name}'
        for name in EXPECTED_EVIDENCE.get(verdict.outcome, ())
        if name not in present
    ]
    if verdict.outcome is verdicts.Outcome.UNKNOWN:
        unknown.append('whether the request ran at the upstream')
    return Finding(
        verdict.outcome,
        verdict.fault,
        verdict.reason,
        evidence,
        tuple(unknown),
        weight=VERDICT_WEIGHT,
    )


def _assess_refusal(
    reason: str, event: events.Event, contexts: context.Context
) -> Finding:
    match reason:
        case 'no-capacity' | 'pool-full' | 'wait-expired' | 'draining':
            return Finding(REFUSED, verdicts.Fault.UPSTREAM, reason)
        case 'service-retired' | 'evacuated':
            return Finding(REFUSED, verdicts.Fault.NONE, reason)
        case 'no-upstream' | 'no-live-upstream':
            state = contexts.get_or_add_instance(event.instance)
            if context.has_lost_feed_recently(state, event.wall_ms):
                # The instance's view may be stale, so upstreams may exist.
                return Finding(REFUSED, verdicts.Fault.BALANCER, reason)
            return Finding(REFUSED, verdicts.Fault.UPSTREAM, reason)
        case _ if reason == REFUSED_BEFORE:
            unknown = ('the first refusal, which is not in these logs',)
            return Finding(REFUSED, None, reason, unknown=unknown)
        case _:
            unknown = ('the cause of this reason',)
            return Finding(REFUSED, None, reason, unknown=unknown)


def _assess_reset(
    reason: str, event: events.Event, contexts: context.Context
) -> Finding:
    unknown: tuple[str, ...] = ('whether the request ran at the upstream',)
    evidence: tuple[str, ...]
    fault: verdicts.Fault | None
    outcome = verdicts.Outcome.UNKNOWN
    ended_agents = [
        name
        for name, other in sorted(contexts.instances.items())
        if context.has_agent_ended_recently(other, event.wall_ms)
    ]
    match reason:
        case 'no-owner' if ended_agents:
            evidence = (
                f'no agent knows the flow since {ended_agents[0]} ended',
            )
            fault = verdicts.Fault.BALANCER
        case 'no-owner':
            evidence, fault = (), None
            unknown += ('whether the flow was ever open, and where',)
        case _ if reason.startswith(SILENT_PREFIX):
            outcome = verdicts.Outcome.SILENT
            evidence, fault = (), _parse_fault(
                reason.removeprefix(SILENT_PREFIX)
            )
            unknown += (
                'the verdict of the agent, which is not in these logs',
            )
        case _:
            evidence, fault = (), None
            unknown += ('the cause of this reason',)
    return Finding(outcome, fault, reason, evidence, unknown, RESET_WEIGHT)


def _parse_fault(name: str) -> verdicts.Fault | None:
    return next((item for item in verdicts.Fault if item.value == name), None)
