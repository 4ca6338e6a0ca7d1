"""What the stand-in callers do: boards, bookings and uploads."""

import asyncio
import collections.abc
import dataclasses
import hashlib
import json

from demo import callers
from demo import scenarios as sizes
from gentianspoke.core import services

BOOKING_PAUSE_S = 0.05
UPLOAD_PAUSE_S = 0.1
BOARD_PAUSE_S = 2.0
OPENING_PAUSE_S = 0.002
UPLOAD_PARTS = 8
PART_BYTES = 900

Use = collections.abc.Callable[
    [callers.Connection], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Break:
    """A broken flow; ``since`` is when its last exchange began."""

    name: str
    reason: str
    since: float


@dataclasses.dataclass(slots=True)
class Results:
    """What the callers saw."""

    opened: int = 0
    whole: int = 0
    refused: int = 0
    wrong_answer: int = 0
    damaged_uploads: int = 0
    refused_ids: set[str] = dataclasses.field(default_factory=set)
    breaks: list[Break] = dataclasses.field(default_factory=list)


class Work:
    """The callers' work until it is told to stop."""

    def __init__(self, size: sizes.Size, host: callers.CallerHost) -> None:
        """Begin without an open flow."""
        self._size = size
        self._host = host
        self.results = Results()
        self.stopping = asyncio.Event()

    async def run(self, boards: int) -> None:
        """Work until told to stop; return when all flows have ended."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._open_boards(group, boards))
            group.create_task(self._book(group))
            group.create_task(self._upload(group))

    async def _open_boards(
        self, group: asyncio.TaskGroup, boards: int
    ) -> None:
        for number in range(boards):
            group.create_task(self._board(f'board-{number}'))
            await asyncio.sleep(OPENING_PAUSE_S)

    async def _book(self, group: asyncio.TaskGroup) -> None:
        number = 0
        while not self.stopping.is_set():
            number += 1
            group.create_task(self._booking(f'booking-{number}'))
            await asyncio.sleep(BOOKING_PAUSE_S)

    async def _upload(self, group: asyncio.TaskGroup) -> None:
        number = 0
        while not self.stopping.is_set():
            number += 1
            group.create_task(self._photographs(f'upload-{number}'))
            await asyncio.sleep(UPLOAD_PAUSE_S)

    async def _board(self, name: str) -> None:
        async def read(connection: callers.Connection) -> None:
            while not self.stopping.is_set():
                await self._ask(connection, name, {'kind': 'board'})
                await asyncio.sleep(BOARD_PAUSE_S)

        await self._flow(self._size.board, name, read)

    async def _booking(self, name: str) -> None:
        async def book(connection: callers.Connection) -> None:
            await self._ask(connection, name, {'kind': 'booking'})

        await self._flow(self._size.booking, name, book)

    async def _photographs(self, name: str) -> None:
        async def send(connection: callers.Connection) -> None:
            digest = hashlib.sha256()
            answer: dict[str, str] = {}
            for part in range(UPLOAD_PARTS):
                data = f'{name}/{part}/'.ljust(PART_BYTES, 'x')
                digest.update(data.encode())
                request = {'kind': 'upload', 'data': data}
                answer = await self._ask(connection, f'{name}/{part}', request)
            if answer.get('digest') != digest.hexdigest():
                self.results.damaged_uploads += 1

        await self._flow(self._size.upload, name, send)

    async def _flow(
        self,
        service: services.Service,
        name: str,
        use: Use,
    ) -> None:
        connection = self._host.open(service.address, service.ports[0])
        results = self.results
        results.opened += 1
        try:
            await connection.connect()
            await use(connection)
            await connection.close()
            results.whole += 1
        except callers.Refused:
            results.refused += 1
            results.refused_ids.add(name)
        except callers.Broken as exc:
            results.breaks.append(Break(name, str(exc), exc.since))
        finally:
            self._host.forget(connection)

    async def _ask(
        self,
        connection: callers.Connection,
        name: str,
        request: dict[str, str],
    ) -> dict[str, str]:
        content = json.dumps({**request, 'id': name}).encode()
        answer = json.loads(await connection.request(content))
        self.results.wrong_answer += answer['id'] != name
        return answer
