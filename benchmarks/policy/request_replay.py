"""Replay of requests at one upstream, in simulated time.

The decisions are those of the agent. The upstream has some slots and a short
queue without classes, and answers at once that it is full when its queue is.
"""

import collections
import collections.abc
import dataclasses
import functools
import heapq
import random

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import own_pools
from gentianspoke.decisions.agent import request_queue
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing

POOL = 7
OWN_POOL = own_pools.NamedPool('pool', POOL)
OWN = 1
ACK = packets.ACK
UPSTREAM_QUEUE = 4
TICK_MS = 50
CALLER_ISN, UPSTREAM_ISN = 100, 500
FIRST_CALLER_PORT = 1_024
SERVICE_PORT = 443
SERVICE_ADDRESS = bytes((10, 1, 0, 1))
# The platform's adapter limits the wait to this part of the objective.
WAIT_DIVISOR = 4

Event = collections.abc.Callable[[int], None]


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """One class of requests, as the deployment's table states it."""

    name: str
    traffic: services.TrafficClass
    priority: int
    work_ms: float
    objective_ms: int
    timeout_ms: int


@dataclasses.dataclass
class Request:
    """A request of one caller; the result is ``None`` until it is known."""

    request_class: RequestClass
    caller: int
    begin_ms: int
    key: packets.FlowKey
    work_ms: float
    answered_ms: int | None = None
    is_refused: bool = False

    def is_in_time(self) -> bool:
        """Return whether the caller got the answer within the objective."""
        if self.answered_ms is None or self.is_refused:
            return False
        duration_ms = self.answered_ms - self.begin_ms
        return duration_ms <= self.request_class.objective_ms


def make_entry(number: int, item: RequestClass) -> services.Service:
    """Return the catalogue entry of a class."""
    return services.Service(
        number=number,
        name=item.name,
        owner='owner',
        address=SERVICE_ADDRESS,
        ports=(SERVICE_PORT + number,),
        protocol=packets.TCP,
        traffic=item.traffic,
        limits=services.Limits(
            connections=100_000,
            wait_ms=item.objective_ms // WAIT_DIVISOR,
            timeout_ms=item.timeout_ms,
        ),
        version=1,
        handshake=True,
        priority=item.priority,
        shares=(services.Share(POOL, 1, 'pool'),),
    )


def make_state(
    entries: list[services.Service], slots: int, is_enabled: bool
) -> agent_state.AgentState:
    """Return the state of the only agent of the pool."""
    member = views.Member(
        number=OWN,
        instance='agent',
        host='127.0.0.1',
        port=9_000,
        zone='zone',
        weight=100,
        state=views.State.LIVE,
        joined_view=1,
    )
    state = agent_state.AgentState(
        number=OWN,
        zone='zone',
        capacity=agent_state.Capacity(slots, 100_000, 0),
        started_ms=0,
        own_pool=OWN_POOL,
        requests=request_queue.RequestQueue(is_enabled),
    )
    state.set_catalogue(entries)
    state.set_view(views.View(POOL, 1, (member,)))
    return state


class Replay:
    """One upstream with its agent, and the requests of all callers."""

    def __init__(
        self, classes: list[RequestClass], slots: int, is_enabled: bool
    ) -> None:
        """Start without requests."""
        entries = [make_entry(n + 1, item) for n, item in enumerate(classes)]
        self.state = make_state(entries, slots, is_enabled)
        self.numbers = {item.name: n + 1 for n, item in enumerate(classes)}
        self.slots = slots
        self.now = 0
        self.running = 0
        self.waiting: collections.deque[Request] = collections.deque()
        self.requests: dict[bytes, Request] = {}
        self.events: list[tuple[int, int, Event]] = []
        self.event_count = 0

    def add(self, at_ms: int, event: Event) -> None:
        """Call ``event`` with the time ``at_ms`` when it has come."""
        self.event_count += 1
        heapq.heappush(self.events, (at_ms, self.event_count, event))

    def run(self, arrivals: list[Request], until_ms: int) -> list[Request]:
        """Play the arrivals and return the requests."""
        for arrival in arrivals:
            self.add(arrival.begin_ms, functools.partial(self.open, arrival))
        for at_ms in range(0, until_ms, TICK_MS):
            self.add(
                at_ms, lambda now: self.execute(core.on_tick(self.state, now))
            )
        while self.events and self.events[0][0] < until_ms:
            now, _, event = heapq.heappop(self.events)
            self.now = now
            event(now)
        return arrivals

    def segment(
        self,
        request: Request,
        flags: int = ACK,
        seq: int = CALLER_ISN + 1,
        ack: int = UPSTREAM_ISN + 1,
        size: int = 0,
    ) -> packets.Segment:
        """Return a segment of the request's flow."""
        raw = b'data' + request.key if flags & packets.PSH else b'raw'
        return packets.Segment(request.key, flags, seq, ack, size, raw)

    def open(self, request: Request, now: int) -> None:
        """Open a flow for the request and send the request on it."""
        self.requests[request.key] = request
        # The flow is opened without admission, which is no part of the replay.
        number = self.numbers[request.request_class.name]
        service = self.state.services_by_number[number]
        bucket = hashing.bucket_of(request.key, number)
        flow_table.open_flow(
            self.state, service, request.key, bucket, CALLER_ISN, now
        )
        reply = self.segment(request, packets.SYN | ACK, UPSTREAM_ISN, 101)
        self.execute(core.on_reply(self.state, reply, now))
        self.forward(request, self.segment(request), now)
        data = self.segment(request, ACK | packets.PSH, size=900)
        self.forward(request, data, now)

    def forward(
        self, request: Request, segment: packets.Segment, now: int
    ) -> None:
        """Pass a caller's segment to the agent."""
        number = self.numbers[request.request_class.name]
        forward = frames.Forward(
            service=number,
            view=1,
            bucket=hashing.bucket_of(segment.key, number),
            target=OWN,
            packet=segment.raw,
            hops_left=1,
            pool=POOL,
        )
        self.execute(core.on_forward(self.state, forward, segment, now))

    def execute(self, decided: core.Actions) -> None:
        """Pass what the agent delivers to the upstream."""
        for action in decided:
            match action:
                case actions.Deliver(raw=raw) if raw.startswith(b'data'):
                    self.arrive(self.requests[raw[4:]])

    def arrive(self, request: Request) -> None:
        """Take a request at the upstream."""
        if self.running < self.slots:
            self.start(request)
        elif len(self.waiting) < UPSTREAM_QUEUE:
            self.waiting.append(request)
        else:
            request.is_refused = True
            self.add(self.now, lambda now: self.answer(request, now))

    def start(self, request: Request) -> None:
        """Occupy a slot for a request."""
        self.running += 1
        end_ms = self.now + max(1, round(request.work_ms))
        self.add(end_ms, lambda now: self.finish(request, now))

    def finish(self, request: Request, now: int) -> None:
        """Free the slot of a request and answer it."""
        self.running -= 1
        if self.waiting:
            self.start(self.waiting.popleft())
        self.answer(request, now)

    def answer(self, request: Request, now: int) -> None:
        """Begin the answer of a request."""
        request.answered_ms = now
        reply = self.segment(request, seq=501, ack=1_001, size=600)
        self.execute(core.on_reply(self.state, reply, now))


def make_arrivals(
    rates: dict[RequestClass, float],
    seconds: int,
    seed: int,
    callers: int,
    aggressive: float,
) -> list[Request]:
    """Return arrivals with exponential pauses.

    ``rates`` is the number of requests a second by class, and ``aggressive``
    the share of all requests that come from caller 0.
    """
    generator = random.Random(seed)
    arrivals: list[tuple[float, RequestClass, int, float]] = []
    classes = list(rates)
    for request_class, rate in rates.items():
        at_s = 0.0
        while True:
            at_s += generator.expovariate(rate)
            if at_s >= seconds:
                break
            caller = generator.randrange(callers)
            if generator.random() < aggressive:
                caller = 0
            arrivals.append((at_s, request_class, caller, generator.random()))
    arrivals.sort(key=lambda item: item[0])
    return [
        Request(
            request_class,
            caller,
            int(at_s * 1_000),
            make_key(index, classes.index(request_class) + 1, caller),
            request_class.work_ms * (0.5 + spread),
        )
        for index, (at_s, request_class, caller, spread) in enumerate(arrivals)
    ]


def make_key(index: int, number: int, caller: int) -> packets.FlowKey:
    """Return the key of the flow with a request."""
    return packets.make_key(
        packets.TCP,
        bytes((10, 9, 0, caller)),
        SERVICE_ADDRESS,
        FIRST_CALLER_PORT + index,
        SERVICE_PORT + number,
    )
