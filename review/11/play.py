"""The seeds are exchanged for control machines without a disk; then all end.

Each of three zones has two front machines: one with a disk, and one without.
All six run an entry and a control process. Two endpoints have an agent each.
Stand-ins send requests through the entries and answer them, as PROTOCOL.md
describes packets, flows and heartbeats. After the exchange of the seeds, all
processes are killed and are back 1 s later (kill_all).
"""

import asyncio
import contextlib
import http.client
import json
import os
import pathlib
import random
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
# 0 for no disruption, 1 for both, or the name of the only one.
TROUBLE = os.environ.get('TROUBLE', '1')
EXCHANGES = TROUBLE in ('1', 'seeds')
KILLS = TROUBLE in ('1', 'kill')
APP_PORT, OUTBOUND_PORT, CONTROL_PORT, READY_PORT = 8165, 8162, 8166, 8167
DATA_PORT = 8172
LEAD_S, RECOVERY_S, BEFORE_S, AFTER_S, DOWN_S = 12.0, 12.0, 10.0, 12.0, 1.0
SEED_LAG_S = 3.0
HEARTBEAT_S = 1.2
DEADLINE_S = 1.5
REQUESTS_PER_S = 20
SERVICE = 'huvo11a'
SETTINGS = '''
node = "{node}"
role = "{role}"
class = "{machine_class}"
serves = ["{serves}"]
ip = "{host}"
zone = "{zone}"
region = "mvd"
internal_port_range = [7720, 7735]
seeds = [{seeds}]
bootstrap = {bootstrap}
counts_as_loss = {counts}
{data_dir}
discovery = "local"
entry = "announce"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "flows"]
config_mode = "highest"
hash = "steady"
deploy_mode = "agent"
service = "{service}"
app = "{app}"
[zones]
mvd-a = "mvd"
mvd-b = "mvd"
mvd-c = "mvd"
[listen]
{listen}
[limits]
cpu_share = 0.559
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stability_window_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
stretch_max_ms = 12000
recovery_s = 12
reorder_ms = 2000
flow_ttl_s = 60
'''
LISTEN = {
    'entry': ('data_addr', 'ready'),
    'agent': ('data_addr', 'ready', 'outbound', 'control'),
    'control': ('control',),
}
PORTS = {
    'data_addr': DATA_PORT,
    'ready': READY_PORT,
    'outbound': OUTBOUND_PORT,
    'control': CONTROL_PORT,
}
HEAD = struct.Struct('<IH4s4sHIIIHB3s')
SYN, ACK, FIN, RST, BOUNCED = 64, 2, 128, 16, 4
KEY = os.urandom(16)


class CannotRun(Exception):
    """Something outside the rule failed, so the case says nothing."""


class Record:
    def __init__(self):
        self._file = (FOLDER / 'record.txt').open('w')
        self._start = time.monotonic()

    def write(self, text, show=True):
        line = f'{time.monotonic() - self._start:8.3f} s  {text}'
        print(line, file=self._file, flush=True)
        if show:
            print(line, flush=True)


class Daemon:
    """One process of a role of the deploy file on one machine."""

    def __init__(self, role, node, host, zone, folder, record, disk=False):
        self.role, self.node, self.host, self.zone = role, node, host, zone
        self.folder, self.record, self.disk = folder, record, disk
        self.path = folder / f'{node}-{role}.toml'
        self.process = None

    def write_settings(self, seeds, bootstrap):
        data = self.folder / f'{self.node}-data'
        if self.disk:
            data.mkdir(exist_ok=True)
        is_agent = self.role == 'agent'
        text = SETTINGS.format(
            node=self.node,
            role=self.role,
            machine_class='side' if is_agent else 'front',
            serves={'entry': 'front', 'agent': 'side'}.get(self.role, 'control'),
            host=self.host,
            zone=self.zone,
            seeds=', '.join(f'"{host}:{CONTROL_PORT}"' for host in seeds),
            bootstrap=str(bootstrap).lower(),
            counts=str(self.disk).lower(),
            data_dir=f'data_dir = "{data}"' if self.disk else '',
            service=SERVICE if is_agent else '',
            app=f'{self.host}:{APP_PORT}' if is_agent else '',
            listen='\n'.join(
                f'{key} = "{self.host}:{PORTS[key]}"'
                for key in LISTEN[self.role]
            ),
        )
        part = self.path.with_suffix('.part')
        part.write_text(text)
        part.rename(self.path)

    def start(self):
        with (self.folder / f'{self.node}-{self.role}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', 'platform/run.py', self.role],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'GENTIANSPOKE_CONFIG': str(self.path),
                },
            )

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def call(host, method, path, body=None):
    """Return status, body and location; status 0 without an answer."""
    connection = http.client.HTTPConnection(host, CONTROL_PORT, timeout=1.0)
    try:
        connection.request(method, path, body)
        reply = connection.getresponse()
        return reply.status, reply.read(), reply.getheader('location')
    except (OSError, http.client.HTTPException):
        return 0, b'', None
    finally:
        connection.close()


def call_any(hosts, method, path, body=None):
    """Call a random control machine; follow two redirects."""
    host = random.choice(hosts)
    for _ in range(3):
        status, content, location = call(host, method, path, body)
        if status != 307 or not location:
            break
        host = location.removeprefix('http://').partition(':')[0]
    return status, content


def is_ready(host):
    connection = http.client.HTTPConnection(host, READY_PORT, timeout=0.3)
    try:
        connection.request('GET', '/v1/readiness')
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def pack(source, target, seq, ack, flags, data=b''):
    """Return a packet whose sum is right for the ends that know the key."""
    head = [
        0,
        target[1],
        socket.inet_aton(source[0])[::-1],
        socket.inet_aton(target[0])[::-1],
        source[1],
        0,
        seq % 2**32,
        ack % 2**32,
        len(data),
        flags,
        bytes(3),
    ]
    head[0] = zlib.crc32(KEY + HEAD.pack(*head) + data)
    return HEAD.pack(*head) + data


def unpack(raw):
    """Return source, target, seq, ack, flags and data; check the sum."""
    head = list(HEAD.unpack_from(raw))
    data = raw[HEAD.size :]
    total, head[0] = head[0], 0
    head[5], head[10] = 0, bytes(3)
    head[9] &= ~BOUNCED
    is_own_reset = total == 0 and head[9] == RST and not data
    if not is_own_reset and zlib.crc32(KEY + HEAD.pack(*head) + data) != total:
        raise CannotRun('a packet was changed on its way')
    source = socket.inet_ntoa(head[2][::-1]), head[4]
    target = socket.inet_ntoa(head[3][::-1]), head[1]
    return source, target, head[6], head[7], head[9], data


class Endpoint(asyncio.DatagramProtocol):
    """An endpoint with its heartbeats; answers each request at once."""

    def __init__(self, number, host, zone, record):
        self.id, self.host, self.zone = f'i-{number:08x}', host, zone
        self.record = record
        self.born = int(time.time() * 1000)
        self.flows = {}
        self.runs = 0

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, raw, _):
        source, target, seq, ack, flags, data = unpack(raw)
        flow = self.flows.get((source, target))
        if flags & SYN:
            if flow is None:
                flow = self.flows[source, target] = {
                    'seq': random.getrandbits(31), 'next': seq + 1,
                    'answer': b'',
                }
            self.send(target, source, flow['seq'], flow['next'], SYN | ACK)
            return
        if flow is None or ack < flow['seq'] + 1:
            bounced = bytearray(raw)
            bounced[30] |= BOUNCED
            self.transport.sendto(bytes(bounced), (self.host, OUTBOUND_PORT))
            return
        if data:
            if seq == flow['next']:
                self.runs += 1
                flow['next'] += len(data)
                request = data.decode().partition('Request-Id: ')[2].split()[0]
                self.record.write(f'{self.id} runs {request}', show=False)
                flow['answer'] = (
                    'HTTP/1.1 200 OK\r\nX-Gentianspoke-Server-Stamp: '
                    f'{self.id}/{request}\r\ncontent-length: 0\r\n\r\n'
                ).encode()
            self.send(
                target, source, flow['seq'] + 1, flow['next'], ACK,
                flow['answer'],
            )
        if flags & FIN:
            end = flow['seq'] + 1 + len(flow['answer'])
            self.send(target, source, end, seq + 1, FIN | ACK)

    def send(self, source, target, seq, ack, flags, data=b''):
        raw = pack(source, target, seq, ack, flags, data)
        self.transport.sendto(raw, (self.host, OUTBOUND_PORT))

    async def beat(self):
        seq = 0
        while True:
            body = json.dumps(
                {
                    'service': SERVICE,
                    'addr': f'{self.host}:{APP_PORT}',
                    'zone': self.zone,
                    'version': 'v1',
                    'slots': 4,
                    'state': 'ready',
                    'cold_left_ms': 0,
                    'seq': seq,
                    'born': self.born,
                }
            )
            path = f'/v1/instances/{self.id}/heartbeat'
            await asyncio.to_thread(call, self.host, 'POST', path, body)
            seq += 1
            await asyncio.sleep(HEARTBEAT_S)


class Caller(asyncio.DatagramProtocol):
    """Opens a flow for each request and waits for the answer."""

    def __init__(self, host, route, entries):
        self.host, self.route, self.entries = host, route, entries
        self.waiting = {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, raw, _):
        source, target, seq, ack, flags, data = unpack(raw)
        queue = self.waiting.get(target[1])
        if queue is not None and source == self.route:
            queue.put_nowait((seq, ack, flags, data))

    async def ask(self, port, request):
        """Return the outcome of one request: served, reset or deadline."""
        self.waiting[port] = asyncio.Queue()
        try:
            async with asyncio.timeout(DEADLINE_S):
                return await self._exchange(port, request)
        except TimeoutError:
            return 'deadline'
        finally:
            del self.waiting[port]

    async def _exchange(self, port, request):
        own, queue = (self.host, port), self.waiting[port]
        entry = random.choice(self.entries.in_rotation)

        async def send(seq, ack, flags, data=b''):
            raw = pack(own, self.route, seq, ack, flags, data)
            self.transport.sendto(raw, (entry, DATA_PORT))

        isn = random.getrandbits(31)
        opening = asyncio.create_task(self._open(send, isn))
        try:
            while True:
                seq, ack, flags, _ = await queue.get()
                if flags & RST:
                    return 'reset'
                if flags & SYN and ack == isn + 1:
                    break
        finally:
            opening.cancel()
        data = (
            f'GET / HTTP/1.1\r\nhost: {self.route[0]}\r\n'
            f'X-Gentianspoke-Request-Id: {request}\r\n\r\n'
        ).encode()
        pause = 0.2
        while True:
            await send(isn + 1, seq + 1, ACK, data)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    while True:
                        got, _, flags, answer = await queue.get()
                        if flags & RST:
                            return 'reset'
                        if answer and got == seq + 1:
                            end = seq + 1 + len(answer)
                            await send(
                                isn + 1 + len(data), end, FIN | ACK
                            )
                            if request.encode() not in answer:
                                return 'foreign answer'
                            return 'served'
            pause = min(1.6, pause * 2)

    async def _open(self, send, isn):
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            await send(isn, copy, SYN)
            await asyncio.sleep(pause)


class Routers:
    """Keeps the entries in rotation, as PROTOCOL.md tells under Ingress."""

    def __init__(self, hosts):
        self.hosts, self.in_rotation = hosts, list(hosts)
        self._misses = dict.fromkeys(hosts, 2)

    async def watch(self):
        while True:
            replies = await asyncio.gather(
                *(asyncio.to_thread(is_ready, host) for host in self.hosts)
            )
            for host, ready in zip(self.hosts, replies, strict=True):
                self._misses[host] = 0 if ready else self._misses[host] + 1
            ready_hosts = [h for h in self.hosts if self._misses[h] < 2]
            enough = 2 * len(ready_hosts) >= len(self.hosts)
            self.in_rotation = ready_hosts if enough else list(self.hosts)
            await asyncio.sleep(0.5)


async def send_requests(caller, record, seconds, label, ports):
    outcomes = {}

    async def one(number):
        request = f'{label}-{number}'
        outcome = await caller.ask(next(ports), request)
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        record.write(f'{request}: {outcome}', show=False)

    async with asyncio.TaskGroup() as group:
        for number in range(int(seconds * REQUESTS_PER_S)):
            group.create_task(one(number))
            await asyncio.sleep(1 / REQUESTS_PER_S)
    record.write(f'{label}: {outcomes}')
    return outcomes.get('served', 0) / sum(outcomes.values())


async def put_configuration(hosts, route, seconds, record):
    body = json.dumps(
        {
            'version': 1,
            'routes': [
                {
                    'name': 'r-a3hwrr6',
                    'host': route[0],
                    'path_prefix': f'/{route[1]}/',
                    'kind': 'safe',
                    'timeout_ms': 1500,
                    'latency_target_ms': 275,
                    'priority': 2,
                    'service': SERVICE,
                    'max_attempts': 2,
                }
            ],
            'services': [
                {
                    'name': SERVICE,
                    'health_path': '/health',
                    'max_conns': 2000,
                    'protocol': 'h1',
                    'tls': False,
                }
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 262144,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
    )
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        status, _ = await asyncio.to_thread(
            call_any, hosts, 'POST', '/v1/config/put', body
        )
        if status == 200:
            record.write('version 1 is acknowledged')
            return
        await asyncio.sleep(0.3)
    raise CannotRun('the first configuration was not accepted')


def choose_hosts(count):
    for _ in range(100):
        block = f'127.{random.randint(80, 250)}.{random.randint(1, 250)}'
        hosts = [f'{block}.{number}' for number in range(1, count + 1)]
        try:
            for host in hosts:
                for port in (*PORTS.values(), APP_PORT, 7720, 9464, 9465, 9466):
                    with socket.socket() as probe:
                        probe.bind((host, port))
                    with socket.socket(type=socket.SOCK_DGRAM) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return hosts
    raise CannotRun('no free addresses on loopback')


async def play(folder, record, daemons):
    hosts = choose_hosts(10)
    fronts, sides, caller_host, route_host = (
        hosts[:6], hosts[6:8], hosts[8], hosts[9],
    )
    zones = ('mvd-a', 'mvd-b', 'mvd-c') * 2
    for index, (host, zone) in enumerate(zip(fronts, zones, strict=True)):
        node = f'front-{zone}-{index // 3 + 1}'
        for role in ('entry', 'control'):
            disk = role == 'control' and index < 3
            daemons.append(
                Daemon(role, node, host, zone, folder, record, disk)
            )
    for index, host in enumerate(sides):
        daemons.append(
            Daemon('agent', f'side-{zones[index]}-1', host, zones[index],
                   folder, record)
        )
    old_seeds, new_seeds = fronts[:3], fronts[3:]
    for daemon in daemons:
        daemon.write_settings(old_seeds, bootstrap=True)
        daemon.start()
    record.write('all processes start')
    loop = asyncio.get_running_loop()
    route = route_host, 8443
    routers = Routers(fronts)
    tasks = [asyncio.create_task(routers.watch())]
    for index, host in enumerate(sides):
        _, endpoint = await loop.create_datagram_endpoint(
            lambda index=index, host=host: Endpoint(
                index + 1, host, zones[index], record
            ),
            (host, APP_PORT),
        )
        tasks.append(asyncio.create_task(endpoint.beat()))
    _, caller = await loop.create_datagram_endpoint(
        lambda: Caller(caller_host, route, routers), (caller_host, DATA_PORT)
    )
    await put_configuration(fronts, route, LEAD_S, record)
    await asyncio.sleep(6)
    ports = iter(range(20_000, 60_000))
    before = await send_requests(caller, record, BEFORE_S, 'before', ports)
    if EXCHANGES:
        for daemon in daemons:
            daemon.write_settings(new_seeds, bootstrap=False)
        record.write('the seeds are now the machines without a disk')
    else:
        for daemon in daemons:
            daemon.write_settings(old_seeds, bootstrap=False)
    await asyncio.sleep(SEED_LAG_S + 2)
    if KILLS:
        for daemon in daemons:
            daemon.process.kill()
        for daemon in daemons:
            daemon.kill()
        record.write('all processes are killed')
        await asyncio.sleep(DOWN_S)
        for daemon in daemons:
            daemon.start()
        record.write('all processes are back')
    await asyncio.sleep(RECOVERY_S)
    after = await send_requests(caller, record, AFTER_S, 'after', ports)
    ready = [host for host in fronts if await asyncio.to_thread(is_ready, host)]
    record.write(f'{len(ready)} of {len(fronts)} entries are ready')
    statuses = [
        (await asyncio.to_thread(call, host, 'GET', '/v1/config/get'))[0]
        for host in fronts
    ]
    record.write(
        f'the control machines with a disk answer a read with {statuses[:3]},'
        f' those without with {statuses[3:]}'
    )
    for task in tasks:
        task.cancel()
    if before < 0.25:
        raise CannotRun(f'only {before:.2f} were served before')
    is_broken = after < 0.25
    record.write(
        f'served before: {before:.3f}, later than recovery_s: {after:.3f};'
        f' the rule {"is broken" if is_broken else "holds"}'
    )
    return 1 if is_broken else 0


def main():
    record = Record()
    daemons: list[Daemon] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(play(pathlib.Path(folder), record, daemons))
        except Exception as exc:
            # Any other error must not look like a broken rule either.
            record.write(f'the case could not run: {exc!r}')
            return 2
        finally:
            for daemon in daemons:
                daemon.kill()


if __name__ == '__main__':
    sys.exit(main())
