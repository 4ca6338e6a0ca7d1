"""All that an agent knows, as one data class that decisions work on."""

import collections
import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import verdicts
from gentianspoke.core import views
from gentianspoke.decisions.agent import records
from gentianspoke.decisions import hashing
from gentianspoke.decisions import routing


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What the upstream can take over all its services."""

    slots: int
    connections: int
    ramp_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class FlowReport:
    """One flow that failed or was refused, for the time line."""

    key: packets.FlowKey
    service: int
    verdict: verdicts.Verdict


@dataclasses.dataclass(slots=True)
class AgentState:
    """State of one agent; ``number`` is its member number.

    ``lease_until_ms`` is when its right to decide for non-idempotent
    services ends. ``recovering`` is set on an agent that restarted beside
    a running upstream and does not know that upstream's older flows.
    """

    number: int
    zone: str
    capacity: Capacity
    started_ms: int
    recovering: bool = False
    draining: bool = False
    lease_until_ms: int = 0
    confirmed_ms: int = 0
    endpoints: dict[routing.Endpoint, services.Service] = dataclasses.field(
        default_factory=dict
    )
    served: dict[int, services.Service] = dataclasses.field(
        default_factory=dict
    )
    rankings: dict[int, hashing.Ranking] = dataclasses.field(
        default_factory=dict
    )
    flows: dict[packets.FlowKey, records.Flow] = dataclasses.field(
        default_factory=dict
    )
    diversions: dict[packets.FlowKey, records.Diversion] = dataclasses.field(
        default_factory=dict
    )
    queue: collections.deque[records.Flow] = dataclasses.field(
        default_factory=collections.deque
    )
    counts: dict[int, records.ServiceCounts] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(records.ServiceCounts)
    )
    loads: dict[tuple[int, int], frames.LoadReport] = dataclasses.field(
        default_factory=dict
    )
    # When a packet of a flow that nobody knows was first seen.
    orphans: dict[packets.FlowKey, int] = dataclasses.field(
        default_factory=dict
    )
    reports: list[FlowReport] = dataclasses.field(default_factory=list)

    def set_catalogue(self, entries: list[services.Service]) -> None:
        """Take the entries of a newer catalogue."""
        self.served = {entry.number: entry for entry in entries}
        self.endpoints = routing.index_services(entries)

    def set_view(self, view: views.View) -> bool:
        """Take a newer view of a service; return whether it was newer."""
        known = self.rankings.get(view.service)
        if known is not None and known.view.order > view.order:
            return False
        self.rankings[view.service] = hashing.Ranking(view)
        return True

    def member(self, service: int, number: int) -> views.Member | None:
        """Return a member of the service's view, ``None`` if unknown."""
        ranking = self.rankings.get(service)
        return ranking.by_number.get(number) if ranking else None

    def open_flows(self) -> int:
        """Return the number of open flows over all services."""
        return sum(counts.open_flows for counts in self.counts.values())

    def running(self) -> int:
        """Return the number of occupied slots over all services."""
        return sum(counts.running for counts in self.counts.values())
