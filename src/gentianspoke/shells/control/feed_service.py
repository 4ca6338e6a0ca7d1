"""The gRPC service that receives heartbeats and sends the feed."""

import asyncio
import contextlib

import grpclib
import grpclib.server

from gentianspoke import clock
from gentianspoke.codec import feed as feed_codec
from gentianspoke.decisions.control import scopes
from gentianspoke import errors
from gentianspoke.generated import feed_grpc
from gentianspoke.generated import feed_pb2
from gentianspoke.shells.control import calls
from gentianspoke.shells.control import catalogue_log
from gentianspoke.shells.control import discovery
from gentianspoke.shells.control import hub
from gentianspoke.shells.control import leadership
from gentianspoke.shells.control import referrals
from gentianspoke.shells.control import relay
from gentianspoke.shells.control import subscriber
from gentianspoke.shells import process

CONFIRMATION_INTERVAL_MS = 500
# Delay after each transmission, so that changes within this time are sent
# together.
COALESCING_DELAY_S = 0.1
# Consumers acknowledge each confirmation. A call ends if nothing arrives from
# its consumer for this long.
CONSUMER_TIMEOUT_S = 5.0
NOT_IN_GROUP = 'this control instance is not in a group yet; ask another'


class FeedService(feed_grpc.FeedBase):
    """Receives the heartbeats of agents and sends the feed to consumers."""

    def __init__(
        self,
        proc: process.Process,
        log: catalogue_log.CatalogueLog,
        feed_hub: hub.Hub,
        own_leadership: leadership.Leadership,
        view_relay: relay.Relay,
    ) -> None:
        """Serve the views that the leadership and the relay publish."""
        self._proc = proc
        self._log = log
        self._hub = feed_hub
        self._leadership = own_leadership
        self._relay = view_relay

    async def Announce(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[feed_pb2.Announcement,'
            ' feed_pb2.AnnouncementReply]'
        ),
    ) -> None:
        """Handle an agent's heartbeat and reply with the lease that it gets.

        An instance that does not lead replies with the leader's address.
        """
        message = await calls.receive_request(stream)
        self._proc.events.observe(message.logical)
        pool_numbers = {
            name: number
            for name in message.service_names
            if (number := self._log.catalogue.get_pool_number(name))
            is not None
        }
        try:
            announcement = feed_codec.decode_announcement(
                message, pool_numbers
            )
        except errors.ControlError as exc:
            self._proc.events.write('announcement-refused', reason=str(exc))
            raise grpclib.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT, str(exc)
            ) from exc
        try:
            grant = self._leadership.announce(announcement)
        except errors.NotLeaderError as exc:
            group = discovery.describe_group(self._proc, self._log)
            reply = feed_pb2.AnnouncementReply(
                leader=group.leader, reason=str(exc)
            )
        else:
            reply = feed_codec.encode_grant(grant)
        reply.logical = self._proc.events.logical
        await stream.send_message(reply)

    async def Follow(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[feed_pb2.FollowRequest,'
            ' feed_pb2.FollowReply]'
        ),
    ) -> None:
        """Send the feed to one consumer until it leaves or times out."""
        message = await calls.receive_request(stream)
        if not self._log.knows_group:
            # An instance whose data folder is empty has no catalogue until a
            # group has added it. That may take long, so the consumer
            # should ask another instance.
            group = discovery.describe_group(self._proc, self._log)
            await referrals.refer_consumer(
                self._proc, stream, group, NOT_IN_GROUP
            )
            return
        subscription = message.subscribe
        self._proc.events.observe(subscription.logical)
        feed_subscriber = subscriber.Subscriber(
            self._hub.source,
            scopes.make_scope(
                subscription.role, frozenset(subscription.services)
            ),
            subscription.catalogue_version,
            {
                held_view.service: (held_view.number, held_view.revision)
                for held_view in subscription.held
            },
        )
        with (
            self._hub.subscribe(feed_subscriber),
            hub.track_consumer(
                self._hub,
                subscription.instance,
                subscription.catalogue_version,
                self._proc.clock,
            ) as consumer,
            contextlib.suppress(TimeoutError),
        ):
            async with process.run_tasks(
                self._send_feed(stream, feed_subscriber)
            ):
                await self._read_requests(stream, feed_subscriber, consumer)

    async def _read_requests(
        self,
        stream: (
            'grpclib.server.Stream[feed_pb2.FollowRequest,'
            ' feed_pb2.FollowReply]'
        ),
        feed_subscriber: subscriber.Subscriber,
        consumer: hub.TrackedConsumer,
    ) -> None:
        while True:
            async with asyncio.timeout(CONSUMER_TIMEOUT_S):
                message = await stream.recv_message()
            if message is None:
                consumer.has_closed_feed = True
                return
            match message.WhichOneof('content'):
                case 'acknowledge':
                    self._handle_acknowledge(message.acknowledge, consumer)
                case 'resync':
                    feed_subscriber.reset()
                    feed_subscriber.wake_event.set()

    def _handle_acknowledge(
        self, message: feed_pb2.Acknowledge, consumer: hub.TrackedConsumer
    ) -> None:
        self._proc.events.observe(message.logical)
        consumer.record_version(message.catalogue_version)
        if message.HasField('summary'):
            consumer.record_summary(feed_codec.decode_summary(message.summary))

    async def _send_feed(
        self,
        stream: (
            'grpclib.server.Stream[feed_pb2.FollowRequest,'
            ' feed_pb2.FollowReply]'
        ),
        feed_subscriber: subscriber.Subscriber,
    ) -> None:
        next_confirmation_ms = self._proc.clock.now()
        was_complete = False
        while True:
            feed_subscriber.wake_event.clear()
            for reply in feed_subscriber.pop_due_updates():
                await stream.send_message(reply)
            now = self._proc.clock.now()
            is_complete = self._find_views_age_ms() is not None
            if now >= next_confirmation_ms or is_complete != was_complete:
                await stream.send_message(
                    self._make_confirmation(feed_subscriber)
                )
                next_confirmation_ms = now + CONFIRMATION_INTERVAL_MS
                was_complete = is_complete
            await asyncio.sleep(COALESCING_DELAY_S)
            remaining_s = (
                max(0, next_confirmation_ms - self._proc.clock.now())
                / clock.MS_PER_S
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await feed_subscriber.wake_event.wait()

    def _make_confirmation(
        self, feed_subscriber: subscriber.Subscriber
    ) -> feed_pb2.FollowReply:
        views_age_ms = self._find_views_age_ms()
        group = discovery.describe_group(self._proc, self._log)
        confirmation = feed_pb2.Confirmation(
            age_ms=max(self._log.get_confirmed_age_ms(), views_age_ms or 0),
            catalogue_version=self._log.catalogue.version,
            digest=feed_subscriber.compute_digest(),
            logical=self._proc.events.logical,
            complete=views_age_ms is not None,
            sources=group.addresses,
            leader=group.leader,
            group_version=group.version,
        )
        return feed_pb2.FollowReply(confirmation=confirmation)

    def _find_views_age_ms(self) -> int | None:
        """Return the age of the views in ms, ``None`` if it is unknown.

        It is unknown if this instance neither issues views nor has ever
        received a confirmation of a leader's views.
        """
        if self._leadership.issues_views():
            return 0
        views_age_ms = self._relay.get_views_age_ms()
        if views_age_ms is not None and self._log.is_leader:
            # A new leader waits before it issues views of its own, and keeps
            # the views of its predecessor until then. They are current,
            # since no other instance can change them meanwhile.
            return 0
        return views_age_ms
