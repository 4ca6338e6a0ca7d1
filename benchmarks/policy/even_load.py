"""Compare today's placement with placement by capacity on load patterns.

Command: ``make bench-even-load``. The patterns are in ``patterns``. The same
arrivals are replayed with both rules, and the unequal pool of 45 also with
other intervals between the reports of a member to another one.
"""

import statistics

from benchmarks.policy import patterns
from benchmarks.policy import replay
from benchmarks.policy import replay_model
from benchmarks import tables
from gentianspoke.decisions.agent import capacity_records
from gentianspoke.decisions.agent import state as agent_state

SEED = 1
REPORT_AGES_MS = (200, 500, 1_000, 2_000, 3_000)
AGES_PATTERN = '45 unequal, waves'
HEADER = [
    'pattern',
    'rule',
    '50% ms',
    '99% ms',
    'late',
    'full or failed',
    'refused',
    'waiting 99% ms',
    'overloaded ms',
    'max/mean requests',
    'max/mean flows',
    'change a second',
    'diverted',
    'frames between agents a packet',
    'utilisation by speed',
]


def main() -> None:
    """Replay all patterns with both rules and write the table."""
    all_patterns = patterns.load_all()
    for pattern in list(all_patterns):
        if pattern.name == AGES_PATTERN:
            all_patterns += [
                patterns.with_report_age(pattern, age_ms)
                for age_ms in REPORT_AGES_MS
            ]
    rows = [
        row
        for pattern in all_patterns
        for row in (
            measure_row(pattern, 'open-flows', None),
            measure_row(pattern, 'capacity', capacity_records.EvenLoad),
        )
    ]
    tables.write(
        'even_load',
        'Placement by open flows and by capacity',
        f'make bench-even-load`, seed `{SEED}',
        HEADER,
        rows,
    )


def measure_row(
    pattern: patterns.Pattern,
    rule: str,
    make_even_load: type[capacity_records.EvenLoad] | None,
) -> list[str]:
    """Replay a pattern with one rule and return its table row."""

    def make_agent(**fields: object) -> agent_state.AgentState:
        even_load = make_even_load() if make_even_load else None
        return agent_state.AgentState(even_load=even_load, **fields)

    results = replay.Replay(pattern, make_agent, SEED).run()
    return [pattern.name, rule, *format_results(pattern, results)]


def format_results(
    pattern: patterns.Pattern, results: replay_model.Results
) -> list[str]:
    """Return the cells of the results."""
    requests = len(results.answers_ms) + results.full + results.failed
    failed = results.full + results.failed
    return [
        f'{replay_model.percentile(results.answers_ms, 0.5):.0f}',
        f'{replay_model.percentile(results.answers_ms, 0.99):.0f}',
        f'{results.late / requests:.2%}',
        f'{failed / requests:.2%}',
        f'{results.refused / results.openings:.2%}',
        f'{replay_model.percentile(results.waiting_ms, 0.99):.0f}',
        f'{results.overloaded_ms:.0f}',
        f'{statistics.mean(results.max_over_mean):.2f}',
        f'{statistics.mean(results.flows_over_mean):.2f}',
        f'{statistics.mean(results.share_changes):.2f}',
        f'{results.diverted / results.openings:.1%}',
        f'{results.frames / results.packets:.2f}',
        format_utilisations(pattern, results.utilisations),
    ]


def format_utilisations(
    pattern: patterns.Pattern, utilisations: list[float]
) -> str:
    """Return the mean utilisation of the upstreams of each speed."""
    cells: list[str] = []
    for speed in sorted(set(pattern.speeds)):
        values = [
            utilisation
            for number, utilisation in enumerate(utilisations, 1)
            if pattern.get_speed(number) == speed
        ]
        cells.append(f'{speed}: {statistics.mean(values):.2f}')
    return ', '.join(cells)


if __name__ == '__main__':
    main()
