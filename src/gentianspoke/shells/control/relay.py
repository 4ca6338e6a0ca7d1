"""Follows the leader's views while another control instance leads."""

import asyncio

from gentianspoke.codec import feed as feed_codec
from gentianspoke.config import units
from gentianspoke.core import views
from gentianspoke.generated import feed_pb2
from gentianspoke.shells.control import hub
from gentianspoke.shells.control import log as log_port
from gentianspoke.shells import feed_client
from gentianspoke.shells import process

PAUSE_S = 0.2


class Relay:
    """Keeps the views of this control instance those of the leader."""

    def __init__(
        self,
        proc: process.Process,
        log: log_port.CatalogueLog,
        consumers: hub.Hub,
    ) -> None:
        """Begin without a leader to follow."""
        self._proc = proc
        self._log = log
        self._hub = consumers
        self._confirmed_ms: int | None = None
        self._feed = feed_client.FeedConsumer(
            proc, 'control', self._take, acknowledge=self._acknowledge
        )

    def age_ms(self) -> int | None:
        """Return how old the views are, ``None`` if there never were any.

        The age at the leader and the time since are added up.
        """
        if self._confirmed_ms is None:
            return None
        return self._proc.clock.now() - self._confirmed_ms

    async def follow_leader(self) -> None:
        """Follow one leader after the other, without end."""
        while True:
            await asyncio.sleep(PAUSE_S)
            leader = self._leader()
            if leader:
                await self._follow(leader)

    async def _follow(self, leader: str) -> None:
        # A leader that has died says nothing; the log names the next one
        # before this feed would count as stale.
        async with asyncio.TaskGroup() as group:
            following = group.create_task(
                self._feed.follow(units.host_port(leader))
            )
            while not following.done() and self._leader() == leader:
                await asyncio.wait([following], timeout=PAUSE_S)
            following.cancel()

    def _leader(self) -> str:
        return '' if self._log.is_leader else self._log.leader

    def _take(self, update: feed_client.Update) -> int:
        match update:
            case views.View():
                self._hub.publish([update])
            case feed_client.Confirmed(age_ms=age_ms):
                if self._confirmed_ms is None:
                    self._hub.wake()
                self._confirmed_ms = self._proc.clock.now() - age_ms
        return self._log.catalogue.version

    def _acknowledge(self) -> feed_pb2.Acknowledge:
        return feed_pb2.Acknowledge(
            catalogue_version=self._log.catalogue.version,
            summary=feed_codec.encode_summary(self._hub.summary()),
        )
