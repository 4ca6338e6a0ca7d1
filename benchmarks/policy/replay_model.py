"""The parts of a replay: services, members, upstreams, flows and results."""

import collections
import dataclasses
import math

from benchmarks.policy import patterns
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import own_pools

POOL = 7
OWN_POOL = own_pools.NamedPool('pool', POOL)
LONG, SHORT = 1, 2
ADDRESSES = {LONG: bytes((10, 1, 0, 1)), SHORT: bytes((10, 1, 0, 2))}
PORT = 443
LONG_BOUND_PERMILLE = 1_100
SHORT_BOUND_PERMILLE = 100_000
# The part of the objective for which an opening may wait.
WAIT_DIVISOR = 4
CALLERS_PER_ADDRESS = 1 << 14
FIRST_PORT = 1_024
FIRST_SEQ = 8


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's flow with the work of the requests that it still sends."""

    key: packets.FlowKey
    service: int
    work_ms: list[float]
    owner: int = 0
    seq: int = FIRST_SEQ
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
    """What the callers and the upstreams saw after the warm-up.

    ``late`` answers took longer than the objective, and ``full`` ones said
    that the upstream's queue was full. ``max_over_mean`` is of the requests at
    an upstream for its speed, ``flows_over_mean`` of its open flows for its
    speed. ``share_changes`` is by how much the shares of the open flows
    changed in a second, relative to the mean share.
    """

    answers_ms: list[float] = dataclasses.field(default_factory=list)
    waiting_ms: list[float] = dataclasses.field(default_factory=list)
    max_over_mean: list[float] = dataclasses.field(default_factory=list)
    flows_over_mean: list[float] = dataclasses.field(default_factory=list)
    share_changes: list[float] = dataclasses.field(default_factory=list)
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


def make_key(number: int, service: int) -> packets.FlowKey:
    """Return the key of a caller's flow with the given number."""
    block = number // CALLERS_PER_ADDRESS
    caller = bytes((10, 9)) + block.to_bytes(2, 'big')
    port = FIRST_PORT + number % CALLERS_PER_ADDRESS
    return packets.make_key(
        packets.TCP, caller, ADDRESSES[service], port, PORT
    )


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
    wait_ms = pattern.objective_ms // WAIT_DIVISOR
    return [
        services.Service(
            number=number,
            name=f'service-{number}',
            owner='',
            address=ADDRESSES[number],
            ports=(PORT,),
            protocol=packets.TCP,
            traffic=traffic,
            limits=services.Limits(wait_ms=wait_ms, bound_permille=bound),
            version=1,
            shares=(services.Share(POOL, 1, 'pool'),),
            handshake=True,
            priority=priority,
        )
        for number, traffic, bound, priority in (
            (LONG, services.Board(), LONG_BOUND_PERMILLE, 0),
            (SHORT, services.Booking(False), SHORT_BOUND_PERMILLE, 1),
        )
    ]


def compute_max_over_mean(values: list[float]) -> float:
    """Return the largest value divided by the mean, 0 if all are 0."""
    return max(values) * len(values) / (sum(values) or 1.0)


def make_member(number: int, zones: int) -> views.Member:
    """Return a live member; the zones take turns."""
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
