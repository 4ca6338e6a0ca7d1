"""The consumers of the feed, and what each still has to be sent."""

import asyncio

from gentianspoke.codec import feed as feed_codec
from gentianspoke.core import views
from gentianspoke.generated import feed_pb2


class Subscriber:
    """One consumer of the feed, with what it still has to be sent."""

    def __init__(self, subscribe: feed_pb2.Subscribe) -> None:
        """Begin with all that the consumer lacks."""
        self.instance = subscribe.instance
        self.sent_version = subscribe.catalogue_version
        self.acked_version = subscribe.catalogue_version
        self.views: dict[int, feed_pb2.View] = {}
        self.wake = asyncio.Event()


class Hub:
    """All consumers that follow this control instance."""

    def __init__(self) -> None:
        """Begin without a consumer."""
        self.subscribers: set[Subscriber] = set()

    def publish(self, changed: list[views.View]) -> None:
        """Queue changed views for every consumer."""
        for view in changed:
            message = feed_codec.encode_view(view)
            for subscriber in self.subscribers:
                subscriber.views[view.service] = message
        if changed:
            self.wake()

    def wake(self) -> None:
        """Let every consumer look for what it still has to be sent."""
        for subscriber in self.subscribers:
            subscriber.wake.set()

    def lagging(self, version: int) -> list[str]:
        """Return the instances that do not yet run a version, sorted."""
        return sorted(
            item.instance
            for item in self.subscribers
            if item.acked_version < version
        )
