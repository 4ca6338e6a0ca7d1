"""Everything that runs in one soak, and what its watchers noted."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import pathlib
import random
import sys

from demo import faults as fabric_faults
from demo import plan as plans
from demo import scenarios
from demo import testbed as testbeds
from soak import faults
from soak import proxy

CONTROL_INSTANCES = 3
RESTART_PAUSE_S = 0.5
# A process that is still loading ends by the signal itself.
STARTUP_S = 3.0
# Ports of the proxies, counted from the first one of the run.
PROXY_OFFSET = 300


@dataclasses.dataclass(slots=True)
class RunRecord:
    """What was done, checked and seen."""

    faults: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    checks: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    violations: list[str] = dataclasses.field(default_factory=list)

    def check(self, name: str, holds: bool, what: str = '') -> None:
        """Count a check, and keep what was seen where it does not hold."""
        self.checks[name] += 1
        if not holds:
            self.violations.append(f'{name}: {what}')


@dataclasses.dataclass(slots=True)
class Environment:
    """The stage of the demonstration behind proxies."""

    testbed: testbeds.Testbed
    proxies: list[proxy.Proxy]
    run_record: RunRecord
    # Instances that a fault has ended, or may end, at the moment.
    exit_allowed: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    started: dict[str, float] = dataclasses.field(default_factory=dict)
    # Processes whose disk was full: they may end by it, also later.
    disk_filled_pids: set[int] = dataclasses.field(default_factory=set)

    async def start(self, instance: str) -> None:
        """Start a process that has ended."""
        self.started[instance] = asyncio.get_running_loop().time()
        await self.testbed.processes.start(instance)

    def is_available(self, instance: str) -> bool:
        """Return whether a process runs and no other fault has it."""
        running = self.testbed.processes
        return instance in running.names() and not self.exit_allowed[instance]

    def is_starting(self, instance: str) -> bool:
        """Return whether a process was started a moment ago."""
        now = asyncio.get_running_loop().time()
        return now - self.started.get(instance, 0.0) < STARTUP_S

    @property
    def targets(self) -> faults.Targets:
        """Return what faults may strike."""
        roles = self.testbed.processes.roles
        by_role = collections.defaultdict(list)
        for instance, role in roles.items():
            by_role[role].append(instance)
        return faults.Targets(
            tuple(by_role['control']),
            tuple(by_role['entry']),
            tuple(by_role['agent']),
        )

    @contextlib.contextmanager
    def allow_exit(
        self, instances: collections.abc.Iterable[str]
    ) -> collections.abc.Iterator[None]:
        """Let processes of instances be ended or end during the context."""
        self.exit_allowed.update(instances)
        try:
            yield
        finally:
            self.exit_allowed.subtract(instances)

    async def supervise(self) -> None:
        """Start again what ended by itself, and note it."""
        running = self.testbed.processes
        while True:
            await asyncio.sleep(RESTART_PAUSE_S)
            for instance in running.names():
                status = running.status(instance)
                if status is None:
                    continue
                exit_allowed = (
                    self.exit_allowed[instance] > 0
                    or running.pid(instance) in self.disk_filled_pids
                )
                self.run_record.check(
                    'processes end only when told to',
                    exit_allowed,
                    f'{instance} ended with status {status}',
                )
                await self.start(instance)


@contextlib.asynccontextmanager
async def open_environment(
    seed: int, base_port: int, folder: pathlib.Path, without: str
) -> collections.abc.AsyncIterator[Environment]:
    """Start the programs of a run, and end them after the context."""
    rng = random.Random(seed)
    scenario = scenarios.load('aromas-del-plata')
    plan = plans.make_plan(
        folder, base_port, scenario.pools, CONTROL_INSTANCES
    )
    first = base_port + PROXY_OFFSET
    proxies = [
        proxy.Proxy((plans.HOST, first + number))
        for number in range(CONTROL_INSTANCES)
    ]
    plan = dataclasses.replace(
        plan, control_proxies=tuple(item.address for item in proxies)
    )
    command = (sys.executable, '-m', 'soak.program', str(seed), without)
    fault_injector = fabric_faults.FaultInjector(
        fabric_faults.FaultRates(), rng
    )
    async with contextlib.AsyncExitStack() as stack:
        for item, address in zip(proxies, plan.control, strict=True):
            await stack.enter_async_context(item.run(address))
        testbed = await stack.enter_async_context(
            testbeds.open_testbed(scenario, plan, fault_injector, rng, command)
        )
        await testbed.processes.start(plan.agents[testbeds.JOINER].instance)
        testbed.simulated_upstreams[testbeds.JOINER].joined = True
        await stack.enter_async_context(testbeds.run_simulators(testbed))
        yield Environment(testbed, proxies, RunRecord())
