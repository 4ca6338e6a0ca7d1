"""The state of one agent, on which all of its decisions are based."""

import collections
import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import verdicts
from gentianspoke.core import views
from gentianspoke.decisions.agent import capacity_records
from gentianspoke.decisions.agent import cold_start
from gentianspoke.decisions.agent import inquiry_records
from gentianspoke.decisions.agent import own_pools
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import request_queue
from gentianspoke.decisions.agent import timer_wheel
from gentianspoke.decisions import member_ranking
from gentianspoke.decisions import routing

# Number of earlier views kept for each pool. They show since which view a
# bucket has had its current home.
MAX_PAST_VIEWS = 8
# The feed is the stream of updates of the catalogue and of views. If two
# confirmations of the feed are at least this far apart, views may have been
# missed. The time is shorter than the shortest lease. Between confirmations
# that are closer together, no other member can have joined, placed flows, lost
# its lease and been removed without appearing in a view that this agent
# received.
MAX_FEED_GAP_MS = 2_000
# Default time for which a restarted agent adopts flows that it does not
# know. It is long because flows may last for hours.
DEFAULT_RECOVERY_MS = 7_200_000
# Number of queue waits that are kept between two ticks for the metrics.
MAX_QUEUE_WAITS = 1_000
# A bulk answer is over if the upstream has sent no packet of the flow for this
# time, which is longer than the pauses between retransmissions.
ANSWER_IDLE_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """The limits of the upstream, summed over all its services.

    ``slots`` limits the requests and short flows that the upstream works on
    at the same time, and ``connections`` limits the open flows. ``ramp_ms``
    is the duration of the upstream's slow start.
    """

    slots: int
    connections: int
    ramp_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class FlowReport:
    """One failed or refused flow with its verdict, for the timeline."""

    key: packets.FlowKey
    service: int
    verdict: verdicts.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class UnfinishedFlows:
    """The numbers of flows that are not finished at a planned stop.

    ``running`` flows occupy a slot, ``queued`` openings and requests wait for
    one, and
    ``answering`` flows get a bulk answer of the upstream, which occupies no
    slot. ``open_flows`` counts all flows that have not ended, the queued ones
    included.
    """

    running: int
    queued: int
    answering: int
    open_flows: int

    @property
    def in_progress(self) -> int:
        """The number of flows that a planned stop waits for."""
        return self.running + self.queued + self.answering


@dataclasses.dataclass(slots=True)
class AgentState:
    """The state of one agent; ``number`` is its member number.

    ``lease_until_ms`` is the time at which the agent's right to place flows
    of non-idempotent services ends. ``recovering`` is set if the agent
    restarted while its upstream kept running, so that the agent does not
    know the upstream's older flows. ``joining`` is set until the views of all
    its pools list the agent as not live, so that it does not act on a view
    from before its own start. Times are milliseconds of the agent's clock.
    """

    number: int
    zone: str
    capacity: Capacity
    started_ms: int
    recovering: bool = False
    draining: bool = False
    joining: bool = False
    own_pool: own_pools.OwnPool = own_pools.PoolPerService()
    # How long after its start a recovering agent adopts unknown flows.
    recovery_ms: int = DEFAULT_RECOVERY_MS
    lease_until_ms: int = 0
    # When a majority of the control instances last confirmed the feed.
    feed_confirmed_ms: int = 0
    # Whether views may have been missed since then.
    views_missed: bool = False
    # Services by protocol, address and port.
    endpoints: dict[routing.Endpoint, services.Service] = dataclasses.field(
        default_factory=dict
    )
    services_by_number: dict[int, services.Service] = dataclasses.field(
        default_factory=dict
    )
    # Rankings from the current views, by pool.
    rankings: dict[int, member_ranking.Ranking] = dataclasses.field(
        default_factory=dict
    )
    # Rankings from the earlier views of each pool, the newest last.
    past_rankings: dict[int, list[member_ranking.Ranking]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    flows: dict[packets.FlowKey, records.Flow] = dataclasses.field(
        default_factory=dict
    )
    diversions: dict[packets.FlowKey, records.Diversion] = dataclasses.field(
        default_factory=dict
    )
    # Flows that wait for a slot, by service, the oldest first.
    queues: dict[int, collections.deque[records.Flow]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.deque)
    )
    # Flows and occupied slots of this agent's upstream, by pool.
    counts: dict[int, records.PoolCounts] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(records.PoolCounts)
    )
    # Open flows whose upstream has begun a bulk answer.
    answering_flows: dict[packets.FlowKey, records.Flow] = dataclasses.field(
        default_factory=dict
    )
    # Open flows (with the queued ones), occupied slots and records of ended
    # flows, over all pools.
    total_open: int = 0
    total_running: int = 0
    total_ended: int = 0
    # Number of records of flows and diversions, by pool, and in each pool by
    # the bucket and the view under which the flows were placed.
    record_counts: dict[int, dict[tuple[int, int], int]] = dataclasses.field(
        default_factory=dict
    )
    # The last load report of each member, by pool and member.
    load_reports: dict[tuple[int, int], frames.LoadReport] = dataclasses.field(
        default_factory=dict
    )
    # This agent's number of open flows when a member's last report came,
    # by pool and member.
    open_flows_at_report: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    # Flows placed at a member since its last load report, by pool and
    # member.
    placed_since_report: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    # Until when a member counts as cold, according to its last load report,
    # by pool and member.
    cold_members: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    # Members whose load report came after the last expiry of reports.
    renewed_reports: set[tuple[int, int]] = dataclasses.field(
        default_factory=set
    )
    # When load reports were last checked for renewal.
    reports_expired_ms: int = 0
    # The state of placement by capacity, ``None`` if openings are placed by
    # open flows.
    even_load: capacity_records.EvenLoad | None = None
    # Cached median load of each pool, dropped when a report of the pool
    # arrives and whenever reports expire.
    median_loads: dict[int, int] = dataclasses.field(default_factory=dict)
    # When a packet of a flow that no member knows was first seen, by flow.
    orphans: dict[packets.FlowKey, int] = dataclasses.field(
        default_factory=dict
    )
    flow_timers: timer_wheel.TimerWheel[records.Flow] = dataclasses.field(
        default_factory=timer_wheel.TimerWheel
    )
    diversion_timers: timer_wheel.TimerWheel[
        tuple[packets.FlowKey, records.Diversion]
    ] = dataclasses.field(default_factory=timer_wheel.TimerWheel)
    # The lowest priority number (the most urgent) of the services, by pool.
    highest_priorities: dict[int, int] = dataclasses.field(
        default_factory=dict
    )
    # Whether ``Service.handshake`` is true for all services.
    all_handshake: bool = False
    # Flows for which a slot was reserved, the oldest reservation first. A
    # flow may still be listed here after its reservation has ended.
    slot_reservations: collections.deque[records.Flow] = dataclasses.field(
        default_factory=collections.deque
    )
    # Openings that are held until this agent may place them, by flow.
    held_openings: dict[packets.FlowKey, records.HeldOpening] = (
        dataclasses.field(default_factory=dict)
    )
    # When the held openings were last decided again.
    openings_retried_ms: int = 0
    # Each service's budget for further offers, in thousandths of an offer.
    retry_budgets: dict[int, int] = dataclasses.field(default_factory=dict)
    # When the upstream last returned a packet because it did not know the
    # packet's flow, by flow. Returned openings are not recorded here.
    returned_flows: dict[packets.FlowKey, int] = dataclasses.field(
        default_factory=dict
    )
    # Inquiries about flows that this agent does not know.
    inquiries: inquiry_records.Inquiries = dataclasses.field(
        default_factory=inquiry_records.Inquiries
    )
    # When the first opening of a service with ``handshake`` was delivered
    # after the upstream's last packet, ``None`` if there was none.
    unanswered_since_ms: int | None = None
    # The cold phase of this agent's own upstream.
    cold: cold_start.ColdStart = dataclasses.field(
        default_factory=cold_start.ColdStart
    )
    # The complete requests that wait beside the upstream.
    requests: request_queue.RequestQueue = dataclasses.field(
        default_factory=request_queue.RequestQueue
    )
    # When the last packet of any flow came from the upstream or a caller.
    last_upstream_packet_ms: int = 0
    last_caller_packet_ms: int = 0
    # Reports on failed and refused flows since the last tick, and how many
    # further ones were dropped.
    flow_reports: list[FlowReport] = dataclasses.field(default_factory=list)
    dropped_flow_reports: int = 0
    # How long queued openings waited, in milliseconds, since the last tick.
    queue_waits: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_QUEUE_WAITS)
    )

    def set_catalogue(self, entries: list[services.Service]) -> None:
        """Replace the services by the entries of a newer catalogue."""
        self.own_pool = own_pools.update(self.own_pool, entries)
        self.services_by_number = {entry.number: entry for entry in entries}
        self.all_handshake = all(entry.handshake for entry in entries)
        self.highest_priorities = services.find_highest_priorities(entries)
        self.endpoints = routing.index_services(entries)

    def get_pool(self, service: services.Service) -> int:
        """Return the pool in which this agent serves a service.

        It is 0, which no pool has, if the agent does not know its own pool.
        """
        return own_pools.get_number(self.own_pool, service.number)

    def set_view(self, view: views.View) -> bool:
        """Store a view unless it is older; return whether it was stored.

        The replaced view is kept as an earlier view only if the numbers of
        the two differ, because the set of live members changes only with the
        number.
        """
        # ``View.service`` is the number of the pool.
        current = self.rankings.get(view.service)
        if current is not None and current.view.order > view.order:
            return False
        if current is not None and current.view.number < view.number:
            self._keep_past_ranking(current)
        self.rankings[view.service] = member_ranking.Ranking(view, current)
        return True

    def check_feed_gap(self, now: int) -> None:
        """Note that views may have been missed if the feed had a gap.

        Call this before applying a feed update. The feed had a gap if its
        last confirmation is ``MAX_FEED_GAP_MS`` or more ago. The earlier
        views then no longer show since which view a bucket has had its
        present home.
        """
        if now - self.feed_confirmed_ms >= MAX_FEED_GAP_MS:
            self.views_missed = True

    def confirm_feed(self, confirmed_ms: int) -> None:
        """Record when a majority of control instances confirmed the feed."""
        self.feed_confirmed_ms = confirmed_ms
        self.views_missed = False

    def is_listed_as_not_live(self) -> bool:
        """Return whether all own pools' views list this agent as not live.

        The result is False if one of the views does not list the agent or is
        not known yet, or if the agent has no pool. An evacuated member does
        not count, because a view may list the agent as evacuated before the
        leader knows that the agent accepts no flows.
        """
        own_members = [
            self.find_member(pool, self.number)
            for pool in self.get_own_pools()
        ]
        return bool(own_members) and not any(
            member is None or member.is_live_or_evacuated
            for member in own_members
        )

    def is_evacuated(self, pool: int) -> bool:
        """Return whether a pool's view lists this agent's zone as evacuated.

        The agent then accepts no opening of the pool, also while it is joining
        or listed as suspect.
        """
        ranking = self.rankings.get(pool)
        return ranking is not None and self.zone in ranking.evacuated_zones

    def is_evacuated_anywhere(self) -> bool:
        """Return whether this agent is evacuated in any of its own pools."""
        return any(map(self.is_evacuated, self.get_own_pools()))

    def get_own_pools(self) -> list[int]:
        """Return the numbers of the pools that the upstream belongs to.

        The list is empty if the agent does not know its own pool.
        """
        return own_pools.list_numbers(self.own_pool, self.services_by_number)

    def find_member(self, pool: int, number: int) -> views.Member | None:
        """Return a member of a pool's view, ``None`` if it is not listed."""
        ranking = self.rankings.get(pool)
        return ranking.members_by_number.get(number) if ranking else None

    def count_open_flows(self) -> int:
        """Return the number of open flows over all services.

        Queued flows are included.
        """
        return self.total_open

    def count_occupied_slots(self) -> int:
        """Return the number of occupied slots over all services."""
        return self.total_running

    def count_unfinished_flows(self, now: int) -> UnfinishedFlows:
        """Return the numbers of flows that are not finished.

        A bulk answer counts until the flow has ended, or until the upstream
        has sent nothing for ``ANSWER_IDLE_MS``.
        """
        queued = sum(len(queue) for queue in self.queues.values())
        queued += len(self.requests.held)
        answering = sum(
            now - flow.last_down_ms < ANSWER_IDLE_MS
            for flow in self.answering_flows.values()
        )
        return UnfinishedFlows(
            self.total_running, queued, answering, self.total_open
        )

    def has_flows_in_progress(self, now: int) -> bool:
        """Return whether a planned stop still has to wait for a flow."""
        return self.count_unfinished_flows(now).in_progress > 0

    def _keep_past_ranking(self, ranking: member_ranking.Ranking) -> None:
        past_rankings = self.past_rankings[ranking.view.service]
        if self.views_missed:
            past_rankings.clear()
            return
        past_rankings.append(ranking)
        del past_rankings[:-MAX_PAST_VIEWS]
