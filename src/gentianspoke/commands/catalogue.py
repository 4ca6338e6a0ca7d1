"""Subcommands by which operators edit and read the catalogue."""

import asyncio
import collections.abc
import dataclasses
import getpass
import typing
import uuid

import cappa

from gentianspoke.codec import catalogue as codec
from gentianspoke.config import catalogue_file
from gentianspoke.config import key_file
from gentianspoke.config import units
from gentianspoke.decisions.control import catalogue
from gentianspoke import errors
from gentianspoke.generated import catalogue_grpc
from gentianspoke.generated import catalogue_pb2
from gentianspoke.shells import channel_auth
from gentianspoke.shells import feed_client

REQUEST_TIMEOUT_S = 5.0
WAIT_POLL_S = 0.1
WAIT_AT_MOST_S = 20.0
OPERATOR = 'operator'

Control = typing.Annotated[
    str, cappa.Arg(long='--control', help='Control addresses, with commas.')
]
Reply = typing.TypeVar('Reply')
Call = collections.abc.Callable[
    [catalogue_grpc.CatalogueStub], collections.abc.Awaitable[Reply]
]


KeyFile = typing.Annotated[
    str,
    cappa.Arg(
        long='--key-file',
        default=cappa.Env('GENTIANSPOKE_KEY_FILE'),
        help='Key file; the environment may name it instead.',
    ),
]


async def ask(control: str, key_path: str, call: Call[Reply]) -> Reply:
    """Return the answer of the first control instance that gives one.

    Raises :class:`gentianspoke.errors.ControlUnreachableError`.
    """
    ring = key_file.load(key_path)
    for text in control.split(','):
        try:
            address = units.host_port(text)
        except ValueError as exc:
            raise errors.SettingsError(
                'command line', '--control', str(exc)
            ) from exc
        try:
            async with channel_auth.open_channel(
                address, lambda: ring, OPERATOR
            ) as channel:
                return await call(catalogue_grpc.CatalogueStub(channel))
        except feed_client.CHANNEL_ERRORS:
            continue
    raise errors.ControlUnreachableError(control)


@cappa.command(name='apply')
@dataclasses.dataclass
class Apply:
    """Add or change the entries of a file, all of them or none."""

    file: str
    control: Control
    key_file: KeyFile
    wait: typing.Annotated[
        bool, cappa.Arg(long=True, help='Wait until in force everywhere.')
    ] = False

    def __call__(self) -> None:
        """Print the accepted version."""
        asyncio.run(self._run())

    async def _run(self) -> None:
        entries = catalogue_file.load(self.file)
        listed = await ask(
            self.control,
            self.key_file,
            lambda stub: stub.List(
                catalogue_pb2.ListRequest(include_retired=True),
                timeout=REQUEST_TIMEOUT_S,
            ),
        )
        versions = {entry.name: entry.version for entry in listed.entries}
        request = catalogue.Request(
            idempotency_key=uuid.uuid4().hex,
            operator=getpass.getuser(),
            edits=tuple(_edit(item, versions) for item in entries),
        )
        message = codec.encode_request(request)
        reply = await ask(
            self.control,
            self.key_file,
            lambda stub: stub.Apply(message, timeout=REQUEST_TIMEOUT_S),
        )
        answer = codec.decode_answer(reply)
        if not answer.accepted:
            raise errors.ControlError(
                '; '.join(f'{c.name}: {c.reason}' for c in answer.conflicts)
            )
        print(f'accepted as version {answer.version}')
        if self.wait:
            await _wait_in_force(self.control, self.key_file, answer.version)


@cappa.command(name='list')
@dataclasses.dataclass
class ListEntries:
    """List the entries."""

    control: Control
    key_file: KeyFile

    def __call__(self) -> None:
        """Print one line for each entry."""
        reply = asyncio.run(
            ask(
                self.control,
                self.key_file,
                lambda stub: stub.List(
                    catalogue_pb2.ListRequest(), timeout=REQUEST_TIMEOUT_S
                ),
            )
        )
        for entry in reply.entries:
            print(f'{entry.name}\tversion {entry.version}\t{entry.owner}')


@cappa.command(name='catalogue')
@dataclasses.dataclass
class Catalogue:
    """Edit and read the catalogue."""

    command: cappa.Subcommands[Apply | ListEntries]


def _edit(
    item: catalogue_file.FileEntry, versions: dict[str, int]
) -> catalogue.Edit:
    base = item.base_version
    if base is None:
        base = versions.get(item.service.name, 0)
    return catalogue.Edit(item.service.name, base, catalogue.Put(item.service))


async def _wait_in_force(control: str, key_path: str, version: int) -> None:
    async with asyncio.timeout(WAIT_AT_MOST_S):
        while True:
            status = await ask(
                control,
                key_path,
                lambda stub: stub.Status(
                    catalogue_pb2.StatusRequest(version=version),
                    timeout=REQUEST_TIMEOUT_S,
                ),
            )
            if status.in_force == status.consumers:
                print(f'in force on {status.in_force} consumers')
                return
            await asyncio.sleep(WAIT_POLL_S)
