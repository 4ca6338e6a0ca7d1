"""Run the demonstration: changes under load, then a table of promises.

``python -m demo [USER]``; the environment may set ``DEMO_BASE_PORT``,
``DEMO_CONNECTIONS`` (boards for each endpoint), ``DEMO_CONTROL`` (control
instances), ``DEMO_SEED`` and ``DEMO_FOLDER`` (where logs stay).
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
from demo import scenarios as sizes
from demo import testbed as stages
from demo import work

DEFAULT_USER = 'aromas-del-plata'
BASE_PORT = int(os.environ.get('DEMO_BASE_PORT', '20000'))
BOARDS_PER_ENDPOINT = int(os.environ.get('DEMO_CONNECTIONS', '100'))
CONTROL_INSTANCES = int(os.environ.get('DEMO_CONTROL', '3'))
SEED = int(os.environ.get('DEMO_SEED', '7'))
FOLDER = os.environ.get('DEMO_FOLDER')
READY_AT_MOST_S = 20.0
READY_POLL_S = 0.1
VIEWS_SETTLE_S = 2.0


async def run(user: str, folder: str) -> bool:
    """Run the demonstration; return whether every promise was kept."""
    rng = random.Random(SEED)
    size = sizes.load(user)
    plan = plans.make_plan(
        stages.new_folder(folder), BASE_PORT, size.pools, CONTROL_INSTANCES
    )
    unreliable = faults.Faults(faults.FaultRates(), rng)
    async with stages.open_stage(size, plan, unreliable, rng) as stage:
        async with stages.run_stand_ins(stage):
            return await _run_on(stage)


async def _run_on(stage: stages.Stage) -> bool:
    await wait_ready(stage)
    await apply_catalogue(stage)
    await asyncio.sleep(VIEWS_SETTLE_S)
    loop = asyncio.get_running_loop()
    diary = changes.Diary(loop.time())
    samples: list[balance.Sample] = []
    workers = work.Work(stage.size, stage.host)
    boards = BOARDS_PER_ENDPOINT * stage.size.pools[0].endpoints
    diary.note(f'{stage.size.user}: the callers open {boards} boards')
    async with asyncio.TaskGroup() as group:
        sampling = group.create_task(
            balance.sample_boards(stage, diary.begun, samples)
        )
        working = group.create_task(workers.run(boards))
        await changes.make_changes(stage, diary)
        diary.note('the callers finish')
        workers.stopping.set()
        await working
        sampling.cancel()
    diary.statuses.update(await stage.processes.stop_all())
    return report.print_report(stage, workers.results, diary, samples)


async def wait_ready(stage: stages.Stage) -> None:
    """Wait until all entries take packets; raises ``TimeoutError``."""
    async with asyncio.timeout(READY_AT_MOST_S):
        while stage.fabric.ready_entries() < len(stage.plan.entries):
            await asyncio.sleep(READY_POLL_S)


async def apply_catalogue(stage: stages.Stage) -> None:
    """Apply the user's catalogue; raises ``SystemExit`` where refused."""
    status = await processes.run_command(
        'catalogue',
        'apply',
        str(stage.size.catalogue),
        '--wait',
        '--control',
        stage.plan.control_text,
        '--key-file',
        str(stage.plan.keys),
    )
    if status:
        raise SystemExit('the catalogue was not accepted')


def main() -> int:
    """Run with the user's size that the command line names."""
    user = sys.argv[1] if len(sys.argv) > 1 else DEFAULT_USER
    with tempfile.TemporaryDirectory() as scratch:
        kept = asyncio.run(run(user, FOLDER or scratch))
    return 0 if kept else 1


if __name__ == '__main__':
    sys.exit(main())
