"""Scenarios that a placement rule is measured under, and their run.

A run first opens the wanted number of flows. After that, each step closes some
flows and opens as many. After some steps the scenario's changes happen, and
only one entry learns of them; some steps later all entries do. Just before
that, and at the end of the run, each open flow sends one packet, which shows
whether it still reaches its member.
"""

import dataclasses
import random

from benchmarks.policy import placement_rules
from gentianspoke.core import packets

STEP_MS = 500
NEW_FLOWS_PER_STEP = 100
FILL_FLOWS_PER_STEP = 400
STEPS_BEFORE = 20
STEPS_WITH_MIXED_VIEWS = 4
STEPS_AFTER = 40
# A caller's TCP retransmits an unanswered segment, which may reach any entry.
MAX_SEND_ATTEMPTS = 15
ADDRESS = bytes((10, 1, 0, 1))
PORT = 443


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Changes that all happen at one moment after the flows are opened."""

    name: str
    changes: tuple[placement_rules.Change, ...]


@dataclasses.dataclass(slots=True)
class Figures:
    """The figures of one run of one rule.

    ``hops`` is the sum over the ``delivered`` later packets. ``imbalance``
    holds the greatest load divided by the mean load of each step.
    """

    opened: int = 0
    diverted: int = 0
    refused: int = 0
    broken: int = 0
    lost_with_upstream: int = 0
    hops: int = 0
    delivered: int = 0
    imbalance: list[float] = dataclasses.field(default_factory=list)

    def mean_imbalance(self) -> float:
        """Return the mean over all steps of the greatest load over the mean.

        The result is 1 for equal loads.
        """
        return sum(self.imbalance) / max(1, len(self.imbalance))

    def mean_hops(self) -> float:
        """Return the mean number of hops of later packets after the entry."""
        return self.hops / max(1, self.delivered)


def scenarios(members: int) -> list[Scenario]:
    """Return the scenarios for a service with the members 1 to ``members``."""
    joiner = members + 1
    return [
        Scenario('steady', ()),
        Scenario('drain', (placement_rules.Drain(1),)),
        Scenario('crash', (placement_rules.Crash(1),)),
        Scenario('join, cold', (placement_rules.Join(joiner),)),
        Scenario(
            'lying reports',
            (
                placement_rules.FalseReport(1, 0),
                placement_rules.FalseReport(2, 10**6),
            ),
        ),
        Scenario(
            'drain + join',
            (placement_rules.Drain(1), placement_rules.Join(joiner)),
        ),
        Scenario(
            'crash + drain',
            (placement_rules.Crash(1), placement_rules.Drain(2)),
        ),
    ]


class Run:
    """A run of one rule under one scenario, with its open flows."""

    def __init__(
        self,
        rule: placement_rules.PlacementRule,
        entries: int,
        flows: int,
        seed: int,
    ) -> None:
        """Create a run without flows, to be filled up to ``flows``."""
        self._rule = rule
        self._entries = entries
        self._flows = flows
        self._rng = random.Random(seed)
        self._open: dict[packets.FlowKey, int] = {}
        self._keys: list[packets.FlowKey] = []
        self._last_flow_number = 0
        self.figures = Figures()

    def run(self, scenario: Scenario) -> Figures:
        """Run the scenario and return its figures."""
        while len(self._open) < self._flows:
            self._open_flows(FILL_FLOWS_PER_STEP)
            self._rule.advance_time(STEP_MS)
        self.figures.opened = 0
        diverted_while_filling = self._rule.count_diverted_flows()
        self._churn(STEPS_BEFORE)
        for change in scenario.changes:
            self._apply(change)
        self._churn(STEPS_WITH_MIXED_VIEWS)
        self._deliver_to_all_flows()
        self._rule.update_all_entries()
        self._churn(STEPS_AFTER)
        self._deliver_to_all_flows()
        self.figures.diverted = (
            self._rule.count_diverted_flows() - diverted_while_filling
        )
        return self.figures

    def _apply(self, change: placement_rules.Change) -> None:
        match change:
            case placement_rules.Crash(member=member):
                lost = [
                    key for key, owner in self._open.items() if owner == member
                ]
                for key in lost:
                    del self._open[key]
                self.figures.lost_with_upstream += len(lost)
        self._rule.apply_change(change)

    def _churn(self, steps: int) -> None:
        for _ in range(steps):
            self._close_flows(NEW_FLOWS_PER_STEP)
            self._open_flows(NEW_FLOWS_PER_STEP)
            self._rule.advance_time(STEP_MS)
            loads = self._rule.measure_live_loads().values()
            mean = sum(loads) / len(loads)
            self.figures.imbalance.append(max(loads) / mean)

    def _open_flows(self, count: int) -> None:
        for _ in range(count):
            self._last_flow_number += 1
            caller = self._last_flow_number.to_bytes(4, 'big')
            key = packets.make_key(packets.TCP, caller, ADDRESS, 9_999, PORT)
            owner = self._send_opening(key)
            self.figures.opened += 1
            if owner:
                self._open[key] = owner
                self._keys.append(key)
            else:
                self.figures.refused += 1

    def _send_opening(self, key: packets.FlowKey) -> int:
        for _ in range(MAX_SEND_ATTEMPTS):
            owner = self._rule.open_flow(key, self._random_entry())
            if owner:
                return owner
        return 0

    def _send_later_packet(self, key: packets.FlowKey) -> tuple[int, int]:
        for _ in range(MAX_SEND_ATTEMPTS):
            member, hops = self._rule.send_later_packet(
                key, self._random_entry()
            )
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
                self._rule.close_flow(key, self._random_entry())
                closed += 1

    def _deliver_to_all_flows(self) -> None:
        broken: list[packets.FlowKey] = []
        for key, owner in self._open.items():
            member, hops = self._send_later_packet(key)
            self.figures.delivered += 1
            self.figures.hops += hops
            if member != owner:
                broken.append(key)
        self.figures.broken += len(broken)
        for key in broken:
            del self._open[key]

    def _random_entry(self) -> int:
        return self._rng.randrange(self._entries)
