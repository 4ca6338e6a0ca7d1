"""The consumers that follow this control instance."""

import collections.abc
import contextlib

from gentianspoke import clock
from gentianspoke.core import views
from gentianspoke.decisions.control import consumers
from gentianspoke.shells.control import feed_source
from gentianspoke.shells.control import log as log_port
from gentianspoke.shells.control import subscriber


class Hub:
    """Brings what is new to the consumers, and counts them."""

    def __init__(self, log: log_port.CatalogueLog, time: clock.Clock) -> None:
        """Begin without views and consumers."""
        self.source = feed_source.FeedSource(log)
        self.consumers = consumers.Consumers()
        # Whether this instance leads and issues views, so that all
        # consumers have had the time to follow it or a relay.
        self.complete = False
        self._clock = time
        self._subscribers: set[subscriber.Subscriber] = set()

    def publish(self, changed: collections.abc.Iterable[views.View]) -> None:
        """Take newer views and let the consumers have them."""
        for view in changed:
            if not self.source.take_view(view):
                continue
            for item in self._subscribers:
                item.mark(view.service)

    def wake(self) -> None:
        """Let every consumer look for what it still has to be sent."""
        for item in self._subscribers:
            item.wake.set()

    def summary(self) -> consumers.Summary:
        """Return what the consumers run."""
        return self.consumers.summary(self._clock.now())

    @contextlib.contextmanager
    def subscribed(
        self, item: subscriber.Subscriber
    ) -> collections.abc.Iterator[None]:
        """Keep a consumer for the time of the context."""
        self._subscribers.add(item)
        try:
            yield
        finally:
            self._subscribers.discard(item)

    async def watch_catalogue(self) -> None:
        """Wake the consumers after each edit, until cancelled."""
        version = 0
        while True:
            await self.source.log.wait_applied(version)
            version = self.source.version
            self.wake()


@contextlib.contextmanager
def track_consumer(
    hub: Hub, instance: str, version: int, time: clock.Clock
) -> collections.abc.Iterator['TrackedConsumer']:
    """Count a consumer for the time of the context."""
    tracked = TrackedConsumer(
        hub, hub.consumers.connect(instance, version, time.now())
    )
    try:
        yield tracked
    finally:
        hub.consumers.disconnect(
            tracked.connection, time.now(), planned=tracked.planned
        )


class TrackedConsumer:
    """One consumer as it is counted; ``planned`` tells that it took leave."""

    def __init__(self, hub: Hub, connection: int) -> None:
        """Begin with a consumer that was just counted."""
        self.connection = connection
        self.planned = False
        self._hub = hub

    def acknowledge(self, version: int) -> None:
        """Note the version that the consumer runs."""
        self._hub.consumers.acknowledge(self.connection, version)

    def report(self, summary: consumers.Summary) -> None:
        """Note what the consumers behind a relay run."""
        self._hub.consumers.report(self.connection, summary)
