"""Scenarios that a placement rule is measured under, and the run of one.

A run first opens the wanted number of flows. After that, each step closes some
flows and opens as many. After some steps the scenario's changes happen, and
only one entry learns of them; some steps later all entries do. Just before all
entries learn of them, and at the end of the run, each open flow sends one
packet, which shows whether the flow still reaches its member.
"""

import dataclasses
import random

from benchmarks.policy import placement_rules
from gentianspoke.core import packets

STEP_MS = 500
NEW_FLOWS_PER_STEP = 100
FILL_FLOWS_PER_STEP = 400
STEPS_BEFORE_CHANGES = 20
STEPS_WITH_MIXED_VIEWS = 4
STEPS_AFTER_UPDATE = 40
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

    ``opened`` counts the flows whose opening was sent, and ``refused`` those
    of them that no member accepted. ``diverted`` counts the flows that were
    placed at another member than the home of their bucket. Flows are
    ``broken`` if a later packet did not reach their member, and
    ``lost_with_upstream`` if their member crashed. ``hops`` is the sum of the
    hops of all ``later_packets``. ``imbalances`` holds the greatest load
    divided by the mean load of each step.
    """

    opened: int = 0
    diverted: int = 0
    refused: int = 0
    broken: int = 0
    lost_with_upstream: int = 0
    hops: int = 0
    later_packets: int = 0
    imbalances: list[float] = dataclasses.field(default_factory=list)

    def mean_imbalance(self) -> float:
        """Return the mean imbalance of all steps; 1 means equal loads."""
        return sum(self.imbalances) / max(1, len(self.imbalances))

    def mean_hops(self) -> float:
        """Return the mean number of hops of later packets."""
        return self.hops / max(1, self.later_packets)


def build_scenarios(members: int) -> list[Scenario]:
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
        # Maps each open flow to its member.
        self._owners: dict[packets.FlowKey, int] = {}
        # Also holds flows that were lost or broken since they were opened.
        self._opened_keys: list[packets.FlowKey] = []
        self._last_flow_number = 0
        self.figures = Figures()

    def run(self, scenario: Scenario) -> Figures:
        """Run the scenario and return its figures."""
        while len(self._owners) < self._flows:
            self._open_flows(FILL_FLOWS_PER_STEP)
            self._rule.advance_time(STEP_MS)
        self.figures.opened = 0
        diverted_while_filling = self._rule.count_diverted_flows()
        self._replace_flows(STEPS_BEFORE_CHANGES)
        for change in scenario.changes:
            self._apply_change(change)
        self._replace_flows(STEPS_WITH_MIXED_VIEWS)
        self._count_broken_flows()
        self._rule.update_all_entries()
        self._replace_flows(STEPS_AFTER_UPDATE)
        self._count_broken_flows()
        self.figures.diverted = (
            self._rule.count_diverted_flows() - diverted_while_filling
        )
        return self.figures

    def _apply_change(self, change: placement_rules.Change) -> None:
        match change:
            case placement_rules.Crash(member=member):
                lost = [
                    key
                    for key, owner in self._owners.items()
                    if owner == member
                ]
                for key in lost:
                    del self._owners[key]
                self.figures.lost_with_upstream += len(lost)
        self._rule.apply_change(change)

    def _replace_flows(self, steps: int) -> None:
        for _ in range(steps):
            self._close_flows(NEW_FLOWS_PER_STEP)
            self._open_flows(NEW_FLOWS_PER_STEP)
            self._rule.advance_time(STEP_MS)
            loads = self._rule.measure_live_loads().values()
            mean = sum(loads) / len(loads)
            self.figures.imbalances.append(max(loads) / mean)

    def _open_flows(self, count: int) -> None:
        for _ in range(count):
            self._last_flow_number += 1
            caller = self._last_flow_number.to_bytes(4, 'big')
            key = packets.make_key(packets.TCP, caller, ADDRESS, 9_999, PORT)
            owner = self._send_opening(key)
            self.figures.opened += 1
            if owner:
                self._owners[key] = owner
                self._opened_keys.append(key)
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
        while closed < count and self._opened_keys:
            position = self._rng.randrange(len(self._opened_keys))
            self._opened_keys[position], self._opened_keys[-1] = (
                self._opened_keys[-1],
                self._opened_keys[position],
            )
            key = self._opened_keys.pop()
            if key in self._owners:
                del self._owners[key]
                self._rule.close_flow(key, self._random_entry())
                closed += 1

    def _count_broken_flows(self) -> None:
        broken: list[packets.FlowKey] = []
        for key, owner in self._owners.items():
            member, hops = self._send_later_packet(key)
            self.figures.later_packets += 1
            self.figures.hops += hops
            if member != owner:
                broken.append(key)
        self.figures.broken += len(broken)
        for key in broken:
            del self._owners[key]

    def _random_entry(self) -> int:
        return self._rng.randrange(self._entries)
