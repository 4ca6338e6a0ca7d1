"""Follows the feed of a control instance, and moves on when it is stale."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random

import grpclib
import grpclib.client
import h2.exceptions

from gentianspoke import clock
from gentianspoke.codec import catalogue
from gentianspoke.codec import feed as feed_codec
from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import feed_copy
from gentianspoke.decisions import view_delta
from gentianspoke import errors
from gentianspoke.generated import feed_grpc
from gentianspoke.generated import feed_pb2
from gentianspoke.shells import channel_auth
from gentianspoke.shells import process

# A source is left when it is silent or unconfirmed for this long.
MAX_STALENESS_MS = 1_500
# A source answers at once, if it can.
FIRST_REPLY_TIMEOUT_MS = 1_000
# A source that no majority has confirmed yet is left after this long.
FIRST_CONFIRMATION_TIMEOUT_MS = 1_500
# A source is left when it has had no leader's views for this long.
INCOMPLETE_TIMEOUT_MS = 6_000
# Pause before the next source.
NEXT_SOURCE_DELAY_S = 0.1
# Pause after all sources, doubled up to the longest one while none gives a
# confirmation. Each pause is drawn at random up to its length.
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 0.75

CHANNEL_ERRORS = (
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    h2.exceptions.ProtocolError,
    OSError,
    TimeoutError,
    errors.ControlError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueUpdate:
    """Entries that replace all (``snapshot``) or some of the known ones."""

    snapshot: bool
    version: int
    entries: list[services.Service]


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """A majority confirmed the source ``age_ms`` milliseconds ago."""

    age_ms: int
    catalogue_version: int


Update = CatalogueUpdate | views.View | Confirmed
# Takes an update and returns the catalogue version now in force.
UpdateHandler = collections.abc.Callable[[Update], int]
FollowStream = grpclib.client.Stream[
    feed_pb2.FollowRequest, feed_pb2.FollowReply
]


class FeedConsumer:
    """What one consumer has of the feed, from whichever source.

    ``handle_update`` gets whole views and newer catalogue entries only, and a
    confirmation only from a source that has a leader's views.
    """

    def __init__(
        self,
        proc: process.Process,
        role: str,
        handle_update: UpdateHandler,
        names: tuple[str, ...] = (),
        acknowledge: (
            collections.abc.Callable[[], feed_pb2.Acknowledge] | None
        ) = None,
    ) -> None:
        """Begin with nothing; ``names`` limits the feed to services."""
        self.copy = feed_copy.FeedCopy()
        self.confirmed = False
        self._proc = proc
        self._role = role
        self._handle_update = handle_update
        self._service_names = names
        self._make_acknowledge = acknowledge or self._default_acknowledge
        self._in_force = 0
        self._incomplete_since_ms: int | None = None
        self._followed_since_ms = 0
        self._confirmed_at_ms: int | None = None
        proc.metrics.on_render(self._set_gauges)

    async def follow(
        self,
        address: units.Address,
        keep_following: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        """Follow one source over a new connection until it is stale.

        Return then, or once ``keep_following`` is no longer true, which is
        asked after each message; the time line gets the reason.
        """
        self.confirmed = False
        self._incomplete_since_ms = None
        self._followed_since_ms = self._proc.clock.now()
        try:
            async with channel_auth.open_channel(
                address, self._proc.current_ring, self._proc.cfg.instance
            ) as channel:
                stub = feed_grpc.FeedStub(channel)
                async with stub.Follow.open() as stream:
                    await self._read(stream, keep_following)
        except CHANNEL_ERRORS as exc:
            self._proc.events.write(
                'feed-lost',
                source=units.format_address(address),
                reason=repr(exc),
            )

    def _set_gauges(self) -> None:
        # Before the first confirmation there is no age to show.
        if self._confirmed_at_ms is not None:
            age_ms = self._proc.clock.now() - self._confirmed_at_ms
            self._proc.metrics.set_gauge('feed_age_ms', age_ms)
        version = self._in_force
        self._proc.metrics.set_gauge('feed_catalogue_version', version)

    async def _read(
        self,
        stream: FollowStream,
        keep_following: collections.abc.Callable[[], bool],
    ) -> None:
        subscribe = feed_pb2.FollowRequest(subscribe=self._make_subscribe())
        timeout_s = FIRST_REPLY_TIMEOUT_MS / clock.MS_PER_S
        # A connection to an instance that is gone waits without end, and
        # so does a message to one that does not read.
        async with asyncio.timeout(timeout_s):
            await stream.send_message(subscribe)
        try:
            while keep_following():
                async with asyncio.timeout(timeout_s):
                    reply = await stream.recv_message()
                timeout_s = MAX_STALENESS_MS / clock.MS_PER_S
                if reply is None:
                    raise errors.ControlError('the source closed the feed')
                async with asyncio.timeout(timeout_s):
                    await self._on_reply(stream, reply)
            await stream.cancel()
        except asyncio.CancelledError:
            # A planned stop: the source need not wait for this consumer.
            with contextlib.suppress(*CHANNEL_ERRORS):
                await stream.end()
            raise

    async def _on_reply(
        self, stream: FollowStream, reply: feed_pb2.FollowReply
    ) -> None:
        match reply.WhichOneof('content'):
            case 'catalogue':
                self._on_catalogue(reply.catalogue)
                await self._send_acknowledge(stream)
            case 'view':
                self._on_view(reply.view)
            case 'confirmation':
                self._on_confirmation(reply.confirmation)
                await self._send_acknowledge(stream)
                if self._digest_differs(reply.confirmation):
                    await self._request_resync(stream)

    def _on_catalogue(self, message: feed_pb2.CatalogueUpdate) -> None:
        entries = [catalogue.decode_entry(item) for item in message.entries]
        if self.copy.take_entries(
            message.version, entries, snapshot=message.snapshot
        ):
            self._in_force = self._handle_update(
                CatalogueUpdate(message.snapshot, message.version, entries)
            )

    def _on_view(self, message: feed_pb2.View) -> None:
        match feed_codec.decode_view(message):
            case views.View() as full_view:
                view = full_view if self.copy.take_view(full_view) else None
            case view_delta.ViewDelta() as delta:
                view = self.copy.take_delta(delta)
        if view is not None:
            self._handle_update(view)

    def _on_confirmation(self, message: feed_pb2.Confirmation) -> None:
        self._proc.events.observe(message.logical)
        self._proc.sources.learn(message.sources, message.leader)
        if message.age_ms >= MAX_STALENESS_MS:
            self._raise_if_unconfirmed(message.age_ms)
            return
        if message.complete:
            self.confirmed = True
            self._incomplete_since_ms = None
            self._confirmed_at_ms = self._proc.clock.now() - message.age_ms
            self._in_force = self._handle_update(
                Confirmed(message.age_ms, message.catalogue_version)
            )
            return
        now = self._proc.clock.now()
        if self._incomplete_since_ms is None:
            self._incomplete_since_ms = now
        if now - self._incomplete_since_ms >= INCOMPLETE_TIMEOUT_MS:
            raise errors.ControlError('it has no views of a leader')

    def _raise_if_unconfirmed(self, age_ms: int) -> None:
        # A group that has just started elects its leader within a second;
        # a source that was confirmed before has lost its majority.
        now = self._proc.clock.now()
        waited_ms = now - self._followed_since_ms
        if self.confirmed or waited_ms >= FIRST_CONFIRMATION_TIMEOUT_MS:
            raise errors.ControlError(
                f'no majority has confirmed it for {age_ms} ms'
            )

    def _digest_differs(self, message: feed_pb2.Confirmation) -> bool:
        return bool(message.digest) and message.digest != self.copy.digest()

    async def _request_resync(self, stream: FollowStream) -> None:
        self._proc.events.write('feed-differs', version=self.copy.version)
        self.copy = feed_copy.FeedCopy()
        await stream.send_message(
            feed_pb2.FollowRequest(resync=feed_pb2.Resync())
        )

    async def _send_acknowledge(self, stream: FollowStream) -> None:
        message = self._make_acknowledge()
        message.logical = self._proc.events.logical
        await stream.send_message(feed_pb2.FollowRequest(acknowledge=message))

    def _default_acknowledge(self) -> feed_pb2.Acknowledge:
        return feed_pb2.Acknowledge(catalogue_version=self._in_force)

    def _make_subscribe(self) -> feed_pb2.Subscribe:
        return feed_pb2.Subscribe(
            instance=self._proc.cfg.instance,
            role=self._role,
            zone=self._proc.cfg.zone,
            catalogue_version=self.copy.version,
            services=self._service_names,
            held=[
                feed_pb2.HeldView(
                    service=view.service,
                    number=view.number,
                    revision=view.revision,
                )
                for view in self.copy.views_by_service.values()
            ],
            logical=self._proc.events.logical,
        )


async def follow_feeds(
    proc: process.Process, role: str, handle_update: UpdateHandler
) -> None:
    """Follow one source after the other, without end.

    A source that breaks, falls silent, or whose last confirmation by a
    majority is too old, is left for the next one, over a new connection.
    What was taken stays in force meanwhile. Each consumer begins with
    another source, so that they spread over the control instances.
    """
    feed = FeedConsumer(proc, role, handle_update, _service_names(proc.cfg))
    backoff_s = MIN_BACKOFF_S
    rng = random.Random(proc.cfg.instance)
    while True:
        addresses = proc.sources.addresses()
        rng.shuffle(addresses)
        for address in addresses:
            await feed.follow(address)
            if feed.confirmed:
                backoff_s = MIN_BACKOFF_S
            await asyncio.sleep(
                rng.uniform(NEXT_SOURCE_DELAY_S / 2, NEXT_SOURCE_DELAY_S)
            )
        await asyncio.sleep(rng.uniform(MIN_BACKOFF_S / 2, backoff_s))
        backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)


def _service_names(cfg: settings.Settings) -> tuple[str, ...]:
    match cfg.role:
        case settings.AgentSettings(services=names, pool=''):
            return names
        case settings.ControlSettings():
            # Only what is told with each confirmation is wanted.
            return ('',)
        case _:
            return ()
