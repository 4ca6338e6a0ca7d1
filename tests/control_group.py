"""Run groups of control instances as processes on loopback, for tests."""

import asyncio
import contextlib
import json
import os
import pathlib
import secrets
import shutil
import signal
import sys

import loopback
import yaml

from gentianspoke.codec import catalogue as codec
from gentianspoke.config import key_file
from gentianspoke.config import units
from gentianspoke.generated import catalogue_grpc
from gentianspoke.generated import catalogue_pb2
from gentianspoke.generated import replica_grpc
from gentianspoke.generated import replica_pb2
from gentianspoke.shells import channel_auth
from gentianspoke.shells import feed_client

HOST = loopback.HOST
CALL_TIMEOUT_S = 5.0
WAIT_TIMEOUT_S = 30.0
MAX_CONFIRMED_AGE_MS = 1000
SOURCES = pathlib.Path(__file__).parent.parent / 'src'


def make_environment():
    """Return the environment variables for a control instance's process."""
    return {**os.environ, 'PYTHONPATH': str(SOURCES)}


class ControlGroup:
    """A group with the members ``control-0``, ``control-1`` and so on.

    ``write_settings`` prepares an instance that joins later. ``processes``
    maps the names of the running instances to their processes.
    """

    def __init__(self, folder, base_port, size, listed_addresses=None):
        """Write the settings of the initial members; start none of them.

        ``listed_addresses`` maps names of members to the addresses that the
        settings list for them instead of those on which they listen.
        """
        self.folder = folder
        self.base_port = base_port
        self.addresses = {}
        self.processes = {}
        self.key_path = str(folder / 'keys.yaml')
        key = {'id': 1, 'hex': secrets.token_hex(32)}
        key_path = pathlib.Path(self.key_path)
        key_path.touch(mode=0o600)
        key_path.write_text(yaml.safe_dump({'active': 1, 'keys': [key]}))
        self.ring = key_file.load(self.key_path)
        names = [f'control-{index}' for index in range(size)]
        for index, name in enumerate(names):
            self.addresses[name] = (HOST, base_port + index)
        members = [
            {
                'instance': name,
                'address': self._format_listed_address(
                    name, listed_addresses or {}
                ),
            }
            for name in names
        ]
        for name in names:
            self.write_settings(name, members=members)

    def _format_listed_address(self, name, listed_addresses):
        address = listed_addresses.get(name, self.addresses[name])
        return units.format_address(address)

    def write_settings(self, name, **role):
        """Write an instance's settings; assign an address if it has none."""
        address = self.addresses.setdefault(
            name, (HOST, self.base_port + len(self.addresses))
        )
        role['listen'] = units.format_address(address)
        role['data_folder'] = str(self.folder / name)
        content = {
            'instance': name,
            'zone': 'zone-a',
            'key_file': self.key_path,
            'log_file': str(self.folder / f'{name}.jsonl'),
            'control': role,
        }
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(content))

    async def start(self, *names):
        """Start the named instances, or all if none is named."""
        for name in names or tuple(self.addresses):
            path = str(self.folder / f'{name}.yaml')
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'gentianspoke',
                'control',
                path,
                env=make_environment(),
                stderr=asyncio.subprocess.PIPE,
            )
        for name in names or tuple(self.addresses):
            await self._wait_until_listening(name)

    async def _wait_until_listening(self, name):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while self.processes[name].returncode is None:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(
                        *self.addresses[name]
                    )
                    writer.close()
                    return
                await asyncio.sleep(0.05)

    async def kill(self, name):
        """Kill an instance with SIGKILL."""
        process = self.processes.pop(name)
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()

    def freeze(self, name):
        """Suspend an instance, so that its peers get no reply from it."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name):
        """Resume a suspended instance."""
        self.processes[name].send_signal(signal.SIGCONT)

    async def wait_for_exit(self, name):
        """Wait until an instance exits; return its status and last line.

        The line is the last one that it wrote to standard error.
        """
        process = self.processes.pop(name)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            _, text = await process.communicate()
        return process.returncode, text.decode().strip().rpartition('\n')[2]

    async def call(self, name, stub, method, message):
        """Call a method of an instance.

        Raises one of ``feed_client.CHANNEL_ERRORS`` on failure.
        """
        async with channel_auth.open_channel(
            self.addresses[name], lambda: self.ring, 'test'
        ) as channel:
            rpc = getattr(stub(channel), method)
            return await rpc(message, timeout=CALL_TIMEOUT_S)

    async def call_catalogue(self, name, method, message):
        """Call a method of an instance's catalogue service."""
        stub = catalogue_grpc.CatalogueStub
        return await self.call(name, stub, method, message)

    async def call_members(self, name, method, message):
        """Call a method of an instance's members service."""
        stub = replica_grpc.ControlMembersStub
        return await self.call(name, stub, method, message)

    async def apply_at(self, name, request):
        """Send a request to one instance and return the answer.

        Return ``None`` if the instance does not answer or redirects the
        request to another leader.
        """
        message = codec.encode_request(request)
        try:
            reply = await self.call_catalogue(name, 'Apply', message)
        except feed_client.CHANNEL_ERRORS:
            return None
        return None if reply.redirected else codec.decode_answer(reply)

    async def apply(self, request):
        """Send a request until an instance answers it; return the answer.

        The idempotency key is the same each time, so that the request is
        applied only once.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                for name in tuple(self.processes):
                    answer = await self.apply_at(name, request)
                    if answer is not None:
                        return answer
                await asyncio.sleep(0.05)

    async def wait_for_leader(self, excluded=()):
        """Wait until an instance leads, and return its name.

        The ``excluded`` instances are not asked.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                for name in tuple(self.processes):
                    if name in excluded:
                        continue
                    with contextlib.suppress(*feed_client.CHANNEL_ERRORS):
                        reply = await self.read_members(name)
                        if any(item.leads for item in reply.members):
                            if not reply.leader:
                                return name
                await asyncio.sleep(0.05)

    async def read_members(self, name):
        """Return an instance's reply to the call ``Members``.

        It lists the members of the group and has the leader's address if
        another instance leads.
        """
        return await self.call_members(
            name, 'Members', replica_pb2.MembersRequest()
        )

    async def wait_until_confirmed(self, name):
        """Wait until a majority has recently confirmed an instance's state."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                with contextlib.suppress(*feed_client.CHANNEL_ERRORS):
                    reply = await self.read_members(name)
                    if reply.confirmed_age_ms < MAX_CONFIRMED_AGE_MS:
                        return
                await asyncio.sleep(0.05)

    async def wait_for_voters(self, count, name):
        """Wait until the leader ``name`` has ``count`` voters.

        Return the sorted instance names of the voters.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                reply = await self.read_members(name)
                voters = [
                    item.member for item in reply.members if item.member.voter
                ]
                if len(voters) == count and not reply.leader:
                    return sorted(item.instance for item in voters)
                await asyncio.sleep(0.05)

    async def read_version(self, name):
        """Return the catalogue version of an instance."""
        listed = await self.call_catalogue(
            name, 'List', catalogue_pb2.ListRequest()
        )
        return listed.version

    async def read_version_if_any(self, name):
        """Return an instance's catalogue version, 0 if it does not answer."""
        try:
            return await self.read_version(name)
        except feed_client.CHANNEL_ERRORS:
            return 0

    def remove_data_folder(self, name):
        """Remove the data folder of an instance that is not running."""
        shutil.rmtree(self.folder / name)

    def read_events(self, name):
        """Return the events that an instance has written to its log."""
        path = self.folder / f'{name}.jsonl'
        lines = path.read_text().splitlines() if path.exists() else []
        # The log also contains warnings from libraries, which are not events.
        entries = [json.loads(line) for line in lines]
        return [item for item in entries if 'event' in item]


@contextlib.asynccontextmanager
async def run_group(folder, base_port, size, listed_addresses=None):
    """Run a group; kill the instances that still run at the end.

    The arguments are those of :class:`ControlGroup`.
    """
    group = ControlGroup(folder, base_port, size, listed_addresses)
    try:
        await group.start()
        yield group
    finally:
        for name in tuple(group.processes):
            await group.kill(name)
