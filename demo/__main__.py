"""Change a deployment under load and print which guarantees held.

Usage: ``python -m demo [USER]``. ``USER`` is a user of the load balancer that
has a folder in ``examples``; the default is ``aromas-del-plata``. These
environment variables are optional:

- ``DEMO_BASE_PORT``: the first of the ports that the run uses.
- ``DEMO_CONNECTIONS``: the number of board connections for each upstream of
  the pool that serves boards. Boards are flows that stay open during the run.
- ``DEMO_CONTROL``: the number of control instances.
- ``DEMO_SEED``: the seed of the random number generator.
- ``DEMO_FOLDER``: the folder for settings and logs, which stay there after
  the run. The default is a temporary folder.
"""

import asyncio
import os
import random
import sys
import tempfile

from demo import balance
from demo import changes
from demo import faults
from demo import plan as plans
from demo import processes
from demo import report
from demo import scenarios
from demo import testbed as testbeds
from demo import work

DEFAULT_USER = 'aromas-del-plata'
BASE_PORT = int(os.environ.get('DEMO_BASE_PORT', '20000'))
BOARDS_PER_UPSTREAM = int(os.environ.get('DEMO_CONNECTIONS', '100'))
CONTROL_INSTANCE_COUNT = int(os.environ.get('DEMO_CONTROL', '3'))
SEED = int(os.environ.get('DEMO_SEED', '7'))
FOLDER = os.environ.get('DEMO_FOLDER')
READY_TIMEOUT_S = 20.0
READY_POLL_INTERVAL_S = 0.1
# The pause between applying the catalogue and starting the callers. All
# processes receive the same view in this time.
VIEW_CONVERGENCE_S = 2.0


async def run(user: str, folder: str) -> bool:
    """Run the demonstration and return whether every guarantee held."""
    rng = random.Random(SEED)
    scenario = scenarios.load(user)
    plan = plans.make_plan(
        testbeds.create_folder(folder),
        BASE_PORT,
        scenario.pools,
        CONTROL_INSTANCE_COUNT,
    )
    fault_injector = faults.FaultInjector(faults.FaultRates(), rng)
    async with testbeds.open_testbed(
        scenario, plan, fault_injector, rng
    ) as testbed:
        async with testbeds.run_simulators(testbed):
            return await _run_scenario(testbed)


async def _run_scenario(testbed: testbeds.Testbed) -> bool:
    await wait_until_entries_ready(testbed)
    await apply_catalogue(testbed)
    await asyncio.sleep(VIEW_CONVERGENCE_S)
    loop = asyncio.get_running_loop()
    run_log = changes.RunLog(loop.time())
    samples: list[balance.Sample] = []
    workload = work.Workload(testbed.scenario, testbed.caller_host)
    board_count = (
        BOARDS_PER_UPSTREAM * testbed.scenario.pools[0].upstream_count
    )
    run_log.print_step(
        f'{testbed.scenario.user}: the callers open {board_count} boards'
    )
    async with asyncio.TaskGroup() as group:
        sampling_task = group.create_task(
            balance.sample_boards(testbed, run_log.started_at, samples)
        )
        workload_task = group.create_task(workload.run(board_count))
        await changes.make_changes(testbed, run_log)
        run_log.print_step('the callers finish')
        workload.stopping.set()
        await workload_task
        sampling_task.cancel()
    run_log.exit_statuses.update(await testbed.processes.stop_all())
    return report.print_report(testbed, workload.results, run_log, samples)


async def wait_until_entries_ready(testbed: testbeds.Testbed) -> None:
    """Wait until every entry reports that it is ready.

    Raises ``TimeoutError`` after ``READY_TIMEOUT_S``.
    """
    async with asyncio.timeout(READY_TIMEOUT_S):
        while testbed.fabric.count_ready_entries() < len(testbed.plan.entries):
            await asyncio.sleep(READY_POLL_INTERVAL_S)


async def apply_catalogue(testbed: testbeds.Testbed) -> None:
    """Apply the catalogue of the scenario and wait until it is in force.

    Raises ``SystemExit`` if the control instances do not accept it or if it
    is not in force in time.
    """
    status = await processes.run_command(
        'catalogue',
        'apply',
        str(testbed.scenario.catalogue),
        '--wait',
        '--control',
        testbed.plan.control_argument,
        '--key-file',
        str(testbed.plan.key_path),
    )
    if status:
        raise SystemExit(
            'the catalogue was not accepted or is not in force; the output'
            ' of "catalogue apply" above says why'
        )


def main() -> int:
    """Run the scenario of the user named on the command line.

    Return 0 if every guarantee held, otherwise 1.
    """
    user = sys.argv[1] if len(sys.argv) > 1 else DEFAULT_USER
    with tempfile.TemporaryDirectory() as scratch:
        succeeded = asyncio.run(run(user, FOLDER or scratch))
    return 0 if succeeded else 1


if __name__ == '__main__':
    sys.exit(main())
