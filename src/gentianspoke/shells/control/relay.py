"""Relays the leader's views while another control instance leads."""

import asyncio

from gentianspoke.codec import feed as feed_codec
from gentianspoke.config import units
from gentianspoke.core import views
from gentianspoke.generated import feed_pb2
from gentianspoke.shells.control import catalogue_log
from gentianspoke.shells.control import hub
from gentianspoke.shells import feed_client
from gentianspoke.shells import process

POLL_INTERVAL_S = 0.2


class Relay:
    """Follows the leader's feed and publishes its views in the hub."""

    def __init__(
        self,
        proc: process.Process,
        log: catalogue_log.CatalogueLog,
        feed_hub: hub.Hub,
    ) -> None:
        """Start without a leader to follow."""
        self._proc = proc
        self._log = log
        self._hub = feed_hub
        self._confirmed_ms: int | None = None
        self._feed = feed_client.FeedConsumer(
            proc,
            'control',
            self._handle_update,
            make_acknowledge=self._make_acknowledge,
        )

    def get_views_age_ms(self) -> int | None:
        """Return the age of the views, ``None`` before any confirmation.

        The age in milliseconds is the age that the leader reported in its
        last confirmation plus the time since then.
        """
        if self._confirmed_ms is None:
            return None
        return self._proc.clock.now() - self._confirmed_ms

    async def follow_leader(self) -> None:
        """Follow whichever other instance leads, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            leader = self._find_other_leader()
            if leader:
                await self._follow(leader)

    async def _follow(self, leader: str) -> None:
        # A failed leader sends nothing, and its feed becomes stale only after
        # a timeout. The log names the next leader earlier, so this loop polls
        # the log.
        async with asyncio.TaskGroup() as group:
            follow_task = group.create_task(
                self._feed.follow(units.parse_address(leader))
            )
            while (
                not follow_task.done() and self._find_other_leader() == leader
            ):
                await asyncio.wait([follow_task], timeout=POLL_INTERVAL_S)
            follow_task.cancel()

    def _find_other_leader(self) -> str:
        return '' if self._log.is_leader else self._log.leader

    def _handle_update(self, update: feed_client.Update) -> int:
        match update:
            case views.View():
                self._hub.publish([update])
            case feed_client.SourceConfirmation(age_ms=age_ms):
                if self._confirmed_ms is None:
                    self._hub.wake_subscribers()
                self._confirmed_ms = self._proc.clock.now() - age_ms
        return self._log.catalogue.version

    def _make_acknowledge(self) -> feed_pb2.Acknowledge:
        return feed_pb2.Acknowledge(
            catalogue_version=self._log.catalogue.version,
            summary=feed_codec.encode_summary(self._hub.summarize_consumers()),
        )
