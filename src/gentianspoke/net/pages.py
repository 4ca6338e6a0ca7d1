"""An HTTP server and client for metrics and status pages, on h11."""

import asyncio
import collections.abc
import contextlib

import h11

from gentianspoke.config import units
from gentianspoke.net import http

MAX_PAGE_BYTES = 4 * 1024 * 1024
REQUEST_TIMEOUT_S = 2.0

# The status, the body and the content type of a page.
Page = tuple[int, bytes, str]
# Returns the page at a path.
Renderer = collections.abc.Callable[[str], Page]


@contextlib.asynccontextmanager
async def serve_pages(
    address: units.Address, render: Renderer
) -> collections.abc.AsyncIterator[None]:
    """Serve pages at an address during the context.

    ``render`` returns the page at a path. Raises ``OSError`` if the address
    cannot be used.
    """

    async def handle(request: http.Request) -> http.Reply:
        status, body, content_type = render(request.path)
        return http.Reply(status, body, content_type)

    async with http.serve_http(address, handle):
        yield


async def fetch_page(address: units.Address, path: str) -> tuple[int, bytes]:
    """Return the status and the body of a page, fetched with GET.

    No more of the body is read once it has reached ``MAX_PAGE_BYTES``.

    Raises ``OSError`` if the connection fails, ``TimeoutError`` after
    ``REQUEST_TIMEOUT_S``, and ``h11.RemoteProtocolError`` if the response
    is not valid HTTP.
    """
    async with asyncio.timeout(REQUEST_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address)
        with contextlib.closing(writer):
            return await _request_page(reader, writer, path)


async def _request_page(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, path: str
) -> tuple[int, bytes]:
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method='GET',
        target=path,
        headers=[('host', 'localhost'), ('connection', 'close')],
    )
    writer.write(connection.send(request) or b'')
    writer.write(connection.send(h11.EndOfMessage()) or b'')
    await writer.drain()
    status = 0
    body = b''
    while True:
        match await http.next_event(connection, reader):
            case h11.Response(status_code=status):
                pass
            case h11.Data(data=data) if len(body) < MAX_PAGE_BYTES:
                body += bytes(data)
            case _:
                return status, body
