"""Functions that build events of the time line for tests."""

from gentianspoke.core import verdicts
from gentianspoke.decisions.timeline import events

FLOW = 'tcp 10.9.0.1:5000 > 10.1.0.1:443'


def event(
    body: events.Body = events.OtherKind(),
    instance: str = 'agent-1',
    logical: int = 1,
    wall_ms: int = 1_000,
    role: str = 'agent',
    service: str = '',
    flow: str = '',
    kind: str = 'some-kind',
) -> events.Event:
    """Return an event that, by default, an agent has written."""
    return events.Event(
        kind, instance, role, logical, wall_ms, service, flow, (), body
    )


def verdict(
    fault: verdicts.Fault = verdicts.Fault.NETWORK,
    outcome: verdicts.Outcome = verdicts.Outcome.SILENT,
    **evidence: int,
) -> events.FlowVerdict:
    """Return the body of an event that holds an agent's verdict on a flow.

    ``evidence`` holds the measured values on which the verdict rests.
    """
    agent_verdict = verdicts.Verdict(
        outcome, fault, 'some reason', tuple(evidence.items())
    )
    return events.FlowVerdict(agent_verdict)
