"""Set up the test environment of one soak run and record its results."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import pathlib
import random
import sys

from demo import faults as fabric_faults
from demo import loopback
from demo import plan as plans
from demo import scenarios
from demo import testbed as testbeds
from soak import faults
from soak import proxy

CONTROL_INSTANCE_COUNT = 3
SUPERVISION_INTERVAL_S = 0.5
# A process that was started less than this time ago may not have installed its
# signal handlers yet. SIGTERM then kills it without a planned stop.
MAX_STARTUP_S = 3.0
# The offset of the first port of the proxies from the base port of the run. It
# exceeds ``plan.MAX_PORTS``, so that the plan uses none of these ports.
PROXY_PORT_OFFSET = 300


@dataclasses.dataclass(slots=True)
class RunRecord:
    """Counts of faults and checks, and the violations that were found.

    ``faults`` and ``checks`` count by name. ``faults`` also counts the
    operator's requests that got no answer.
    """

    faults: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    checks: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    violations: list[str] = dataclasses.field(default_factory=list)

    def check(self, name: str, holds: bool, observed: str = '') -> None:
        """Count a check and record a violation if it failed.

        The text of the violation is ``name`` followed by ``observed``.
        """
        self.checks[name] += 1
        if not holds:
            self.violations.append(f'{name}: {observed}')


@dataclasses.dataclass(slots=True)
class Environment:
    """The demonstration's test bed with a proxy per control instance.

    All connections to a control instance go through its proxy.
    """

    testbed: testbeds.Testbed
    proxies: list[proxy.Proxy]
    run_record: RunRecord
    # For each instance, the number of current faults that stop its process or
    # may make it exit.
    faults_allowing_exit: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # The event loop's time at which :meth:`start` last started each instance.
    # The first start of the processes is not stored.
    start_times: dict[str, float] = dataclasses.field(default_factory=dict)
    # The ids of processes whose disk was full. The failed writes may end such
    # a process even after the disk has room again.
    disk_filled_pids: set[int] = dataclasses.field(default_factory=set)

    async def start(self, instance: str) -> None:
        """Start the process of an instance and store the time."""
        self.start_times[instance] = asyncio.get_running_loop().time()
        await self.testbed.processes.start(instance)

    def is_available(self, instance: str) -> bool:
        """Return whether an instance was started and no fault may end it.

        The result is also true if the process of the instance ended by itself
        and was not restarted yet.
        """
        processes = self.testbed.processes
        return (
            instance in processes.list_started_instances()
            and not self.faults_allowing_exit[instance]
        )

    def is_starting(self, instance: str) -> bool:
        """Return whether the instance may still lack its signal handlers.

        This is assumed until ``MAX_STARTUP_S`` after a call of :meth:`start`.
        """
        now = asyncio.get_running_loop().time()
        return now - self.start_times.get(instance, 0.0) < MAX_STARTUP_S

    @property
    def targets(self) -> faults.Targets:
        """Return the instances into which faults may be injected."""
        roles = self.testbed.processes.roles
        instances_by_role = collections.defaultdict(list)
        for instance, role in roles.items():
            instances_by_role[role].append(instance)
        return faults.Targets(
            tuple(instances_by_role['control']),
            tuple(instances_by_role['entry']),
            tuple(instances_by_role['agent']),
        )

    @contextlib.contextmanager
    def allow_exit(
        self, instances: collections.abc.Iterable[str]
    ) -> collections.abc.Iterator[None]:
        """Allow the processes of instances to exit during the context."""
        self.faults_allowing_exit.update(instances)
        try:
            yield
        finally:
            self.faults_allowing_exit.subtract(instances)

    async def supervise_processes(self) -> None:
        """Restart processes that exited by themselves, until cancelled.

        The exit of a process counts as a violation unless a current fault
        allows it or the disk of the process was full.
        """
        processes = self.testbed.processes
        while True:
            await asyncio.sleep(SUPERVISION_INTERVAL_S)
            for instance in processes.list_started_instances():
                status = processes.get_exit_status(instance)
                if status is None:
                    continue
                is_exit_allowed = (
                    self.faults_allowing_exit[instance] > 0
                    or processes.get_pid(instance) in self.disk_filled_pids
                )
                self.run_record.check(
                    'processes end only when told to',
                    is_exit_allowed,
                    f'{instance} ended with status {status}',
                )
                await self.start(instance)


@contextlib.asynccontextmanager
async def open_environment(
    seed: int, base_port: int, folder: pathlib.Path, without: str
) -> collections.abc.AsyncIterator[Environment]:
    """Start the processes and proxies of a run for the context.

    ``seed`` determines the faults of the fabric and the jumps of the wall
    clocks. ``without`` is the mechanism to disable, or ``-`` for none.
    """
    rng = random.Random(seed)
    scenario = scenarios.load('aromas-del-plata')
    plan = plans.make_plan(
        folder, base_port, scenario.pools, CONTROL_INSTANCE_COUNT
    )
    first_port = base_port + PROXY_PORT_OFFSET
    proxies = [
        proxy.Proxy((loopback.HOST, first_port + index))
        for index in range(CONTROL_INSTANCE_COUNT)
    ]
    plan = dataclasses.replace(
        plan,
        control_proxies=tuple(
            control_proxy.address for control_proxy in proxies
        ),
    )
    command = (sys.executable, '-m', 'soak.program', str(seed), without)
    fault_injector = fabric_faults.FaultInjector(
        fabric_faults.FaultRates(), rng
    )
    async with contextlib.AsyncExitStack() as stack:
        for control_proxy, address in zip(proxies, plan.control, strict=True):
            await stack.enter_async_context(control_proxy.run(address))
        testbed = await stack.enter_async_context(
            testbeds.open_testbed(scenario, plan, fault_injector, rng, command)
        )
        # The test bed does not start the agent that joins during the
        # demonstration. In a soak run, all agents run from the start.
        await testbed.processes.start(
            plan.agents[testbeds.JOINING_AGENT_INDEX].instance
        )
        testbed.simulated_upstreams[
            testbeds.JOINING_AGENT_INDEX
        ].has_joined = True
        await stack.enter_async_context(testbeds.run_simulators(testbed))
        yield Environment(testbed, proxies, RunRecord())
