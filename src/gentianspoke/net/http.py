"""An HTTP/1.1 server (RFC 9112) on h11 with one task per connection."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import http

import h11
import loguru

from gentianspoke.config import units

MAX_READ_BYTES = 16_384
MAX_BODY_BYTES = 4 * 1024 * 1024
# IDLE_TIMEOUT_S limits the wait for the head of a request, and
# REQUEST_TIMEOUT_S the wait for the rest of it.
IDLE_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 10.0
WRITE_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request, whose ``path`` excludes the query."""

    method: str
    path: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete response; ``location`` is set only for a redirection."""

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    location: str = ''


Handler = collections.abc.Callable[[Request], collections.abc.Awaitable[Reply]]


@contextlib.asynccontextmanager
async def serve_http(
    address: units.Address, handler: Handler
) -> collections.abc.AsyncIterator[None]:
    """Serve requests at an address with ``handler`` during the context.

    Raises ``OSError`` if the address cannot be used.
    """

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.closing(writer):
            with contextlib.suppress(OSError, TimeoutError):
                await _Connection(reader, writer, handler).serve()

    server = await asyncio.start_server(on_connection, *address)
    async with server:
        yield


async def next_event(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> object:
    """Return the next event of a connection, reading data as needed.

    Raises ``h11.RemoteProtocolError`` if the data is not valid HTTP.
    """
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await reader.read(MAX_READ_BYTES))


class _BodyTooLarge(Exception):
    """Raised when a request body is larger than ``MAX_BODY_BYTES``."""


class _Connection:
    """A connection whose requests are answered one after another."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._http = h11.Connection(h11.SERVER)

    async def serve(self) -> None:
        while True:
            try:
                request = await self._read_request()
            except h11.RemoteProtocolError as exc:
                await self._send_error(exc.error_status_hint)
                return
            except _BodyTooLarge:
                await self._send_error(
                    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
                )
                return
            if request is None:
                return
            await self._send(await self._call_handler(request))
            if self._http.our_state is not h11.DONE:
                return
            if self._http.their_state is not h11.DONE:
                return
            self._http.start_next_cycle()

    async def _call_handler(self, request: Request) -> Reply:
        try:
            return await self._handler(request)
        except Exception:
            loguru.logger.exception(
                'the handler of an HTTP request raised an exception'
            )
            return Reply(http.HTTPStatus.INTERNAL_SERVER_ERROR)

    async def _read_request(self) -> Request | None:
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        body = bytearray()
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            if self._http.they_are_waiting_for_100_continue:
                await self._send_continue()
            while isinstance(event := await self._next_event(), h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise _BodyTooLarge
        if not isinstance(event, h11.EndOfMessage):
            return None
        target = head.target.decode('ascii', 'replace')
        path = target.partition('?')[0]
        return Request(head.method.decode('ascii'), path, bytes(body))

    async def _next_event(self) -> object:
        return await next_event(self._http, self._reader)

    async def _send_continue(self) -> None:
        await self._write(
            h11.InformationalResponse(
                status_code=http.HTTPStatus.CONTINUE, headers=[]
            )
        )

    async def _send(self, reply: Reply) -> None:
        headers = [
            ('content-type', reply.content_type),
            ('content-length', str(len(reply.body))),
        ]
        if reply.location:
            headers.append(('location', reply.location))
        await self._write(
            h11.Response(status_code=reply.status, headers=headers),
            h11.Data(data=reply.body),
            h11.EndOfMessage(),
        )

    async def _send_error(self, status: int) -> None:
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await self._write(
            h11.Response(
                status_code=status,
                headers=[('connection', 'close'), ('content-length', '0')],
            ),
            h11.EndOfMessage(),
        )

    async def _write(self, *events: h11.Event) -> None:
        # One write is one system call and one segment.
        parts = [self._http.send(event) or b'' for event in events]
        self._writer.write(b''.join(parts))
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await self._writer.drain()
