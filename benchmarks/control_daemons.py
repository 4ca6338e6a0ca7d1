"""Run daemons without a data path, and a control process, for measurements.

A daemon is an entry or an agent of ``gentianspoke.shells``. All daemons run in
this process, and each runs only the tasks that communicate with control. The
control instance runs as a separate process.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import secrets
import sys
import typing

import loguru
import yaml

from gentianspoke import clock
from gentianspoke.codec import ip
from gentianspoke.codec import keys
from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke.decisions import lifecycle
from gentianspoke.net import batched_writes
from gentianspoke.shells.agent import agent as agent_shell
from gentianspoke.shells import entry as entry_shell
from gentianspoke.shells import feed_client
from gentianspoke.shells import process
from gentianspoke.telemetry import logs
from gentianspoke.telemetry import metrics

HOST = '127.0.0.1'
# Bytes per segment of the Ethernet, IPv4 and TCP headers; the TCP header
# includes the timestamp option.
HEADER_BYTES = 14 + 20 + 32
STOP_TIMEOUT_S = 10.0
# For required settings that are not used, since no data path is opened.
UNUSED_ADDRESS = (HOST, 9)


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes and segments that this process's connections sent and received.

    Each read or write counts as one segment.
    """

    payload_bytes: int = 0
    segments: int = 0

    @property
    def wire_bytes(self) -> int:
        """The bytes with headers, and with one bare ACK for each segment."""
        return self.payload_bytes + 2 * self.segments * HEADER_BYTES


class _CountingTransport:
    """A transport that counts the bytes and segments written to it.

    It passes everything on to the transport that it wraps.
    """

    def __init__(self, transport: typing.Any, traffic: Traffic) -> None:
        self._transport = transport
        self._traffic = traffic

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        self._traffic.payload_bytes += len(data)
        self._traffic.segments += 1
        self._transport.write(data)


@contextlib.contextmanager
def count_traffic() -> collections.abc.Iterator[Traffic]:
    """Count the traffic of all gRPC channels opened within the context."""
    traffic = Traffic()
    protocol = batched_writes.BatchingProtocol
    original_receive, original_connect = (
        protocol.data_received,
        protocol.connection_made,
    )

    def counting_receive(self: typing.Any, data: bytes) -> None:
        traffic.payload_bytes += len(data)
        traffic.segments += 1
        original_receive(self, data)

    def counting_connect(self: typing.Any, transport: typing.Any) -> None:
        original_connect(self, _CountingTransport(transport, traffic))

    protocol.data_received = counting_receive
    protocol.connection_made = counting_connect
    try:
        yield traffic
    finally:
        protocol.data_received = original_receive
        protocol.connection_made = original_connect


class Daemon:
    """An entry or agent that runs only the tasks that talk to control."""

    def __init__(
        self,
        name: str,
        ring: keys.KeyRing,
        control_addresses: tuple[units.Address, ...],
        service_names: tuple[str, ...],
    ) -> None:
        """Create an agent of the named services, or an entry without names."""
        role: settings.Role = settings.EntrySettings(UNUSED_ADDRESS)
        if service_names:
            role = _make_agent_settings(service_names)
        self.proc = _make_process(name, ring, control_addresses, role)
        self.version = 0
        self.agent: agent_shell.Agent | None = None
        shell: typing.Any
        match role:
            case settings.AgentSettings():
                shell = agent_shell.Agent(
                    self.proc, role, ip, None, None, 'incarnation', False
                )
                self.agent = shell
            case _:
                shell = entry_shell.Entry(self.proc, None, ip, None)
        self.shell = shell

    async def run(self) -> None:
        """Follow the feed and, if this is an agent, send heartbeats."""
        role = 'agent' if self.agent else 'entry'
        async with asyncio.TaskGroup() as group:
            group.create_task(
                feed_client.follow_feeds(self.proc, role, self._apply_update)
            )
            if self.agent is not None:
                group.create_task(self.agent.heartbeat.run())

    def _apply_update(self, update: feed_client.Update) -> int:
        self.version = self.shell.apply_update(update)
        return self.version


def _make_agent_settings(
    service_names: tuple[str, ...],
) -> settings.AgentSettings:
    return settings.AgentSettings(
        listen=UNUSED_ADDRESS,
        upstream_side=UNUSED_ADDRESS,
        upstream=UNUSED_ADDRESS,
        status=None,
        fabric=UNUSED_ADDRESS,
        services=service_names,
        slots=4,
        connections=2_000,
        weight=100,
        ramp_ms=0,
    )


def _make_process(
    name: str,
    ring: keys.KeyRing,
    control_addresses: tuple[units.Address, ...],
    role: settings.Role,
) -> process.Process:
    own_clock = clock.Clock()
    life = lifecycle.Lifecycle(lambda state: None)
    life.advance('sync')
    return process.Process(
        cfg=settings.Settings(
            instance=name,
            zone='zone-a',
            key_file='',
            log_file=None,
            log_level='INFO',
            metrics=None,
            grace_ms=0,
            feeds=control_addresses,
            role=role,
        ),
        clock=own_clock,
        ring=ring,
        events=logs.EventLog(name, 'benchmark', own_clock),
        metrics=metrics.Metrics(name, 'benchmark'),
        life=life,
        stop=asyncio.Event(),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ControlProcess:
    """The process id, the address and the keys of a control process."""

    pid: int
    address: units.Address
    ring: keys.KeyRing


@contextlib.asynccontextmanager
async def run_control(
    folder: pathlib.Path, port: int
) -> collections.abc.AsyncIterator[ControlProcess]:
    """Run one control instance as a separate process within the context.

    Settings, keys and data are written to ``folder``. At the end of the
    context the process gets SIGTERM. All log handlers of the calling process
    are removed, so that the daemons write no log.

    Raises ``TimeoutError`` if the process has not exited ``STOP_TIMEOUT_S``
    after SIGTERM.
    """
    loguru.logger.remove()
    key_hex = secrets.token_hex(32)
    key_path = folder / 'keys.yaml'
    key_path.touch(mode=0o600)
    key_file_content = {'active': 1, 'keys': [{'id': 1, 'hex': key_hex}]}
    key_path.write_text(yaml.safe_dump(key_file_content))
    settings_path = folder / 'control.yaml'
    settings_path.write_text(
        yaml.safe_dump(
            {
                'instance': 'control-0',
                'zone': 'zone-a',
                'key_file': str(key_path),
                'log_file': str(folder / 'control.jsonl'),
                'control': {
                    'listen': f'{HOST}:{port}',
                    'data_folder': str(folder / 'control-0'),
                },
            }
        )
    )
    command = [
        sys.executable,
        '-m',
        'gentianspoke',
        'control',
        str(settings_path),
    ]
    control_process = await asyncio.create_subprocess_exec(*command)
    try:
        ring = keys.KeyRing(1, {1: bytes.fromhex(key_hex)})
        yield ControlProcess(control_process.pid, (HOST, port), ring)
    finally:
        control_process.terminate()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await control_process.wait()


def read_cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    # The command name, in parentheses, may contain spaces. The 12th and 13th
    # fields after it are the user and the system time in clock ticks.
    text_after_name = (
        pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    )
    user_ticks, system_ticks = text_after_name.split()[11:13]
    return (int(user_ticks) + int(system_ticks)) / os.sysconf('SC_CLK_TCK')


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')
