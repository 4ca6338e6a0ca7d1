"""Run the demonstration: changes under load, then a table of promises."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import sys
import tempfile
import time

import yaml

from demo import callers
from demo import deployment
from demo import fabric
from demo import upstreams
from gentianspoke.core import packets
from gentianspoke.net import datagrams
from gentianspoke.net import pages

SEED = 7
BASE_PORT = int(os.environ.get('DEMO_BASE_PORT', '20000'))
SERVICE = bytes((10, 1, 0, 1))
INTAKE = bytes((10, 1, 0, 2))
CALLER = bytes((10, 9, 0, 1))
BOARD_PORT, BOOKING_PORT, UPLOAD_PORT = 8001, 8002, 8003
BOARDS = 210
BOOKING_PAUSE_S = 0.05
UPLOAD_PAUSE_S = 0.1
BOARD_PAUSE_S = 0.4
UPLOAD_PARTS = 5
READY_AT_MOST_S = 20.0
CATALOGUE = {
    'services': [
        {
            'name': 'board',
            'owner': 'yard',
            'address': '10.1.0.1',
            'ports': [BOARD_PORT],
            'class': 'board',
            'idempotent': True,
        },
        {
            'name': 'booking',
            'owner': 'yard',
            'address': '10.1.0.1',
            'ports': [BOOKING_PORT],
            'class': 'booking',
            'limits': {'wait': '300ms'},
        },
        {
            'name': 'intake',
            'owner': 'customs',
            'address': '10.1.0.2',
            'ports': [UPLOAD_PORT],
            'class': 'upload',
            'limits': {'wait': '2s'},
        },
    ]
}


@dataclasses.dataclass(slots=True)
class Results:
    """What the callers saw."""

    opened: int = 0
    whole: int = 0
    refused: int = 0
    broken: int = 0
    wrong_answer: int = 0
    refused_ids: set[str] = dataclasses.field(default_factory=set)
    breaks: list[str] = dataclasses.field(default_factory=list)


class World:
    """The callers' work and the changes made under it."""

    def __init__(
        self, plan: deployment.Plan, host: callers.CallerHost
    ) -> None:
        """Begin without an open flow."""
        self.plan = plan
        self.host = host
        self.results = Results()
        self.stopping = asyncio.Event()
        self.started = time.monotonic()
        self.boards_at: collections.Counter[str] = collections.Counter()

    def log(self, text: str) -> None:
        """Print what the demonstration does, with its time."""
        print(f'{time.monotonic() - self.started:6.1f} s  {text}')

    async def board(self, number: int) -> None:
        """Keep one board open until the end."""
        await asyncio.sleep(number * 0.005)
        await self._flow(
            SERVICE, BOARD_PORT, f'board-{number}', 1_000_000, 'board'
        )

    async def bookings(self, group: asyncio.TaskGroup) -> None:
        """Book again and again until the end."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            group.create_task(
                self._flow(
                    SERVICE, BOOKING_PORT, f'booking-{number}', 1, 'booking'
                )
            )
            await asyncio.sleep(BOOKING_PAUSE_S)

    async def uploads(self, group: asyncio.TaskGroup) -> None:
        """Upload again and again until the end."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            name = f'upload-{number}'
            group.create_task(
                self._flow(INTAKE, UPLOAD_PORT, name, UPLOAD_PARTS, 'upload')
            )
            await asyncio.sleep(UPLOAD_PAUSE_S)

    async def _flow(
        self, service: bytes, port: int, name: str, requests: int, kind: str
    ) -> None:
        connection = self.host.open(service, port)
        self.results.opened += 1
        try:
            await connection.connect()
            for part in range(requests):
                if self.stopping.is_set() and kind == 'board':
                    break
                await self._request(connection, f'{name}/{part}', kind)
                if kind == 'board':
                    await asyncio.sleep(BOARD_PAUSE_S)
            await connection.close()
            self.results.whole += 1
        except callers.Refused:
            self.results.refused += 1
            self.results.refused_ids.add(f'{name}/0')
        except callers.Broken as exc:
            self.results.broken += 1
            self.results.breaks.append(f'{name}: {exc}')
        finally:
            self.host.forget(connection)

    async def _request(
        self, connection: callers.Connection, name: str, kind: str
    ) -> None:
        request = json.dumps({'kind': kind, 'id': name}).encode()
        answer = json.loads(await connection.request(request))
        if answer['id'] != name:
            self.results.wrong_answer += 1


async def run_changes(
    world: World,
    processes: deployment.Processes,
    ups: list[upstreams.Upstream],
) -> None:
    """Make the planned changes, one after the other."""
    await asyncio.sleep(4)
    world.boards_at = _boards_at(ups)
    world.log('upstream 0 drains')
    ups[0].draining = True
    await asyncio.sleep(4)
    world.log('entry-1 restarts')
    await processes.stop('entry-1')
    await processes.start('entry-1')
    await asyncio.sleep(3)
    world.log('agent-2 restarts')
    await processes.stop('agent-2')
    await processes.start('agent-2')
    await asyncio.sleep(6)
    world.log('the callers finish')
    world.stopping.set()


async def apply_catalogue(plan: deployment.Plan) -> None:
    """Apply the catalogue by the operators' command."""
    path = plan.folder / 'catalogue.yaml'
    path.write_text(yaml.safe_dump(CATALOGUE))
    command = [sys.executable, '-m', 'gentianspoke', 'catalogue', 'apply']
    command += [str(path), '--wait', '--control']
    command += [','.join(deployment.text(item) for item in plan.control)]
    command += ['--key-file', str(plan.folder / 'keys.yaml')]
    running = await asyncio.create_subprocess_exec(*command)
    if await running.wait():
        raise SystemExit('the catalogue was not accepted')


def print_table(
    world: World,
    tally: upstreams.Tally,
    ups: list[upstreams.Upstream],
) -> int:
    """Print the table of promises; return 1 where one was broken."""
    results = world.results
    twice = sum(count > 1 for count in tally.runs.values())
    refused_run = sum(name in tally.runs for name in results.refused_ids)
    live = [world.boards_at[up.name] for up in ups[:7]]
    imbalance = max(live) * len(live) / max(1, sum(live))
    rows = [
        ('flows opened', results.opened, None),
        ('whole', results.whole, None),
        ('refused as not run', results.refused, None),
        ('broken', results.broken, 0),
        ('wrong answer', results.wrong_answer, 0),
        ('run twice', twice, 0),
        ('refused, yet run', refused_run, 0),
        ('delivered to a wrong service', tally.wrong_service, 0),
        ('opened while draining', tally.opened_while_draining, None),
    ]
    failed = 0
    for name, value, promised in rows:
        kept = promised is None or value == promised
        failed += not kept
        print(f'{name:32}{value:8}  {"" if kept else "PROMISE BROKEN"}')
    print(f'{"imbalance of boards (max/mean)":32}{imbalance:8.3f}')
    for line in results.breaks[:10]:
        print(f'  broken: {line}')
    if results.whole == 0:
        print('no flow ended whole')
        failed += 1
    return 1 if failed else 0


async def run() -> int:
    """Run the demonstration and return its exit status."""
    rng = random.Random(SEED)
    pools = {('board', 'booking'): (7, 4), ('intake',): (3, 4)}
    with tempfile.TemporaryDirectory() as scratch:
        plan = deployment.make_plan(pathlib.Path(scratch), BASE_PORT, pools)
        async with contextlib.AsyncExitStack() as stack:
            return await _run_in(plan, rng, stack)


async def _run_in(
    plan: deployment.Plan,
    rng: random.Random,
    stack: contextlib.AsyncExitStack,
) -> int:
    tally = upstreams.Tally()
    ups: list[upstreams.Upstream] = []
    endpoints = {
        'board': (SERVICE, BOARD_PORT),
        'booking': (SERVICE, BOOKING_PORT),
        'intake': (INTAKE, UPLOAD_PORT),
    }
    for agent in plan.agents:
        sock = stack.enter_context(datagrams.open_datagrams(agent.upstream))
        served = {endpoints[name] for name in agent.services}
        up = upstreams.Upstream(
            agent.instance, sock, agent.upstream_side, served, tally, rng
        )
        ups.append(up)
        await stack.enter_async_context(
            pages.serve_pages(agent.status, up.render_status)
        )
    fabric_sock = stack.enter_context(datagrams.open_datagrams(plan.fabric))
    caller_sock = stack.enter_context(datagrams.open_datagrams(plan.callers))
    carrier = fabric.Fabric(
        fabric_sock, plan.entries, plan.callers, {SERVICE, INTAKE}, rng
    )
    host = callers.CallerHost(caller_sock, plan.fabric, rng, CALLER)
    world = World(plan, host)
    processes = await stack.enter_async_context(deployment.run_processes(plan))
    async with asyncio.TaskGroup() as group:
        stand_ins = [up.read() for up in ups]
        stand_ins += [carrier.read(), carrier.probe(), host.read()]
        running = [group.create_task(item) for item in stand_ins]
        await _wait_ready(carrier, len(plan.entries))
        await apply_catalogue(plan)
        await asyncio.sleep(3)
        world.log('the callers begin')
        async with asyncio.TaskGroup() as work:
            for number in range(BOARDS):
                work.create_task(world.board(number))
            work.create_task(world.bookings(work))
            work.create_task(world.uploads(work))
            await run_changes(world, processes, ups)
        statuses = await processes.stop_all()
        for task in running:
            task.cancel()
    failed = print_table(world, tally, ups)
    for name, status in statuses.items():
        if status:
            print(f'{name} ended with status {status}')
            failed = 1
    return failed


def _boards_at(
    ups: list[upstreams.Upstream],
) -> collections.Counter[str]:
    return collections.Counter(
        up.name
        for up in ups
        for key in up.connections
        if packets.service_port(key) == BOARD_PORT
    )


async def _wait_ready(carrier: fabric.Fabric, wanted: int) -> None:
    async with asyncio.timeout(READY_AT_MOST_S):
        while carrier.ready_entries() < wanted:
            await asyncio.sleep(0.1)


if __name__ == '__main__':
    sys.exit(asyncio.run(run()))
