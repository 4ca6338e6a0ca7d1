"""Authenticated calls between processes, by the deployment's shared keys.

``open_channel`` and ``protect_server`` are all that a caller and a server
need: each call carries a token, each answer a proof, and what lacks them
is refused on either side. The keys are read anew for each call, so that a
rotation takes effect at once.
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

TOKEN_KEY = 'gentianspoke-token'
CALLER_KEY = 'gentianspoke-caller'
PROOF_KEY = 'gentianspoke-proof'
# Calls of one channel whose answers are awaited.
MAX_PENDING_CALLS = 1_024
# An instance that is gone does not refuse a connection. Its system sends a
# lost opening packet again after a second, so that a longer wait only adds
# to the time until another instance is asked.
CONNECT_TIMEOUT_S = 0.4

KeyRingGetter = collections.abc.Callable[[], keys.KeyRing]

# Nonce of the call that this server task answers.
_answered_nonce: contextvars.ContextVar[str] = contextvars.ContextVar(
    'answered_nonce', default=''
)
# Whether the answer that this client task reads began with a proof.
_proven: contextvars.ContextVar[bool] = contextvars.ContextVar(
    'proven', default=False
)


@contextlib.asynccontextmanager
async def open_channel(
    address: units.Address,
    ring: KeyRingGetter,
    instance: str,
    time: clock.Clock | None = None,
) -> collections.abc.AsyncIterator[grpclib.client.Channel]:
    """Connect a channel that authenticates its calls; close it at the end.

    ``ring`` returns the keys in force and ``instance`` names the caller.
    Raises ``OSError`` or ``TimeoutError`` where no connection is made. A
    call raises ``grpclib.GRPCError`` with status ``UNAUTHENTICATED``
    where either side does not hold a key. A task reads the answer to one
    call at a time.
    """
    channel = grpclib.client.Channel(*address)
    if ring().keys:
        _authenticate(
            channel,
            _ClientAuthenticator(ring, instance, time or clock.Clock()),
        )
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await channel.__connect__()
        yield channel
    finally:
        channel.close()


def _authenticate(
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
    ring: KeyRingGetter,
    time: clock.Clock | None = None,
    on_refused: collections.abc.Callable[[str, str], None] | None = None,
) -> None:
    """Refuse all calls to ``server`` that carry no valid token.

    ``on_refused`` gets the method and the reason of each refused call.
    """
    if not ring().keys:
        return
    server_auth = _ServerAuthenticator(ring, time or clock.Clock(), on_refused)
    grpclib.events.listen(
        server, grpclib.events.RecvRequest, server_auth.receive_request
    )
    grpclib.events.listen(
        server,
        grpclib.events.SendInitialMetadata,
        server_auth.send_initial_metadata,
    )


class _ClientAuthenticator:
    """The caller's side of one channel."""

    def __init__(
        self, ring: KeyRingGetter, instance: str, time: clock.Clock
    ) -> None:
        self._ring = ring
        self._instance = instance
        self._clock = time
        self._pending: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    async def send_request(self, event: grpclib.events.SendRequest) -> None:
        token = tokens.make_token(
            self._ring(), event.method_name, self._instance, self._clock.wall()
        )
        self._pending[token.nonce] = None
        while len(self._pending) > MAX_PENDING_CALLS:
            self._pending.popitem(last=False)
        event.metadata[TOKEN_KEY] = token.render()
        event.metadata[CALLER_KEY] = self._instance

    async def receive_initial_metadata(
        self, event: grpclib.events.RecvInitialMetadata
    ) -> None:
        proof = event.metadata.get(PROOF_KEY)
        _proven.set(proof is not None)
        if proof is None:
            # An answer that is only an error has no proof; see below.
            return
        try:
            nonce = tokens.check_proof(self._ring(), str(proof))
            if nonce not in self._pending:
                raise errors.ChannelError('its proof is for another call')
        except errors.ChannelError as exc:
            raise _unauthenticated_error(exc) from exc
        del self._pending[nonce]

    async def receive_message(self, event: grpclib.events.RecvMessage) -> None:
        if not _proven.get():
            raise _unauthenticated_error(
                errors.ChannelError('no proof of a key')
            )


class _ServerAuthenticator:
    """The server's side."""

    def __init__(
        self,
        ring: KeyRingGetter,
        time: clock.Clock,
        on_refused: collections.abc.Callable[[str, str], None] | None,
    ) -> None:
        self._ring = ring
        self._clock = time
        self._on_refused = on_refused
        self._tokens = tokens.TokenGuard()

    async def receive_request(self, event: grpclib.events.RecvRequest) -> None:
        try:
            token = tokens.parse_token(str(event.metadata.get(TOKEN_KEY, '')))
            self._tokens.check(
                self._ring(),
                token,
                event.method_name,
                str(event.metadata.get(CALLER_KEY, '')),
                self._clock.wall(),
            )
        except errors.ChannelError as exc:
            if self._on_refused is not None:
                self._on_refused(event.method_name, exc.reason)
            raise _unauthenticated_error(exc) from exc
        _answered_nonce.set(token.nonce)

    async def send_initial_metadata(
        self, event: grpclib.events.SendInitialMetadata
    ) -> None:
        # A refused call has no nonce; its answer is an error anyway.
        nonce = _answered_nonce.get()
        if nonce:
            event.metadata[PROOF_KEY] = tokens.make_proof(self._ring(), nonce)


def _unauthenticated_error(exc: errors.ChannelError) -> grpclib.GRPCError:
    return grpclib.GRPCError(grpclib.const.Status.UNAUTHENTICATED, str(exc))


def raise_if_refused(exc: BaseException) -> None:
    """Raise what a person must mend, and let other call errors pass.

    Raises :class:`gentianspoke.errors.ControlError` where the other end
    refused the keys or the request itself.
    """
    match exc:
        case grpclib.GRPCError(
            status=(
                grpclib.const.Status.UNAUTHENTICATED
                | grpclib.const.Status.INVALID_ARGUMENT
            )
        ):
            raise errors.ControlError(str(exc.message)) from exc
