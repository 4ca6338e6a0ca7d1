"""Replay of requests at one upstream, in simulated time.

The decisions are those of the agent. The upstream has some slots and a short
queue without classes, and answers at once that it is full when its queue is.
"""

import collections
import dataclasses
import heapq
import random
import statistics

import builders
import fakes

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import request_queue
from gentianspoke.decisions import hashing

POOL = 7
OWN = 1
ACK = packets.ACK
UPSTREAM_QUEUE = 4
TICK_MS = 50
CALLER_ISN, UPSTREAM_ISN = 100, 500


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


def make_entry(number, request_class):
    return dataclasses.replace(
        builders.service(
            request_class.traffic,
            number,
            wait_ms=request_class.objective_ms // 4,
            timeout_ms=request_class.timeout_ms,
            connections=100_000,
        ),
        ports=(builders.SERVICE_PORT + number,),
        handshake=True,
        priority=request_class.priority,
        shares=(services.Share(POOL, 1, 'pool'),),
    )


class Replay:
    """One upstream with its agent, and the requests of all callers."""

    def __init__(self, classes, slots, is_enabled):
        """Start without requests."""
        view = views.View(POOL, 1, (builders.member(OWN),))
        entries = [make_entry(n + 1, item) for n, item in enumerate(classes)]
        self.state = fakes.agent(
            OWN,
            entries[0],
            view,
            slots=slots,
            own_pool=POOL,
            requests=request_queue.RequestQueue(is_enabled),
        )
        self.state.set_catalogue(entries)
        self.numbers = {item.name: n + 1 for n, item in enumerate(classes)}
        self.slots = slots
        self.running = 0
        self.waiting = collections.deque()
        self.requests = {}
        self.events = []
        self.event_count = 0
        self.max_at_upstream = 0

    def add(self, at_ms, event):
        self.event_count += 1
        heapq.heappush(self.events, (at_ms, self.event_count, event))

    def run(self, arrivals, until_ms):
        """Play the arrivals and return the requests."""
        for arrival in arrivals:
            self.add(
                arrival.begin_ms, lambda now, a=arrival: self.open(a, now)
            )
        for at_ms in range(0, until_ms, TICK_MS):
            self.add(
                at_ms, lambda now: self.execute(core.on_tick(self.state, now))
            )
        while self.events and self.events[0][0] < until_ms:
            now, _, event = heapq.heappop(self.events)
            self.now = now
            event(now)
        return arrivals

    def segment(self, request, flags=ACK, seq=CALLER_ISN + 1, ack=501, size=0):
        return packets.Segment(request.key, flags, seq, ack, size, b'raw')

    def open(self, request, now):
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
        data.raw = b'data' + request.key
        self.forward(request, data, now)

    def forward(self, request, segment, now):
        number = self.numbers[request.request_class.name]
        forward = fakes.forward(OWN, segment)
        forward = dataclasses.replace(
            forward,
            service=number,
            bucket=hashing.bucket_of(segment.key, number),
            pool=POOL,
        )
        self.execute(core.on_forward(self.state, forward, segment, now))

    def execute(self, decided):
        for action in decided:
            match action:
                case actions.Deliver(raw=raw) if raw.startswith(b'data'):
                    self.arrive(self.requests[raw[4:]])

    def arrive(self, request):
        """Take a request at the upstream."""
        if self.running < self.slots:
            self.start(request)
        elif len(self.waiting) < UPSTREAM_QUEUE:
            self.waiting.append(request)
        else:
            request.is_refused = True
            self.add(self.now, lambda now: self.answer(request, now))
        at_upstream = self.running + len(self.waiting)
        self.max_at_upstream = max(self.max_at_upstream, at_upstream)

    def start(self, request):
        self.running += 1
        end_ms = self.now + max(1, round(request.work_ms))
        self.add(end_ms, lambda now: self.finish(request, now))

    def finish(self, request, now):
        self.running -= 1
        if self.waiting:
            self.start(self.waiting.popleft())
        self.answer(request, now)

    def answer(self, request, now):
        request.answered_ms = now
        reply = self.segment(request, seq=501, ack=1_001, size=600)
        self.execute(core.on_reply(self.state, reply, now))


def make_arrivals(classes, rate, seconds, seed, callers=20, aggressive=0.0):
    """Return arrivals with exponential pauses and work.

    ``rate`` is the number of requests a second by class. ``aggressive`` is the
    share of all requests that come from caller 0.
    """
    generator = random.Random(seed)
    arrivals = []
    for request_class in classes:
        at_s = 0.0
        while True:
            at_s += generator.expovariate(rate[request_class.name])
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
            make_key(index, request_class, caller, classes),
            request_class.work_ms * (0.5 + spread),
        )
        for index, (at_s, request_class, caller, spread) in enumerate(arrivals)
    ]


def make_key(index, request_class, caller, classes):
    number = classes.index(request_class) + 1
    return packets.make_key(
        packets.TCP,
        bytes((10, 9, 0, caller)),
        builders.SERVICE_ADDRESS,
        1_024 + index,
        builders.SERVICE_PORT + number,
    )


def share_in_time(requests):
    """Return the share of requests that were answered in time."""
    if not requests:
        return 1.0
    return sum(item.is_in_time() for item in requests) / len(requests)


def share_by_class(requests):
    """Return the share in time of each class, by its name."""
    by_class = collections.defaultdict(list)
    for request in requests:
        by_class[request.request_class.name].append(request)
    return {name: share_in_time(items) for name, items in by_class.items()}


def compare_callers(requests):
    """Return the share in time of the worst caller and of the median one."""
    by_caller = collections.defaultdict(list)
    for request in requests:
        by_caller[request.caller].append(request)
    shares = sorted(share_in_time(items) for items in by_caller.values())
    return shares[0], statistics.median(shares)
