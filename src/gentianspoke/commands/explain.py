"""Define the subcommand that explains why flows failed."""

import dataclasses
import json
import typing

import cappa

from gentianspoke.commands import printing
from gentianspoke.commands import timeline
from gentianspoke.decisions.timeline import filtering
from gentianspoke.decisions.timeline import flow_failures
from gentianspoke.telemetry import event_files

DEFAULT_MAX_FLOWS = 20
MAX_REASONS_SHOWN = 10
PERMILLE_PER_PERCENT = 10


@cappa.command(name='explain')
@dataclasses.dataclass
class Explain:
    """Explain why flows failed and which part of their path was at fault."""

    files: timeline.Files
    service: typing.Annotated[
        str, cappa.Arg(long='--service', help='Only this service.')
    ] = ''
    flow: typing.Annotated[
        str,
        cappa.Arg(
            long='--flow', help='Only flows whose printed form contains this.'
        ),
    ] = ''
    since: timeline.Since = ''
    until: timeline.Until = ''
    limit: typing.Annotated[
        int,
        cappa.Arg(long='--limit', help='Maximum number of flows to show.'),
    ] = DEFAULT_MAX_FLOWS
    as_json: timeline.AsJson = False

    def __call__(self) -> None:
        """Print totals for each service, then failed flows, then unknowns.

        At most ``limit`` flows are printed. The unknowns state what cannot be
        determined, for example because a file contains no event.
        """
        since_ms = timeline.parse_time_ms('--since', self.since)
        until_ms = timeline.parse_time_ms('--until', self.until)
        counts = event_files.ReadCounts()
        collector = flow_failures.FailureCollector()
        for event in timeline.merge_events(self.files, counts):
            collector.process_event(event)
        matching_failures = [
            failure
            for failure in collector.finish()
            if self._matches(failure)
            and filtering.is_within(failure.first_wall_ms, since_ms, until_ms)
        ]
        unknowns = collector.describe_missing_events() + _describe_unknowns(
            counts, bool(matching_failures)
        )
        print_result = _print_json if self.as_json else _print_text
        print_result(matching_failures, self.limit, unknowns)

    def _matches(self, failure: flow_failures.Failure) -> bool:
        if self.service and failure.service != self.service:
            return False
        return self.flow in failure.flow


def _describe_unknowns(
    counts: event_files.ReadCounts, has_failures: bool
) -> list[str]:
    unknowns = [
        f'{path} contains no event: its process wrote none, or writes its log'
        ' to another file'
        for path in counts.files_without_events
    ]
    if counts.truncated_lines or counts.unrecognized_lines:
        unknowns.append(
            f'{counts.truncated_lines} truncated last lines and'
            f' {counts.unrecognized_lines} unrecognized lines were skipped'
        )
    if not has_failures:
        unknowns.append(
            'no process reported a failure: the flows ended without one, or'
            ' their packets never reached the balancer (then the network or'
            ' the caller is at fault), or the log of their agent was not'
            ' given; pass the log files of all agents'
        )
    return unknowns


def _print_text(
    failures: list[flow_failures.Failure], limit: int, unknowns: list[str]
) -> None:
    for summary in flow_failures.summarize_failures(failures):
        _print_summary(summary)
    for failure in failures[:limit]:
        _print_failure(failure)
    if len(failures) > limit:
        print(f'{len(failures) - limit} more flows; raise --limit to see them')
    for unknown in unknowns:
        _print_line(f'unknown: {unknown}')


def _print_line(text: str) -> None:
    print(printing.escape_unprintable(text))


def _print_summary(summary: flow_failures.ServiceSummary) -> None:
    share = summary.share_permille / PERMILLE_PER_PERCENT
    _print_line(
        f'service {summary.service}: {summary.failures} flows failed,'
        f' {summary.not_run} of them refused as not run;'
        f' at fault: {summary.verdict} ({share:.1f}%)'
    )
    for (fault, reason), count in summary.reasons.most_common(
        MAX_REASONS_SHOWN
    ):
        _print_line(f'  {count:>8}  {fault:<9} {reason}')


def _print_failure(failure: flow_failures.Failure) -> None:
    finding = failure.finding
    _print_line(
        f'flow {failure.flow} ({failure.service})'
        f' at {timeline.format_time(failure.first_wall_ms)}:'
        f' {finding.outcome.value}; at fault: {failure.fault}'
        f' ({finding.reason})'
    )
    reported_by = ', '.join(sorted(failure.instances))
    _print_line(
        f'    reported by {reported_by} in {failure.event_count} events'
    )
    for text in finding.evidence:
        _print_line(f'    evidence: {text}')
    for text in finding.unknown:
        _print_line(f'    unknown: {text}')


def _print_json(
    failures: list[flow_failures.Failure], limit: int, unknowns: list[str]
) -> None:
    services = [
        {
            'service': summary.service,
            'failures': summary.failures,
            'not_run': summary.not_run,
            'at_fault': summary.verdict,
            'faults': dict(summary.faults),
        }
        for summary in flow_failures.summarize_failures(failures)
    ]
    flows = [_build_failure_content(failure) for failure in failures[:limit]]
    print(
        json.dumps({'services': services, 'flows': flows, 'unknown': unknowns})
    )


def _build_failure_content(
    failure: flow_failures.Failure,
) -> dict[str, typing.Any]:
    return {
        'flow': failure.flow,
        'service': failure.service,
        'wall_ms': failure.first_wall_ms,
        'outcome': failure.finding.outcome.value,
        'at_fault': failure.fault,
        'reason': failure.finding.reason,
        'evidence': failure.finding.evidence,
        'unknown': failure.finding.unknown,
        'instances': sorted(failure.instances),
    }
