"""Prometheus metrics of one process, through aioprometheus."""

import aioprometheus
from aioprometheus import collectors

PLACEMENT_BUCKETS_S = [
    0.00001,
    0.000025,
    0.00005,
    0.0001,
    0.00025,
    0.001,
    0.01,
]


class Metrics:
    """The collectors of one process; unused ones stay without a sample."""

    def __init__(self, instance: str, role: str) -> None:
        """Create the collectors with the labels of this process."""
        self.registry = collectors.Registry()
        self._labels = {'instance': instance, 'role': role}
        self.packets = self._counter(
            'gentianspoke_packets_total', 'Packets by what became of them'
        )
        self.dropped = self._counter(
            'gentianspoke_dropped_total', 'Packets dropped, by reason'
        )
        self.refused = self._counter(
            'gentianspoke_refused_total', 'Openings refused, by reason'
        )
        self.resets = self._counter(
            'gentianspoke_resets_total', 'Flows reset, by reason'
        )
        self.gauges = self._gauge(
            'gentianspoke_state', 'Current counts, by name'
        )
        self.placement = aioprometheus.Histogram(
            'gentianspoke_placement_seconds',
            'Time that one decision took',
            const_labels=self._labels,
            buckets=PLACEMENT_BUCKETS_S,
            registry=self.registry,
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its HTTP headers."""
        return aioprometheus.render(self.registry, [])

    def _counter(self, name: str, text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            name, text, const_labels=self._labels, registry=self.registry
        )

    def _gauge(self, name: str, text: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(
            name, text, const_labels=self._labels, registry=self.registry
        )
