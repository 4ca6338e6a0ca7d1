"""Replay of load patterns over the agents' decisions and modelled upstreams.

Agents run the production code. An upstream works on its requests in the order
of their arrival, as many at a time as it has slots, and answers at once that
it is full if its queue is.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing

from benchmarks.policy import patterns
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import routing
from gentianspoke.shells.agent import loads

POOL = 7
LONG, SHORT = 1, 2
LONG_ADDRESS = bytes((10, 1, 0, 1))
SHORT_ADDRESS = bytes((10, 1, 0, 2))
TICK_MS = 50
REPORT_INTERVAL_MS = 500
SAMPLE_MS = 100
# Results count from here on, when the agents know the capacities.
WARM_UP_MS = 10_000
LOCAL_HOP_MS = 0.2
REQUEST_PAYLOAD_BYTES = 1
WORK_SHAPE = 2.0
# An upstream whose waiting work exceeds this is overloaded.
OVERLOAD_MS = 250
SYN_ACK = packets.SYN | packets.ACK
DATA = packets.PSH | packets.ACK
END = packets.RST | packets.ACK


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's flow with the work of the requests that it still sends."""

    key: packets.FlowKey
    service: int
    work_ms: list[float]
    owner: int = 0
    seq: int = 8
    sent_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class Upstream:
    """A modelled upstream; ``waiting`` holds work in ms, the oldest first."""

    speed: float
    running: int = 0
    waiting: collections.deque[tuple[Call, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    worked_ms: float = 0.0
    overloaded_ms: int = 0

    def compute_waiting_ms(self, slots: int) -> float:
        """Return how long the waiting work keeps all slots busy."""
        return sum(work for _, work in self.waiting) / slots / self.speed


@dataclasses.dataclass(slots=True)
class Results:
    """What the callers and the upstreams saw after the warm-up."""

    answers_ms: list[float] = dataclasses.field(default_factory=list)
    waiting_ms: list[float] = dataclasses.field(default_factory=list)
    max_over_mean: list[float] = dataclasses.field(default_factory=list)
    flows_over_mean: list[float] = dataclasses.field(default_factory=list)
    utilisations: list[float] = dataclasses.field(default_factory=list)
    overloaded_ms: float = 0.0
    late: int = 0
    full: int = 0
    failed: int = 0
    refused: int = 0
    openings: int = 0
    diverted: int = 0
    packets: int = 0
    frames: int = 0


def percentile(values: list[float], share: float) -> float:
    """Return the value that a share (0 to 1) of the values do not exceed."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


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
        # Only the arrivals draw from the first generator, so that all rules
        # get the same ones.
        self._rng = random.Random(seed)
        self._pause_rng = random.Random(seed)
        self._now = 0.0
        self._events: list[typing.Any] = []
        self._sequence = itertools.count()
        self._ports = itertools.count(1)
        self._calls: dict[packets.FlowKey, Call] = {}
        self._services = build_services(pattern)
        self._table = routing.RouteTable()
        self._table.set_catalogue(1, self._services)
        numbers = range(1, pattern.upstreams + 1)
        view = views.View(
            POOL, 1, tuple(_make_member(n, pattern.zones) for n in numbers)
        )
        self._table.set_view(view)
        self.upstreams = {n: Upstream(pattern.get_speed(n)) for n in numbers}
        self.agents: dict[int, agent_state.AgentState] = {}
        for number in numbers:
            state = make_agent(
                number=number,
                zone=view.members[number - 1].zone,
                capacity=agent_state.Capacity(pattern.slots, 2_000, 0),
                started_ms=0,
            )
            state.own_pool = POOL
            state.set_catalogue(self._services)
            state.set_view(view)
            self.agents[number] = state
        self._next_receivers = dict.fromkeys(numbers, 0)
        self.results = Results()

    def run(self) -> Results:
        """Play the pattern and return the results."""
        pattern = self._pattern
        self._schedule_arrival(LONG)
        self._schedule_arrival(SHORT)
        self._at(TICK_MS, self._tick)
        self._at(SAMPLE_MS, self._sample)
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
        peak = compute_opening_rate(self._pattern, service) * (
            1 + self._pattern.wave
        )
        peak *= max(1.0, self._pattern.burst_factor)
        self._at(self._rng.expovariate(peak), self._arrive, service)

    def _arrive(self, service: int) -> None:
        """Open a flow, thinned to the demand of a random zone."""
        self._schedule_arrival(service)
        pattern = self._pattern
        zone = self._rng.randrange(pattern.zones)
        shift = pattern.wave_shift * zone / pattern.zones
        phase = self._now / pattern.wave_ms - shift
        demand = 1 + pattern.wave * math.sin(2 * math.pi * phase)
        burst = self._now - pattern.burst_at_ms
        if 0 <= burst < pattern.burst_ms:
            demand *= pattern.burst_factor
        peak = (1 + pattern.wave) * max(1.0, pattern.burst_factor)
        if self._rng.random() * peak < demand:
            self._open(service)

    def _open(self, service: int) -> None:
        number = next(self._ports)
        caller = bytes((10, 9)) + (number >> 14).to_bytes(2, 'big')
        address = LONG_ADDRESS if service == LONG else SHORT_ADDRESS
        key = packets.make_key(
            packets.TCP, caller, address, 1_024 + number % (1 << 14), 443
        )
        call = Call(key, service, self._draw_work(service), sent_ms=self._now)
        self._calls[key] = call
        self.results.openings += self._is_counted()
        self._send(call, packets.Segment(key, packets.SYN, 7, 0, 0, b'p'))

    def _draw_work(self, service: int) -> list[float]:
        """Return the work of a new flow's requests, at the speed of 1."""
        pattern = self._pattern
        requests = 1
        mean_ms = pattern.short_work_ms
        if service == LONG:
            mean_ms = pattern.long_work_ms
            while self._rng.random() * pattern.requests_per_flow > 1:
                requests += 1
        return [
            self._rng.gammavariate(WORK_SHAPE, mean_ms / WORK_SHAPE)
            for _ in range(requests)
        ]

    def _send(self, call: Call, packet: packets.Segment) -> None:
        self.results.packets += self._is_counted()
        action = routing.route(self._table, packet)
        self._execute(0, [action], packet, call)

    def _execute(
        self,
        sender: int,
        results: list[actions.Action],
        packet: packets.Segment,
        call: Call,
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
        self, forward: frames.Forward, packet: packets.Segment, call: Call
    ) -> None:
        state = self.agents[forward.target]
        results = core.on_forward(state, forward, packet, int(self._now))
        self._execute(state.number, results, packet, call)

    def _deliver(
        self, number: int, packet: packets.Segment, call: Call
    ) -> None:
        if packet.flags & packets.SYN:
            call.owner = number
            self._reply(call, SYN_ACK, 0)
            self._at(1, self._send_request, call)
        elif packet.flags == DATA:
            self._request(number, call)

    def _reply(self, call: Call, flags: int, payload: int) -> None:
        state = self.agents[call.owner]
        segment = packets.Segment(
            call.key, flags, call.seq, call.seq, payload, b'a'
        )
        core.on_reply(state, segment, int(self._now))

    def _send_request(self, call: Call) -> None:
        if call.seq > 8:
            call.sent_ms = self._now
        packet = packets.Segment(
            call.key, DATA, call.seq, 1, REQUEST_PAYLOAD_BYTES, b'p'
        )
        call.seq += REQUEST_PAYLOAD_BYTES
        self._send(call, packet)

    def _request(self, number: int, call: Call) -> None:
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

    def _start(self, number: int, call: Call, work_ms: float) -> None:
        upstream = self.upstreams[number]
        upstream.running += 1
        duration_ms = work_ms / upstream.speed
        if self._pattern.has_fault(number, patterns.Fault.SLOW, self._now):
            duration_ms /= patterns.SLOW_FACTOR
        if self._is_counted():
            upstream.worked_ms += duration_ms
        self._at(duration_ms, self._finish, number, call)

    def _finish(self, number: int, call: Call) -> None:
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

    def _answer(self, call: Call) -> None:
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
        self._at(REPORT_INTERVAL_MS, self._report, number)
        state = self.agents[number]
        others = [other for other in self.agents if other != number]
        count = loads.compute_report_count(len(others))
        if self._pattern.report_age_ms:
            count = math.ceil(
                len(others) * REPORT_INTERVAL_MS / self._pattern.report_age_ms
            )
        report = loads.build_report(state, POOL, 0, int(self._now))
        first = self._next_receivers[number]
        for offset in range(min(count, len(others))):
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
            state.counts[POOL].open_flows / self.upstreams[number].speed
            for number, state in self.agents.items()
        ]
        self.results.max_over_mean.append(_compute_max_over_mean(per_capacity))
        self.results.flows_over_mean.append(_compute_max_over_mean(flows))

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


def compute_opening_rate(pattern: patterns.Pattern, service: int) -> float:
    """Return the openings of a service in one millisecond."""
    share = pattern.long_share
    work_ms = (
        share * pattern.long_work_ms + (1 - share) * pattern.short_work_ms
    )
    requests = pattern.utilisation * pattern.compute_capacity() / work_ms
    if service == LONG:
        return requests * share / pattern.requests_per_flow
    return requests * (1 - share)


def build_services(pattern: patterns.Pattern) -> list[services.Service]:
    """Return the service of the long flows and that of the short ones."""
    wait_ms = pattern.objective_ms // 4
    return [
        services.Service(
            number=number,
            name=f'service-{number}',
            owner='',
            address=address,
            ports=(443,),
            protocol=packets.TCP,
            traffic=traffic,
            limits=services.Limits(wait_ms=wait_ms, bound_permille=bound),
            version=1,
            shares=(services.Share(POOL, 1, 'pool'),),
            handshake=True,
            priority=priority,
        )
        for number, address, traffic, bound, priority in (
            (LONG, LONG_ADDRESS, services.Board(), 1_100, 0),
            (SHORT, SHORT_ADDRESS, services.Booking(False), 100_000, 1),
        )
    ]


def _compute_max_over_mean(values: list[float]) -> float:
    return max(values) * len(values) / (sum(values) or 1.0)


def _make_member(number: int, zones: int) -> views.Member:
    return views.Member(
        number=number,
        instance=f'agent-{number}',
        host='127.0.0.1',
        port=9_000 + number,
        zone=f'zone-{number % zones}',
        weight=100,
        state=views.State.LIVE,
        joined_view=1,
        closed_view=0,
        acked_view=1,
        oldest_flow_view=0,
        recovering=False,
    )
