"""The subscribers and consumers of the feed of this control instance."""

import collections.abc
import contextlib

from gentianspoke import clock
from gentianspoke.core import views
from gentianspoke.decisions.control import consumers
from gentianspoke.shells.control import catalogue_log
from gentianspoke.shells.control import feed_source
from gentianspoke.shells.control import subscriber


class Hub:
    """Notifies subscribers of changes, and counts the consumers.

    A subscriber holds the state of the feed of one connected consumer. The
    count also includes the consumers that are connected to relays.
    """

    def __init__(
        self, log: catalogue_log.CatalogueLog, process_clock: clock.Clock
    ) -> None:
        """Start without views and consumers."""
        self.source = feed_source.FeedSource(log)
        self.consumers = consumers.Consumers()
        # Whether this instance leads and issues views. When this becomes true,
        # all consumers have had the time to connect to this instance or to a
        # relay.
        self.issues_views = False
        self._clock = process_clock
        self._subscribers: set[subscriber.Subscriber] = set()

    def publish(
        self, changed_views: collections.abc.Iterable[views.View]
    ) -> None:
        """Store the views that are newer, and notify the subscribers."""
        for view in changed_views:
            if not self.source.store_view(view):
                continue
            for feed_subscriber in self._subscribers:
                feed_subscriber.mark_changed(view.service)

    def wake_subscribers(self) -> None:
        """Wake all subscribers' tasks, which then send the due updates."""
        for feed_subscriber in self._subscribers:
            feed_subscriber.wake_event.set()

    def summarize_consumers(self) -> consumers.Summary:
        """Return how many consumers there are and which versions they run."""
        return self.consumers.summarize(self._clock.now())

    @contextlib.contextmanager
    def subscribe(
        self, feed_subscriber: subscriber.Subscriber
    ) -> collections.abc.Iterator[None]:
        """Notify a subscriber of changes during the context."""
        self._subscribers.add(feed_subscriber)
        try:
            yield
        finally:
            self._subscribers.discard(feed_subscriber)

    async def watch_catalogue(self) -> None:
        """Wake the subscribers after each edit, until cancelled."""
        version = 0
        while True:
            await self.source.log.wait_for_newer(version)
            version = self.source.version
            self.wake_subscribers()


@contextlib.contextmanager
def track_consumer(
    hub: Hub, instance: str, version: int, process_clock: clock.Clock
) -> collections.abc.Iterator['TrackedConsumer']:
    """Count a consumer as connected during the context."""
    consumer = TrackedConsumer(
        hub, hub.consumers.connect(instance, version, process_clock.now())
    )
    try:
        yield consumer
    finally:
        hub.consumers.disconnect(
            consumer.connection_number,
            process_clock.now(),
            planned=consumer.has_closed_feed,
        )


class TrackedConsumer:
    """A connected consumer that the hub counts.

    ``has_closed_feed`` is true once the consumer has closed the feed itself.
    """

    def __init__(self, hub: Hub, connection_number: int) -> None:
        """Track a connection that is already registered with the hub."""
        self.connection_number = connection_number
        self.has_closed_feed = False
        self._hub = hub

    def record_version(self, version: int) -> None:
        """Record the catalogue version that the consumer runs."""
        self._hub.consumers.record_version(self.connection_number, version)

    def record_summary(self, summary: consumers.Summary) -> None:
        """Record the summary that this consumer, a relay, has sent."""
        self._hub.consumers.record_summary(self.connection_number, summary)
