"""Set up the simulated peers and the real processes of one run.

The simulated peers are the callers, the upstreams and the fabric between
them and the real processes.
"""

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
from demo import scenarios
from demo import upstreams
from gentianspoke.net import datagrams
from gentianspoke.net import pages

CALLER_ADDRESS = bytes((10, 9, 0, 1))
# The index of the agent that starts during the run, and of its upstream. Both
# are the last of the first pool.
JOINING_AGENT_INDEX = 6


@dataclasses.dataclass(slots=True)
class Testbed:
    """The simulated peers and the processes of one run.

    ``tally`` holds the counters of all simulated upstreams, and
    ``caller_host`` the connections of the simulated callers.
    """

    scenario: scenarios.Scenario
    plan: plans.Plan
    processes: processes.Processes
    simulated_upstreams: list[upstreams.Upstream]
    tally: upstreams.Tally
    fabric: fabric.Fabric
    faults: faults.FaultInjector
    caller_host: callers.CallerHost


@contextlib.asynccontextmanager
async def open_testbed(
    scenario: scenarios.Scenario,
    plan: plans.Plan,
    fault_injector: faults.FaultInjector,
    rng: random.Random,
    command: tuple[str, ...] = processes.COMMAND,
) -> collections.abc.AsyncIterator[Testbed]:
    """Open the sockets of the simulated peers and start the processes.

    The agent with the index ``JOINING_AGENT_INDEX`` is not started. The
    sockets are closed and the processes killed at the end of the context.
    """
    tally = upstreams.Tally()
    async with contextlib.AsyncExitStack() as stack:
        simulated_upstreams = [
            await _open_upstream(stack, scenario, agent, tally, rng)
            for agent in plan.agents
        ]
        simulated_upstreams[JOINING_AGENT_INDEX].has_joined = False
        fabric_sock = stack.enter_context(
            datagrams.open_datagrams(plan.fabric)
        )
        caller_sock = stack.enter_context(
            datagrams.open_datagrams(plan.callers)
        )
        service_addresses = {service.address for service in scenario.services}
        simulated_fabric = fabric.Fabric(
            fabric_sock,
            plan.entries,
            plan.callers,
            service_addresses,
            rng,
            fault_injector,
        )
        caller_host = callers.CallerHost(
            caller_sock, plan.fabric, rng, CALLER_ADDRESS
        )
        deferred_instances = frozenset(
            {plan.agents[JOINING_AGENT_INDEX].instance}
        )
        started_processes = await stack.enter_async_context(
            processes.run_processes(plan, deferred_instances, command)
        )
        yield Testbed(
            scenario,
            plan,
            started_processes,
            simulated_upstreams,
            tally,
            simulated_fabric,
            fault_injector,
            caller_host,
        )


@contextlib.asynccontextmanager
async def run_simulators(
    testbed: Testbed,
) -> collections.abc.AsyncIterator[None]:
    """Run the tasks of the simulated peers during the context."""
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(upstream.answer_packets())
            for upstream in testbed.simulated_upstreams
        ]
        tasks.append(group.create_task(testbed.fabric.forward_packets()))
        tasks.append(group.create_task(testbed.fabric.probe_entries()))
        tasks.append(group.create_task(testbed.caller_host.receive_packets()))
        yield
        for task in tasks:
            task.cancel()


async def _open_upstream(
    stack: contextlib.AsyncExitStack,
    scenario: scenarios.Scenario,
    agent: plans.AgentPlan,
    tally: upstreams.Tally,
    rng: random.Random,
) -> upstreams.Upstream:
    served_endpoints = {
        (service.address, service.ports[0])
        for service in scenario.services
        if service.name in agent.services
    }
    sock = stack.enter_context(datagrams.open_datagrams(agent.upstream))
    upstream = upstreams.Upstream(
        agent.instance, sock, agent.upstream_side, served_endpoints, tally, rng
    )
    await stack.enter_async_context(
        pages.serve_pages(agent.status, upstream.render_status)
    )
    return upstream


def create_folder(folder: str) -> pathlib.Path:
    """Create the folder for the settings and logs and return its path."""
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    return path
