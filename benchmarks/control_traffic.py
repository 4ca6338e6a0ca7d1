"""Measure control's traffic, CPU, memory and delay by number of daemons.

Control distributes the catalogue and the views to the daemons through a feed.
The delay of a change is the time until all daemons use it.

Command: ``python -m benchmarks.control_traffic``. Nine of ten daemons are
agents, and each service has ten agents. The other daemons are entries, which
follow all services. The targets are those of the developers' page.
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
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.shells import catalogue_client

TARGETS_TEXT = (
    'Targets a daemon: 4,096 bytes a second, 2.5% of a core, 32 MB;'
    ' a change in force everywhere within 18 s.'
)
AGENTS_PER_SERVICE = 10
DAEMONS_PER_ENTRY = 10
SETTLING_TIME_S = 6.0
IDLE_DURATION_S = 10.0
# The target load is 8,900 configuration changes a day, one every 9.7 s. The
# benchmark makes one edit every 2 s, and with each edit one agent starts or
# stops draining.
EDIT_INTERVAL_S = 2.0
MEASURED_EDIT_COUNT = 5
CATCH_UP_EDIT_COUNT = 500
CATCH_UP_ENTRY_COUNT = 100
BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(slots=True)
class Sample:
    """The monotonic time and the values of the counters at that time."""

    time_s: float
    wire_bytes: int
    daemons_cpu_s: float
    control_cpu_s: float


class Benchmark:
    """A control process and the daemons that follow its feed.

    ``traffic`` counts the daemons' traffic and that of the catalogue client.
    """

    def __init__(
        self,
        control: control_daemons.ControlProcess,
        traffic: control_daemons.Traffic,
        group: asyncio.TaskGroup,
    ) -> None:
        """Create a benchmark without daemons.

        ``group`` runs the tasks of the daemons that are started later.
        """
        self.control = control
        self.traffic = traffic
        self.daemons: list[control_daemons.Daemon] = []
        self._group = group
        self._tasks: list[asyncio.Task[None]] = []
        self._client = catalogue_client.CatalogueClient(
            (control.address,), control.ring
        )
        self._request_numbers = iter(range(10**9))

    async def wait_until_ready(self) -> None:
        """Wait until the control instance answers requests."""
        while not await self._client.fetch_statuses():
            await asyncio.sleep(0.1)

    async def edit_entry(
        self, name: str, address_number: int, owner: str
    ) -> int:
        """Add or change the catalogue entry ``name``; return its version.

        ``address_number`` is the service's IPv4 address as an integer.
        """
        listing = await self._client.list_entries()
        current = listing.entries.get(name)
        entry = services.Service(
            number=0,
            name=name,
            owner=owner,
            address=address_number.to_bytes(4, 'big'),
            ports=(443,),
            protocol=6,
            traffic=services.Booking(False),
            limits=services.Limits(),
            version=0,
        )
        edit = catalogue_records.Edit(
            name,
            current.version if current else 0,
            catalogue_records.Put(entry),
        )
        key = f'benchmark-{next(self._request_numbers)}'
        applied = await self._client.apply(
            catalogue_records.Request(key, 'benchmark', (edit,))
        )
        return applied.answer.version

    def start_daemons(self, count: int) -> None:
        """Start ``count`` daemons, first the agents and then the entries."""
        agent_count = count - count // DAEMONS_PER_ENTRY
        for number in range(count):
            service_names: tuple[str, ...] = ()
            if number < agent_count:
                service_names = (f'service-{number // AGENTS_PER_SERVICE}',)
            daemon = control_daemons.Daemon(
                f'daemon-{number}',
                self.control.ring,
                (self.control.address,),
                service_names,
            )
            self.daemons.append(daemon)
            self._tasks.append(self._group.create_task(daemon.run()))

    async def stop_last_daemon(self) -> control_daemons.Daemon:
        """Stop the daemon that was started last, an entry, and return it."""
        task = self._tasks.pop()
        task.cancel()
        await asyncio.wait([task])
        return self.daemons.pop()

    def stop_daemons(self) -> None:
        """Cancel the tasks of all daemons."""
        for task in self._tasks:
            task.cancel()

    def take_sample(self) -> Sample:
        """Return the current values of the counters."""
        return Sample(
            time.monotonic(),
            self.traffic.wire_bytes,
            time.process_time(),
            control_daemons.read_cpu_s(self.control.pid),
        )

    async def wait_for_version(self, version: int) -> None:
        """Wait until all daemons use the catalogue version ``version``."""
        while any(daemon.version < version for daemon in self.daemons):
            await asyncio.sleep(0.005)


def format_rates(before: Sample, after: Sample, count: int) -> list[str]:
    """Return the mean rates between two samples as cells of the table.

    The cells are the bytes per second and the share of a core for each
    daemon, and the share of a core that control used.
    """
    duration_s = after.time_s - before.time_s
    bytes_per_s = (after.wire_bytes - before.wire_bytes) / duration_s / count
    daemon_core_share = (
        (after.daemons_cpu_s - before.daemons_cpu_s) / duration_s / count
    )
    control_core_share = (
        after.control_cpu_s - before.control_cpu_s
    ) / duration_s
    return [
        f'{bytes_per_s:.0f}',
        f'{daemon_core_share:.3%}',
        f'{control_core_share:.1%}',
    ]


async def measure_change_delays_s(benchmark: Benchmark) -> list[float]:
    """Make ``MEASURED_EDIT_COUNT`` edits and return their delays in seconds.

    The delay of an edit is the time from its request until all daemons use
    its version. With each edit one agent starts or stops draining.
    """
    delays_s: list[float] = []
    agents = [daemon for daemon in benchmark.daemons if daemon.agent]
    for number in range(MEASURED_EDIT_COUNT):
        agent = agents[number].agent
        assert agent is not None
        agent.state.draining = not agent.state.draining
        agent.heartbeat.announce_now()
        start_s = time.monotonic()
        version = await benchmark.edit_entry(
            'service-0', 1, f'owner-{start_s}'
        )
        await benchmark.wait_for_version(version)
        delays_s.append(time.monotonic() - start_s)
        remaining_s = start_s + EDIT_INTERVAL_S - time.monotonic()
        await asyncio.sleep(max(0.0, remaining_s))
    return delays_s


async def measure_catch_up_bytes(benchmark: Benchmark) -> int:
    """Return the bytes that an entry needs to catch up with the catalogue.

    The entry is stopped while ``CATCH_UP_EDIT_COUNT`` edits are made. The
    other daemons are stopped and not started again.
    """
    daemon = await benchmark.stop_last_daemon()
    # The heartbeats of the other daemons would otherwise be counted too.
    benchmark.stop_daemons()
    version = 0
    for number in range(CATCH_UP_EDIT_COUNT):
        entry_number = number % CATCH_UP_ENTRY_COUNT
        version = await benchmark.edit_entry(
            f'late-{entry_number}', 10_000 + entry_number, f'{number}'
        )
    bytes_before = benchmark.traffic.wire_bytes
    task = asyncio.create_task(daemon.run())
    while daemon.version < version:
        await asyncio.sleep(0.001)
    task.cancel()
    return benchmark.traffic.wire_bytes - bytes_before


async def measure_daemons_row(count: int, port: int) -> list[str]:
    """Measure ``count`` daemons and return one row of the table."""
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        traffic = stack.enter_context(control_daemons.count_traffic())
        control = await stack.enter_async_context(
            control_daemons.run_control(folder, port)
        )
        async with asyncio.TaskGroup() as group:
            benchmark = Benchmark(control, traffic, group)
            await benchmark.wait_until_ready()
            for number in range(max(1, count // AGENTS_PER_SERVICE)):
                await benchmark.edit_entry(
                    f'service-{number}', number + 1, 'owner'
                )
            control_bytes_before = control_daemons.read_resident_bytes(
                control.pid
            )
            daemons_bytes_before = control_daemons.read_resident_bytes(
                os.getpid()
            )
            benchmark.start_daemons(count)
            await asyncio.sleep(SETTLING_TIME_S)
            idle_start = benchmark.take_sample()
            await asyncio.sleep(IDLE_DURATION_S)
            changes_start = benchmark.take_sample()
            delays_s = await measure_change_delays_s(benchmark)
            changes_end = benchmark.take_sample()
            daemons_growth_bytes = (
                control_daemons.read_resident_bytes(os.getpid())
                - daemons_bytes_before
            )
            control_bytes = control_daemons.read_resident_bytes(control.pid)
            catch_up_bytes = await measure_catch_up_bytes(benchmark)
            benchmark.stop_daemons()
    return [
        str(count),
        *format_rates(idle_start, changes_start, count),
        *format_rates(changes_start, changes_end, count),
        f'{daemons_growth_bytes / count / BYTES_PER_MB:.2f}',
        f'{(control_bytes - control_bytes_before) / count / BYTES_PER_MB:.3f}',
        f'{statistics.median(delays_s) * 1000:.0f}',
        f'{max(delays_s) * 1000:.0f}',
        str(catch_up_bytes),
    ]


def parse_options(
    arguments: collections.abc.Sequence[str] | None = None,
) -> tuple[list[int], int]:
    """Return the daemon counts to measure and control's port."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--daemons', default='30,100,300')
    parser.add_argument('--port', type=int, default=31_900)
    options = parser.parse_args(arguments)
    return [int(text) for text in options.daemons.split(',')], options.port


async def main() -> None:
    """Measure each number of daemons, then write and print the table."""
    counts, port = parse_options()
    rows = [await measure_daemons_row(count, port) for count in counts]
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
            f'bytes to catch up {CATCH_UP_EDIT_COUNT} changes',
        ],
        rows,
    )
    print(TARGETS_TEXT)


if __name__ == '__main__':
    asyncio.run(main())
