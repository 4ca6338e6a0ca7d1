"""Measure commits, failover, traffic and scaling of the catalogue log.

Command: ``make bench-log``. The targets follow from the project's
requirements: 8,900 changes a day, each in force within 18 s, and a few KB of
control traffic a second for each daemon.

- An accepted edit takes at most three times as long as two disk syncs and
  two bare calls, which are the least that it needs. A bare call asks for the
  members of the group and writes nothing.
- One client makes 10 edits a second, one after the other. The required rate
  is 0.1 a second on average.
- At most 5 s pass from the loss of the leader to the next accepted edit.
- An idle link between two members carries at most 4,096 bytes a second, and
  an edit adds at most 4,096 bytes to it.
- An edit among 53,000 entries takes at most twice as long as among 1,000.
- A snapshot holds at most 1,024 bytes for each entry and its history.
"""

import asyncio
import dataclasses
import os
import pathlib
import statistics
import tempfile
import time

import control_group

from benchmarks import tables
from gentianspoke.codec import catalogue as catalogue_codec
from gentianspoke.codec import replica as codec
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import records
from gentianspoke.generated import catalogue_grpc
from gentianspoke.generated import replica_grpc
from gentianspoke.generated import replica_pb2
from gentianspoke.shells import channel_auth
from soak import proxy as soak_proxy

BASE_PORT = int(os.environ.get('BENCH_BASE_PORT', '30600'))
GROUP_SIZES = (1, 3, 5)
EDIT_COUNT = 100
CLIENT_COUNT = 32
FAILOVER_COUNT = 5
IDLE_DURATION_S = 5.0
ENTRY_COUNTS = (1_000, 10_000, 53_000)
REPLACING_EDIT_COUNT = 50
MS_PER_S = 1_000
US_PER_S = 1_000_000
COMMAND = 'make bench-log'
# An odd stride modulo 2**32 gives each entry a different address, since no
# two entries may share an endpoint.
ADDRESS_STRIDE = 2_654_435_761
ADDRESS_SPACE = 1 << 32


def make_request(
    number: int, base_version: int = 0
) -> catalogue_records.Request:
    """Return a request with one edit of the entry ``service-NUMBER``.

    ``base_version`` is the version that the edit replaces, or 0 for a new
    entry.
    """
    address = (number * ADDRESS_STRIDE % ADDRESS_SPACE).to_bytes(4, 'big')
    entry = services.Service(
        number=0,
        name=f'service-{number}',
        owner='owner',
        address=address,
        ports=(443, 8443),
        protocol=6,
        traffic=services.Booking(False),
        limits=services.Limits(),
        version=0,
    )
    edit = catalogue_records.Edit(
        entry.name, base_version, catalogue_records.Put(entry)
    )
    return catalogue_records.Request(
        f'key-{number}-{base_version}', 'operator', (edit,)
    )


async def measure_call_s(
    call: 'asyncio.Future[object] | object',
) -> float:
    """Return the seconds that awaiting ``call`` takes."""
    start_s = time.perf_counter()
    await call  # type: ignore[misc]
    return time.perf_counter() - start_s


def measure_sync_s(folder: pathlib.Path) -> float:
    """Return the median time to append 300 bytes to a file and sync it.

    The result is in seconds, from ``EDIT_COUNT`` repetitions.
    """
    durations_s = []
    with open(folder / 'bare', 'ab', buffering=0) as file:
        for _ in range(EDIT_COUNT):
            start_s = time.perf_counter()
            file.write(bytes(300))
            os.fsync(file.fileno())
            durations_s.append(time.perf_counter() - start_s)
    return statistics.median(durations_s)


async def measure_commits_row(size: int, port: int) -> list[str]:
    """Return the table row on commits in a group of ``size`` members.

    The row holds the size of the group, the milliseconds that a disk sync, a
    bare call and an edit take, the ratio of the edit to two syncs and two bare
    calls, and the edits per second of one client and of ``CLIENT_COUNT``
    clients.
    """
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        async with control_group.run_group(folder, port, size) as group:
            leader = await group.wait_for_leader()
            ring = group.ring
            async with channel_auth.open_channel(
                group.addresses[leader], lambda: ring, 'benchmark'
            ) as channel:
                return await _measure_commits_over_channel(
                    size, folder, channel
                )


async def _measure_commits_over_channel(size, folder, channel):
    stub = catalogue_grpc.CatalogueStub(channel)
    bare_stub = replica_grpc.ControlMembersStub(channel)
    bare_call_times_s = [
        await measure_call_s(bare_stub.Members(replica_pb2.MembersRequest()))
        for _ in range(EDIT_COUNT)
    ]
    # One client sends the first ``EDIT_COUNT`` requests one after the other.
    # ``CLIENT_COUNT`` concurrent clients send the rest, each of them
    # ``EDIT_COUNT / 8`` requests on average.
    messages = [
        catalogue_codec.encode_request(make_request(number))
        for number in range(EDIT_COUNT * (1 + CLIENT_COUNT // 8))
    ]
    edit_times_s = [
        await measure_call_s(stub.Apply(message))
        for message in messages[:EDIT_COUNT]
    ]
    concurrent_messages = messages[EDIT_COUNT:]
    start_s = time.perf_counter()
    messages_by_client = [
        concurrent_messages[client::CLIENT_COUNT]
        for client in range(CLIENT_COUNT)
    ]

    async def send_edits(client_messages):
        for message in client_messages:
            reply = await stub.Apply(message)
            assert reply.accepted

    await asyncio.gather(*map(send_edits, messages_by_client))
    concurrent_edits_per_s = len(concurrent_messages) / (
        time.perf_counter() - start_s
    )
    sync_s = measure_sync_s(folder)
    call_s = statistics.median(bare_call_times_s)
    edit_s = statistics.median(edit_times_s)
    ratio = edit_s / (2 * sync_s + 2 * call_s)
    return [
        str(size),
        f'{sync_s * MS_PER_S:.2f}',
        f'{call_s * MS_PER_S:.2f}',
        f'{edit_s * MS_PER_S:.2f}',
        f'{ratio:.2f}',
        f'{1 / edit_s:.0f}',
        f'{concurrent_edits_per_s:.0f}',
    ]


async def measure_failover_times_s(port: int) -> list[float]:
    """Return the failover times in seconds of a group with three members.

    A failover lasts from the kill of the leader until the next edit is
    accepted.
    """
    durations_s = []
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        async with control_group.run_group(folder, port, 3) as group:
            for number in range(FAILOVER_COUNT):
                await group.apply(make_request(number))
                leader = await group.wait_for_leader()
                start_s = time.perf_counter()
                await group.kill(leader)
                await group.apply(make_request(FAILOVER_COUNT + number))
                durations_s.append(time.perf_counter() - start_s)
                await group.start(leader)
                await group.wait_until_confirmed(leader)
    return durations_s


async def measure_link_bytes(port: int) -> tuple[float, float]:
    """Return the bytes per second on an idle link and the bytes per edit.

    The link connects the leader and one follower through a proxy. The bytes
    per edit do not include the idle traffic that passes in the same time.
    """
    # The members listen on ``port`` to ``port + 2``.
    proxy = soak_proxy.Proxy((control_group.HOST, port + 9))
    proxied_addresses = {'control-0': proxy.address}
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        async with (
            proxy.run((control_group.HOST, port)),
            control_group.run_group(
                folder, port, 3, proxied_addresses
            ) as group,
        ):
            # The proxy stands in front of control-0. Another member must
            # lead, so that the proxy counts what the leader and one
            # follower exchange.
            while await group.wait_for_leader() == 'control-0':
                await group.kill('control-0')
                await group.wait_for_leader()
                await group.start('control-0')
            await group.wait_until_confirmed('control-0')
            idle_bytes = await _count_forwarded_bytes(
                proxy, asyncio.sleep(IDLE_DURATION_S)
            )
            idle_bytes_per_s = idle_bytes / IDLE_DURATION_S
            start_s = time.perf_counter()

            async def send_edits():
                for number in range(EDIT_COUNT):
                    await group.apply(make_request(number))

            edit_bytes = await _count_forwarded_bytes(proxy, send_edits())
            duration_s = time.perf_counter() - start_s
            return (
                idle_bytes_per_s,
                (edit_bytes - idle_bytes_per_s * duration_s) / EDIT_COUNT,
            )


async def _count_forwarded_bytes(proxy, activity):
    bytes_before = proxy.forwarded_bytes
    await activity
    return proxy.forwarded_bytes - bytes_before


def measure_catalogue_row(count: int) -> list[str]:
    """Return the table row on a catalogue with ``count`` entries.

    The row holds ``count``, the microseconds per edit, the bytes of the
    snapshot for each entry, and the milliseconds that encoding and reading
    the snapshot take. Each of the ``REPLACING_EDIT_COUNT`` timed edits
    replaces one entry.
    """
    built_catalogue = catalogue.Catalogue()
    for number in range(count):
        built_catalogue.apply(make_request(number))
    start_s = time.perf_counter()
    for number in range(REPLACING_EDIT_COUNT):
        version = built_catalogue.entries[f'service-{number}'].version
        assert built_catalogue.apply(make_request(number, version)).accepted
    edit_us = (time.perf_counter() - start_s) / REPLACING_EDIT_COUNT * US_PER_S
    start_s = time.perf_counter()
    snapshot = records.Snapshot(
        count, 1, groups.Group(), built_catalogue.export()
    )
    data = codec.encode_snapshot(snapshot).SerializeToString()
    encode_ms = (time.perf_counter() - start_s) * MS_PER_S
    start_s = time.perf_counter()
    decoded = codec.decode_snapshot(replica_pb2.Snapshot.FromString(data))
    catalogue.Catalogue().restore(decoded.state)
    decode_ms = (time.perf_counter() - start_s) * MS_PER_S
    return [
        f'{count:,}',
        f'{edit_us:.0f}',
        f'{len(data) / count:.0f}',
        f'{encode_ms:.0f}',
        f'{decode_ms:.0f}',
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A measured value and ``max_value``, the greatest that is acceptable."""

    name: str
    value: float
    max_value: float

    def format_row(self) -> list[str]:
        """Return the cells of the target's row in the table."""
        verdict = 'met' if self.value <= self.max_value else 'MISSED'
        return [
            self.name,
            f'{self.value:.2f}',
            f'{self.max_value:.2f}',
            verdict,
        ]


async def main() -> None:
    """Measure everything and write the tables."""
    catalogue_rows = [measure_catalogue_row(count) for count in ENTRY_COUNTS]
    tables.write(
        'catalogue_slopes',
        'Catalogue by number of entries',
        COMMAND,
        ['entries', 'us an edit', 'snapshot bytes an entry']
        + ['ms to encode', 'ms to read'],
        catalogue_rows,
    )
    commit_rows = [
        await measure_commits_row(size, BASE_PORT + 10 * size)
        for size in GROUP_SIZES
    ]
    tables.write(
        'catalogue_commits',
        'Commits by number of control instances',
        COMMAND,
        ['members', 'ms a sync', 'ms a bare call', 'ms an edit']
        + ['ratio', 'edits a second alone', f'with {CLIENT_COUNT} clients'],
        commit_rows,
    )
    failover_times_s = await measure_failover_times_s(BASE_PORT + 80)
    idle_bytes_per_s, bytes_per_edit = await measure_link_bytes(BASE_PORT + 90)
    # The first catalogue row is for 1,000 entries, the last for 53,000. The
    # second commit row is for the group with three members. The second index
    # selects the column.
    growth = float(catalogue_rows[-1][1]) / float(catalogue_rows[0][1])
    targets = [
        Target('edit to 2 syncs and 2 calls', float(commit_rows[1][4]), 3.0),
        Target(
            's between edits, one client', 1 / float(commit_rows[1][5]), 0.1
        ),
        Target('s failover, median', statistics.median(failover_times_s), 5.0),
        Target('s failover, longest', max(failover_times_s), 5.0),
        Target('bytes a second, idle link', idle_bytes_per_s, 4096.0),
        Target('bytes an edit and link', bytes_per_edit, 4096.0),
        Target('edit at 53,000 to 1,000 entries', growth, 2.0),
        Target(
            'snapshot bytes an entry', float(catalogue_rows[-1][2]), 1024.0
        ),
    ]
    tables.write(
        'catalogue_targets',
        'Catalogue log against its targets',
        COMMAND,
        ['figure', 'measured', 'at most', 'verdict'],
        [target.format_row() for target in targets],
    )


if __name__ == '__main__':
    asyncio.run(main())
