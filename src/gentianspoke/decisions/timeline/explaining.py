"""Failures of flows and their sum for each service."""

import collections
import dataclasses

from gentianspoke.core import shares
from gentianspoke.core import verdicts
from gentianspoke.decisions.timeline import attribution
from gentianspoke.decisions.timeline import context
from gentianspoke.decisions.timeline import events

UNKNOWN = 'unknown'
# How long after an agent's verdict its own reset or refusal may be written.
SAME_FLOW_WINDOW_MS = 1_000
UNNAMED_SERVICE = '?'


@dataclasses.dataclass(slots=True)
class Failure:
    """One flow that failed, by all events that told so.

    ``events`` counts them; ``instances`` wrote them.
    """

    flow: str
    service: str
    first_wall_ms: int
    last_wall_ms: int
    finding: attribution.Finding
    instances: set[str]
    events: int = 1

    @property
    def fault(self) -> str:
        """The part at fault, ``unknown`` where none can be named."""
        fault = self.finding.fault
        return fault.value if fault is not None else UNKNOWN


@dataclasses.dataclass(slots=True)
class ServiceSummary:
    """The failures of one service, by part at fault and by reason."""

    service: str
    failures: int = 0
    not_run: int = 0
    faults: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    reasons: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def verdict(self) -> str:
        """The part that most failures are attributed to."""
        return self.faults.most_common(1)[0][0] if self.faults else 'none'

    @property
    def share_permille(self) -> int:
        """The share of failures behind the verdict, in thousandths."""
        if not self.failures:
            return 0
        return self.faults[self.verdict] * shares.PERMILLE // self.failures


class Explainer:
    """Collects failures from events in causal order.

    It holds one record for each failed flow; flows that ended whole write
    no event and cost nothing.
    """

    def __init__(self) -> None:
        """Begin without a failure."""
        self.context = context.Context()
        self.failures: list[Failure] = []
        self._omitted: collections.Counter[str] = collections.Counter()
        self._latest: dict[str, Failure] = {}
        self._services: dict[str, str] = {}

    def take(self, event: events.Event) -> None:
        """Take the next event."""
        context.record(self.context, event)
        match event.body:
            case events.EventsOmitted(count=count):
                self._omitted[event.instance] += count
        if event.flow and event.service:
            self._services[_endpoint(event.flow)] = event.service
        finding = attribution.find(event, self.context)
        if finding is None:
            return
        known = self._latest.get(event.flow)
        if known is None or not _is_same_flow(known, event, finding):
            self._add(event, finding)
        else:
            _merge(known, event, finding)

    def finish(self) -> list[Failure]:
        """Return the failures, with services filled in where learnt.

        An event that names only the flow gets the service of another
        flow to the same address and port.
        """
        for failure in self.failures:
            if not failure.service:
                failure.service = self._services.get(
                    _endpoint(failure.flow), UNNAMED_SERVICE
                )
        return self.failures

    def unknown(self) -> list[str]:
        """Return what the events leave open for all flows."""
        ended = [
            f'{name} ended without a planned stop; its last events before'
            ' that may be missing'
            for name, state in sorted(self.context.instances.items())
            if state.crashed_ms is not None
        ]
        return ended + [
            f'{name} had too much to tell: {count} events were not written'
            for name, count in sorted(self._omitted.items())
        ]

    def _add(self, event: events.Event, finding: attribution.Finding) -> None:
        failure = Failure(
            event.flow,
            event.service,
            event.wall_ms,
            event.wall_ms,
            finding,
            {event.instance},
        )
        self.failures.append(failure)
        self._latest[event.flow] = failure


def summarise(failures: list[Failure]) -> list[ServiceSummary]:
    """Return the sum for each service, the one that fails most first."""
    found: dict[str, ServiceSummary] = {}
    for failure in failures:
        summary = found.setdefault(
            failure.service, ServiceSummary(failure.service)
        )
        summary.failures += 1
        outcome = failure.finding.outcome
        summary.not_run += outcome is verdicts.Outcome.REFUSED_NOT_RUN
        summary.faults[failure.fault] += 1
        summary.reasons[(failure.fault, failure.finding.reason)] += 1
    return sorted(found.values(), key=lambda item: -item.failures)


def _is_same_flow(
    known: Failure, event: events.Event, finding: attribution.Finding
) -> bool:
    # A later flow may use the same five-tuple: an agent gives one verdict
    # for each flow, at about the time of its refusal or reset.
    if known.finding.weight < attribution.VERDICT_WEIGHT:
        return True
    if finding.weight == attribution.VERDICT_WEIGHT:
        return False
    if finding.reason == attribution.REFUSED_BEFORE:
        return True
    is_near = event.wall_ms - known.last_wall_ms <= SAME_FLOW_WINDOW_MS
    return is_near and event.instance in known.instances


def _merge(
    known: Failure, event: events.Event, finding: attribution.Finding
) -> None:
    known.events += 1
    known.last_wall_ms = event.wall_ms
    known.instances.add(event.instance)
    known.service = known.service or event.service
    if finding.weight > known.finding.weight:
        evidence = dict.fromkeys(finding.evidence + known.finding.evidence)
        known.finding = dataclasses.replace(finding, evidence=tuple(evidence))


def _endpoint(flow: str) -> str:
    protocol, _, rest = flow.partition(' ')
    return f'{protocol} {rest.rpartition(" > ")[2]}'
