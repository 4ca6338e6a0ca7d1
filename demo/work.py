"""Generate the load of the simulated callers.

The load consists of three kinds of flows: boards stay open and send a request
every few seconds, bookings send one request, and uploads send several.
"""

import asyncio
import collections.abc
import dataclasses
import hashlib
import json

from demo import callers
from demo import scenarios
from gentianspoke.core import services

BOOKING_INTERVAL_S = 0.05
UPLOAD_INTERVAL_S = 0.1
BOARD_REQUEST_INTERVAL_S = 2.0
BOARD_OPEN_INTERVAL_S = 0.002
UPLOAD_PART_COUNT = 8
UPLOAD_PART_BYTES = 900

RequestSequence = collections.abc.Callable[
    [callers.Connection], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenFlow:
    """A flow that was reset or timed out.

    ``reason`` is ``reset`` or ``silent``. ``exchange_started_at`` is the
    event loop's time at the first transmission of the last segment, which
    got no answer or a reset.
    """

    name: str
    reason: str
    exchange_started_at: float


@dataclasses.dataclass(slots=True)
class Results:
    """Counters and failures over all flows of the callers.

    ``opened_count``, ``completed_count`` and ``refused_count`` count flows.
    ``refused_names`` are the names of the flows that were refused. A refusal
    tells the caller that nothing was run for the flow.
    """

    opened_count: int = 0
    completed_count: int = 0
    refused_count: int = 0
    wrong_answers: int = 0
    damaged_uploads: int = 0
    refused_names: set[str] = dataclasses.field(default_factory=set)
    broken_flows: list[BrokenFlow] = dataclasses.field(default_factory=list)


class Workload:
    """Generates the load of the callers until ``stopping`` is set."""

    def __init__(
        self, scenario: scenarios.Scenario, host: callers.CallerHost
    ) -> None:
        """Store the scenario and the host; open no flow yet."""
        self._scenario = scenario
        self._host = host
        self.results = Results()
        self.stopping = asyncio.Event()

    async def run(self, board_count: int) -> None:
        """Open flows until ``stopping`` is set, then wait for them to end.

        ``board_count`` is the number of board connections to open.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._open_boards(group, board_count))
            group.create_task(self._start_bookings(group))
            group.create_task(self._start_uploads(group))

    async def _open_boards(
        self, group: asyncio.TaskGroup, board_count: int
    ) -> None:
        for number in range(board_count):
            group.create_task(self._run_board(f'board-{number}'))
            await asyncio.sleep(BOARD_OPEN_INTERVAL_S)

    async def _start_bookings(self, group: asyncio.TaskGroup) -> None:
        number = 0
        while not self.stopping.is_set():
            number += 1
            group.create_task(self._run_booking(f'booking-{number}'))
            await asyncio.sleep(BOOKING_INTERVAL_S)

    async def _start_uploads(self, group: asyncio.TaskGroup) -> None:
        number = 0
        while not self.stopping.is_set():
            number += 1
            group.create_task(self._run_upload(f'upload-{number}'))
            await asyncio.sleep(UPLOAD_INTERVAL_S)

    async def _run_board(self, name: str) -> None:
        async def poll(connection: callers.Connection) -> None:
            while not self.stopping.is_set():
                await self._send_request(connection, name, {'kind': 'board'})
                await asyncio.sleep(BOARD_REQUEST_INTERVAL_S)

        await self._run_flow(self._scenario.board, name, poll)

    async def _run_booking(self, name: str) -> None:
        async def book(connection: callers.Connection) -> None:
            await self._send_request(connection, name, {'kind': 'booking'})

        await self._run_flow(self._scenario.booking, name, book)

    async def _run_upload(self, name: str) -> None:
        async def send_parts(connection: callers.Connection) -> None:
            digest = hashlib.sha256()
            answer: dict[str, str] = {}
            for part in range(UPLOAD_PART_COUNT):
                data = f'{name}/{part}/'.ljust(UPLOAD_PART_BYTES, 'x')
                digest.update(data.encode())
                request = {'kind': 'upload', 'data': data}
                answer = await self._send_request(
                    connection, f'{name}/{part}', request
                )
            if answer.get('digest') != digest.hexdigest():
                self.results.damaged_uploads += 1

        await self._run_flow(self._scenario.upload, name, send_parts)

    async def _run_flow(
        self,
        service: services.Service,
        name: str,
        send_requests: RequestSequence,
    ) -> None:
        connection = self._host.open(service.address, service.ports[0])
        results = self.results
        results.opened_count += 1
        try:
            await connection.connect()
            await send_requests(connection)
            await connection.close()
            results.completed_count += 1
        except callers.HandshakeResetError:
            results.refused_count += 1
            results.refused_names.add(name)
        except callers.ConnectionBrokenError as exc:
            results.broken_flows.append(
                BrokenFlow(name, str(exc), exc.exchange_started_at)
            )
        finally:
            self._host.remove(connection)

    async def _send_request(
        self,
        connection: callers.Connection,
        name: str,
        request: dict[str, str],
    ) -> dict[str, str]:
        content = json.dumps({**request, 'id': name}).encode()
        answer = json.loads(await connection.request(content))
        self.results.wrong_answers += answer['id'] != name
        return answer
