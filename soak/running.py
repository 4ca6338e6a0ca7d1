"""One run: planned work, then faults, then calm, with checks all along."""

import asyncio
import collections.abc
import dataclasses
import pathlib
import random

from demo import __main__ as demonstration
from demo import work
from soak import environment as worlds
from soak import faults
from soak import injection as striking
from soak import operating

# Flows that stay open, over all upstreams.
BOARDS = 40
# Parts of a run that its phases take.
PLANNED_PART = 0.3
CALM_S = 8.0
# Least part of the flows opened in the calm that must be whole.
SERVED_PART = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What a run is made from."""

    seed: int
    seconds: float
    base_port: int
    folder: pathlib.Path
    without: str = '-'


async def run(options: Options) -> worlds.Notes:
    """Run one soak and return what was noted."""
    opened = worlds.open_world(
        options.seed, options.base_port, options.folder, options.without
    )
    async with opened as world:
        await demonstration.wait_ready(world.stage)
        await demonstration.apply_catalogue(world.stage)
        await asyncio.sleep(demonstration.VIEWS_SETTLE_S)
        await _run_phases(world, options)
        return world.notes


async def _run_phases(world: worlds.World, options: Options) -> None:
    rng = random.Random(f'{options.seed}/faults')
    operator = operating.Operator(world, random.Random(options.seed))
    planned_s = options.seconds * PLANNED_PART
    async with asyncio.TaskGroup() as group:
        supervising = group.create_task(world.supervise())
        editing = group.create_task(operator.work())
        await _run_planned(world, group, rng, planned_s)
        await _run_unplanned(world, group, rng, options.seconds - planned_s)
        editing.cancel()
        supervising.cancel()
    await operator.finish()


async def _run_planned(
    world: worlds.World,
    group: asyncio.TaskGroup,
    rng: random.Random,
    length_s: float,
) -> None:
    timed = faults.draw(rng, world.targets, length_s, faults.planned)
    results = await _work(world, group, striking.strike(world, timed))
    broken = [f'{item.name}: {item.reason}' for item in results.breaks]
    world.notes.check('planned work breaks no flow', not broken, f'{broken}')


async def _run_unplanned(
    world: worlds.World,
    group: asyncio.TaskGroup,
    rng: random.Random,
    length_s: float,
) -> None:
    timed = faults.draw(rng, world.targets, length_s, faults.unplanned)
    await _work(world, group, striking.strike(world, timed))
    await asyncio.sleep(CALM_S)
    results = await _work(world, group, asyncio.sleep(CALM_S))
    world.notes.check(
        'new flows are served after the faults',
        results.whole >= SERVED_PART * results.opened,
        f'{results.whole} of {results.opened} whole',
    )


async def _work(
    world: worlds.World,
    group: asyncio.TaskGroup,
    meanwhile: collections.abc.Awaitable[None],
) -> work.Results:
    """Let callers work during ``meanwhile``; return what they saw."""
    workers = work.Work(world.stage.size, world.stage.host)
    working = group.create_task(workers.run(BOARDS))
    await meanwhile
    workers.stopping.set()
    await working
    _check_flows(world, workers.results)
    return workers.results


def _check_flows(world: worlds.World, results: work.Results) -> None:
    """Check what callers and upstreams saw so far."""
    notes, tally = world.notes, world.stage.tally
    runs = tally.runs
    twice = [name for name, count in runs.items() if count > 1]
    untrue = [name for name in results.refused_ids if name in runs]
    notes.check('work runs at most once', not twice, f'{twice}')
    notes.check('what is refused was not run', not untrue, f'{untrue}')
    notes.check(
        'answers belong to their request',
        results.wrong_answer == 0,
        f'{results.wrong_answer}',
    )
    notes.check(
        'uploads arrive whole',
        results.damaged_uploads == 0,
        f'{results.damaged_uploads}',
    )
    notes.check(
        'packets reach their own service',
        tally.wrong_service == 0,
        f'{tally.wrong_service}',
    )
    runs.clear()
    notes.checks['flows seen by callers'] += results.opened
