"""The feed service: announcements in, catalogue and views out."""

import asyncio
import contextlib

import grpclib.server

from gentianspoke.codec import catalogue as catalogue_codec
from gentianspoke.codec import feed as feed_codec
from gentianspoke.decisions.control import membership
from gentianspoke.generated import feed_grpc
from gentianspoke.generated import feed_pb2
from gentianspoke.shells.control import calls
from gentianspoke.shells.control import hub
from gentianspoke.shells.control import log as log_port
from gentianspoke.shells import process

TICK_S = 0.1
CONFIRMATION_S = 0.5
SUSPECT_SHARE = 0.6


class FeedService(feed_grpc.FeedBase):
    """Keeps the membership and feeds the consumers."""

    def __init__(
        self,
        proc: process.Process,
        log: log_port.CatalogueLog,
        consumers: hub.Hub,
        lease_ms: int,
    ) -> None:
        """Begin with an empty membership."""
        self._proc = proc
        self._log = log
        self._hub = consumers
        limits = membership.MembershipLimits(
            lease_ms, int(lease_ms * SUSPECT_SHARE)
        )
        self._limits = limits
        self._members = membership.Membership(0, limits, proc.clock.now())

    async def Announce(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[feed_pb2.Announcement,'
            ' feed_pb2.AnnouncementReply]'
        ),
    ) -> None:
        """Take an agent's heartbeat and grant its lease."""
        message = await calls.receive(stream)
        numbers = {
            entry.name: entry.number
            for entry in self._log.catalogue.entry_list()
        }
        if not self._log.is_leader:
            await stream.send_message(
                feed_pb2.AnnouncementReply(leader=self._log.leader)
            )
            return
        announcement = feed_codec.decode_announcement(message, numbers)
        now = self._proc.clock.now()
        grant = self._lead(now).announce(
            announcement, now, self._log.confirmed_age_ms()
        )
        await stream.send_message(feed_codec.encode_grant(grant))

    async def Follow(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[feed_pb2.FollowRequest,'
            ' feed_pb2.FollowReply]'
        ),
    ) -> None:
        """Feed one consumer until it goes."""
        first = await calls.receive(stream)
        subscriber = hub.Subscriber(first.subscribe)
        for view in self._members.all_views():
            if not self._members.is_complete(self._proc.clock.now()):
                break
            subscriber.views[view.service] = feed_codec.encode_view(view)
        self._hub.subscribers.add(subscriber)
        try:
            async with process.run_tasks(self._send_feed(stream, subscriber)):
                while (message := await stream.recv_message()) is not None:
                    acked = message.acknowledge.catalogue_version
                    subscriber.acked_version = acked
        finally:
            self._hub.subscribers.discard(subscriber)

    async def tick(self) -> None:
        """Suspect and remove members whose heartbeats are missing."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._log.is_leader:
                now = self._proc.clock.now()
                members = self._lead(now)
                members.tick(now, self._log.confirmed_age_ms())
                self._hub.publish(members.take_changed(now))

    def _lead(self, now: int) -> membership.Membership:
        if self._members.term != self._log.term:
            self._members = membership.Membership(
                self._log.term, self._limits, now
            )
        return self._members

    async def _send_feed(
        self,
        stream: (
            'grpclib.server.Stream[feed_pb2.FollowRequest,'
            ' feed_pb2.FollowReply]'
        ),
        subscriber: hub.Subscriber,
    ) -> None:
        while True:
            for reply in self._due(subscriber):
                await stream.send_message(reply)
            subscriber.wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CONFIRMATION_S):
                    await subscriber.wake.wait()

    def _due(self, subscriber: hub.Subscriber) -> list[feed_pb2.FollowReply]:
        due: list[feed_pb2.FollowReply] = []
        version = self._log.catalogue.version
        if subscriber.sent_version != version:
            changed = self._log.catalogue.changed_since(
                subscriber.sent_version
            )
            update = feed_pb2.CatalogueUpdate(
                snapshot=subscriber.sent_version == 0,
                version=version,
                entries=[catalogue_codec.encode_entry(e) for e in changed],
            )
            due.append(feed_pb2.FollowReply(catalogue=update))
            subscriber.sent_version = version
        for view in subscriber.views.values():
            due.append(feed_pb2.FollowReply(view=view))
        subscriber.views.clear()
        confirmation = feed_pb2.Confirmation(
            age_ms=self._log.confirmed_age_ms(), catalogue_version=version
        )
        due.append(feed_pb2.FollowReply(confirmation=confirmation))
        return due
