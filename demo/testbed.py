"""All stand-ins and processes of one run, opened and closed together."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import pathlib
import random

from demo import callers
from demo import fabric
from demo import faults
from demo import plan as plans
from demo import processes
from demo import scenarios as sizes
from demo import upstreams
from gentianspoke.net import datagrams
from gentianspoke.net import pages

CALLER = bytes((10, 9, 0, 1))
# The last upstream of the first pool joins while the callers work.
JOINER = 6


@dataclasses.dataclass(slots=True)
class Stage:
    """What the changes and the report need."""

    size: sizes.Size
    plan: plans.Plan
    processes: processes.Processes
    ups: list[upstreams.Upstream]
    tally: upstreams.Tally
    fabric: fabric.Fabric
    faults: faults.Faults
    host: callers.CallerHost


@contextlib.asynccontextmanager
async def open_stage(
    size: sizes.Size,
    plan: plans.Plan,
    unreliable: faults.Faults,
    rng: random.Random,
    command: tuple[str, ...] = processes.COMMAND,
) -> collections.abc.AsyncIterator[Stage]:
    """Open the stand-ins, then start the processes but the joiner."""
    tally = upstreams.Tally()
    async with contextlib.AsyncExitStack() as stack:
        ups = [
            await _open_upstream(stack, size, agent, tally, rng)
            for agent in plan.agents
        ]
        ups[JOINER].joined = False
        fabric_sock = stack.enter_context(
            datagrams.open_datagrams(plan.fabric)
        )
        caller_sock = stack.enter_context(
            datagrams.open_datagrams(plan.callers)
        )
        addresses = {service.address for service in size.services}
        carrier = fabric.Fabric(
            fabric_sock, plan.entries, plan.callers, addresses, rng, unreliable
        )
        host = callers.CallerHost(caller_sock, plan.fabric, rng, CALLER)
        later = frozenset({plan.agents[JOINER].instance})
        running = await stack.enter_async_context(
            processes.run_processes(plan, later, command)
        )
        yield Stage(size, plan, running, ups, tally, carrier, unreliable, host)


@contextlib.asynccontextmanager
async def run_stand_ins(
    stage: Stage,
) -> collections.abc.AsyncIterator[None]:
    """Let the stand-ins work during the context."""
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(up.read()) for up in stage.ups]
        tasks.append(group.create_task(stage.fabric.read()))
        tasks.append(group.create_task(stage.fabric.probe()))
        tasks.append(group.create_task(stage.host.read()))
        yield
        for task in tasks:
            task.cancel()


async def _open_upstream(
    stack: contextlib.AsyncExitStack,
    size: sizes.Size,
    agent: plans.AgentPlan,
    tally: upstreams.Tally,
    rng: random.Random,
) -> upstreams.Upstream:
    served = {
        (service.address, service.ports[0])
        for service in size.services
        if service.name in agent.services
    }
    sock = stack.enter_context(datagrams.open_datagrams(agent.upstream))
    up = upstreams.Upstream(
        agent.instance, sock, agent.upstream_side, served, tally, rng
    )
    await stack.enter_async_context(
        pages.serve_pages(agent.status, up.render_status)
    )
    return up


def new_folder(folder: str) -> pathlib.Path:
    """Return the folder of a run; its logs stay there."""
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    return path
