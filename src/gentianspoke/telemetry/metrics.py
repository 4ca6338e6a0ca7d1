"""Collect the Prometheus metrics of one process with aioprometheus."""

import collections
import collections.abc
import dataclasses

import aioprometheus
from aioprometheus import collectors

# Upper bounds of the buckets of the two histograms, in seconds.
PLACEMENT_BUCKETS_S = [
    0.00001,
    0.000025,
    0.00005,
    0.0001,
    0.00025,
    0.001,
    0.01,
]
WAIT_BUCKETS_S = [0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]


@dataclasses.dataclass(slots=True)
class Counts:
    """Holds the counts that the data path increments, by label value.

    The counts are copied to the collectors when the metrics page is
    rendered. The data path does not increment the collectors themselves: a
    collector looks up its sample by the labels at each increment, which
    would cost far more for each packet than incrementing a plain counter.
    """

    packets: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    dropped: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    resets: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    verdicts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    requests: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    inquiries: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    holds: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Metrics:
    """Holds the collectors of one process.

    Processes of all roles have the same collectors. A collector that a
    process does not use has no sample on its metrics page. An opening is the
    first packet of a flow.
    """

    def __init__(self, instance: str, role: str) -> None:
        """Create the collectors, labelled with ``instance`` and ``role``."""
        self.registry = collectors.Registry()
        self._labels = {'instance': instance, 'role': role}
        self.packets = self._create_counter(
            'gentianspoke_packets_total', 'Packets by what became of them'
        )
        self.dropped = self._create_counter(
            'gentianspoke_dropped_total', 'Packets dropped, by reason'
        )
        self.refused = self._create_counter(
            'gentianspoke_refused_total', 'Openings refused, by reason'
        )
        self.resets = self._create_counter(
            'gentianspoke_resets_total', 'Flows reset, by reason'
        )
        self.gauges = self._create_gauge(
            'gentianspoke_state', 'Current counts, by name'
        )
        self.verdicts = self._create_counter(
            'gentianspoke_verdicts_total', 'Failed flows, by outcome and fault'
        )
        self.requests = self._create_counter(
            'gentianspoke_requests_total',
            'Held requests that started or were dropped, by reason',
        )
        self.inquiries = self._create_counter(
            'gentianspoke_inquiries_total',
            'Frames of flow inquiries, and flows by the result',
        )
        self.holds = self._create_counter(
            'gentianspoke_held_openings_total',
            'Openings that an entry held, by what became of them',
        )
        self.counts = Counts()
        self._render_hooks: list[collections.abc.Callable[[], None]] = []
        self.queue_wait = aioprometheus.Histogram(
            'gentianspoke_queue_wait_seconds',
            'Time that a queued opening waited for its slot',
            const_labels=self._labels,
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.request_wait = aioprometheus.Histogram(
            'gentianspoke_request_wait_seconds',
            'Time that a held request waited for its start',
            const_labels=self._labels,
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.placement = aioprometheus.Histogram(
            'gentianspoke_placement_seconds',
            'Time that one decision took',
            const_labels=self._labels,
            buckets=PLACEMENT_BUCKETS_S,
            registry=self.registry,
        )

    def on_render(self, update: collections.abc.Callable[[], None]) -> None:
        """Register ``update`` to be called before a page is rendered.

        Functions that set gauges are registered here, so that gauges are
        computed only when the metrics are read.
        """
        self._render_hooks.append(update)

    def set_gauge(self, name: str, value: int) -> None:
        """Set the gauge ``name`` to its current value."""
        self.gauges.set({'name': name}, value)

    def observe_placement(self, duration_s: float) -> None:
        """Record how long the decision on an opening took."""
        self.placement.observe({}, duration_s)

    def observe_queue_wait(self, duration_s: float) -> None:
        """Record how long an opening waited for its slot."""
        self.queue_wait.observe({}, duration_s)

    def observe_request_wait(self, duration_s: float) -> None:
        """Record how long a held request waited for its start."""
        self.request_wait.observe({}, duration_s)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the body of the metrics page and its HTTP headers."""
        for update in self._render_hooks:
            update()
        counts = self.counts
        _copy_counts(counts.packets, self.packets, 'action')
        _copy_counts(counts.dropped, self.dropped, 'reason')
        _copy_counts(counts.refused, self.refused, 'reason')
        _copy_counts(counts.resets, self.resets, 'reason')
        _copy_counts(counts.verdicts, self.verdicts, 'verdict')
        _copy_counts(counts.requests, self.requests, 'reason')
        _copy_counts(counts.inquiries, self.inquiries, 'result')
        _copy_counts(counts.holds, self.holds, 'result')
        return aioprometheus.render(self.registry, [])

    def _create_counter(self, name: str, text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            name, text, const_labels=self._labels, registry=self.registry
        )

    def _create_gauge(self, name: str, text: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(
            name, text, const_labels=self._labels, registry=self.registry
        )


def _copy_counts(
    counts: collections.Counter[str],
    counter: aioprometheus.Counter,
    label: str,
) -> None:
    for label_value, count in counts.items():
        counter.set({label: label_value}, count)
