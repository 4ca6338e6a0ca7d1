"""Settings and product processes of the demonstration."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import secrets
import sys
import typing

import yaml

Address = tuple[str, int]
ZONES = ('zone-a', 'zone-b', 'zone-c')
HOST = '127.0.0.1'
STOP_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class AgentPlan:
    """Addresses of one agent and of the upstream beside it."""

    instance: str
    zone: str
    services: tuple[str, ...]
    slots: int
    listen: Address
    upstream_side: Address
    upstream: Address
    status: Address
    metrics: Address


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Addresses of the whole deployment."""

    folder: pathlib.Path
    fabric: Address
    callers: Address
    control: tuple[Address, ...]
    entries: dict[Address, Address]
    agents: tuple[AgentPlan, ...]


def make_plan(
    folder: pathlib.Path,
    base_port: int,
    pools: dict[tuple[str, ...], tuple[int, int]],
) -> Plan:
    """Return a plan; ``pools`` maps services to endpoints and slots."""
    ports = iter(range(base_port, base_port + 1_000))

    def address() -> Address:
        return HOST, next(ports)

    agents: list[AgentPlan] = []
    for services, (endpoints, slots) in pools.items():
        for _ in range(endpoints):
            position = len(agents)
            agents.append(
                AgentPlan(
                    instance=f'agent-{position}',
                    zone=ZONES[position % len(ZONES)],
                    services=services,
                    slots=slots,
                    listen=address(),
                    upstream_side=address(),
                    upstream=address(),
                    status=address(),
                    metrics=address(),
                )
            )
    return Plan(
        folder=folder,
        fabric=address(),
        callers=address(),
        control=(address(),),
        entries={address(): address() for _ in ZONES},
        agents=tuple(agents),
    )


class Processes:
    """The product's processes, started and stopped by name."""

    def __init__(self, plan: Plan) -> None:
        """Write the settings files of the plan."""
        self._plan = plan
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self.roles: dict[str, str] = {}
        self._write_settings()

    async def start(self, instance: str) -> None:
        """Start the process of an instance."""
        command = [sys.executable, '-m', 'gentianspoke']
        command += [self.roles[instance], str(self._file(instance))]
        self._running[instance] = await asyncio.create_subprocess_exec(
            *command, env={**os.environ, 'PYTHONUNBUFFERED': '1'}
        )

    async def stop(self, instance: str) -> int:
        """Stop an instance as planned and return its exit status."""
        running = self._running.pop(instance)
        with contextlib.suppress(ProcessLookupError):
            running.terminate()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await running.wait()

    async def kill(self, instance: str) -> None:
        """Kill an instance at once."""
        running = self._running.pop(instance)
        with contextlib.suppress(ProcessLookupError):
            running.kill()
        await running.wait()

    async def stop_all(self) -> dict[str, int]:
        """Stop all instances and return their exit statuses."""
        names = list(self._running)
        statuses = await asyncio.gather(*(self.stop(name) for name in names))
        return dict(zip(names, statuses, strict=True))

    def _write_settings(self) -> None:
        self._plan.folder.mkdir(parents=True, exist_ok=True)
        keys = {'active': 1, 'keys': [{'id': 1, 'hex': secrets.token_hex(32)}]}
        path = self._plan.folder / 'keys.yaml'
        path.touch(mode=0o600)
        path.write_text(yaml.safe_dump(keys))
        for position, listen in enumerate(self._plan.control):
            name = f'control-{position}'
            role = {
                'listen': text(listen),
                'data_folder': str(self._plan.folder / name),
            }
            self._write(name, 'control', ZONES[position % 3], role)
        for position, (listen, page) in enumerate(self._plan.entries.items()):
            role = {'listen': text(listen)}
            self._write(
                f'entry-{position}', 'entry', ZONES[position], role, page
            )
        for agent in self._plan.agents:
            role = self._agent_role(agent)
            self._write(
                agent.instance, 'agent', agent.zone, role, agent.metrics
            )

    def _agent_role(self, agent: AgentPlan) -> dict[str, typing.Any]:
        return {
            'listen': text(agent.listen),
            'upstream_side': text(agent.upstream_side),
            'upstream': text(agent.upstream),
            'status': text(agent.status),
            'fabric': text(self._plan.fabric),
            'services': list(agent.services),
            'slots': agent.slots,
            'ramp': '1s',
        }

    def _write(
        self,
        name: str,
        role_name: str,
        zone: str,
        role: dict[str, typing.Any],
        page: Address | None = None,
    ) -> None:
        content: dict[str, typing.Any] = {
            'instance': name,
            'zone': zone,
            'key_file': str(self._plan.folder / 'keys.yaml'),
            'log_file': str(self._plan.folder / f'{name}.jsonl'),
            'grace': '5s',
            role_name: role,
        }
        if role_name != 'control':
            content['feeds'] = [text(item) for item in self._plan.control]
        if page is not None:
            content['metrics'] = text(page)
        self._file(name).write_text(yaml.safe_dump(content))
        self.roles[name] = role_name

    def _file(self, instance: str) -> pathlib.Path:
        return self._plan.folder / f'{instance}.yaml'


def text(address: Address) -> str:
    """Return an address as settings write it."""
    return f'{address[0]}:{address[1]}'


@contextlib.asynccontextmanager
async def run_processes(
    plan: Plan,
) -> collections.abc.AsyncIterator[Processes]:
    """Run the product's processes; kill what is left at the end."""
    processes = Processes(plan)
    try:
        for name in processes.roles:
            await processes.start(name)
        yield processes
    finally:
        for name in list(processes._running):
            await processes.kill(name)
