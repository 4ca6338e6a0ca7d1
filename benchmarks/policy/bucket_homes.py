"""The placement rule of gentianspoke, simulated with the production code."""

from benchmarks.policy import placement_rules
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.control import membership
from gentianspoke.decisions import routing

SERVICE_NUMBER = 1
HEARTBEAT_INTERVAL_MS = 500
LEASE_MS = 3_000
SUSPECT_TIMEOUT_MS = 1_800
SLOW_START_MS = 10_000
# A packet that needs more frames is in a forwarding loop. It then counts as
# undelivered.
MAX_FRAMES_PER_PACKET = 40
OPENING_SEQ = 7
# Both limits of an agent are so large that no agent reaches them.
SLOT_COUNT = 1_000_000
MAX_CONNECTIONS = 1_000_000


class BucketHomes:
    """The bucket-home rule with bounded load, with simulated agents.

    An entry sends each opening to the home of the flow's bucket, which is the
    live member with the highest hash score for the bucket. The home may
    divert the flow to another member to keep its own load within the bound.

    Agents and entries run the production code of the decisions and pass
    packets in memory. The number of an agent is its member number.
    """

    def __init__(
        self,
        member_count: int,
        entry_count: int,
        bound_permille: int,
        traffic: services.TrafficClass | None = None,
        limits: services.Limits | None = None,
        slot_count: int = SLOT_COUNT,
    ) -> None:
        """Create the members 1 to ``member_count``, whose slow start is over.

        ``slot_count`` is the number of slots of each agent. If ``limits`` is
        given, its load bound applies and ``bound_permille`` only appears in
        the name of the rule.
        """
        self.name = f'bucket homes, bound {bound_permille / 1000:.2f}'
        self._slot_count = slot_count
        limits = limits or services.Limits(
            connections=MAX_CONNECTIONS,
            bound_permille=bound_permille,
            retry_permille=1_000,
        )
        self._service = services.Service(
            number=SERVICE_NUMBER,
            name='board',
            owner='owner',
            address=bytes((10, 1, 0, 1)),
            ports=(443,),
            protocol=packets.TCP,
            traffic=traffic or services.Board(),
            limits=limits,
            version=1,
        )
        self._now_ms = SLOW_START_MS
        self._membership = membership.Membership(
            1, membership.MembershipLimits(LEASE_MS, SUSPECT_TIMEOUT_MS), 0
        )
        self._agents: dict[int, agent_state.AgentState] = {}
        self._false_reports: dict[int, int] = {}
        self._route_tables = [routing.RouteTable() for _ in range(entry_count)]
        for table in self._route_tables:
            table.set_catalogue(1, [self._service])
        for number in range(1, member_count + 1):
            self._add_agent(number, started_ms=-SLOW_START_MS)
        self._diverted_keys: set[packets.FlowKey] = set()
        # The first exchange lists the members in a view, which the agents
        # acknowledge in the second.
        self._exchange_reports()
        self._exchange_reports()
        self.update_all_entries()

    def open_flow(self, key: packets.FlowKey, entry_index: int) -> int:
        """Send a flow's opening through an entry; return its member or 0.

        The result is the number of the member that delivers the opening.
        """
        opening = packets.Segment(key, packets.SYN, OPENING_SEQ, 0, 0, b'p')
        member_number, hops = self._send_packet(opening, entry_index)
        if hops > 1:
            self._diverted_keys.add(key)
        return member_number

    def send_later_packet(
        self, key: packets.FlowKey, entry_index: int
    ) -> tuple[int, int]:
        """Send a later packet through an entry; return member and hops.

        The member's number is 0 if none delivers the packet to its upstream.
        """
        segment = packets.Segment(key, packets.ACK, 8, 1, 1, b'p')
        return self._send_packet(segment, entry_index)

    def close_flow(self, key: packets.FlowKey, entry_index: int) -> None:
        """Close a flow by a reset from the caller, sent through an entry."""
        flags = packets.RST | packets.ACK
        self._send_packet(
            packets.Segment(key, flags, 8, 1, 0, b'p'), entry_index
        )

    def apply_change(self, change: placement_rules.Change) -> None:
        """Apply a change, and tell only control and the first entry of it.

        After a crash, the time is advanced until the lease of the member has
        expired, so that control removes the member. A false report is sent
        only to the other agents, from the next exchange of reports on.
        """
        match change:
            case placement_rules.Drain(member_number=number):
                self._agents[number].draining = True
            case placement_rules.Crash(member_number=number):
                del self._agents[number]
                for _ in range(
                    0, LEASE_MS + LEASE_MS // 2, HEARTBEAT_INTERVAL_MS
                ):
                    self.advance_time(HEARTBEAT_INTERVAL_MS)
            case placement_rules.Join(member_number=number):
                self._add_agent(number, started_ms=self._now_ms)
            case placement_rules.FalseReport(
                member_number=number, open_flows=open_flows
            ):
                self._false_reports[number] = open_flows
                return
        self._exchange_reports()
        self._publish_view(self._route_tables[:1])

    def update_all_entries(self) -> None:
        """Give all entries the current view."""
        self._exchange_reports()
        self._publish_view(self._route_tables)

    def advance_time(self, duration_ms: int) -> None:
        """Advance the time, exchange reports and run the agents' timers.

        The reports are heartbeats and load reports.
        """
        self._now_ms += duration_ms
        self._exchange_reports()
        for state in self._agents.values():
            core.on_tick(state, self._now_ms)

    def measure_live_loads(self) -> dict[int, int]:
        """Return the number of open flows of each agent that is not draining.

        The keys are member numbers.
        """
        return {
            number: state.counts[SERVICE_NUMBER].open_flows
            for number, state in self._agents.items()
            if not state.draining
        }

    def count_diverted_flows(self) -> int:
        """Return the number of flows whose opening took more than one hop."""
        return len(self._diverted_keys)

    def _add_agent(self, number: int, started_ms: int) -> None:
        capacity = agent_state.Capacity(
            self._slot_count, MAX_CONNECTIONS, SLOW_START_MS
        )
        state = agent_state.AgentState(
            number=number,
            zone='zone',
            capacity=capacity,
            started_ms=started_ms,
        )
        state.set_catalogue([self._service])
        self._agents[number] = state

    def _exchange_reports(self) -> None:
        """Send all heartbeats, give the agents their view, and report loads.

        Each heartbeat renews the lease of its agent.
        """
        for number, state in self._agents.items():
            self._membership.announce(
                _build_announcement(number, state), self._now_ms
            )
            state.lease_until_ms = self._now_ms + LEASE_MS
        self._membership.tick(self._now_ms)
        view = self._membership.get_view(SERVICE_NUMBER)
        for number, state in self._agents.items():
            state.set_view(view)
            state.feed_confirmed_ms = self._now_ms
            self._report_load(number, state)

    def _report_load(self, number: int, state: agent_state.AgentState) -> None:
        counts = state.counts[SERVICE_NUMBER]
        open_flows = self._false_reports.get(number, counts.open_flows)
        report = frames.LoadReport(SERVICE_NUMBER, number, open_flows, 0, 0)
        for other, receiver in self._agents.items():
            if other != number:
                core.on_load(receiver, report, now=0)

    def _publish_view(self, tables: list[routing.RouteTable]) -> None:
        view = self._membership.get_view(SERVICE_NUMBER)
        for table in tables:
            table.set_view(view)

    def _send_packet(
        self, packet: packets.Segment, entry_index: int
    ) -> tuple[int, int]:
        pending = [routing.route(self._route_tables[entry_index], packet)]
        hops = 0
        while pending and hops < MAX_FRAMES_PER_PACKET:
            match pending.pop():
                case actions.SendFrame(member=member, forward=forward):
                    hops += 1
                    state = self._agents.get(member.number)
                    if state is None:
                        return 0, hops
                    results = core.on_forward(
                        state, forward, packet, self._now_ms
                    )
                    if any(
                        isinstance(result, actions.Deliver)
                        for result in results
                    ):
                        core.on_reply(
                            state, _build_answer(packet), self._now_ms
                        )
                        return state.number, hops
                    pending.extend(results)
                case _:
                    return 0, hops
        return 0, hops


def _build_answer(packet: packets.Segment) -> packets.Segment:
    """Return the segment with which the upstream acknowledges ``packet``."""
    ack = packet.seq + packet.payload_bytes
    if packets.is_opening(packet):
        flags = packets.SYN | packets.ACK
        return packets.Segment(packet.key, flags, 0, ack + 1, 0, b'a')
    return packets.Segment(packet.key, packets.ACK, 1, ack, 0, b'a')


def _build_announcement(
    number: int, state: agent_state.AgentState
) -> membership.Announcement:
    draining = views.State.DRAINING
    ranking = state.rankings.get(SERVICE_NUMBER)
    acked_view = ranking.view.number if ranking else 0
    return membership.Announcement(
        number=number,
        instance=f'agent-{number}',
        host='127.0.0.1',
        port=1,
        zone='zone',
        weight=100,
        state=draining if state.draining else views.State.LIVE,
        recovering=False,
        services=(SERVICE_NUMBER,),
        reports=(
            membership.ServiceReport(
                SERVICE_NUMBER,
                acked_view,
                core.find_oldest_flow_view(state, SERVICE_NUMBER),
                0,
            ),
        ),
    )
