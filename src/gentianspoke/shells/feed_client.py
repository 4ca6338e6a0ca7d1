"""Client of the feeds of control instances.

A feed delivers the catalogue and the views to a consumer. The control
instance that sends the feed is its source. The client changes to the next
source when the current one is stale.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random

import grpclib
import grpclib.client
import h2.exceptions

from gentianspoke import clock
from gentianspoke.codec import feed as feed_codec
from gentianspoke.codec import known_groups
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

# The client leaves a source that has sent nothing for this time, or whose last
# confirmation by a majority is this old.
MAX_STALENESS_MS = 1_500
# The age of the confirmation that a source reports which no majority has ever
# confirmed.
UNCONFIRMED_AGE_MS = 10**12
# Timeout of the first reply. It is shorter than MAX_STALENESS_MS because a
# working source replies at once.
FIRST_REPLY_TIMEOUT_MS = 1_000
# The client leaves a source that no majority has confirmed within this time.
FIRST_CONFIRMATION_TIMEOUT_MS = 1_500
# The client leaves a source that has had no views from a leader for this time.
INCOMPLETE_TIMEOUT_MS = 6_000
# Maximum delay before the next source is tried.
MAX_NEXT_SOURCE_DELAY_S = 0.1
# Exponential back-off after all sources were tried. It is doubled up to its
# maximum while no source is confirmed. Each delay is drawn at random between
# half the minimum and the current back-off.
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 0.75

# Errors with which a call to a control instance fails. A ControlError means
# that a reply is not valid, or that the client leaves the source.
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
    """Catalogue entries from a source.

    If ``is_snapshot`` is true, they replace all known entries. Otherwise, they
    are added to the known entries or replace some of them.
    """

    is_snapshot: bool
    version: int
    entries: list[services.Service]


@dataclasses.dataclass(frozen=True, slots=True)
class SourceConfirmation:
    """A confirmation of the source by a majority.

    ``age_ms`` is the age of the confirmation in milliseconds.
    ``catalogue_version`` is the version of the source's catalogue.
    """

    age_ms: int
    catalogue_version: int


Update = CatalogueUpdate | views.View | SourceConfirmation
# Applies an update and returns the catalogue version that is now in use.
UpdateHandler = collections.abc.Callable[[Update], int]
FollowStream = grpclib.client.Stream[
    feed_pb2.FollowRequest, feed_pb2.FollowReply
]


class FeedConsumer:
    """The state of one consumer of the feed, across changes of the source.

    ``handle_update`` is called with complete views, with catalogue entries
    that are not older than the known ones, and with confirmations of sources
    that have the views of a leader.
    """

    def __init__(
        self,
        proc: process.Process,
        role: str,
        handle_update: UpdateHandler,
        service_names: tuple[str, ...] = (),
        make_acknowledge: (
            collections.abc.Callable[[], feed_pb2.Acknowledge] | None
        ) = None,
    ) -> None:
        """Start with an empty copy of the feed's content.

        If ``service_names`` is not empty, the feed is limited to the services
        of these names. ``make_acknowledge`` returns the acknowledgement that
        is sent after each catalogue update and each confirmation. The
        default acknowledgement contains only the catalogue version in use.
        """
        self.copy = feed_copy.FeedCopy()
        # Whether the current source was confirmed while it had the views of a
        # leader.
        self.is_confirmed = False
        self._proc = proc
        self._role = role
        self._handle_update = handle_update
        self._service_names = service_names
        self._make_acknowledge = (
            make_acknowledge or self._make_default_acknowledge
        )
        self._version_in_use = 0
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

        Return also when ``keep_following``, which is called before each
        message, returns ``False``. If the source fails or is stale, the
        reason is written as an event.
        """
        self.is_confirmed = False
        self._incomplete_since_ms = None
        self._followed_since_ms = self._proc.clock.now()
        try:
            async with channel_auth.open_channel(
                address, self._proc.get_current_ring, self._proc.cfg.instance
            ) as channel:
                stub = feed_grpc.FeedStub(channel)
                async with stub.Follow.open() as stream:
                    await self._read_feed(stream, keep_following)
        except CHANNEL_ERRORS as exc:
            self._proc.events.write(
                'feed-lost',
                source=units.format_address(address),
                reason=repr(exc),
            )

    def _set_gauges(self) -> None:
        # The age is undefined before the first confirmation.
        if self._confirmed_at_ms is not None:
            age_ms = self._proc.clock.now() - self._confirmed_at_ms
            self._proc.metrics.set_gauge('feed_age_ms', age_ms)
        version = self._version_in_use
        self._proc.metrics.set_gauge('feed_catalogue_version', version)

    async def _read_feed(
        self,
        stream: FollowStream,
        keep_following: collections.abc.Callable[[], bool],
    ) -> None:
        subscribe = feed_pb2.FollowRequest(subscribe=self._make_subscribe())
        timeout_s = FIRST_REPLY_TIMEOUT_MS / clock.MS_PER_S
        # Without a timeout, a connection to an instance that is gone would
        # block forever, and so would a message to one that does not read.
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
            # In a planned stop, the end of the stream tells the source not to
            # wait for this consumer.
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
        entries = feed_codec.decode_catalogue_entries(message)
        if self.copy.store_entries(
            message.version, entries, is_snapshot=message.snapshot
        ):
            self._version_in_use = self._handle_update(
                CatalogueUpdate(message.snapshot, message.version, entries)
            )

    def _on_view(self, message: feed_pb2.View) -> None:
        match feed_codec.decode_view(message):
            case views.View() as full_view:
                view = full_view if self.copy.store_view(full_view) else None
            case view_delta.ViewDelta() as delta:
                view = self.copy.apply_view_delta(delta)
        if view is not None:
            self._handle_update(view)

    def _on_confirmation(self, message: feed_pb2.Confirmation) -> None:
        self._proc.events.observe(message.logical)
        self._proc.sources.store_reported(
            known_groups.decode_known_group(
                message.sources, message.leader, message.group_version
            )
        )
        if message.without_feed:
            raise errors.ControlError(
                'the source has no feed; it referred to'
                f' {len(message.sources)} control instances'
            )
        if message.age_ms >= MAX_STALENESS_MS:
            self._raise_if_unconfirmed(message.age_ms)
            return
        if message.complete:
            self.is_confirmed = True
            self._incomplete_since_ms = None
            self._confirmed_at_ms = self._proc.clock.now() - message.age_ms
            self._version_in_use = self._handle_update(
                SourceConfirmation(message.age_ms, message.catalogue_version)
            )
            return
        now = self._proc.clock.now()
        if self._incomplete_since_ms is None:
            self._incomplete_since_ms = now
        if now - self._incomplete_since_ms >= INCOMPLETE_TIMEOUT_MS:
            raise errors.ControlError('the source has no views from a leader')

    def _raise_if_unconfirmed(self, age_ms: int) -> None:
        # A group that has just started elects its leader within a second, so
        # a source may be unconfirmed at first. A source that was confirmed
        # before has lost its majority.
        now = self._proc.clock.now()
        waited_ms = now - self._followed_since_ms
        if self.is_confirmed or waited_ms >= FIRST_CONFIRMATION_TIMEOUT_MS:
            raise errors.ControlError(
                f'no majority has confirmed the source for {age_ms} ms'
            )

    def _digest_differs(self, message: feed_pb2.Confirmation) -> bool:
        # The digest is 0 if the source does not know what the consumer holds.
        return (
            bool(message.digest)
            and message.digest != self.copy.compute_digest()
        )

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

    def _make_default_acknowledge(self) -> feed_pb2.Acknowledge:
        return feed_pb2.Acknowledge(catalogue_version=self._version_in_use)

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
                for view in self.copy.views_by_pool.values()
            ],
            logical=self._proc.events.logical,
        )


async def follow_feeds(
    proc: process.Process, role: str, handle_update: UpdateHandler
) -> None:
    """Follow one source after the other until cancelled.

    The client changes to the next source, over a new connection, if a
    source fails, sends nothing, or was last confirmed by a majority too long
    ago. Meanwhile, the received catalogue and views stay in use. The order
    of the sources is random for each consumer, so that the consumers are
    spread over the control instances.
    """
    feed = FeedConsumer(
        proc, role, handle_update, _select_service_names(proc.cfg)
    )
    backoff_s = MIN_BACKOFF_S
    rng = random.Random(proc.cfg.instance)
    while True:
        addresses = proc.sources.list_addresses()
        rng.shuffle(addresses)
        for address in addresses:
            await feed.follow(address)
            if feed.is_confirmed:
                backoff_s = MIN_BACKOFF_S
            await asyncio.sleep(
                rng.uniform(
                    MAX_NEXT_SOURCE_DELAY_S / 2, MAX_NEXT_SOURCE_DELAY_S
                )
            )
        await asyncio.sleep(rng.uniform(MIN_BACKOFF_S / 2, backoff_s))
        backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)


def _select_service_names(cfg: settings.Settings) -> tuple[str, ...]:
    match cfg.role:
        case settings.AgentSettings(services=names, pool=''):
            return names
        case settings.ControlSettings():
            # A control instance calls follow_feeds only if it keeps no log. It
            # then needs only the confirmations. No service has an empty name,
            # so this filter excludes all services.
            return ('',)
        case _:
            return ()
