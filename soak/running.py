"""Run one soak test.

A run has three phases: planned operations, unplanned faults, and a recovery
without faults. Checks are made in all of them.
"""

import asyncio
import collections.abc
import dataclasses
import pathlib
import random

from demo import __main__ as demonstration
from demo import work
from soak import environment as environments
from soak import faults
from soak import injection
from soak import operating

# The number of boards, which are the flows that stay open, over all upstreams.
BOARD_COUNT = 40
# The fraction of ``Options.seconds`` that is spent on planned operations;
# unplanned faults take the rest.
PLANNED_FRACTION = 0.3
# The length of each of the two parts of the recovery: first a pause without
# load, then load without faults.
RECOVERY_S = 8.0
# The minimum fraction of the flows opened in the recovery phase that have to
# be completed.
MIN_COMPLETED_FRACTION = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """The parameters of a run.

    ``seconds`` is the length of the phases of planned operations and of
    unplanned faults together. ``without`` is the mechanism to disable, or
    ``-`` for none. ``base_port`` is the first port that the run uses, and
    ``folder`` the folder for its settings and logs.
    """

    seed: int
    seconds: float
    base_port: int
    folder: pathlib.Path
    without: str = '-'


async def run(options: Options) -> environments.RunRecord:
    """Run one soak test and return its record."""
    environment_context = environments.open_environment(
        options.seed, options.base_port, options.folder, options.without
    )
    async with environment_context as environment:
        await demonstration.wait_until_entries_ready(environment.testbed)
        await demonstration.apply_catalogue(environment.testbed)
        await asyncio.sleep(demonstration.VIEW_CONVERGENCE_S)
        await _run_phases(environment, options)
        return environment.run_record


async def _run_phases(
    environment: environments.Environment, options: Options
) -> None:
    rng = random.Random(f'{options.seed}/faults')
    operator = operating.Operator(environment, random.Random(options.seed))
    planned_s = options.seconds * PLANNED_FRACTION
    async with asyncio.TaskGroup() as group:
        supervisor_task = group.create_task(environment.supervise_processes())
        operator_task = group.create_task(operator.run())
        await _run_planned_phase(environment, group, rng, planned_s)
        await _run_unplanned_phase_and_recovery(
            environment, group, rng, options.seconds - planned_s
        )
        operator_task.cancel()
        supervisor_task.cancel()
    await operator.check_final_state()


async def _run_planned_phase(
    environment: environments.Environment,
    group: asyncio.TaskGroup,
    rng: random.Random,
    length_s: float,
) -> None:
    scheduled_faults = faults.draw_phase(
        rng, environment.targets, length_s, faults.draw_planned_operation
    )
    results = await _run_workload(
        environment, group, injection.inject_all(environment, scheduled_faults)
    )
    broken_flows = [
        f'{flow.name}: {flow.reason}' for flow in results.broken_flows
    ]
    environment.run_record.check(
        'planned work breaks no flow', not broken_flows, f'{broken_flows}'
    )


async def _run_unplanned_phase_and_recovery(
    environment: environments.Environment,
    group: asyncio.TaskGroup,
    rng: random.Random,
    length_s: float,
) -> None:
    scheduled_faults = faults.draw_phase(
        rng, environment.targets, length_s, faults.draw_unplanned_fault
    )
    await _run_workload(
        environment, group, injection.inject_all(environment, scheduled_faults)
    )
    await asyncio.sleep(RECOVERY_S)
    results = await _run_workload(
        environment, group, asyncio.sleep(RECOVERY_S)
    )
    environment.run_record.check(
        'new flows are served after the faults',
        results.completed_count
        >= MIN_COMPLETED_FRACTION * results.opened_count,
        f'{results.completed_count} of {results.opened_count} completed',
    )


async def _run_workload(
    environment: environments.Environment,
    group: asyncio.TaskGroup,
    activity: collections.abc.Awaitable[None],
) -> work.Results:
    """Run the callers' load during ``activity`` and return its results."""
    workload = work.Workload(
        environment.testbed.scenario, environment.testbed.caller_host
    )
    workload_task = group.create_task(workload.run(BOARD_COUNT))
    await activity
    workload.stopping.set()
    await workload_task
    _check_flows(environment, workload.results)
    return workload.results


def _check_flows(
    environment: environments.Environment, results: work.Results
) -> None:
    """Check the results of the callers and the counts of the upstreams.

    The counts of how often each booking was run are cleared, because the
    next workload uses the same booking ids again.
    """
    run_record, tally = environment.run_record, environment.testbed.tally
    booking_runs = tally.booking_runs
    bookings_run_twice = [
        name for name, count in booking_runs.items() if count > 1
    ]
    bookings_run_although_refused = [
        name for name in results.refused_names if name in booking_runs
    ]
    run_record.check(
        'work runs at most once',
        not bookings_run_twice,
        f'{bookings_run_twice}',
    )
    run_record.check(
        'what is refused was not run',
        not bookings_run_although_refused,
        f'{bookings_run_although_refused}',
    )
    run_record.check(
        'answers belong to their request',
        results.wrong_answers == 0,
        f'{results.wrong_answers}',
    )
    run_record.check(
        'uploads arrive whole',
        results.damaged_uploads == 0,
        f'{results.damaged_uploads}',
    )
    run_record.check(
        'packets reach their own service',
        tally.misdelivered_packets == 0,
        f'{tally.misdelivered_packets}',
    )
    booking_runs.clear()
    run_record.checks['flows seen by callers'] += results.opened_count
