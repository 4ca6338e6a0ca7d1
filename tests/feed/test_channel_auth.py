"""Tests that calls without a key of the deployment are refused."""

import contextlib

import grpclib
import grpclib.server
import loopback
import pytest

from gentianspoke import clock
from gentianspoke.codec import keys
from gentianspoke.codec import tokens
from gentianspoke import errors
from gentianspoke.generated import feed_grpc
from gentianspoke.generated import feed_pb2
from gentianspoke.shells import channel_auth

ADDRESS = (loopback.HOST, 31_010)
OLD, NEW, OTHER = b'o' * 32, b'n' * 32, b'x' * 32
METHOD = '/gentianspoke.v1.Feed/Announce'
ONLY_OLD = keys.KeyRing(1, {1: OLD})
BOTH_OLD_SIGNS = keys.KeyRing(1, {1: OLD, 2: NEW})
BOTH_NEW_SIGNS = keys.KeyRing(2, {1: OLD, 2: NEW})
ONLY_NEW = keys.KeyRing(2, {2: NEW})
UNKNOWN_KEY = keys.KeyRing(1, {1: OTHER})


class FakeFeed(feed_grpc.FeedBase):
    async def Announce(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(feed_pb2.AnnouncementReply(granted=True))

    async def Follow(self, stream):  # noqa: N802
        raise grpclib.GRPCError(grpclib.const.Status.NOT_FOUND, 'none')


@contextlib.asynccontextmanager
async def run_server(ring, on_refused=None):
    server = grpclib.server.Server([FakeFeed()])
    if ring is not None:
        channel_auth.protect_server(
            server, lambda: ring, on_refused=on_refused
        )
    await server.start(*ADDRESS)
    try:
        yield
    finally:
        server.close()
        await server.wait_closed()


async def call_announce(ring, time=None):
    async with channel_auth.open_channel(
        ADDRESS, lambda: ring, 'agent-1', time
    ) as channel:
        stub = feed_grpc.FeedStub(channel)
        return await stub.Announce(feed_pb2.Announcement(), timeout=2)


@pytest.mark.parametrize(
    ('caller_ring', 'server_ring', 'accepted'),
    [
        pytest.param(ONLY_OLD, ONLY_OLD, True, id='same-key'),
        pytest.param(
            UNKNOWN_KEY, ONLY_OLD, False, id='caller-with-unknown-key'
        ),
        pytest.param(ONLY_OLD, None, False, id='server-without-key'),
        pytest.param(
            ONLY_OLD,
            BOTH_OLD_SIGNS,
            True,
            id='server-also-accepts-the-new-key',
        ),
        pytest.param(
            BOTH_OLD_SIGNS,
            BOTH_NEW_SIGNS,
            True,
            id='server-signs-with-the-new-key',
        ),
        pytest.param(
            BOTH_NEW_SIGNS, ONLY_NEW, True, id='server-drops-the-old-key'
        ),
        pytest.param(ONLY_OLD, ONLY_NEW, False, id='caller-with-dropped-key'),
    ],
)
async def test_both_ends_need_a_key_of_the_deployment(
    caller_ring, server_ring, accepted
):
    async with run_server(server_ring):
        if accepted:
            assert (await call_announce(caller_ring)).granted
            return
        with pytest.raises(grpclib.GRPCError) as caught:
            await call_announce(caller_ring)
    assert caught.value.status is grpclib.const.Status.UNAUTHENTICATED


async def test_the_server_names_the_reason_of_a_refusal():
    refusals = []
    async with run_server(ONLY_OLD, lambda *refusal: refusals.append(refusal)):
        with pytest.raises(grpclib.GRPCError, match='key files'):
            await call_announce(UNKNOWN_KEY)
    assert refusals == [(METHOD, 'unknown key or wrong tag')]


async def test_an_error_of_the_service_reaches_its_caller():
    async with run_server(ONLY_OLD):
        async with channel_auth.open_channel(
            ADDRESS, lambda: ONLY_OLD, 'agent-1'
        ) as channel:
            with pytest.raises(grpclib.GRPCError) as caught:
                async with feed_grpc.FeedStub(channel).Follow.open() as stream:
                    await stream.send_message(feed_pb2.FollowRequest())
                    await stream.recv_message()
    assert caught.value.status is grpclib.const.Status.NOT_FOUND


@pytest.mark.parametrize(
    ('change', 'reason'),
    [
        pytest.param({}, '', id='as-sent'),
        pytest.param({'method': '/other'}, 'wrong tag', id='other-method'),
        pytest.param({'caller': 'b'}, 'wrong tag', id='other-caller'),
        pytest.param({'wall_ms': 40_000}, 'clock', id='too-old'),
        pytest.param({'wall_ms': -40_000}, 'clock', id='from-the-future'),
        pytest.param({'wall_ms': 25_000}, '', id='clock-within-the-window'),
    ],
)
def test_a_token_is_valid_for_its_method_and_caller_in_its_time_window(
    change, reason
):
    # ``wall_ms`` in ``change`` is the receiver's time since ``sent_ms``.
    sent_ms = 100_000
    token = tokens.make_token(ONLY_OLD, METHOD, 'a', sent_ms)
    arguments = {'method': METHOD, 'caller': 'a', 'wall_ms': 0} | change
    guard = tokens.TokenGuard()
    arguments['wall_ms'] += sent_ms
    parsed = tokens.parse_token(token.render())
    if reason:
        with pytest.raises(errors.ChannelError, match=reason):
            guard.consume_token(ONLY_OLD, parsed, **arguments)
    else:
        guard.consume_token(ONLY_OLD, parsed, **arguments)


@pytest.mark.parametrize('ahead_ms', [-30_000, 0, 30_000])
def test_a_token_is_not_accepted_twice(ahead_ms):
    time = clock.ManualClock(1_000_000)
    token = tokens.make_token(
        ONLY_OLD, METHOD, 'a', time.get_wall_time_ms() + ahead_ms
    )
    guard = tokens.TokenGuard()
    guard.consume_token(ONLY_OLD, token, METHOD, 'a', time.get_wall_time_ms())
    # After 100 s the token's time lies outside the guard's window of 30 s,
    # whatever ``ahead_ms`` is.
    for _ in range(100):
        time.advance(1_000)
        other = tokens.make_token(
            ONLY_OLD, METHOD, 'a', time.get_wall_time_ms()
        )
        guard.consume_token(
            ONLY_OLD, other, METHOD, 'a', time.get_wall_time_ms()
        )
        with pytest.raises(errors.ChannelError, match='before|clock'):
            guard.consume_token(
                ONLY_OLD, token, METHOD, 'a', time.get_wall_time_ms()
            )


@pytest.mark.parametrize('text', ['', 'a.b.c.d', '1.2.3', '1.2.3.zz', '.' * 9])
def test_a_malformed_token_is_refused(text):
    with pytest.raises(errors.ChannelError):
        token = tokens.parse_token(text)
        tokens.TokenGuard().consume_token(ONLY_OLD, token, METHOD, 'a', 2)
