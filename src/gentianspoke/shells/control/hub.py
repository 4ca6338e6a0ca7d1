"""The consumers that receive the feed of this control instance."""

import collections.abc
import contextlib

from gentianspoke import clock
from gentianspoke.core import views
from gentianspoke.decisions.control import consumers
from gentianspoke.shells.control import catalogue_log
from gentianspoke.shells.control import feed_source
from gentianspoke.shells.control import subscriber


class Hub:
    """Notifies subscribers of changes, and keeps count of the consumers.

    A subscriber holds the state of the feed of one connected consumer. The
    count also includes the consumers behind relays.
    """

    def __init__(
        self, log: catalogue_log.CatalogueLog, time: clock.Clock
    ) -> None:
        """Start without views and consumers."""
        self.source = feed_source.FeedSource(log)
        self.consumers = consumers.Consumers()
        # Whether this instance leads and issues views. When this becomes true,
        # all consumers have had the time to connect to this instance or to a
        # relay.
        self.issues_views = False
        self._clock = time
        self._subscribers: set[subscriber.Subscriber] = set()

    def publish(
        self, changed_views: collections.abc.Iterable[views.View]
    ) -> None:
        """Store the views that are newer, and notify the subscribers."""
        for view in changed_views:
            if not self.source.store_view(view):
                continue
            for item in self._subscribers:
                item.mark_changed(view.service)

    def wake(self) -> None:
        """Wake all subscribers' tasks, which then send what is missing."""
        for item in self._subscribers:
            item.wake.set()

    def summarize_consumers(self) -> consumers.Summary:
        """Return how many consumers there are and which versions they run."""
        return self.consumers.summarize(self._clock.now())

    @contextlib.contextmanager
    def subscribed(
        self, item: subscriber.Subscriber
    ) -> collections.abc.Iterator[None]:
        """Notify a subscriber of changes during the context."""
        self._subscribers.add(item)
        try:
            yield
        finally:
            self._subscribers.discard(item)

    async def watch_catalogue(self) -> None:
        """Wake the subscribers after each edit, until cancelled."""
        version = 0
        while True:
            await self.source.log.wait_for_newer(version)
            version = self.source.version
            self.wake()


@contextlib.contextmanager
def track_consumer(
    hub: Hub, instance: str, version: int, time: clock.Clock
) -> collections.abc.Iterator['TrackedConsumer']:
    """Count a consumer as connected during the context."""
    consumer = TrackedConsumer(
        hub, hub.consumers.connect(instance, version, time.now())
    )
    try:
        yield consumer
    finally:
        hub.consumers.disconnect(
            consumer.connection, time.now(), planned=consumer.has_closed_feed
        )


class TrackedConsumer:
    """A connected consumer that the hub counts.

    ``has_closed_feed`` is true once the consumer has closed the feed itself.
    """

    def __init__(self, hub: Hub, connection: int) -> None:
        """Track a connection that is already registered with the hub."""
        self.connection = connection
        self.has_closed_feed = False
        self._hub = hub

    def acknowledge(self, version: int) -> None:
        """Record the catalogue version that the consumer runs."""
        self._hub.consumers.record_version(self.connection, version)

    def report(self, summary: consumers.Summary) -> None:
        """Record the versions that the consumers behind a relay run."""
        self._hub.consumers.record_summary(self.connection, summary)
