"""Aggregated counts of the feed's consumers by catalogue version.

The feed of a control instance carries the catalogue's entries and the views
of the services' members. A consumer is a process that receives the feed: an
agent, a process of the entry role or another control instance. A control
instance that receives the leader's feed and passes it on to its own consumers
is a relay.

A control instance counts the consumers that are connected to it and adds the
summaries that its relays send. The leader thereby learns the versions of all
consumers from one message per relay.
"""

import collections
import collections.abc
import dataclasses

MAX_VERSION_COUNTS = 16
MAX_LAGGARDS = 16
# How long a consumer whose connection was lost counts as lagging.
DEPARTED_RETENTION_MS = 60_000
# How long a consumer counts as arrived after it has connected. This is longer
# than DEPARTED_RETENTION_MS: when a consumer moves to another control
# instance, the old instance may notice the departure some time after the new
# one has seen the arrival. The departure must nevertheless expire before the
# arrival does, or the consumer would count as lost.
ARRIVED_RETENTION_MS = 90_000


@dataclasses.dataclass(frozen=True, slots=True)
class Laggard:
    """A consumer and the catalogue version that it runs or ran last."""

    instance: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """The catalogue versions that consumers run, summed over relays.

    A summary covers the consumers of one control instance and those of the
    instances that relay its feed. A relay that has sent its summary is not
    itself counted as a consumer. ``counts`` maps versions to numbers of
    consumers. It has one item for each of the ``MAX_VERSION_COUNTS`` newest
    versions. One more item counts the consumers of all older versions, and
    its key is the oldest of these. ``laggards`` are the consumers with the
    oldest versions. ``departed`` are consumers whose connection was lost
    recently, and ``arrived`` are the names of those that connected recently.
    A consumer in both of these has moved to another control instance.
    """

    counts: dict[int, int] = dataclasses.field(default_factory=dict)
    laggards: tuple[Laggard, ...] = ()
    departed: tuple[Laggard, ...] = ()
    arrived: frozenset[str] = frozenset()

    @property
    def consumer_count(self) -> int:
        """Number of consumers, including the lost ones."""
        return sum(self.counts.values()) + len(self.list_lost_consumers())

    def count_in_force(self, version: int) -> int:
        """Return how many consumers run ``version`` or a newer one."""
        return sum(
            count
            for item_version, count in self.counts.items()
            if item_version >= version
        )

    def list_lagging_consumers(self, version: int) -> list[str]:
        """Return the names of consumers that run an older version.

        Lost consumers are included, whatever version they ran last. At most
        ``MAX_LAGGARDS`` connected consumers are named.
        """
        lagging = [
            item.instance for item in self.laggards if item.version < version
        ]
        return sorted(lagging) + self.list_lost_consumers()

    def list_lost_consumers(self) -> list[str]:
        """Return the names of departed consumers that have not moved."""
        names = {item.instance for item in self.departed} - self.arrived
        return sorted(names)


@dataclasses.dataclass(slots=True)
class _Connection:
    """A connected consumer; ``summary`` is ``None`` unless it is a relay."""

    instance: str
    version: int
    connected_ms: int
    summary: Summary | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Departure:
    """A consumer's last catalogue version and when its connection was lost."""

    version: int
    disconnected_ms: int


class Consumers:
    """The consumers that are connected to one control instance.

    All times are in milliseconds of the instance's monotonic clock.
    """

    def __init__(self) -> None:
        """Initialize an instance without consumers."""
        self._connections: dict[int, _Connection] = {}
        self._departures: dict[str, _Departure] = {}
        self._last_number = 0

    def connect(self, instance: str, version: int, now: int) -> int:
        """Add a consumer and return the number of its connection.

        ``version`` is the catalogue version that the consumer runs.
        """
        self._last_number += 1
        self._connections[self._last_number] = _Connection(
            instance, version, now
        )
        self._departures.pop(instance, None)
        return self._last_number

    def record_version(self, connection: int, version: int) -> None:
        """Record the version that the consumer of a connection runs."""
        self._connections[connection].version = version

    def record_summary(self, connection: int, summary: Summary) -> None:
        """Record the summary that the relay of a connection has sent."""
        self._connections[connection].summary = summary

    def disconnect(self, connection: int, now: int, *, planned: bool) -> None:
        """Remove the consumer of a connection.

        Unless the disconnection is ``planned``, the consumer counts as
        departed for ``DEPARTED_RETENTION_MS``. A relay never counts as
        departed.
        """
        closed_connection = self._connections.pop(connection)
        if not planned and closed_connection.summary is None:
            self._departures[closed_connection.instance] = _Departure(
                closed_connection.version, now
            )

    def summarize(self, now: int) -> Summary:
        """Return the summary of all consumers, including those of relays."""
        direct_connections = [
            item for item in self._connections.values() if item.summary is None
        ]
        relay_summaries = [
            item.summary
            for item in self._connections.values()
            if item.summary is not None
        ]
        return _merge_summaries(
            [self._summarize_direct(direct_connections, now), *relay_summaries]
        )

    def _summarize_direct(
        self, connections: list[_Connection], now: int
    ) -> Summary:
        self._expire_departures(now)
        connected_names = {item.instance for item in connections}
        departed = tuple(
            Laggard(name, item.version)
            for name, item in self._departures.items()
            if name not in connected_names
        )
        arrived = (
            item.instance
            for item in connections
            if now - item.connected_ms < ARRIVED_RETENTION_MS
        )
        # All consumers are listed as laggards here; _merge_summaries
        # keeps only those with the oldest versions.
        return Summary(
            counts=dict(
                collections.Counter(item.version for item in connections)
            ),
            laggards=tuple(
                Laggard(item.instance, item.version) for item in connections
            ),
            departed=departed,
            arrived=frozenset(arrived),
        )

    def _expire_departures(self, now: int) -> None:
        for name, item in tuple(self._departures.items()):
            if now - item.disconnected_ms >= DEPARTED_RETENTION_MS:
                del self._departures[name]


def _merge_summaries(summaries: collections.abc.Sequence[Summary]) -> Summary:
    counts: collections.Counter[int] = collections.Counter()
    for summary in summaries:
        counts.update(summary.counts)
    laggards = sorted(
        (item for summary in summaries for item in summary.laggards),
        key=lambda item: (item.version, item.instance),
    )
    arrived: frozenset[str] = frozenset().union(
        *(summary.arrived for summary in summaries)
    )
    departed = tuple(
        item
        for summary in summaries
        for item in summary.departed
        if item.instance not in arrived
    )
    return Summary(
        _limit_versions(counts),
        tuple(laggards[:MAX_LAGGARDS]),
        departed,
        arrived,
    )


def _limit_versions(counts: collections.Counter[int]) -> dict[int, int]:
    """Return the counts of the newest versions, and one for all older ones.

    The count for all older versions has the oldest of them as its key.
    """
    versions = sorted(counts)
    counts_by_version = {
        version: counts[version] for version in versions[-MAX_VERSION_COUNTS:]
    }
    older = versions[:-MAX_VERSION_COUNTS]
    if older:
        counts_by_version[older[0]] = sum(counts[version] for version in older)
    return counts_by_version
