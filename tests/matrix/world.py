"""A simulation of entry instances, agents and a leader.

The processes and the network are simulated. The decision functions are those
of production.
"""

import dataclasses
import heapq
import itertools

import builders

from gentianspoke import clock
from gentianspoke.codec import ip
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.control import membership
from gentianspoke.decisions import routing
from tests.matrix import endpoints

LATENCY_MS = 5
STEP_MS = 50
HEARTBEAT_INTERVAL_MS = 500
LIMITS = membership.MembershipLimits(lease_ms=3_000, suspect_timeout_ms=1_800)
BOOKINGS = builders.service(wait_ms=5_000)
BOARDS = dataclasses.replace(
    builders.service(services.Board(), number=2), address=bytes((10, 1, 0, 2))
)
SERVICES = (BOOKINGS, BOARDS)
# The numbers of the agents that serve BOOKINGS, and of the one for BOARDS.
BOOKINGS_MEMBERS = (1, 2, 3)
BOARDS_MEMBER = 4


class World:
    """All simulated processes and the network between them.

    ``intercept`` is called with the step of each packet of the first caller
    and a function that sends the packet. It is also called with the step
    "wait" when an agent queues an opening, with a function that does nothing.
    A cell replaces ``intercept`` to inject faults.
    """

    def __init__(self):
        """Start all processes and run until their views have settled."""
        self.clock = clock.ManualClock(100_000)
        # The caller's port and the upstream's number of each request that ran.
        self.runs = []
        # The states of the agents, and the upstreams, by the number that each
        # agent had when it started.
        self.agents = {}
        self.upstreams = {}
        # The route tables of the entry instances, which keep no other state.
        self.entries = []
        # The ids of the route tables in ``entries`` that get no new views.
        self.frozen_entries = set()
        # The numbers of the agents whose heartbeats or feed updates are lost.
        self.agents_without_heartbeats = set()
        self.agents_without_feed = set()
        self.callers = []
        # The caller's port, the upstream's number and the time at which the
        # agent first delivered the caller's opening to this upstream.
        self.placements = []
        # The time at which the drain of each draining upstream began.
        self.drain_started_ms = {}
        self.intercept = lambda step, send: send()
        self._scheduled = []
        self._sequence_numbers = itertools.count()
        self._packet_numbers = itertools.count()
        self.leader = membership.Membership(1, LIMITS, self.clock.now())
        for number in BOOKINGS_MEMBERS:
            self.add_agent(number, BOOKINGS)
        self.add_agent(BOARDS_MEMBER, BOARDS)
        for _ in range(2):
            self.add_entry()
        self.run(6_000)

    def add_agent(self, number, service, recovering=False):
        """Start an agent, and its upstream unless that is running.

        Return the state of the agent.
        """
        state = agent_state.AgentState(
            number=number,
            zone='zone-a',
            capacity=agent_state.Capacity(4, 2_000, 0),
            started_ms=self.clock.now(),
            recovering=recovering,
            joining=True,
        )
        state.set_catalogue([service])
        # The upstream's status page still reports that it is draining.
        state.draining = number in self.drain_started_ms
        self.agents[number] = state
        if number not in self.upstreams:
            self.upstreams[number] = endpoints.Upstream(
                number, service.address, self.runs
            )
        return state

    def add_entry(self):
        """Start an entry instance with the current views."""
        table = routing.RouteTable()
        table.set_catalogue(1, list(SERVICES))
        for view in self.leader.list_views():
            table.set_view(view)
        self.entries.append(table)

    def start_caller(self, sport, service=BOOKINGS):
        """Start a caller and return it."""
        caller = endpoints.Caller(sport, service.address)
        self.callers.append(caller)
        return caller

    def find_owner(self, sport=5_000):
        """Return the number of the agent that owns a flow.

        If no agent owns it, return the number of its bucket's home.
        """
        key = builders.flow_key(sport)
        for number, state in self.agents.items():
            if key in state.flows:
                return number
        packet = packets.Segment(key, packets.SYN, 0, 0, 0, b'')
        return routing.route(self.entries[-1], packet).member.number

    def run(self, duration_ms, until=lambda: False):
        """Run for ``duration_ms`` or until ``until()`` returns true."""
        end_ms = self.clock.now() + duration_ms
        while self.clock.now() < end_ms and not until():
            now = self.clock.advance(STEP_MS)
            self._run_scheduled(now)
            for number, state in tuple(self.agents.items()):
                self._carry_out_all(number, core.on_tick(state, now))
            if now % HEARTBEAT_INTERVAL_MS == 0:
                self._send_heartbeats(now)
            self._send_feed_updates(now)
            for caller in self.callers:
                self._send_due_packet(caller, now)

    def occupy_slots(self, slots):
        """Let other requests occupy ``slots`` more slots of each member.

        These requests are not simulated. A negative number frees slots.
        """
        for number in BOOKINGS_MEMBERS:
            if number in self.agents:
                state = self.agents[number]
                state.total_running = max(0, state.total_running + slots)

    def schedule(self, delay_ms, action):
        """Call the function ``action`` after ``delay_ms`` milliseconds."""
        item = (
            self.clock.now() + delay_ms,
            next(self._sequence_numbers),
            action,
        )
        heapq.heappush(self._scheduled, item)

    def _run_scheduled(self, now):
        while self._scheduled and self._scheduled[0][0] <= now:
            heapq.heappop(self._scheduled)[2]()

    def _send_due_packet(self, caller, now):
        step_and_packet = caller.make_due_packet(now)
        if step_and_packet is None or not self.entries:
            return
        step, raw = step_and_packet
        entry = self.entries[next(self._packet_numbers) % len(self.entries)]

        def send(delay_ms=0):
            self.schedule(
                LATENCY_MS + delay_ms, lambda: self._route(entry, raw)
            )

        self._send_intercepted(step, caller, send)

    def _send_intercepted(self, step, caller, send):
        if caller is self.callers[0]:
            self.intercept(step, send)
        else:
            send()

    def _route(self, entry, raw):
        if not any(entry is item for item in self.entries):
            return
        self.carry_out_action(0, routing.route(entry, ip.parse(raw)))

    def _send_heartbeats(self, now):
        for number, state in self.agents.items():
            if number in self.agents_without_heartbeats:
                continue
            service = next(iter(state.services_by_number))
            ranking = state.rankings.get(service)
            report = membership.ServiceReport(
                service,
                ranking.view.number if ranking else 0,
                core.find_oldest_flow_view(state, service),
            )
            takes_no_flows = state.draining or state.joining
            grant = self.leader.announce(
                membership.Announcement(
                    number=state.number,
                    instance=f'agent-{number}',
                    host='127.0.0.1',
                    port=number,
                    zone='zone-a',
                    weight=100,
                    state=(
                        views.State.DRAINING
                        if takes_no_flows
                        else views.State.LIVE
                    ),
                    recovering=state.recovering,
                    services=(service,),
                    reports=(report,),
                ),
                now,
            )
            holds_lease = state.lease_until_ms > now
            if holds_lease or not grant.renewal_only:
                # Agents shorten each lease by a margin of 5%.
                lease_ms = grant.lease_ms * 950 // 1_000
                state.lease_until_ms = max(
                    state.lease_until_ms, now + lease_ms
                )
        self.leader.tick(now)

    def _send_feed_updates(self, now):
        changed_views = self.leader.pop_changed_views(now)
        for number, state in self.agents.items():
            if number in self.agents_without_feed:
                continue
            state.check_feed_gap(now)
            for view in changed_views:
                if view.service in state.services_by_number:
                    state.set_view(view)
            state.confirm_feed(now)
            if state.joining and state.rankings:
                state.joining = not state.is_listed_as_not_live()
        for entry in self.entries:
            if id(entry) not in self.frozen_entries:
                for view in changed_views:
                    entry.set_view(view)

    def _find_agent(self, number):
        """Return the key in ``agents`` of the agent with a member number.

        The two numbers differ once the upstream of the agent has restarted.
        Return ``None`` if no agent has the number.
        """
        matching_keys = (
            key for key, state in self.agents.items() if state.number == number
        )
        return next(matching_keys, None)

    def _receive(self, forward):
        number = self._find_agent(forward.target)
        if number is not None:
            packet = ip.parse(forward.packet)
            state = self.agents[number]
            now = self.clock.now()
            decided_actions = core.on_forward(state, forward, packet, now)
            self._carry_out_all(number, decided_actions)

    def _carry_out_all(self, number, decided_actions):
        for action in decided_actions:
            self.carry_out_action(number, action)

    def carry_out_action(self, number, action):
        """Carry out an action of the agent ``number``.

        The number 0 stands for an entry instance.
        """
        match action:
            case actions.SendFrame(forward=forward):
                self.schedule(LATENCY_MS, lambda: self._receive(forward))
            case actions.Deliver(raw=raw):
                self._deliver_to_upstream(number, raw)
            case actions.Answer(raw=raw):
                self._send_answer(raw)
            case actions.Refuse(packet=packet):
                self._deliver_to_caller(ip.make_refusal(packet))
            case actions.ResetCaller(key=key, seq=seq, ack=ack):
                self._deliver_to_caller(ip.make_reset_to_caller(key, seq, ack))
            case actions.Drop(reason='queued'):
                self._send_intercepted('wait', self.callers[0], lambda: None)
            case actions.ResetUpstream(key=key, seq=seq, ack=ack):
                raw = ip.make_reset_to_upstream(key, seq, ack)
                self.schedule(
                    0, lambda: self._receive_at_upstream(number, raw)
                )

    def _deliver_to_upstream(self, number, raw):
        segment = ip.parse(raw)
        sport = packets.get_caller_port(segment.key)
        caller = next(c for c in self.callers if c.sport == sport)

        def send(delay_ms=0):
            self.schedule(
                delay_ms, lambda: self._receive_at_upstream(number, raw)
            )

        if packets.is_opening(segment):
            if (sport, number) not in [item[:2] for item in self.placements]:
                self.placements.append((sport, number, self.clock.now()))
            self._send_intercepted('place', caller, send)
        else:
            send()

    def _receive_at_upstream(self, number, raw):
        if number not in self.upstreams or number not in self.agents:
            return
        for reply in self.upstreams[number].receive(raw):
            packet = ip.parse(reply, reply=True)
            state = self.agents[number]
            decided_actions = core.on_reply(state, packet, self.clock.now())
            self._carry_out_all(number, decided_actions)

    def _send_answer(self, raw):
        port = endpoints.read_segment(raw).dport
        caller = next(c for c in self.callers if c.sport == port)

        def send(delay_ms=0):
            self.schedule(
                LATENCY_MS + delay_ms, lambda: self._deliver_to_caller(raw)
            )

        if endpoints.read_segment(raw).data:
            self._send_intercepted('answer', caller, send)
        else:
            send()

    def _deliver_to_caller(self, raw):
        port = endpoints.read_segment(raw).dport
        for caller in self.callers:
            if caller.sport == port:
                caller.receive(raw, self.clock.now())
