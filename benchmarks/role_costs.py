"""Measure the processor time of real processes of each role.

Command: ``make bench-roles``. A control instance, an entry and a pool of
agents run with the platform's settings on loopback addresses, as
``platform/run.py`` starts them. The benchmark sends the heartbeats of the
upstreams and stands in for one caller and for all upstreams. It reads the
processor time of each process from /proc for three phases: the start, some
seconds without traffic, and the same time with packets at a steady rate, each
of which wakes the processes anew.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from gentianspoke_platform import headers

from benchmarks import control_daemons
from benchmarks import tables
from gentianspoke.core import packets
from gentianspoke.net import datagrams

AGENT_COUNT = 45
IDLE_S = 10.0
TRAFFIC_S = 10.0
EXCHANGES_PER_S = 200
# An exchange opens a flow, sends a request and gets an answer.
PACKETS_PER_EXCHANGE = 4
HEARTBEAT_INTERVAL_S = 1.0
START_TIMEOUT_S = 60.0
SETTLE_S = 3.0
POOL = 'pool'
DATA_PORT = 8_172
READY_PORT = 8_167
CONTROL_PORT = 8_166
OUTBOUND_PORT = 8_162
UPSTREAM_PORT = 8_165
SERVICE_ADDRESS = bytes((198, 18, 0, 1))
SERVICE_PORT = 443
CALLER_ADDRESS = bytes((127, 0, 9, 1))
US_PER_S = 1_000_000
MS_PER_S = 1_000
RUN_SCRIPT = pathlib.Path(__file__).parent.parent / 'platform' / 'run.py'

SETTINGS = '''
node = "{name}"
class = "front"
serves = ["{serves}"]
ip = "{host}"
zone = "zone-a"
internal_port_range = [7720, 7735]
seeds = ["127.0.8.1:8166"]
bootstrap = true
data_dir = "{folder}"
app = "{host}:8165"
service = "pool"
[listen]
data_addr = "{host}:8172"
outbound = "{host}:8162"
ready = "{host}:8167"
control = "{host}:8166"
[limits]
link_mbps = 5
[tolerate]
machines = 0
[bounds]
'''
CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'route',
            'host': '198.18.0.1',
            'path_prefix': '/443/',
            'kind': 'unsafe',
            'timeout_ms': 5_000,
            'service': POOL,
        }
    ],
    'services': [{'name': POOL}],
    'limits': {},
}


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A process of the benchmark with its role, address and process id."""

    role: str
    host: str
    pid: int


@contextlib.contextmanager
def run_instance(
    role: str, serves: str, host: str, folder: pathlib.Path
) -> collections.abc.Iterator[Instance]:
    """Run one process of a role and stop it at the end of the context."""
    path = folder / f'{host}.toml'
    data_folder = folder / host
    data_folder.mkdir()
    path.write_text(
        SETTINGS.format(
            name=host, serves=serves, host=host, folder=data_folder
        )
    )
    environment = {**os.environ, 'GENTIANSPOKE_CONFIG': str(path)}
    command = [sys.executable, '-S', str(RUN_SCRIPT), role]
    profile = os.environ.get(f'PROFILE_{role.upper()}')
    if profile:
        command[2:2] = ['-m', 'cProfile', '-o', f'{profile}.{host}']
    with (folder / f'{host}.log').open('wb') as log_file:
        process = subprocess.Popen(
            command,
            env=environment,
            stdout=log_file,
            stderr=log_file,
        )
        try:
            yield Instance(role, host, process.pid)
        finally:
            process.terminate()
            process.wait()


async def post(host: str, path: str, content: dict[str, object]) -> int:
    """Send a request with a JSON body and return the status of the reply."""
    body = json.dumps(content).encode()
    reader, writer = await asyncio.open_connection(host, CONTROL_PORT)
    with contextlib.closing(writer):
        writer.write(
            f'POST {path} HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n'
            f'content-length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        return int((await reader.readline()).split()[1])


async def send_heartbeats(host: str) -> None:
    """Send the heartbeats of the upstream beside an agent until cancelled."""
    for seq in range(1, sys.maxsize):
        content: dict[str, object] = {
            'service': POOL,
            'addr': f'{host}:{UPSTREAM_PORT}',
            'zone': 'zone-a',
            'version': '1',
            'slots': 2,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': seq,
            'born': 1,
        }
        with contextlib.suppress(OSError, IndexError, ValueError):
            await post(host, f'/v1/instances/{host}/heartbeat', content)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def put_configuration(host: str) -> None:
    """Send the configuration until the control instance accepts it."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError, IndexError, ValueError):
                if await post(host, '/v1/config/put', CONFIGURATION) == 200:
                    return
            await asyncio.sleep(0.2)


async def wait_until_ready(host: str) -> None:
    """Wait until the readiness page of an entry or agent returns 200."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError, IndexError):
                reader, writer = await asyncio.open_connection(
                    host, READY_PORT
                )
                with contextlib.closing(writer):
                    writer.write(
                        b'GET /v1/readiness HTTP/1.1\r\nhost: a\r\n'
                        b'connection: close\r\n\r\n'
                    )
                    if b' 200 ' in await reader.readline():
                        return
            await asyncio.sleep(0.2)


def make_packet(number: int, flags: int, data: bytes = b'') -> bytes:
    """Return a packet of the caller's flow ``number``."""
    return (
        headers.HEADER.pack(
            0,
            SERVICE_PORT,
            CALLER_ADDRESS[::-1],
            SERVICE_ADDRESS[::-1],
            1_024 + number % 60_000,
            0,
            number,
            0 if flags == headers.SYN else 1,
            len(data),
            flags,
            headers.PAD,
        )
        + data
    )


def make_reply(request: bytes) -> bytes:
    """Return an upstream's reply to a packet, which answers its data."""
    _, dport, src, dst, sport, _, seq, _, length, flags, _ = (
        headers.HEADER.unpack_from(request)
    )
    reply_flags = headers.ACK | (flags & (headers.SYN | headers.FIN))
    data = bytes(600) if length else b''
    return (
        headers.HEADER.pack(
            0,
            sport,
            dst,
            src,
            dport,
            0,
            1,
            seq + max(1, length),
            len(data),
            reply_flags,
            headers.PAD,
        )
        + data
    )


class Peers:
    """The sockets of the caller and the upstreams, and what they received."""

    def __init__(self) -> None:
        """Start without received packets."""
        self.answered_count = 0
        self.delivered_count = 0

    async def answer(
        self, sock: datagrams.DatagramSocket, agent_host: str
    ) -> None:
        """Answer the packets that an agent delivers, until cancelled."""
        while True:
            for raw, _ in await sock.receive_burst():
                self.delivered_count += 1
                sock.send(make_reply(raw), (agent_host, OUTBOUND_PORT))

    async def receive(self, sock: datagrams.DatagramSocket) -> None:
        """Count the packets that the caller gets, until cancelled."""
        while True:
            self.answered_count += len(await sock.receive_burst())

    async def send(
        self, sock: datagrams.DatagramSocket, entry_host: str, first: int
    ) -> int:
        """Send exchanges at a steady rate; return how many were sent."""
        interval_s = 1 / EXCHANGES_PER_S / PACKETS_PER_EXCHANGE
        count = int(TRAFFIC_S * EXCHANGES_PER_S)
        for number in range(first, first + count):
            for packet in (
                make_packet(number, headers.SYN),
                make_packet(number, headers.ACK, bytes(900)),
                make_packet(number, headers.ACK),
                make_packet(number, headers.ACK | headers.FIN),
            ):
                sock.send(packet, (entry_host, DATA_PORT))
                await asyncio.sleep(interval_s)
        return count


@dataclasses.dataclass(slots=True)
class RoleTimes:
    """Processor time in seconds of the processes of one role, by phase."""

    processes: int
    start_s: float = 0
    idle_s: float = 0
    traffic_s: float = 0


class Meter:
    """Sums the processor time of the processes of each role."""

    def __init__(self, instances: list[Instance]) -> None:
        """Measure from the start of the processes."""
        self._instances = instances
        self._last = {instance.pid: 0.0 for instance in instances}

    def take(self) -> dict[str, float]:
        """Return the time of each role since the last call, in seconds."""
        times: dict[str, float] = {}
        for instance in self._instances:
            now_s = read_run_time_s(instance.pid)
            spent_s = now_s - self._last[instance.pid]
            times[instance.role] = times.get(instance.role, 0) + spent_s
            self._last[instance.pid] = now_s
        return times


def read_run_time_s(pid: int) -> float:
    """Return the processor time of a process, to the nanosecond if known."""
    total_ns = 0
    for path in pathlib.Path(f'/proc/{pid}/task').glob('*/schedstat'):
        total_ns += int(path.read_text().split()[0])
    return total_ns / 1e9 or control_daemons.read_cpu_s(pid)


async def measure(folder: pathlib.Path) -> dict[str, RoleTimes]:
    """Run all processes and return the times of each role."""
    control_host, entry_host = '127.0.8.1', '127.0.8.2'
    agent_hosts = [f'127.0.7.{n}' for n in range(1, AGENT_COUNT + 1)]
    peers = Peers()
    async with contextlib.AsyncExitStack() as stack:

        def start(role: str, serves: str, host: str) -> Instance:
            return stack.enter_context(
                run_instance(role, serves, host, folder)
            )

        instances = [start('control', 'control', control_host)]
        await put_configuration(control_host)
        instances.append(start('entry', 'front', entry_host))
        instances += [start('agent', 'side', host) for host in agent_hosts]
        group = await stack.enter_async_context(asyncio.TaskGroup())
        tasks = [
            group.create_task(send_heartbeats(host)) for host in agent_hosts
        ]
        for host in (entry_host, *agent_hosts):
            await wait_until_ready(host)
            if host in agent_hosts:
                sock = stack.enter_context(
                    datagrams.open_datagrams((host, UPSTREAM_PORT))
                )
                tasks.append(group.create_task(peers.answer(sock, host)))
        caller = stack.enter_context(
            datagrams.open_datagrams(('127.0.9.1', DATA_PORT))
        )
        tasks.append(group.create_task(peers.receive(caller)))
        await asyncio.sleep(SETTLE_S)
        meter = Meter(instances)
        started = meter.take()
        await asyncio.sleep(IDLE_S)
        idle = meter.take()
        began_s = time.monotonic()
        sent = await peers.send(caller, entry_host, 0)
        took_s = time.monotonic() - began_s
        await asyncio.sleep(0.5)
        busy = meter.take()
        print(
            f'{sent} exchanges in {took_s:.1f} s,'
            f' {peers.delivered_count} packets delivered,'
            f' {peers.answered_count} answered'
        )
        for task in tasks:
            task.cancel()
    counts = {'control': 1, 'entry': 1, 'agent': AGENT_COUNT}
    return {
        role: RoleTimes(
            counts[role],
            started[role],
            idle[role] / IDLE_S,
            (busy[role] - idle[role] / IDLE_S * (took_s + 0.5)) / sent,
        )
        for role in counts
    }


def main() -> None:
    """Measure all roles, then write and print the table."""
    with tempfile.TemporaryDirectory() as folder:
        role_times = asyncio.run(measure(pathlib.Path(folder)))
    rows = [
        [
            role,
            str(times.processes),
            f'{times.start_s / times.processes * MS_PER_S:.0f}',
            f'{times.idle_s / times.processes * MS_PER_S:.2f}',
            f'{times.traffic_s * US_PER_S:.0f}',
        ]
        for role, times in role_times.items()
    ]
    tables.write(
        'role_costs',
        f'Processor time of real processes, {EXCHANGES_PER_S} exchanges a'
        ' second',
        'make bench-roles',
        [
            'role',
            'processes',
            'ms a start',
            'ms a second without traffic',
            'us an exchange, over the role',
        ],
        rows,
    )


if __name__ == '__main__':
    main()
