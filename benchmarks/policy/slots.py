"""Bookings that need a slot: refusals and waits under random arrivals.

Command: ``make bench-slots``. Arrivals are Poisson, the time in a slot is
exponential. Each rule sees the same arrivals.
"""

import dataclasses
import heapq
import random
import typing

from benchmarks.policy import baselines
from benchmarks.policy import chosen
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
WORK_MS = 50.0
WAIT_MS = 300
QUEUE = 64
EXCHANGE_MS = 500
TICK_MS = 50
LOADS = (0.5, 0.7, 0.85)
USERS = {'Aromas del Plata, 4 slots': 4, 'Tirnica, 1 slot': 1}


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Event:
    """An arrival, the end of a booking, or a tick, in time order."""

    time_ms: float
    order: int
    kind: str
    key: bytes = b''
    member: int = 0


@dataclasses.dataclass(slots=True)
class Tally:
    """What the bookings of one rule met with."""

    refused: int = 0
    waits_ms: list[float] = dataclasses.field(default_factory=list)
    running: dict[int, int] = dataclasses.field(default_factory=dict)
    overloads: int = 0

    def percentile(self, share: float) -> float:
        """Return the wait that a share of the bookings did not exceed."""
        ordered = sorted(self.waits_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Rule(typing.Protocol):
    """A placement rule for work that needs a slot."""

    name: str

    def arrive(
        self, key: packets.FlowKey, now: int
    ) -> list[tuple[int, bytes]]:
        """Return the bookings that start now, as member and key."""

    def finish(
        self, key: packets.FlowKey, member: int, now: int
    ) -> list[tuple[int, bytes]]:
        """Free a slot; return the bookings that start now."""

    def tick(self, now: int) -> int:
        """Let time pass; return how many bookings were refused."""


class Direct:
    """One or two hashed candidates, each with a queue at the upstream."""

    def __init__(self, name: str, slots: int, choices: int) -> None:
        """Begin with idle upstreams."""
        self.name = name
        self._slots = slots
        self._choices = choices
        members = set(range(1, MEMBERS + 1))
        self._ranking = hashing.Ranking(baselines.view_of(members, 1))
        self._running = dict.fromkeys(members, 0)
        self._queues: dict[int, list[tuple[bytes, int]]] = {
            member: [] for member in members
        }

    def arrive(
        self, key: packets.FlowKey, now: int
    ) -> list[tuple[int, bytes]]:
        """Start or queue a booking at the least loaded candidate."""
        bucket = hashing.bucket_of(key, 1)
        order = self._ranking.order(bucket)[: self._choices]
        member = min((item.number for item in order), key=self._load)
        if self._running[member] < self._slots:
            self._running[member] += 1
            return [(member, key)]
        self._queues[member].append((key, now))
        return []

    def finish(
        self, key: packets.FlowKey, member: int, now: int
    ) -> list[tuple[int, bytes]]:
        """Free a slot for the oldest queued booking."""
        if self._queues[member]:
            queued, _ = self._queues[member].pop(0)
            return [(member, queued)]
        self._running[member] -= 1
        return []

    def tick(self, now: int) -> int:
        """Refuse the bookings that waited too long."""
        refused = 0
        for member, queue in self._queues.items():
            kept = [item for item in queue if now - item[1] < WAIT_MS]
            refused += len(queue) - len(kept)
            self._queues[member] = kept
        return refused

    def _load(self, member: int) -> int:
        return self._running[member] + len(self._queues[member])


class Agents(chosen.Chosen):
    """The chosen rule with a service whose flows take slots."""

    def __init__(self, slots: int) -> None:
        """Begin with idle upstreams."""
        limits = services.Limits(
            connections=chosen.CONNECTIONS,
            slots=slots,
            queue=QUEUE,
            wait_ms=WAIT_MS,
        )
        traffic = services.Booking(idempotent=False)
        super().__init__(MEMBERS, ENTRIES, 1_050, traffic, limits, slots)
        self.name = 'chosen rule'
        self._refused = 0
        self._ticked = 0

    def arrive(
        self, key: packets.FlowKey, now: int
    ) -> list[tuple[int, bytes]]:
        """Send the opening of a booking through an entry."""
        self._now = chosen.RAMP_MS + now
        opening = packets.Segment(key, packets.SYN, 7, 0, 0, key)
        pending = [routing.route(self._tables[0], opening)]
        started: list[tuple[int, bytes]] = []
        for action in pending:
            match action:
                case actions.SendFrame(member=member, forward=forward):
                    state = self._agents[member.number]
                    found = core.on_forward(state, forward, opening, self._now)
                    started += self._starts(member.number, found)
                    pending.extend(found)
        return started

    def finish(
        self, key: packets.FlowKey, member: int, now: int
    ) -> list[tuple[int, bytes]]:
        """Close a booking from both sides."""
        self._now = chosen.RAMP_MS + now
        flags = packets.RST | packets.ACK
        reset = packets.Segment(key, flags, 9, 9, 0, b'reset')
        found = core.on_reply(self._agents[member], reset, self._now)
        return self._starts(member, found)

    def tick(self, now: int) -> int:
        """Tick the agents, and exchange reports twice a second."""
        self._now = chosen.RAMP_MS + now
        for state in self._agents.values():
            self._starts(state.number, core.on_tick(state, self._now))
        if now - self._ticked >= EXCHANGE_MS:
            self._ticked = now
            self._exchange()
        refused, self._refused = self._refused, 0
        return refused

    def _starts(
        self, member: int, found: list[actions.Action]
    ) -> list[tuple[int, bytes]]:
        started: list[tuple[int, bytes]] = []
        for action in found:
            match action:
                case actions.Deliver(raw=raw):
                    started.append((member, raw))
                case actions.Refuse() | actions.Drop(reason='awaiting-lease'):
                    self._refused += 1
        return started


def measure(rule: Rule, slots: int, load: float) -> Tally:
    """Return what the bookings met with at a share of all slots."""
    rng = random.Random(SEED)
    rate = MEMBERS * slots * load / WORK_MS
    tally = Tally(running=dict.fromkeys(range(1, MEMBERS + 1), 0))
    arrived: dict[bytes, float] = {}
    events = [Event(0.0, 0, 'tick')]
    time_ms = 0.0
    for number in range(1, ARRIVALS + 1):
        time_ms += rng.expovariate(rate)
        caller = number.to_bytes(4, 'big')
        address = bytes((10, 1, 0, 1))
        key = packets.make_key(packets.TCP, caller, address, 9, 443)
        heapq.heappush(events, Event(time_ms, number, 'arrival', key))
    last_ms = time_ms + WAIT_MS
    order = ARRIVALS
    while events:
        event = heapq.heappop(events)
        order += 1
        started: list[tuple[int, bytes]] = []
        now = int(event.time_ms)
        key = packets.FlowKey(event.key)
        match event.kind:
            case 'arrival':
                arrived[event.key] = event.time_ms
                started = rule.arrive(key, now)
            case 'end':
                tally.running[event.member] -= 1
                started = rule.finish(key, event.member, now)
            case 'tick' if event.time_ms <= last_ms:
                tally.refused += rule.tick(now)
                following = Event(event.time_ms + TICK_MS, order, 'tick')
                heapq.heappush(events, following)
        for member, raw in started:
            tally.waits_ms.append(event.time_ms - arrived[raw])
            tally.running[member] += 1
            tally.overloads += tally.running[member] > slots
            end_ms = event.time_ms + rng.expovariate(1 / WORK_MS)
            heapq.heappush(events, Event(end_ms, order, 'end', raw, member))
    return tally


def main() -> None:
    """Print refusals and waits for both users' slots."""
    rows: list[list[str]] = []
    for user, slots in USERS.items():
        for load in LOADS:
            rules: list[Rule] = [
                Direct('plain hash', slots, 1),
                Direct('two-choice pairs, fresh counts', slots, 2),
                Agents(slots),
            ]
            for rule in rules:
                tally = measure(rule, slots, load)
                rows.append(
                    [
                        user,
                        f'{load:.0%}',
                        rule.name,
                        f'{tally.refused / ARRIVALS:.2%}',
                        f'{sum(tally.waits_ms) / len(tally.waits_ms):.1f}',
                        f'{tally.percentile(0.99):.0f}',
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
