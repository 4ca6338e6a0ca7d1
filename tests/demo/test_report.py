"""Tests of the demonstration's report, fault injection and scenarios."""

import collections
import dataclasses
import pathlib
import random
import types

import builders
import pytest

from demo import changes
from demo import faults
from demo import report
from demo import scenarios
from demo import upstreams
from demo import work

FIRST_UNPLANNED_AT_S = 50.0


def run_report(
    tmp_path: pathlib.Path,
    results=None,
    tally=None,
    statuses=None,
    blackholed_flows=(),
):
    """Return whether the report says that every guarantee held."""
    testbed = types.SimpleNamespace(
        plan=types.SimpleNamespace(folder=tmp_path),
        processes=types.SimpleNamespace(roles={}),
        fabric=types.SimpleNamespace(blackholed_flows=blackholed_flows),
        tally=tally or upstreams.Tally(),
        faults=faults.FaultInjector(faults.NO_FAULTS, random.Random(1)),
    )
    run_log = changes.RunLog(0.0, FIRST_UNPLANNED_AT_S, statuses or {})
    flawless_results = work.Results(opened_count=1, completed_count=1)
    run_results = dataclasses.replace(flawless_results, **(results or {}))
    return report.print_report(testbed, run_results, run_log, [])


def flow_broken_at(exchange_started_at):
    """Return results with one flow whose failed exchange began at a time."""
    return {
        'broken_flows': [
            work.BrokenFlow('board-1', 'reset', exchange_started_at)
        ]
    }


@pytest.mark.parametrize(
    ('outcome', 'holds'),
    [
        ({}, True),
        ({'results': {'completed_count': 0}}, False),
        ({'results': flow_broken_at(FIRST_UNPLANNED_AT_S - 1)}, False),
        ({'results': flow_broken_at(FIRST_UNPLANNED_AT_S + 1)}, True),
        ({'results': {'wrong_answers': 1}}, False),
        ({'results': {'damaged_uploads': 1}}, False),
        ({'tally': upstreams.Tally(misdelivered_packets=1)}, False),
        ({'tally': upstreams.Tally(flows_opened_late_in_drain=1)}, False),
        ({'tally': upstreams.Tally(collections.Counter(a=2))}, False),
        ({'statuses': {'entry-1': 1}}, False),
        ({'blackholed_flows': [builders.flow_key()]}, False),
        (
            {
                'tally': upstreams.Tally(collections.Counter(a=1)),
                'results': {'refused_names': {'a'}},
            },
            False,
        ),
    ],
)
def test_the_report_tells_whether_every_guarantee_held(
    tmp_path, outcome, holds
):
    assert run_report(tmp_path, **outcome) is holds


def test_equal_seeds_give_equal_faults():
    def draw_delays(seed):
        fault_injector = faults.FaultInjector(
            faults.FaultRates(), random.Random(seed)
        )
        return [
            list(fault_injector.draw_copy_delays(True)) for _ in range(2_000)
        ]

    assert draw_delays(1) == draw_delays(1) != draw_delays(2)


def test_the_fault_injector_draws_every_kind_of_fault():
    fault_injector = faults.FaultInjector(
        faults.FaultRates(), random.Random(1)
    )
    copies = [
        len(list(fault_injector.draw_copy_delays(True))) for _ in range(5_000)
    ]
    assert {0, 1, 2} <= set(copies)
    assert (
        all(fault_injector.counts.values()) and len(fault_injector.counts) == 4
    )


def test_every_scenario_has_an_example_catalogue():
    for user in scenarios.POOLS:
        assert (scenarios.EXAMPLES / user / 'catalogue.yaml').is_file()
