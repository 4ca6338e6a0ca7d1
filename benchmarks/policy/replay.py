"""Replay of load patterns over the agents' decisions and modelled upstreams.

Agents run the production code. An upstream works on its requests in the order
of their arrival, as many at a time as it has slots, and answers at once that
it is full if its queue is.
"""

import heapq
import itertools
import math
import operator
import random
import typing

from benchmarks.policy import demand
from benchmarks.policy import patterns
from benchmarks.policy import replay_model
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import routing
from gentianspoke.shells.agent import loads

TICK_MS = 50
REPORT_INTERVAL_MS = 500
SAMPLE_MS = 100
SHARE_INTERVAL_MS = 1_000
# replay_model.Results count from here on, when the agents know the capacities.
WARM_UP_MS = 10_000
LOCAL_HOP_MS = 0.2
REQUEST_PAYLOAD_BYTES = 1
# An upstream whose waiting work exceeds this is overloaded.
OVERLOAD_MS = 250
SYN_ACK = packets.SYN | packets.ACK
DATA = packets.PSH | packets.ACK
END = packets.RST | packets.ACK


class Replay:
    """One run of a pattern with one rule."""

    def __init__(
        self,
        pattern: patterns.Pattern,
        make_agent: typing.Callable[..., agent_state.AgentState],
        seed: int,
    ) -> None:
        """Create the agents with ``make_agent`` and their upstreams."""
        self._pattern = pattern
        self._demand = demand.Demand(pattern, seed)
        self._pause_rng = random.Random(seed)
        self._now = 0.0
        self._events: list[typing.Any] = []
        self._sequence = itertools.count()
        self._ports = itertools.count(1)
        self._calls: dict[packets.FlowKey, replay_model.Call] = {}
        self._services = replay_model.build_services(pattern)
        self._table = routing.RouteTable()
        self._table.set_catalogue(1, self._services)
        numbers = range(1, pattern.upstreams + 1)
        view = views.View(
            replay_model.POOL,
            1,
            tuple(replay_model.make_member(n, pattern.zones) for n in numbers),
        )
        self._table.set_view(view)
        self.upstreams = {
            n: replay_model.Upstream(pattern.get_speed(n)) for n in numbers
        }
        self.agents: dict[int, agent_state.AgentState] = {}
        for number in numbers:
            state = make_agent(
                number=number,
                zone=view.members[number - 1].zone,
                capacity=agent_state.Capacity(pattern.slots, 2_000, 0),
                started_ms=0,
            )
            state.own_pool = replay_model.OWN_POOL
            state.set_catalogue(self._services)
            state.set_view(view)
            self.agents[number] = state
        self._next_receivers = dict.fromkeys(numbers, 0)
        self._shares: list[float] = []
        self.results = replay_model.Results()

    def run(self) -> replay_model.Results:
        """Play the pattern and return the results."""
        pattern = self._pattern
        self._schedule_arrival(replay_model.LONG)
        self._schedule_arrival(replay_model.SHORT)
        self._at(TICK_MS, self._tick)
        self._at(SAMPLE_MS, self._sample)
        self._at(SHARE_INTERVAL_MS, self._sample_shares)
        for number in self.agents:
            offset = self._pause_rng.random() * REPORT_INTERVAL_MS
            self._at(offset, self._report, number)
        while self._events:
            time_ms, _, function, args = heapq.heappop(self._events)
            if time_ms > pattern.duration_ms:
                break
            self._now = time_ms
            function(*args)
        self._summarise()
        return self.results

    def _at(
        self,
        delay_ms: float,
        function: typing.Callable[..., None],
        *args: object,
    ) -> None:
        event = (self._now + delay_ms, next(self._sequence), function, args)
        heapq.heappush(self._events, event)

    def _is_counted(self) -> bool:
        return self._now >= WARM_UP_MS

    def _schedule_arrival(self, service: int) -> None:
        interval_ms = self._demand.draw_interval_ms(service)
        self._at(interval_ms, self._arrive, service)

    def _arrive(self, service: int) -> None:
        self._schedule_arrival(service)
        if self._demand.is_drawn(self._now):
            self._open(service)

    def _open(self, service: int) -> None:
        key = replay_model.make_key(next(self._ports), service)
        call = replay_model.Call(
            key, service, self._demand.draw_work_ms(service), sent_ms=self._now
        )
        self._calls[key] = call
        self.results.openings += self._is_counted()
        self._send(call, packets.Segment(key, packets.SYN, 7, 0, 0, b'p'))

    def _send(self, call: replay_model.Call, packet: packets.Segment) -> None:
        self.results.packets += self._is_counted()
        action = routing.route(self._table, packet)
        self._execute(0, [action], packet, call)

    def _execute(
        self,
        sender: int,
        results: list[actions.Action],
        packet: packets.Segment,
        call: replay_model.Call,
    ) -> None:
        for action in results:
            match action:
                case actions.SendFrame(member=member, forward=forward):
                    if sender:
                        self.results.frames += self._is_counted()
                        if packet.flags == packets.SYN:
                            self.results.diverted += self._is_counted()
                    delay_ms = self._compute_hop_ms(sender, member)
                    self._at(delay_ms, self._receive, forward, packet, call)
                case actions.Deliver():
                    self._deliver(sender, packet, call)
                case actions.Refuse():
                    self.results.refused += self._is_counted()
                    self._calls.pop(call.key, None)

    def _compute_hop_ms(self, sender: int, member: views.Member) -> float:
        if sender and self.agents[sender].zone == member.zone:
            return LOCAL_HOP_MS
        return LOCAL_HOP_MS + self._pattern.zone_hop_ms

    def _receive(
        self,
        forward: frames.Forward,
        packet: packets.Segment,
        call: replay_model.Call,
    ) -> None:
        state = self.agents[forward.target]
        results = core.on_forward(state, forward, packet, int(self._now))
        self._execute(state.number, results, packet, call)

    def _deliver(
        self, number: int, packet: packets.Segment, call: replay_model.Call
    ) -> None:
        if packet.flags & packets.SYN:
            call.owner = number
            self._reply(call, SYN_ACK, 0)
            self._at(1, self._send_request, call)
        elif packet.flags == DATA:
            self._request(number, call)

    def _reply(
        self, call: replay_model.Call, flags: int, payload: int
    ) -> None:
        state = self.agents[call.owner]
        segment = packets.Segment(
            call.key, flags, call.seq, call.seq, payload, b'a'
        )
        core.on_reply(state, segment, int(self._now))

    def _send_request(self, call: replay_model.Call) -> None:
        if call.seq > replay_model.FIRST_SEQ:
            call.sent_ms = self._now
        packet = packets.Segment(
            call.key, DATA, call.seq, 1, REQUEST_PAYLOAD_BYTES, b'p'
        )
        call.seq += REQUEST_PAYLOAD_BYTES
        self._send(call, packet)

    def _request(self, number: int, call: replay_model.Call) -> None:
        pattern = self._pattern
        upstream = self.upstreams[number]
        work_ms = call.work_ms.pop()
        if pattern.has_fault(number, patterns.Fault.FAILS_FAST, self._now):
            self.results.failed += self._is_counted()
            self._answer(call)
            return
        if upstream.running < pattern.slots:
            self._start(number, call, work_ms)
        elif len(upstream.waiting) < pattern.queue:
            upstream.waiting.append((call, work_ms))
        else:
            self.results.full += self._is_counted()
            self._answer(call)

    def _start(
        self, number: int, call: replay_model.Call, work_ms: float
    ) -> None:
        upstream = self.upstreams[number]
        upstream.running += 1
        duration_ms = work_ms / upstream.speed
        if self._pattern.has_fault(number, patterns.Fault.SLOW, self._now):
            duration_ms /= patterns.SLOW_FACTOR
        if self._is_counted():
            upstream.worked_ms += duration_ms
        self._at(duration_ms, self._finish, number, call)

    def _finish(self, number: int, call: replay_model.Call) -> None:
        upstream = self.upstreams[number]
        upstream.running -= 1
        if upstream.waiting:
            next_call, work_ms = upstream.waiting.popleft()
            self._start(number, next_call, work_ms)
        if self._is_counted():
            answer_ms = self._now - call.sent_ms
            self.results.answers_ms.append(answer_ms)
            self.results.late += answer_ms > self._pattern.objective_ms
        self._answer(call)

    def _answer(self, call: replay_model.Call) -> None:
        self._reply(call, DATA, 1)
        if call.work_ms:
            pause_ms = self._pause_rng.expovariate(1 / self._pattern.pause_ms)
            self._at(pause_ms, self._send_request, call)
            return
        self._calls.pop(call.key, None)
        self._send(call, packets.Segment(call.key, END, call.seq, 1, 0, b'p'))

    def _tick(self) -> None:
        self._at(TICK_MS, self._tick)
        for state in self.agents.values():
            core.on_tick(state, int(self._now))

    def _report(self, number: int) -> None:
        """Send the reports of one interval as the agent's shell does."""
        state = self.agents[number]
        others = [other for other in self.agents if other != number]
        interval_ms = REPORT_INTERVAL_MS
        count = loads.compute_report_count(len(others))
        age_ms = self._pattern.report_age_ms
        if age_ms:
            interval_ms = min(REPORT_INTERVAL_MS, age_ms)
            count = math.ceil(len(others) * interval_ms / age_ms)
        self._at(interval_ms, self._report, number)
        report = loads.build_report(
            state, replay_model.POOL, 0, int(self._now)
        )
        first = self._next_receivers[number]
        for offset in range(count):
            receiver = others[(first + offset) % len(others)]
            core.on_load(self.agents[receiver], report, int(self._now))
        self._next_receivers[number] = first + count

    def _sample(self) -> None:
        self._at(SAMPLE_MS, self._sample)
        if not self._is_counted():
            return
        slots = self._pattern.slots
        per_capacity: list[float] = []
        for upstream in self.upstreams.values():
            waiting_ms = upstream.compute_waiting_ms(slots)
            self.results.waiting_ms.append(waiting_ms)
            if waiting_ms > OVERLOAD_MS:
                upstream.overloaded_ms += SAMPLE_MS
            load = upstream.running + len(upstream.waiting)
            per_capacity.append(load / upstream.speed)
        flows = [
            state.counts[replay_model.POOL].open_flows
            / self.upstreams[number].speed
            for number, state in self.agents.items()
        ]
        self.results.max_over_mean.append(
            replay_model.compute_max_over_mean(per_capacity)
        )
        self.results.flows_over_mean.append(
            replay_model.compute_max_over_mean(flows)
        )

    def _sample_shares(self) -> None:
        """Add up how much the shares of the open flows have changed."""
        self._at(SHARE_INTERVAL_MS, self._sample_shares)
        flows = [
            state.counts[replay_model.POOL].open_flows
            for state in self.agents.values()
        ]
        shares = [len(flows) * count / (sum(flows) or 1) for count in flows]
        if self._is_counted() and self._shares:
            changes = map(operator.sub, shares, self._shares)
            self.results.share_changes.append(
                sum(map(abs, changes)) / len(shares)
            )
        self._shares = shares

    def _summarise(self) -> None:
        counted_ms = self._pattern.duration_ms - WARM_UP_MS
        upstreams = self.upstreams.values()
        self.results.utilisations = [
            upstream.worked_ms / counted_ms / self._pattern.slots
            for upstream in upstreams
        ]
        self.results.overloaded_ms = sum(
            upstream.overloaded_ms for upstream in upstreams
        ) / len(self.upstreams)
