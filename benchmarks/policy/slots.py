"""Measure refusals and waits of bookings that each need a slot.

Command: ``make bench-slots``. Arrivals form a Poisson process, and the time
in a slot is exponentially distributed. Each rule gets the same arrivals.
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
from gentianspoke.decisions import routing

SEED = 20_261_204
MEMBERS = 7
ENTRIES = 3
ARRIVALS = 20_000
MEAN_WORK_MS = 50.0
MAX_WAIT_MS = 300
QUEUE_SIZE = 64
EXCHANGE_INTERVAL_MS = 500
TICK_INTERVAL_MS = 50
LOADS = (0.5, 0.7, 0.85)
SLOTS_BY_USER = {'Aromas del Plata, 4 slots': 4, 'Tirnica, 1 slot': 1}


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Event:
    """An arrival, the end of a booking or a tick, sorted by time.

    ``order`` breaks ties between events at the same time.
    """

    time_ms: float
    order: int
    kind: str
    key: bytes = b''
    member: int = 0


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts and waiting times of the bookings under one rule.

    ``running`` counts the bookings in the slots of each member; ``overloads``
    counts the bookings that started while all slots of their member were
    taken.
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


class Rule(typing.Protocol):
    """A placement rule for bookings that need a slot; times are in ms."""

    name: str

    def add_booking(
        self, key: packets.FlowKey, now: int
    ) -> list[tuple[int, bytes]]:
        """Accept a booking; return the bookings that start now.

        Each is a pair of the member and the key of the booking.
        """

    def finish_booking(
        self, key: packets.FlowKey, member: int, now: int
    ) -> list[tuple[int, bytes]]:
        """Free the booking's slot; return the bookings that start now."""

    def tick(self, now: int) -> int:
        """Advance the time to ``now``.

        Return how many bookings were refused since the last tick.
        """


class HashedCandidates:
    """A rule that hashes a booking to one or two candidate members.

    The candidates are the first ``choices`` members of the flow's bucket.
    Bookings without a free slot wait in a queue at the member's upstream.
    """

    def __init__(self, name: str, slots: int, choices: int) -> None:
        """Create members whose slots are all free."""
        self.name = name
        self._slots = slots
        self._choices = choices
        members = set(range(1, MEMBERS + 1))
        self._ranking = hashing.Ranking(baselines.make_view(members, 1))
        self._running = dict.fromkeys(members, 0)
        self._queues: dict[int, list[tuple[bytes, int]]] = {
            member: [] for member in members
        }

    def add_booking(
        self, key: packets.FlowKey, now: int
    ) -> list[tuple[int, bytes]]:
        """Start or queue a booking at the least loaded candidate."""
        bucket = hashing.bucket_of(key, 1)
        order = self._ranking.rank_members(bucket)[: self._choices]
        member = min((item.number for item in order), key=self._count_bookings)
        if self._running[member] < self._slots:
            self._running[member] += 1
            return [(member, key)]
        self._queues[member].append((key, now))
        return []

    def finish_booking(
        self, key: packets.FlowKey, member: int, now: int
    ) -> list[tuple[int, bytes]]:
        """Free a slot for the oldest queued booking."""
        if self._queues[member]:
            queued, _ = self._queues[member].pop(0)
            return [(member, queued)]
        self._running[member] -= 1
        return []

    def tick(self, now: int) -> int:
        """Refuse the bookings that have waited ``MAX_WAIT_MS`` or longer."""
        refused = 0
        for member, queue in self._queues.items():
            kept = [item for item in queue if now - item[1] < MAX_WAIT_MS]
            refused += len(queue) - len(kept)
            self._queues[member] = kept
        return refused

    def _count_bookings(self, member: int) -> int:
        return self._running[member] + len(self._queues[member])


class AgentRule(bucket_homes.BucketHomes):
    """The rule of gentianspoke for a service whose flows take slots."""

    def __init__(self, slots: int) -> None:
        """Create members whose slots are all free."""
        limits = services.Limits(
            connections=bucket_homes.CONNECTIONS,
            slots=slots,
            queue=QUEUE_SIZE,
            wait_ms=MAX_WAIT_MS,
        )
        traffic = services.Booking(idempotent=False)
        super().__init__(MEMBERS, ENTRIES, 1_050, traffic, limits, slots)
        self.name = 'chosen rule'
        self._refused = 0
        self._exchanged_ms = 0

    def add_booking(
        self, key: packets.FlowKey, now: int
    ) -> list[tuple[int, bytes]]:
        """Send the opening of a booking through the first entry."""
        # The simulation starts when the slow start of the members is over.
        self._now_ms = bucket_homes.RAMP_MS + now
        opening = packets.Segment(key, packets.SYN, 7, 0, 0, key)
        pending = [routing.route(self._tables[0], opening)]
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
        self, key: packets.FlowKey, member: int, now: int
    ) -> list[tuple[int, bytes]]:
        """Close a booking by a reset from its upstream."""
        self._now_ms = bucket_homes.RAMP_MS + now
        flags = packets.RST | packets.ACK
        reset = packets.Segment(key, flags, 9, 9, 0, b'reset')
        results = core.on_reply(self._agents[member], reset, self._now_ms)
        return self._collect_started(member, results)

    def tick(self, now: int) -> int:
        """Tick the agents; exchange reports every ``EXCHANGE_INTERVAL_MS``."""
        self._now_ms = bucket_homes.RAMP_MS + now
        for state in self._agents.values():
            self._collect_started(
                state.number, core.on_tick(state, self._now_ms)
            )
        if now - self._exchanged_ms >= EXCHANGE_INTERVAL_MS:
            self._exchanged_ms = now
            self._exchange_reports()
        refused, self._refused = self._refused, 0
        return refused

    def _collect_started(
        self, member: int, results: list[actions.Action]
    ) -> list[tuple[int, bytes]]:
        """Return the bookings that started, and add up the refused ones."""
        started: list[tuple[int, bytes]] = []
        for action in results:
            match action:
                case actions.Deliver(raw=raw):
                    started.append((member, raw))
                case actions.Refuse() | actions.Drop(reason='awaiting-lease'):
                    self._refused += 1
        return started


def simulate_bookings(rule: Rule, slots: int, load: float) -> Tally:
    """Simulate ``ARRIVALS`` bookings under a rule and return the tally.

    ``load`` is the mean share of all slots that the arrivals would fill.
    """
    rng = random.Random(SEED)
    arrivals_per_ms = MEMBERS * slots * load / MEAN_WORK_MS
    tally = Tally(running=dict.fromkeys(range(1, MEMBERS + 1), 0))
    arrival_times_ms: dict[bytes, float] = {}
    events = [Event(0.0, 0, 'tick')]
    time_ms = 0.0
    for number in range(1, ARRIVALS + 1):
        time_ms += rng.expovariate(arrivals_per_ms)
        caller = number.to_bytes(4, 'big')
        address = bytes((10, 1, 0, 1))
        key = packets.make_key(packets.TCP, caller, address, 9, 443)
        heapq.heappush(events, Event(time_ms, number, 'arrival', key))
    last_tick_ms = time_ms + MAX_WAIT_MS
    order = ARRIVALS
    while events:
        event = heapq.heappop(events)
        order += 1
        started: list[tuple[int, bytes]] = []
        now = int(event.time_ms)
        key = packets.FlowKey(event.key)
        match event.kind:
            case 'arrival':
                arrival_times_ms[event.key] = event.time_ms
                started = rule.add_booking(key, now)
            case 'end':
                tally.running[event.member] -= 1
                started = rule.finish_booking(key, event.member, now)
            case 'tick' if event.time_ms <= last_tick_ms:
                tally.refused += rule.tick(now)
                next_tick = Event(
                    event.time_ms + TICK_INTERVAL_MS, order, 'tick'
                )
                heapq.heappush(events, next_tick)
        for member, raw in started:
            tally.waits_ms.append(event.time_ms - arrival_times_ms[raw])
            tally.running[member] += 1
            tally.overloads += tally.running[member] > slots
            end_ms = event.time_ms + rng.expovariate(1 / MEAN_WORK_MS)
            heapq.heappush(events, Event(end_ms, order, 'end', raw, member))
    return tally


def main() -> None:
    """Write and print a table of refusals and waits for both users."""
    rows: list[list[str]] = []
    for user, slots in SLOTS_BY_USER.items():
        for load in LOADS:
            rules: list[Rule] = [
                HashedCandidates('plain hash', slots, 1),
                HashedCandidates('two-choice pairs, fresh counts', slots, 2),
                AgentRule(slots),
            ]
            for rule in rules:
                tally = simulate_bookings(rule, slots, load)
                rows.append(
                    [
                        user,
                        f'{load:.0%}',
                        rule.name,
                        f'{tally.refused / ARRIVALS:.2%}',
                        f'{sum(tally.waits_ms) / len(tally.waits_ms):.1f}',
                        f'{tally.compute_wait_percentile(0.99):.0f}',
                        str(tally.overloads),
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
