"""All that an agent knows, as one data class that decisions work on."""

import collections
import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import verdicts
from gentianspoke.core import views
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import schedule
from gentianspoke.decisions import hashing
from gentianspoke.decisions import routing

# Earlier views of a service that are kept to tell since when a bucket has
# had its home.
MAX_PAST_VIEWS = 8
# A gap between confirmations of the feed in which no other member can have
# joined, decided, lost its lease and been removed unseen. It is less than
# the shortest lease.
MAX_FEED_GAP_MS = 2_000
# How long a restarted agent adopts flows, where flows last for hours.
RECOVERY_MS = 7_200_000
# Queue waits kept between two ticks.
MAX_QUEUE_WAITS = 1_000


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


@dataclasses.dataclass(frozen=True, slots=True)
class UnfinishedFlows:
    """Flows that a planned stop leaves; running ones hold a slot."""

    running: int
    queued: int
    open_flows: int


@dataclasses.dataclass(slots=True)
class AgentState:
    """State of one agent; ``number`` is its member number.

    ``lease_until_ms`` is when its right to place flows of non-idempotent
    services ends. ``recovering`` is set on an agent that restarted beside
    a running upstream and does not know that upstream's older flows.
    ``joining`` is set until the agent has seen a view in which it is not
    live, so that it does not act on a view from before its own start.
    """

    number: int
    zone: str
    capacity: Capacity
    started_ms: int
    recovering: bool = False
    draining: bool = False
    joining: bool = False
    # The pool whose services this agent's upstream takes; 0 where each
    # service has a pool of its own.
    own_pool: int = 0
    # How long a restarted agent adopts flows that it does not know.
    recovery_ms: int = RECOVERY_MS
    lease_until_ms: int = 0
    confirmed_ms: int = 0
    views_missed: bool = False
    endpoints: dict[routing.Endpoint, services.Service] = dataclasses.field(
        default_factory=dict
    )
    served: dict[int, services.Service] = dataclasses.field(
        default_factory=dict
    )
    rankings: dict[int, hashing.Ranking] = dataclasses.field(
        default_factory=dict
    )
    # Earlier views of each service, the newest last.
    past_rankings: dict[int, list[hashing.Ranking]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    flows: dict[packets.FlowKey, records.Flow] = dataclasses.field(
        default_factory=dict
    )
    diversions: dict[packets.FlowKey, records.Diversion] = dataclasses.field(
        default_factory=dict
    )
    queues: dict[int, collections.deque[records.Flow]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.deque)
    )
    counts: dict[int, records.ServiceCounts] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(records.ServiceCounts)
    )
    total_open: int = 0
    total_running: int = 0
    total_ended: int = 0
    # Records of each service by the bucket and view they were placed in.
    placed: dict[int, dict[tuple[int, int], int]] = dataclasses.field(
        default_factory=dict
    )
    loads: dict[tuple[int, int], frames.LoadReport] = dataclasses.field(
        default_factory=dict
    )
    # The own open flows when a member's last report came.
    open_flows_at_report: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    # Flows placed at a member since its last report, by service and member.
    placed_since_report: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    # Members whose report was renewed since reports were last expired.
    fresh_loads: set[tuple[int, int]] = dataclasses.field(default_factory=set)
    loads_expired_ms: int = 0
    # Median load of each service, until the next report.
    median_loads: dict[int, int] = dataclasses.field(default_factory=dict)
    # When a packet of a flow that nobody knows was first seen.
    orphans: dict[packets.FlowKey, int] = dataclasses.field(
        default_factory=dict
    )
    flow_schedule: schedule.Schedule[records.Flow] = dataclasses.field(
        default_factory=schedule.Schedule
    )
    diversion_schedule: schedule.Schedule[
        tuple[packets.FlowKey, records.Diversion]
    ] = dataclasses.field(default_factory=schedule.Schedule)
    # The least priority number of a service, by pool.
    most_urgent: dict[int, int] = dataclasses.field(default_factory=dict)
    # Whether all services leave it to upstreams which flows are theirs.
    all_handshake: bool = False
    # Flows with a slot for a request that has not come, the oldest first.
    slot_reservations: collections.deque[records.Flow] = dataclasses.field(
        default_factory=collections.deque
    )
    # Openings that are held until this agent may decide, by flow.
    parked: dict[packets.FlowKey, records.Parked] = dataclasses.field(
        default_factory=dict
    )
    retried_ms: int = 0
    # Thousandths of a further offer that each service has saved up.
    budgets: dict[int, int] = dataclasses.field(default_factory=dict)
    # When the upstream last sent back a packet of a flow, by flow.
    returned_flows: dict[packets.FlowKey, int] = dataclasses.field(
        default_factory=dict
    )
    # Since when an opening waits for the upstream's first sign of life.
    unanswered_since_ms: int | None = None
    # When any flow's packet last came from the upstream, and from a caller.
    last_upstream_packet_ms: int = 0
    last_caller_packet_ms: int = 0
    reports: list[FlowReport] = dataclasses.field(default_factory=list)
    reports_lost: int = 0
    # How long queued openings waited, in milliseconds, since the last tick.
    queue_waits: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_QUEUE_WAITS)
    )

    def set_catalogue(self, entries: list[services.Service]) -> None:
        """Take the entries of a newer catalogue."""
        self.served = {entry.number: entry for entry in entries}
        self.all_handshake = all(entry.handshake for entry in entries)
        self.most_urgent = services.most_urgent(entries)
        self.endpoints = routing.index_services(entries)

    def pool_of(self, service: services.Service) -> int:
        """Return the pool in which this agent serves a service."""
        return self.own_pool or service.number

    def set_view(self, view: views.View) -> bool:
        """Take a newer view of a service; return whether it was newer."""
        known = self.rankings.get(view.service)
        if known is not None and known.view.order > view.order:
            return False
        if known is not None and known.view.number < view.number:
            self._keep_past(known)
        self.rankings[view.service] = hashing.Ranking(view, known)
        return True

    def note_feed(self, now: int) -> None:
        """Note that an update of the feed arrived; call it before taking it.

        After a long gap since the last confirmation, views may have been
        missed, so that earlier ones do not tell how long a home lasted.
        """
        if now - self.confirmed_ms >= MAX_FEED_GAP_MS:
            self.views_missed = True

    def confirm_feed(self, confirmed_ms: int) -> None:
        """Take note of when a majority last confirmed the feed."""
        self.confirmed_ms = confirmed_ms
        self.views_missed = False

    def is_shown_not_live(self) -> bool:
        """Return whether all views show that this agent is not live."""
        own = [self.member(pool, self.number) for pool in self.own_pools()]
        return bool(own) and not any(
            member is None or member.is_live for member in own
        )

    def own_pools(self) -> list[int]:
        """Return the pools that this agent's upstream belongs to."""
        return [self.own_pool] if self.own_pool else list(self.served)

    def member(self, pool: int, number: int) -> views.Member | None:
        """Return a member of the pool's view, ``None`` if unknown."""
        ranking = self.rankings.get(pool)
        return ranking.by_number.get(number) if ranking else None

    def open_flows(self) -> int:
        """Return the number of open flows over all services."""
        return self.total_open

    def running(self) -> int:
        """Return the number of occupied slots over all services."""
        return self.total_running

    def unfinished_flows(self) -> UnfinishedFlows:
        """Return the flows that are not finished."""
        queued = sum(len(queue) for queue in self.queues.values())
        return UnfinishedFlows(self.total_running, queued, self.total_open)

    def in_progress(self) -> bool:
        """Return whether a flow holds a slot or waits for one."""
        left = self.unfinished_flows()
        return bool(left.running or left.queued)

    def _keep_past(self, ranking: hashing.Ranking) -> None:
        past_rankings = self.past_rankings[ranking.view.service]
        if self.views_missed:
            past_rankings.clear()
            return
        past_rankings.append(ranking)
        del past_rankings[:-MAX_PAST_VIEWS]
