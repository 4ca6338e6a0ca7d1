"""Print the results of a run and check its guarantees."""

import dataclasses

from demo import balance
from demo import changes
from demo import testbed as testbeds
from demo import work
from gentianspoke.core import packets
from gentianspoke.core import verdicts
from gentianspoke.decisions.timeline import flow_failures
from gentianspoke.decisions.timeline import merging
from gentianspoke.telemetry import event_files
from gentianspoke.telemetry import event_lines

MAX_SHOWN_BROKEN_FLOWS = 10
NAME_WIDTH = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A line of the table of results.

    ``maximum`` and ``minimum`` are the bounds that a guarantee sets for the
    value; ``None`` means no bound.
    """

    name: str
    value: int
    maximum: int | None = None
    minimum: int | None = None

    @property
    def is_satisfied(self) -> bool:
        """Return whether the value is within its bounds."""
        if self.minimum is not None and self.value < self.minimum:
            return False
        return self.maximum is None or self.value <= self.maximum


def print_report(
    testbed: testbeds.Testbed,
    results: work.Results,
    run_log: changes.RunLog,
    samples: list[balance.Sample],
) -> bool:
    """Print the results and return whether every guarantee held.

    The return value is also false if no flow was completed.
    """
    rows = [
        *_make_flow_rows(testbed, results, run_log),
        *_make_process_rows(run_log),
    ]
    rows += _make_time_line_rows(testbed)
    print()
    for row in rows:
        violation_mark = '' if row.is_satisfied else '  PROMISE BROKEN'
        print(f'{row.name:{NAME_WIDTH}}{row.value:>8}{violation_mark}')
    _print_balance(samples)
    for name, count in sorted(testbed.faults.counts.items()):
        print(f'{"fabric: packets " + name:{NAME_WIDTH}}{count:>8}')
    for flow in results.broken_flows[:MAX_SHOWN_BROKEN_FLOWS]:
        broken_at_s = flow.exchange_started_at - run_log.started_at
        print(f'  broken: {flow.name} at {broken_at_s:.1f} s: {flow.reason}')
    return (
        all(row.is_satisfied for row in rows) and results.completed_count > 0
    )


def _make_flow_rows(
    testbed: testbeds.Testbed, results: work.Results, run_log: changes.RunLog
) -> list[Row]:
    booking_runs = testbed.tally.booking_runs
    broken_after_unplanned_count = sum(
        flow.exchange_started_at >= run_log.first_unplanned_change_at
        for flow in results.broken_flows
    )
    return [
        Row('flows opened', results.opened_count),
        Row('whole', results.completed_count),
        Row('refused as not run', results.refused_count),
        Row(
            'broken by planned changes',
            len(results.broken_flows) - broken_after_unplanned_count,
            0,
        ),
        Row('broken after unplanned changes', broken_after_unplanned_count),
        Row('wrong answer', results.wrong_answers, 0),
        Row('damaged uploads', results.damaged_uploads, 0),
        Row('run twice', sum(count > 1 for count in booking_runs.values()), 0),
        Row(
            'refused as not run, yet run',
            sum(name in booking_runs for name in results.refused_names),
            0,
        ),
        Row(
            'delivered to a wrong service',
            testbed.tally.misdelivered_packets,
            0,
        ),
        Row(
            'opened 3 s or more into a drain',
            testbed.tally.flows_opened_late_in_drain,
            0,
        ),
    ]


def _make_process_rows(run_log: changes.RunLog) -> list[Row]:
    return [
        Row(f'exit status of {instance}', status, 0)
        for instance, status in sorted(run_log.exit_statuses.items())
        if status
    ]


def _make_time_line_rows(testbed: testbeds.Testbed) -> list[Row]:
    """Return the rows about the events in the logs of all processes.

    This function also prints a summary of the explained flow failures of each
    service. The caller prints the rows afterwards.
    """
    counts = event_files.ReadCounts()
    paths = [
        str(testbed.plan.folder / f'{name}.jsonl')
        for name in testbed.processes.roles
    ]
    collector = flow_failures.FailureCollector()
    unknown_kind_count = 0
    for event in merging.merge(event_files.open_streams(paths, counts)):
        unknown_kind_count += event.kind not in event_lines.MODELS_BY_KIND
        collector.process_event(event)
    failures = collector.finish()
    for summary in flow_failures.summarize_failures(failures):
        print(
            f'explained: {summary.service}: {summary.failures} flows, most'
            f' by the {summary.verdict}; {dict(summary.reasons)}'
        )
    blackholed_flows = {
        packets.describe_key(key) for key in testbed.fabric.blackholed_flows
    }
    flows_blamed_on_network = {
        failure.flow
        for failure in failures
        if failure.finding.fault is verdicts.Fault.NETWORK
    }
    return [
        Row(
            'silent flow blamed on the network',
            len(blackholed_flows & flows_blamed_on_network),
            minimum=len(blackholed_flows),
        ),
        Row('events of the time line', counts.events),
        Row('events that the schema does not know', unknown_kind_count, 0),
        Row('log lines that are no events', counts.unrecognized_lines, 0),
    ]


def _print_balance(samples: list[balance.Sample]) -> None:
    print('boards on each upstream that takes new ones, max/mean:')
    for sample in samples:
        boards = ' '.join(f'{count:>5}' for count in sample.board_counts)
        print(f'{sample.seconds:6.1f} s  {sample.imbalance:6.3f}  {boards}')
