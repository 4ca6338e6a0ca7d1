"""Collection of failed flows from events, and totals for each service."""

import collections
import dataclasses

from gentianspoke.core import shares
from gentianspoke.core import verdicts
from gentianspoke.decisions.timeline import attribution
from gentianspoke.decisions.timeline import context
from gentianspoke.decisions.timeline import events

UNKNOWN = 'unknown'
# The longest time between the event of an agent's verdict on a flow and the
# event of the same agent's reset or refusal of that flow.
SAME_FLOW_WINDOW_MS = 1_000
UNNAMED_SERVICE = '?'


@dataclasses.dataclass(slots=True)
class Failure:
    """One failed flow, merged from all events that report its failure.

    ``event_count`` is the number of these events. ``instances`` holds the
    names of the instances that wrote them. ``first_wall_ms`` and
    ``last_wall_ms`` are the times of the first and the last of them, in wall
    clock milliseconds since 1970.
    """

    flow: str
    service: str
    first_wall_ms: int
    last_wall_ms: int
    finding: attribution.Finding
    instances: set[str]
    event_count: int = 1

    @property
    def fault(self) -> str:
        """The name of the part at fault, or ``unknown``."""
        fault = self.finding.fault
        return fault.value if fault is not None else UNKNOWN


@dataclasses.dataclass(slots=True)
class ServiceSummary:
    """The numbers of failed flows of one service.

    ``failures`` counts all of them, and ``not_run`` the refused openings.
    ``faults`` counts the failures by the part at fault, and ``reasons``
    counts them by the part at fault and the reason.
    """

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
        """The part at fault for the most failures, or ``none``."""
        return self.faults.most_common(1)[0][0] if self.faults else 'none'

    @property
    def share_permille(self) -> int:
        """The share of failures with ``verdict`` at fault, in thousandths."""
        if not self.failures:
            return 0
        return self.faults[self.verdict] * shares.PERMILLE // self.failures


class FailureCollector:
    """Collects failures from events in causal order.

    It stores one record for each failed flow. Flows that end normally write
    no events and use no memory here.
    """

    def __init__(self) -> None:
        """Create a collector without failures."""
        self.context = context.Context()
        self.failures: list[Failure] = []
        self._omitted_counts: collections.Counter[str] = collections.Counter()
        self._latest_failures: dict[str, Failure] = {}
        self._services_by_endpoint: dict[str, str] = {}

    def process_event(self, event: events.Event) -> None:
        """Process the next event in causal order."""
        context.update(self.context, event)
        match event.body:
            case events.EventsOmitted(count=count):
                self._omitted_counts[event.instance] += count
        if event.flow and event.service:
            self._services_by_endpoint[_parse_endpoint(event.flow)] = (
                event.service
            )
        finding = attribution.attribute_failure(event, self.context)
        if finding is None:
            return
        failure = self._latest_failures.get(event.flow)
        if failure is None or not _is_same_flow(failure, event, finding):
            self._add_failure(event, finding)
        else:
            _merge_event(failure, event, finding)

    def finish(self) -> list[Failure]:
        """Return the failures, after completing their service names.

        A failure whose events name only the flow gets the service of
        another flow to the same address and port. If there is no such flow,
        it gets ``UNNAMED_SERVICE``.
        """
        for failure in self.failures:
            if not failure.service:
                failure.service = self._services_by_endpoint.get(
                    _parse_endpoint(failure.flow), UNNAMED_SERVICE
                )
        return self.failures

    def describe_missing_events(self) -> list[str]:
        """Return texts on missing events, which may concern any flow."""
        crash_texts = [
            f'{name} ended without a planned stop; its last events before'
            ' that may be missing'
            for name, state in sorted(self.context.instances.items())
            if state.restarted_after_crash_ms is not None
        ]
        return crash_texts + [
            f'{name} reached its event limit: {count} events were not written'
            for name, count in sorted(self._omitted_counts.items())
        ]

    def _add_failure(
        self, event: events.Event, finding: attribution.Finding
    ) -> None:
        failure = Failure(
            event.flow,
            event.service,
            event.wall_ms,
            event.wall_ms,
            finding,
            {event.instance},
        )
        self.failures.append(failure)
        self._latest_failures[event.flow] = failure


def summarize_failures(failures: list[Failure]) -> list[ServiceSummary]:
    """Return the totals of each service, most failures first."""
    summaries: dict[str, ServiceSummary] = {}
    for failure in failures:
        summary = summaries.setdefault(
            failure.service, ServiceSummary(failure.service)
        )
        summary.failures += 1
        outcome = failure.finding.outcome
        summary.not_run += outcome is verdicts.Outcome.REFUSED_NOT_RUN
        summary.faults[failure.fault] += 1
        summary.reasons[(failure.fault, failure.finding.reason)] += 1
    return sorted(summaries.values(), key=lambda item: -item.failures)


def _is_same_flow(
    failure: Failure, event: events.Event, finding: attribution.Finding
) -> bool:
    # A later flow may use the same five-tuple, so the five-tuple alone does
    # not identify a flow. An agent gives one verdict for each flow, at about
    # the time of its refusal or reset of the flow. A failure without a verdict
    # therefore gets any event of its five-tuple, and a failure with a verdict
    # gets no second one.
    if failure.finding.weight < attribution.VERDICT_WEIGHT:
        return True
    if finding.weight == attribution.VERDICT_WEIGHT:
        return False
    # An agent gives this reason only for a retransmitted opening of a flow
    # that the agent has already refused.
    if finding.reason == attribution.REFUSED_BEFORE:
        return True
    is_near = event.wall_ms - failure.last_wall_ms <= SAME_FLOW_WINDOW_MS
    return is_near and event.instance in failure.instances


def _merge_event(
    failure: Failure, event: events.Event, finding: attribution.Finding
) -> None:
    failure.event_count += 1
    failure.last_wall_ms = event.wall_ms
    failure.instances.add(event.instance)
    failure.service = failure.service or event.service
    if finding.weight > failure.finding.weight:
        evidence = dict.fromkeys(finding.evidence + failure.finding.evidence)
        failure.finding = dataclasses.replace(
            finding, evidence=tuple(evidence)
        )


def _parse_endpoint(flow: str) -> str:
    protocol, _, rest = flow.partition(' ')
    return f'{protocol} {rest.rpartition(" > ")[2]}'
