"""The demonstration fails where a promise is broken."""

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

UNPLANNED_AT = 50.0


def run_report(
    tmp_path: pathlib.Path,
    results=None,
    tally=None,
    statuses=None,
    blackholed=(),
):
    """Return whether the report says that all promises were kept."""
    testbed = types.SimpleNamespace(
        plan=types.SimpleNamespace(folder=tmp_path),
        processes=types.SimpleNamespace(roles={}),
        fabric=types.SimpleNamespace(blackholed=blackholed),
        tally=tally or upstreams.Tally(),
        faults=faults.FaultInjector(faults.NO_FAULTS, random.Random(1)),
    )
    run_log = changes.RunLog(0.0, UNPLANNED_AT, statuses or {})
    completed = work.Results(opened=1, completed=1)
    changed = dataclasses.replace(completed, **(results or {}))
    return report.print_report(testbed, changed, run_log, [])


def broken_at(exchange_started_at):
    """Return results with one flow broken at a time."""
    return {
        'broken_flows': [
            work.BrokenFlow('board-1', 'reset', exchange_started_at)
        ]
    }


@pytest.mark.parametrize(
    ('outcome', 'kept'),
    [
        ({}, True),
        ({'results': {'completed': 0}}, False),
        ({'results': broken_at(UNPLANNED_AT - 1)}, False),
        ({'results': broken_at(UNPLANNED_AT + 1)}, True),
        ({'results': {'wrong_answer': 1}}, False),
        ({'results': {'damaged_uploads': 1}}, False),
        ({'tally': upstreams.Tally(wrong_service=1)}, False),
        ({'tally': upstreams.Tally(opened_late_in_drain=1)}, False),
        ({'tally': upstreams.Tally(collections.Counter(a=2))}, False),
        ({'statuses': {'entry-1': 1}}, False),
        ({'blackholed': [builders.flow_key()]}, False),
        (
            {
                'tally': upstreams.Tally(collections.Counter(a=1)),
                'results': {'refused_ids': {'a'}},
            },
            False,
        ),
    ],
)
def test_a_broken_promise_fails_the_run(tmp_path, outcome, kept):
    assert run_report(tmp_path, **outcome) is kept


def test_equal_seeds_give_equal_faults():
    def carried(seed):
        fabric = faults.FaultInjector(faults.FaultRates(), random.Random(seed))
        return [list(fabric.delays(True)) for _ in range(2_000)]

    assert carried(1) == carried(1) != carried(2)


def test_the_fabric_brings_about_every_fault():
    fabric = faults.FaultInjector(faults.FaultRates(), random.Random(1))
    copies = [len(list(fabric.delays(True))) for _ in range(5_000)]
    assert {0, 1, 2} <= set(copies)
    assert all(fabric.counts.values()) and len(fabric.counts) == 4


def test_sizes_name_only_users_with_examples():
    for user in scenarios.POOLS:
        assert (scenarios.EXAMPLES / user / 'catalogue.yaml').is_file()
