"""Traffic, processor, memory and delay of control, by number of daemons.

Command: ``python -m benchmarks.control_traffic``. Nine of ten daemons are
agents, ten of them for each service; the others are entries, which follow
all services. The targets are those of the developers' page.
"""

import argparse
import asyncio
import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import statistics
import tempfile
import time

from benchmarks import control_daemons
from benchmarks import tables
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue
from gentianspoke.shells import catalogue_client

TARGETS = (
    'Targets a daemon: 4,096 bytes a second, 2.5% of a core, 32 MB;'
    ' a change in force everywhere within 18 s.'
)
DAEMONS_PER_SERVICE = 10
ENTRY_SHARE = 10
SETTLE_S = 6.0
MEASURED_S = 10.0
# One change of configuration each 9.7 s is 8,900 a day; one in two seconds
# here, and one agent in ten seconds that drains or returns.
EDIT_PAUSE_S = 2.0
EDITS = 5
CATCH_UP_EDITS = 500
CATCH_UP_ENTRIES = 100
MB = 1_000_000


@dataclasses.dataclass(slots=True)
class Sample:
    """Counters at one moment."""

    at_s: float
    wire: int
    own_cpu_s: float
    control_cpu_s: float


class Bench:
    """One control process and some daemons that follow it."""

    def __init__(
        self,
        control: control_daemons.ControlProcess,
        traffic: control_daemons.Traffic,
        group: asyncio.TaskGroup,
    ) -> None:
        """Begin without a daemon."""
        self.control = control
        self.traffic = traffic
        self.daemons: list[control_daemons.Daemon] = []
        self._group = group
        self._tasks: list[asyncio.Task[None]] = []
        self._client = catalogue_client.CatalogueClient(
            (control.address,), control.ring
        )
        self._keys = iter(range(10**9))

    async def until_ready(self) -> None:
        """Wait until the control instance answers."""
        while not await self._client.statuses():
            await asyncio.sleep(0.1)

    async def edit(self, name: str, number: int, owner: str) -> int:
        """Add or change an entry; return the accepted version."""
        listing = await self._client.list_entries()
        known = listing.entries.get(name)
        entry = services.Service(
            number=0,
            name=name,
            owner=owner,
            address=number.to_bytes(4, 'big'),
            ports=(443,),
            protocol=6,
            traffic=services.Booking(False),
            limits=services.Limits(),
            version=0,
        )
        edit = catalogue.Edit(
            name, known.version if known else 0, catalogue.Put(entry)
        )
        key = f'benchmark-{next(self._keys)}'
        applied = await self._client.apply(
            catalogue.Request(key, 'benchmark', (edit,))
        )
        return applied.answer.version

    def start(self, count: int) -> None:
        """Start daemons of all services."""
        agents = count - count // ENTRY_SHARE
        for number in range(count):
            names: tuple[str, ...] = ()
            if number < agents:
                names = (f'service-{number // DAEMONS_PER_SERVICE}',)
            daemon = control_daemons.Daemon(
                f'daemon-{number}',
                self.control.ring,
                (self.control.address,),
                names,
            )
            self.daemons.append(daemon)
            self._tasks.append(self._group.create_task(daemon.run()))

    async def stop_last(self) -> control_daemons.Daemon:
        """Stop the last daemon, an entry, and return it."""
        task = self._tasks.pop()
        task.cancel()
        await asyncio.wait([task])
        return self.daemons.pop()

    def stop(self) -> None:
        """Stop all daemons."""
        for task in self._tasks:
            task.cancel()

    def sample(self) -> Sample:
        """Return the counters now."""
        return Sample(
            time.monotonic(),
            self.traffic.wire,
            time.process_time(),
            control_daemons.cpu_seconds(self.control.pid),
        )

    async def until(self, version: int) -> None:
        """Wait until all daemons run a version."""
        while any(daemon.version < version for daemon in self.daemons):
            await asyncio.sleep(0.005)


def rates(before: Sample, after: Sample, count: int) -> list[str]:
    """Return bytes a second and processor shares of one daemon."""
    seconds = after.at_s - before.at_s
    wire = (after.wire - before.wire) / seconds / count
    own = (after.own_cpu_s - before.own_cpu_s) / seconds / count
    control = (after.control_cpu_s - before.control_cpu_s) / seconds
    return [f'{wire:.0f}', f'{own:.3%}', f'{control:.1%}']


async def change(bench: Bench) -> list[float]:
    """Edit and drain for a while; return the delays of the edits."""
    delays: list[float] = []
    agents = [daemon for daemon in bench.daemons if daemon.agent]
    for number in range(EDITS):
        agent = agents[number].agent
        assert agent is not None
        agent.state.draining = not agent.state.draining
        agent.heartbeat.announce_now()
        began = time.monotonic()
        version = await bench.edit('service-0', 1, f'owner-{began}')
        await bench.until(version)
        delays.append(time.monotonic() - began)
        left_s = began + EDIT_PAUSE_S - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))
    return delays


async def catch_up(bench: Bench) -> int:
    """Return the bytes by which an entry catches up many changes."""
    daemon = await bench.stop_last()
    # Else the others' heartbeats would be among the bytes.
    bench.stop()
    version = 0
    for number in range(CATCH_UP_EDITS):
        kept = number % CATCH_UP_ENTRIES
        version = await bench.edit(f'late-{kept}', 10_000 + kept, f'{number}')
    before = bench.traffic.wire
    task = asyncio.create_task(daemon.run())
    while daemon.version < version:
        await asyncio.sleep(0.001)
    task.cancel()
    return bench.traffic.wire - before


async def measure(count: int, port: int) -> list[str]:
    """Return one row of the table."""
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        traffic = stack.enter_context(control_daemons.count_traffic())
        control = await stack.enter_async_context(
            control_daemons.run_control(folder, port)
        )
        async with asyncio.TaskGroup() as group:
            bench = Bench(control, traffic, group)
            await bench.until_ready()
            for number in range(max(1, count // DAEMONS_PER_SERVICE)):
                await bench.edit(f'service-{number}', number + 1, 'owner')
            control_empty = control_daemons.resident_bytes(control.pid)
            own_empty = control_daemons.resident_bytes(os.getpid())
            bench.start(count)
            await asyncio.sleep(SETTLE_S)
            idle = bench.sample()
            await asyncio.sleep(MEASURED_S)
            changing = bench.sample()
            delays = await change(bench)
            end = bench.sample()
            own = control_daemons.resident_bytes(os.getpid()) - own_empty
            held = control_daemons.resident_bytes(control.pid)
            caught_up = await catch_up(bench)
            bench.stop()
    return [
        str(count),
        *rates(idle, changing, count),
        *rates(changing, end, count),
        f'{own / count / MB:.2f}',
        f'{(held - control_empty) / count / MB:.3f}',
        f'{statistics.median(delays) * 1000:.0f}',
        f'{max(delays) * 1000:.0f}',
        str(caught_up),
    ]


def parse_counts(
    arguments: collections.abc.Sequence[str] | None = None,
) -> tuple[list[int], int]:
    """Return the numbers of daemons to measure, and the port to use."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--daemons', default='30,100,300')
    parser.add_argument('--port', type=int, default=31_900)
    given = parser.parse_args(arguments)
    return [int(text) for text in given.daemons.split(',')], given.port


async def main() -> None:
    """Measure and write the table."""
    counts, port = parse_counts()
    rows = [await measure(count, port) for count in counts]
    tables.write(
        'control_traffic',
        'Control: traffic, processor, memory and delay',
        'python -m benchmarks.control_traffic --daemons '
        + ','.join(map(str, counts)),
        [
            'daemons',
            'idle: bytes/s a daemon',
            'idle: core a daemon',
            'idle: core of control',
            'change: bytes/s a daemon',
            'change: core a daemon',
            'change: core of control',
            'MB a daemon',
            'MB of control a daemon',
            'in force, median ms',
            'in force, worst ms',
            f'bytes to catch up {CATCH_UP_EDITS} changes',
        ],
        rows,
    )
    print(TARGETS)


if __name__ == '__main__':
    asyncio.run(main())
