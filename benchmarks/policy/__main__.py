"""Measure the broken flows and the load imbalance of placement rules.

Command: ``make bench-policy``. The sizes are those of two users, Tirnica and
Aromas del Plata. Each of them has 7 upstreams behind 3 entries, and about
2,000 connections to each upstream. A load bound is the greatest load that an
upstream may have, relative to the mean load. The two users need different
bounds: broken flows and hops matter most to Tirnica, and the imbalance to
Aromas del Plata.
"""

import collections.abc
import pathlib
import time

from benchmarks.policy import baselines
from benchmarks.policy import bucket_homes
from benchmarks.policy import placement_rules
from benchmarks.policy import scenarios

SEED = 20_261_204
MEMBER_COUNT = 7
ENTRY_COUNT = 3
FLOW_COUNT = 14_000
LOAD_BOUNDS_PERMILLE = (1_050, 1_020)
RESULT_FILE = pathlib.Path(__file__).parent.parent / 'results' / 'policy.md'
HEADER = (
    '| scenario | rule | broken | lost with upstream | refused |'
    ' imbalance | hops | diverted |\n'
    '| --- | --- | --- | --- | --- | --- | --- | --- |\n'
)

RuleFactory = collections.abc.Callable[[], placement_rules.PlacementRule]


def make_rule_factories() -> list[RuleFactory]:
    """Return functions that create the rules to compare."""
    factories: list[RuleFactory] = [
        lambda: baselines.PlainHash(MEMBER_COUNT, ENTRY_COUNT),
        lambda: baselines.TwoChoices(MEMBER_COUNT, ENTRY_COUNT),
    ]
    for bound in LOAD_BOUNDS_PERMILLE:
        factories.append(
            lambda bound=bound: bucket_homes.BucketHomes(
                MEMBER_COUNT, ENTRY_COUNT, bound
            )
        )
    return factories


def measure_row(scenario: scenarios.Scenario, make_rule: RuleFactory) -> str:
    """Run one rule under one scenario and return its table row."""
    rule = make_rule()
    run = scenarios.Run(rule, ENTRY_COUNT, FLOW_COUNT, SEED)
    results = run.run(scenario)
    diverted_share = results.diverted / results.opened
    return (
        f'| {scenario.name} | {rule.name} | {results.broken} |'
        f' {results.lost_with_upstream} | {results.refused} |'
        f' {results.compute_mean_imbalance():.3f} |'
        f' {results.compute_mean_hops():.2f} |'
        f' {diverted_share:.1%} |'
    )


def main() -> None:
    """Run all rules under all scenarios and print a table of the results.

    The table is also written to ``RESULT_FILE``, with the command and the
    seed.
    """
    lines = [
        '# Broken flows and imbalance of placement rules\n',
        f'Command: `make bench-policy`; seed {SEED}; {MEMBER_COUNT} upstreams,'
        f' {ENTRY_COUNT} entries, {FLOW_COUNT} flows,'
        f' {scenarios.NEW_FLOWS_PER_STEP} new and closed each'
        f' {scenarios.STEP_MS} ms.',
        'Imbalance is the mean over time of greatest over mean open flows;'
        ' hops are those of later packets after the entry; diverted is the'
        ' share of openings after the fill. Two-choice pairs are given fresh'
        ' counts, which no real entry has.\n',
    ]
    print(HEADER, end='')
    rows: list[str] = []
    for scenario in scenarios.build_scenarios(MEMBER_COUNT):
        for make_rule in make_rule_factories():
            start_s = time.perf_counter()
            rows.append(measure_row(scenario, make_rule))
            print(
                rows[-1], f'{time.perf_counter() - start_s:.1f} s', flush=True
            )
    text = '\n'.join(lines) + '\n' + HEADER + '\n'.join(rows) + '\n'
    RESULT_FILE.write_text(text)


if __name__ == '__main__':
    main()
