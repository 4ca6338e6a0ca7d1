"""The HTTP server handles valid requests and refuses all others."""

import asyncio
import socket

import pytest

from gentianspoke.net import http

HOST = '127.0.0.1'
READ_TIMEOUT_S = 5.0


async def echo(request):
    """Return a response with the method, path and body of the request."""
    body = f'{request.method} {request.path} '.encode() + request.body
    return http.Reply(200, body)


async def exchange(*parts, handle=echo):
    """Send the parts of requests in turn and return all received bytes."""
    port = find_free_port()
    async with http.serve_http((HOST, port), handle):
        reader, writer = await asyncio.open_connection(HOST, port)
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write_eof()
        async with asyncio.timeout(READ_TIMEOUT_S):
            received_bytes = await reader.read()
        writer.close()
    return received_bytes


def find_free_port():
    """Return a TCP port that is free at the time of the call."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


GET = b'GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n'
POST = b'POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc'
CHUNKED = (
    b'POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'1\r\na\r\n2\r\nbc\r\n0\r\n\r\n'
)
EXPECT = (
    b'POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n'
    b'Expect: 100-continue\r\n\r\n'
)
LARGE = b'POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n' % (
    http.MAX_BODY_BYTES + 1
)


@pytest.mark.parametrize(
    ('parts', 'expected'),
    [
        pytest.param([GET], [b'200', b'GET /a '], id='query is removed'),
        pytest.param([POST], [b'200', b'POST /p abc'], id='request body'),
        pytest.param([CHUNKED], [b'POST /p abc'], id='chunked body'),
        pytest.param(
            [POST[:20], POST[20:-1], POST[-1:]],
            [b'POST /p abc'],
            id='split into parts',
        ),
        pytest.param(
            [POST + GET], [b'POST /p abc', b'GET /a '], id='pipelined'
        ),
        pytest.param(
            [EXPECT, b'abc'],
            [b'100', b'POST /p abc'],
            id='expects 100-continue',
        ),
        pytest.param([b'nonsense\r\n\r\n'], [b'400'], id='invalid HTTP'),
        pytest.param(
            [LARGE, bytes(http.MAX_BODY_BYTES + 1)],
            [b'413'],
            id='body too large',
        ),
    ],
)
async def test_each_request_gets_the_expected_responses(parts, expected):
    received_bytes = await exchange(*parts)
    for expected_bytes in expected:
        assert expected_bytes in received_bytes


async def test_a_request_that_is_cut_short_is_not_handled():
    handled_requests = []

    async def handle(request):
        handled_requests.append(request)
        return http.Reply(200)

    received_bytes = await exchange(POST[:-1], handle=handle)
    assert handled_requests == [] and b'200' not in received_bytes


async def test_an_exception_in_the_handler_is_answered_with_status_500():
    async def fail(request):
        raise RuntimeError('broken')

    assert b'500' in await exchange(GET, handle=fail)


async def test_a_redirection_has_a_location_header():
    async def redirect(request):
        return http.Reply(307, location='http://10.0.0.1/x')

    received_bytes = await exchange(GET, handle=redirect)
    assert (
        b'307' in received_bytes
        and b'location: http://10.0.0.1/x' in received_bytes
    )
