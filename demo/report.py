"""The table at the end, and whether every promise was kept."""

import dataclasses

from demo import balance
from demo import changes
from demo import testbed as stages
from demo import work
from gentianspoke.core import packets
from gentianspoke.core import verdicts
from gentianspoke.decisions.timeline import explaining
from gentianspoke.decisions.timeline import merging
from gentianspoke.telemetry import event_files
from gentianspoke.telemetry import event_lines

BREAKS_SHOWN = 10
NAME_WIDTH = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A line of the table, with what the promise allows, if anything."""

    name: str
    value: int
    most: int | None = None
    least: int | None = None

    @property
    def is_kept(self) -> bool:
        """Whether the promise was kept."""
        if self.least is not None and self.value < self.least:
            return False
        return self.most is None or self.value <= self.most


def print_report(
    stage: stages.Stage,
    results: work.Results,
    diary: changes.Diary,
    samples: list[balance.Sample],
) -> bool:
    """Print the tables; return whether every promise was kept."""
    rows = [*_flow_rows(stage, results, diary), *_process_rows(diary)]
    rows += _time_line_rows(stage)
    print()
    for row in rows:
        verdict = '' if row.is_kept else '  PROMISE BROKEN'
        print(f'{row.name:{NAME_WIDTH}}{row.value:>8}{verdict}')
    _print_balance(samples)
    for name, count in sorted(stage.faults.counts.items()):
        print(f'{"fabric: packets " + name:{NAME_WIDTH}}{count:>8}')
    for item in results.breaks[:BREAKS_SHOWN]:
        at = item.since - diary.begun
        print(f'  broken: {item.name} at {at:.1f} s: {item.reason}')
    return all(row.is_kept for row in rows) and results.whole > 0


def _flow_rows(
    stage: stages.Stage, results: work.Results, diary: changes.Diary
) -> list[Row]:
    runs = stage.tally.runs
    unplanned = sum(
        item.since >= diary.first_unplanned for item in results.breaks
    )
    return [
        Row('flows opened', results.opened),
        Row('whole', results.whole),
        Row('refused as not run', results.refused),
        Row('broken by planned changes', len(results.breaks) - unplanned, 0),
        Row('broken after unplanned changes', unplanned),
        Row('wrong answer', results.wrong_answer, 0),
        Row('damaged uploads', results.damaged_uploads, 0),
        Row('run twice', sum(count > 1 for count in runs.values()), 0),
        Row(
            'refused as not run, yet run',
            sum(name in runs for name in results.refused_ids),
            0,
        ),
        Row('delivered to a wrong service', stage.tally.wrong_service, 0),
        Row(
            'opened 3 s or more into a drain',
            stage.tally.opened_late_in_drain,
            0,
        ),
    ]


def _process_rows(diary: changes.Diary) -> list[Row]:
    return [
        Row(f'exit status of {name}', status, 0)
        for name, status in sorted(diary.statuses.items())
        if status
    ]


def _time_line_rows(stage: stages.Stage) -> list[Row]:
    counts = event_files.ReadCounts()
    paths = [
        str(stage.plan.folder / f'{name}.jsonl')
        for name in stage.processes.roles
    ]
    explainer = explaining.Explainer()
    unknown = 0
    for event in merging.merge(event_files.open_streams(paths, counts)):
        unknown += event.kind not in event_lines.MODELS
        explainer.take(event)
    failures = explainer.finish()
    for summary in explaining.summarise(failures):
        print(
            f'explained: {summary.service}: {summary.failures} flows, most'
            f' by the {summary.verdict}; {dict(summary.reasons)}'
        )
    lost = {packets.describe_key(key) for key in stage.fabric.forgotten}
    named = {
        failure.flow
        for failure in failures
        if failure.finding.fault is verdicts.Fault.NETWORK
    }
    return [
        Row(
            'silent flow blamed on the network',
            len(lost & named),
            least=len(lost),
        ),
        Row('events of the time line', counts.events),
        Row('events that the schema does not know', unknown, 0),
        Row('log lines that are no events', counts.foreign, 0),
    ]


def _print_balance(samples: list[balance.Sample]) -> None:
    print('boards on each upstream that takes new ones, max/mean:')
    for sample in samples:
        boards = ' '.join(f'{count:>5}' for count in sample.boards)
        print(f'{sample.seconds:6.1f} s  {sample.imbalance:6.3f}  {boards}')
