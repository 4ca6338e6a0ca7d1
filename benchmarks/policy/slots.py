"""Measure the refusals and the waiting times of bookings that need a slot.

A booking is a flow that occupies one slot of an upstream from its start to its
end. Command: ``make bench-slots``. Arrivals form a Poisson process, and the
time in a slot is exponentially distributed. Each rule gets the same arrivals.
"""

import dataclasses
import heapq
import random
import typing

from benchmarks.policy import baselines
from benchmarks.policy import bucket_homes
from benchmarks import tables
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions import hashing
from gentianspoke.decisions import member_ranking
from gentianspoke.decisions import routing

SEED = 20_261_204
MEMBER_COUNT = 7
ENTRY_COUNT = 3
ARRIVAL_COUNT = 20_000
MEAN_WORK_MS = 50.0
MAX_WAIT_MS = 300
MAX_QUEUE_LENGTH = 64
EXCHANGE_INTERVAL_MS = 500
TICK_INTERVAL_MS = 50
LOAD_LEVELS = (0.5, 0.7, 0.85)
SLOTS_BY_USER = {'Aromas del Plata, 4 slots': 4, 'Tirnica, 1 slot': 1}


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Event:
    """An arrival, the end of a booking or a tick, sorted by time.

    ``sequence`` breaks ties between events at the same time.
    """

    time_ms: float
    sequence: int
    kind: str
    key: bytes = b''
    member_number: int = 0


@dataclasses.dataclass(slots=True)
class BookingResults:
    """Counts and waiting times of the bookings under one rule.

    ``running`` maps the number of each member to its bookings in slots.
    ``overloads`` counts the bookings that started while all slots of their
    member were occupied. ``waits_ms`` has one time for each booking that
    started.
    """

    refused: int = 0
    waits_ms: list[float] = dataclasses.field(default_factory=list)
    running: dict[int, int] = dataclasses.field(default_factory=dict)
    overloads: int = 0

    def compute_wait_percentile(self, share: float) -> float:
        """Return the wait (ms) that a share of the bookings did not exceed.

        ``share`` is between 0 and 1; only started bookings count.
        """
        ordered = sorted(self.waits_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class BookingRule(typing.Protocol):
    """A placement rule for bookings that need a slot; times are in ms."""

    name: str

    def add_booking(
        self, key: packets.FlowKey, now: int
    ) -> list[tuple[int, bytes]]:
        """Start, queue or refuse a booking; return the bookings that start.

        Each is a pair of the member's number and the key of the booking.
        """

    def finish_booking(
        self, key: packets.FlowKey, member_number: int, now: int
    ) -> list[tuple[int, bytes]]:
        """Free a booking's slot; return the bookings that start now."""

    def tick(self, now: int) -> int:
        """Advance the time to ``now``.

        Return how many bookings were refused since the last tick.
        """


class HashedCandidates:
    """A rule that hashes a booking to one or two candidate members.

    The candidates are the ``candidate_count`` members with the highest scores
    for the flow's bucket. A booking that finds no free slot waits in the
    queue of its member.
    """

    def __init__(
        self, name: str, slot_count: int, candidate_count: int
    ) -> None:
        """Create members whose slots are all free."""
        self.name = name
        self._slots_per_member = slot_count
        self._candidate_count = candidate_count
        member_numbers = set(range(1, MEMBER_COUNT + 1))
        self._ranking = member_ranking.Ranking(
            baselines.make_view(member_numbers, 1)
        )
        self._running = dict.fromkeys(member_numbers, 0)
        self._queues: dict[int, list[tuple[bytes, int]]] = {
            member_number: [] for member_number in member_numbers
        }

    def add_booking(
        self, key: packets.FlowKey, now: int
    ) -> list[tuple[int, bytes]]:
        """Start or queue a booking at the least loaded candidate."""
        bucket = hashing.bucket_of(key, 1)
        candidates = self._ranking.rank_members(bucket)[
            : self._candidate_count
        ]
        member_number = min(
            (item.number for item in candidates), key=self._count_bookings
        )
        if self._running[member_number] < self._slots_per_member:
            self._running[member_number] += 1
            return [(member_number, key)]
        self._queues[member_number].append((key, now))
        return []

    def finish_booking(
        self, key: packets.FlowKey, member_number: int, now: int
    ) -> list[tuple[int, bytes]]:
        """Free a slot for the oldest queued booking."""
        if self._queues[member_number]:
            queued_key, _ = self._queues[member_number].pop(0)
            return [(member_number, queued_key)]
        self._running[member_number] -= 1
        return []

    def tick(self, now: int) -> int:
        """Refuse the bookings that have waited ``MAX_WAIT_MS`` or longer."""
        refused = 0
        for member_number, queue in self._queues.items():
            remaining = [item for item in queue if now - item[1] < MAX_WAIT_MS]
            refused += len(queue) - len(remaining)
            self._queues[member_number] = remaining
        return refused

    def _count_bookings(self, member_number: int) -> int:
        return self._running[member_number] + len(self._queues[member_number])


class AgentRule(bucket_homes.BucketHomes):
    """The rule of gentianspoke for a service whose flows take slots."""

    def __init__(self, slot_count: int) -> None:
        """Create members whose slots are all free."""
        limits = services.Limits(
            connections=bucket_homes.MAX_CONNECTIONS,
            slots=slot_count,
            queue=MAX_QUEUE_LENGTH,
            wait_ms=MAX_WAIT_MS,
        )
        traffic = services.Booking(idempotent=False)
        super().__init__(
            MEMBER_COUNT, ENTRY_COUNT, 1_050, traffic, limits, slot_count
        )
        self.name = 'chosen rule'
        self._refused = 0
        self._last_exchange_ms = 0

    def add_booking(
        self, key: packets.FlowKey, now: int
    ) -> list[tuple[int, bytes]]:
        """Send the opening of a booking through the first entry."""
        # The simulation starts when the slow start of the members is over.
        self._now_ms = bucket_homes.SLOW_START_MS + now
        opening = packets.Segment(key, packets.SYN, 7, 0, 0, key)
        pending = [routing.route(self._route_tables[0], opening)]
        started: list[tuple[int, bytes]] = []
        for action in pending:
            match action:
                case actions.SendFrame(member=member, forward=forward):
                    state = self._agents[member.number]
                    results = core.on_forward(
                        state, forward, opening, self._now_ms
                    )
                    started += self._collect_started(member.number, results)
                    pending.extend(results)
        return started

    def finish_booking(
        self, key: packets.FlowKey, member_number: int, now: int
    ) -> list[tuple[int, bytes]]:
        """Close a booking by a reset from its upstream."""
        self._now_ms = bucket_homes.SLOW_START_MS + now
        flags = packets.RST | packets.ACK
        reset = packets.Segment(key, flags, 9, 9, 0, b'reset')
        results = core.on_reply(
            self._agents[member_number], reset, self._now_ms
        )
        return self._collect_started(member_number, results)

    def tick(self, now: int) -> int:
        """Tick the agents; exchange reports every ``EXCHANGE_INTERVAL_MS``."""
        self._now_ms = bucket_homes.SLOW_START_MS + now
        for state in self._agents.values():
            self._collect_started(
                state.number, core.on_tick(state, self._now_ms)
            )
        if now - self._last_exchange_ms >= EXCHANGE_INTERVAL_MS:
            self._last_exchange_ms = now
            self._exchange_reports()
        refused, self._refused = self._refused, 0
        return refused

    def _collect_started(
        self, member_number: int, results: list[actions.Action]
    ) -> list[tuple[int, bytes]]:
        """Return the bookings that started, and add up the refused ones."""
        started: list[tuple[int, bytes]] = []
        for action in results:
            match action:
                case actions.Deliver(raw=raw):
                    started.append((member_number, raw))
                case actions.Refuse() | actions.Drop(reason='awaiting-lease'):
                    self._refused += 1
        return started


def simulate_bookings(
    rule: BookingRule, slot_count: int, load: float
) -> BookingResults:
    """Simulate ``ARRIVAL_COUNT`` bookings under a rule, return the results.

    Each member has ``slot_count`` slots. ``load`` is the mean share of all
    slots that the bookings would occupy if none were refused.
    """
    rng = random.Random(SEED)
    arrivals_per_ms = MEMBER_COUNT * slot_count * load / MEAN_WORK_MS
    results = BookingResults(
        running=dict.fromkeys(range(1, MEMBER_COUNT + 1), 0)
    )
    arrival_times_ms: dict[bytes, float] = {}
    events = [Event(0.0, 0, 'tick')]
    time_ms = 0.0
    for number in range(1, ARRIVAL_COUNT + 1):
        time_ms += rng.expovariate(arrivals_per_ms)
        caller = number.to_bytes(4, 'big')
        address = bytes((10, 1, 0, 1))
        key = packets.make_key(packets.TCP, caller, address, 9, 443)
        heapq.heappush(events, Event(time_ms, number, 'arrival', key))
    last_tick_ms = time_ms + MAX_WAIT_MS
    sequence = ARRIVAL_COUNT
    while events:
        event = heapq.heappop(events)
        sequence += 1
        started: list[tuple[int, bytes]] = []
        now = int(event.time_ms)
        key = packets.FlowKey(event.key)
        match event.kind:
            case 'arrival':
                arrival_times_ms[event.key] = event.time_ms
                started = rule.add_booking(key, now)
            case 'end':
                results.running[event.member_number] -= 1
                started = rule.finish_booking(key, event.member_number, now)
            case 'tick' if event.time_ms <= last_tick_ms:
                results.refused += rule.tick(now)
                next_tick = Event(
                    event.time_ms + TICK_INTERVAL_MS, sequence, 'tick'
                )
                heapq.heappush(events, next_tick)
        for member_number, raw in started:
            results.waits_ms.append(event.time_ms - arrival_times_ms[raw])
            results.running[member_number] += 1
            results.overloads += results.running[member_number] > slot_count
            end_ms = event.time_ms + rng.expovariate(1 / MEAN_WORK_MS)
            heapq.heappush(
                events, Event(end_ms, sequence, 'end', raw, member_number)
            )
    return results


def main() -> None:
    """Write and print a table of refusals and waits for both users."""
    rows: list[list[str]] = []
    for user, slot_count in SLOTS_BY_USER.items():
        for load in LOAD_LEVELS:
            rules: list[BookingRule] = [
                HashedCandidates('plain hash', slot_count, 1),
                HashedCandidates(
                    'two-choice pairs, fresh counts', slot_count, 2
                ),
                AgentRule(slot_count),
            ]
            for rule in rules:
                results = simulate_bookings(rule, slot_count, load)
                rows.append(
                    [
                        user,
                        f'{load:.0%}',
                        rule.name,
                        f'{results.refused / ARRIVAL_COUNT:.2%}',
                        f'{sum(results.waits_ms) / len(results.waits_ms):.1f}',
                        f'{results.compute_wait_percentile(0.99):.0f}',
                        str(results.overloads),
                    ]
                )
    tables.write(
        'slots',
        'Bookings under slot limits',
        f'make bench-slots`, seed `{SEED}',
        [
            'user',
            'load',
            'rule',
            'refused',
            'mean wait ms',
            '99% wait ms',
            'starts above the slots',
        ],
        rows,
    )


if __name__ == '__main__':
    main()
