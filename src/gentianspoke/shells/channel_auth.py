"""Mutual authentication of gRPC calls with the deployment's shared keys.

A client opens its channels with ``open_channel``, and a server is passed
to ``protect_server``. The client sends a token with each call and the server
sends a proof with each answer. The server refuses calls without a valid
token, and the client refuses answers without a valid proof. Both read the
current keys for each call, so that a key rotation takes effect at once.
"""

import asyncio
import collections
import collections.abc
import contextlib
import contextvars

import grpclib
import grpclib.client
import grpclib.events
import grpclib.server

from gentianspoke import clock
from gentianspoke.codec import keys
from gentianspoke.codec import tokens
from gentianspoke.config import units
from gentianspoke import errors
from gentianspoke.net import batched_writes

# Names of the gRPC metadata that carry the authentication.
TOKEN_METADATA = 'gentianspoke-token'
CALLER_METADATA = 'gentianspoke-caller'
PROOF_METADATA = 'gentianspoke-proof'
# Limit on the nonces that are kept for one channel. A nonce is kept until
# the answer to its call arrives. The nonce of a failed call is removed only
# when this limit is exceeded, oldest first.
MAX_PENDING_CALLS = 1_024
# A host that is down does not refuse a connection; the packets to it are lost.
# The operating system retransmits a lost TCP SYN only after a second, so a
# longer timeout would only delay the attempt at another instance.
CONNECT_TIMEOUT_S = 0.4

KeyRingGetter = collections.abc.Callable[[], keys.KeyRing]

# Nonce of the call that the current server task answers.
_answered_nonce: contextvars.ContextVar[str] = contextvars.ContextVar(
    'answered_nonce', default=''
)
# Whether the answer that the current client task reads began with a proof.
_has_proof: contextvars.ContextVar[bool] = contextvars.ContextVar(
    'proven', default=False
)


@contextlib.asynccontextmanager
async def open_channel(
    address: units.Address,
    get_ring: KeyRingGetter,
    instance: str,
    process_clock: clock.Clock | None = None,
) -> collections.abc.AsyncIterator[grpclib.client.Channel]:
    """Open a channel with authenticated calls for the ``with`` block.

    ``get_ring`` returns the current keys and ``instance`` is the name of the
    calling instance. If there are no keys when the channel is opened, its
    calls are not authenticated. Raises ``OSError`` or ``TimeoutError`` if the
    connection fails. A call raises ``grpclib.GRPCError`` with status
    ``UNAUTHENTICATED`` if either side has no valid key. Each task must
    finish reading one answer before it starts the next call, because the
    state of the answer is kept per task.
    """
    channel = batched_writes.Channel(*address)
    if get_ring().keys:
        _authenticate_calls(
            channel,
            _ClientAuthenticator(
                get_ring, instance, process_clock or clock.Clock()
            ),
        )
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await channel.__connect__()
        yield channel
    finally:
        channel.close()


def _authenticate_calls(
    channel: grpclib.client.Channel, client_auth: '_ClientAuthenticator'
) -> None:
    grpclib.events.listen(
        channel, grpclib.events.SendRequest, client_auth.send_request
    )
    grpclib.events.listen(
        channel,
        grpclib.events.RecvInitialMetadata,
        client_auth.receive_initial_metadata,
    )
    grpclib.events.listen(
        channel, grpclib.events.RecvMessage, client_auth.receive_message
    )


def protect_server(
    server: grpclib.server.Server,
    get_ring: KeyRingGetter,
    process_clock: clock.Clock | None = None,
    on_refused: collections.abc.Callable[[str, str], None] | None = None,
) -> None:
    """Make ``server`` refuse all calls without a valid token.

    ``on_refused`` is called with the method and the reason of each refused
    call. If there are no keys when this function is called, the server
    accepts all calls.
    """
    if not get_ring().keys:
        return
    server_auth = _ServerAuthenticator(
        get_ring, process_clock or clock.Clock(), on_refused
    )
    grpclib.events.listen(
        server, grpclib.events.RecvRequest, server_auth.receive_request
    )
    grpclib.events.listen(
        server,
        grpclib.events.SendInitialMetadata,
        server_auth.send_initial_metadata,
    )


class _ClientAuthenticator:
    """The client's side of the authentication on one channel."""

    def __init__(
        self,
        get_ring: KeyRingGetter,
        instance: str,
        process_clock: clock.Clock,
    ) -> None:
        self._get_ring = get_ring
        self._instance = instance
        self._clock = process_clock
        self._pending_nonces: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    async def send_request(self, event: grpclib.events.SendRequest) -> None:
        token = tokens.make_token(
            self._get_ring(),
            event.method_name,
            self._instance,
            self._clock.get_wall_time_ms(),
        )
        self._pending_nonces[token.nonce] = None
        while len(self._pending_nonces) > MAX_PENDING_CALLS:
            self._pending_nonces.popitem(last=False)
        event.metadata[TOKEN_METADATA] = token.render()
        event.metadata[CALLER_METADATA] = self._instance

    async def receive_initial_metadata(
        self, event: grpclib.events.RecvInitialMetadata
    ) -> None:
        proof = event.metadata.get(PROOF_METADATA)
        _has_proof.set(proof is not None)
        if proof is None:
            # An answer that consists only of an error has no proof. An answer
            # with a message but no proof is refused in receive_message.
            return
        try:
            nonce = tokens.check_proof(self._get_ring(), str(proof))
            if nonce not in self._pending_nonces:
                raise errors.ChannelError('its proof is for another call')
        except errors.ChannelError as exc:
            raise _make_unauthenticated_error(exc) from exc
        del self._pending_nonces[nonce]

    async def receive_message(self, event: grpclib.events.RecvMessage) -> None:
        if not _has_proof.get():
            raise _make_unauthenticated_error(
                errors.ChannelError('no proof of a key')
            )


class _ServerAuthenticator:
    """The server's side of the authentication."""

    def __init__(
        self,
        get_ring: KeyRingGetter,
        process_clock: clock.Clock,
        on_refused: collections.abc.Callable[[str, str], None] | None,
    ) -> None:
        self._get_ring = get_ring
        self._clock = process_clock
        self._on_refused = on_refused
        self._token_guard = tokens.TokenGuard()

    async def receive_request(self, event: grpclib.events.RecvRequest) -> None:
        try:
            token = tokens.parse_token(
                str(event.metadata.get(TOKEN_METADATA, ''))
            )
            self._token_guard.consume_token(
                self._get_ring(),
                token,
                event.method_name,
                str(event.metadata.get(CALLER_METADATA, '')),
                self._clock.get_wall_time_ms(),
            )
        except errors.ChannelError as exc:
            if self._on_refused is not None:
                self._on_refused(event.method_name, exc.reason)
            raise _make_unauthenticated_error(exc) from exc
        _answered_nonce.set(token.nonce)

    async def send_initial_metadata(
        self, event: grpclib.events.SendInitialMetadata
    ) -> None:
        # A refused call has no nonce. Its answer is only an error and needs no
        # proof.
        nonce = _answered_nonce.get()
        if nonce:
            event.metadata[PROOF_METADATA] = tokens.make_proof(
                self._get_ring(), nonce
            )


def _make_unauthenticated_error(exc: errors.ChannelError) -> grpclib.GRPCError:
    return grpclib.GRPCError(grpclib.const.Status.UNAUTHENTICATED, str(exc))


def raise_if_refused(exc: BaseException) -> None:
    """Raise an error if a call failed in a way that a retry cannot repair.

    Raises :class:`gentianspoke.errors.ControlError` if the other end
    refused the key or the content of the request, which an operator has to
    correct. Other errors of calls are ignored.
    """
    match exc:
        case grpclib.GRPCError(
            status=(
                grpclib.const.Status.UNAUTHENTICATED
                | grpclib.const.Status.INVALID_ARGUMENT
            )
        ):
            raise errors.ControlError(str(exc.message)) from exc
