"""Scenarios: fill, churn, a change seen unevenly, churn, and a census."""

import dataclasses
import random

from benchmarks.policy import schemes
from gentianspoke.core import packets

STEP_MS = 500
NEW_FLOWS_A_STEP = 100
FILL_A_STEP = 400
STEPS_BEFORE = 20
STEPS_UNEVEN = 4
STEPS_AFTER = 40
# A caller's TCP sends again, through any entry, what was not answered.
TRIES = 15
ADDRESS = bytes((10, 1, 0, 1))
PORT = 443


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Changes that come together after the fill."""

    name: str
    changes: tuple[schemes.Change, ...]


@dataclasses.dataclass(slots=True)
class Figures:
    """What one run of one scheme gave."""

    opened: int = 0
    diverted: int = 0
    refused: int = 0
    broken: int = 0
    lost_with_upstream: int = 0
    hops: int = 0
    delivered: int = 0
    imbalance: list[float] = dataclasses.field(default_factory=list)

    def mean_imbalance(self) -> float:
        """Return the mean over time of the greatest load over the mean."""
        return sum(self.imbalance) / max(1, len(self.imbalance))

    def mean_hops(self) -> float:
        """Return the mean hops of later packets after the entry."""
        return self.hops / max(1, self.delivered)


def scenarios(members: int) -> list[Scenario]:
    """Return the scenarios for a service with so many members."""
    joiner = members + 1
    return [
        Scenario('steady', ()),
        Scenario('drain', (schemes.Drain(1),)),
        Scenario('crash', (schemes.Crash(1),)),
        Scenario('join, cold', (schemes.Join(joiner),)),
        Scenario('lying reports', (schemes.Lie(1, 0), schemes.Lie(2, 10**6))),
        Scenario('drain + join', (schemes.Drain(1), schemes.Join(joiner))),
        Scenario('crash + drain', (schemes.Crash(1), schemes.Drain(2))),
    ]


class Run:
    """One scheme under one scenario."""

    def __init__(
        self, scheme: schemes.Scheme, entries: int, flows: int, seed: int
    ) -> None:
        """Begin without a flow."""
        self._scheme = scheme
        self._entries = entries
        self._flows = flows
        self._rng = random.Random(seed)
        self._open: dict[packets.FlowKey, int] = {}
        self._keys: list[packets.FlowKey] = []
        self._next = 0
        self.figures = Figures()

    def run(self, scenario: Scenario) -> Figures:
        """Run the scenario and return its figures."""
        while len(self._open) < self._flows:
            self._open_flows(FILL_A_STEP)
            self._scheme.step(STEP_MS)
        self.figures.opened = 0
        filled = self._scheme.diverted()
        self._churn(STEPS_BEFORE)
        for change in scenario.changes:
            self._apply(change)
        self._churn(STEPS_UNEVEN)
        self._census()
        self._scheme.settle()
        self._churn(STEPS_AFTER)
        self._census()
        self.figures.diverted = self._scheme.diverted() - filled
        return self.figures

    def _apply(self, change: schemes.Change) -> None:
        match change:
            case schemes.Crash(member=member):
                lost = [
                    key for key, owner in self._open.items() if owner == member
                ]
                for key in lost:
                    del self._open[key]
                self.figures.lost_with_upstream += len(lost)
        self._scheme.change(change)

    def _churn(self, steps: int) -> None:
        for _ in range(steps):
            self._close_flows(NEW_FLOWS_A_STEP)
            self._open_flows(NEW_FLOWS_A_STEP)
            self._scheme.step(STEP_MS)
            loads = self._scheme.live_loads().values()
            mean = sum(loads) / len(loads)
            self.figures.imbalance.append(max(loads) / mean)

    def _open_flows(self, count: int) -> None:
        for _ in range(count):
            self._next += 1
            caller = self._next.to_bytes(4, 'big')
            key = packets.make_key(packets.TCP, caller, ADDRESS, 9_999, PORT)
            owner = self._send_opening(key)
            self.figures.opened += 1
            if owner:
                self._open[key] = owner
                self._keys.append(key)
            else:
                self.figures.refused += 1

    def _send_opening(self, key: packets.FlowKey) -> int:
        for _ in range(TRIES):
            owner = self._scheme.open(key, self._entry())
            if owner:
                return owner
        return 0

    def _send_later(self, key: packets.FlowKey) -> tuple[int, int]:
        for _ in range(TRIES):
            member, hops = self._scheme.deliver(key, self._entry())
            if member:
                return member, hops
        return 0, 0

    def _close_flows(self, count: int) -> None:
        closed = 0
        while closed < count and self._keys:
            position = self._rng.randrange(len(self._keys))
            self._keys[position], self._keys[-1] = (
                self._keys[-1],
                self._keys[position],
            )
            key = self._keys.pop()
            if key in self._open:
                del self._open[key]
                self._scheme.close(key, self._entry())
                closed += 1

    def _census(self) -> None:
        broken: list[packets.FlowKey] = []
        for key, owner in self._open.items():
            member, hops = self._send_later(key)
            self.figures.delivered += 1
            self.figures.hops += hops
            if member != owner:
                broken.append(key)
        self.figures.broken += len(broken)
        for key in broken:
            del self._open[key]

    def _entry(self) -> int:
        return self._rng.randrange(self._entries)
