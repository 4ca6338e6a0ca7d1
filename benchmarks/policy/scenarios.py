"""Scenarios under which a placement rule is measured, and the run of one.

A run first opens the required number of flows. After that, each step closes
some flows and opens as many. After ``STEPS_BEFORE_CHANGES`` steps the
scenario's changes happen, and only the first entry learns of them. The other
entries learn of them ``STEPS_WITH_MIXED_VIEWS`` steps later. Just before that,
and at the end of the run, each open flow sends one packet, which shows whether
the flow still reaches its member.
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
SERVICE_ADDRESS = bytes((10, 1, 0, 1))
SERVICE_PORT = 443


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Changes that happen at the same time, after the flows are opened."""

    name: str
    changes: tuple[placement_rules.Change, ...]


@dataclasses.dataclass(slots=True)
class RunResults:
    """The results of one run of one rule.

    ``opened`` counts the flows whose opening was sent, and ``refused`` the
    flows that no member accepted. ``diverted`` counts the flows that were
    placed at another member than the home of their bucket. ``opened`` and
    ``diverted`` leave out the flows that were opened before the first step.
    Flows are ``broken`` if a later packet did not reach their member, and
    ``lost_with_upstream`` if their member crashed. ``hops`` is the sum of the
    hops of all ``later_packets``. ``imbalances`` holds, for each step, the
    greatest load divided by the mean load.
    """

    opened: int = 0
    diverted: int = 0
    refused: int = 0
    broken: int = 0
    lost_with_upstream: int = 0
    hops: int = 0
    later_packets: int = 0
    imbalances: list[float] = dataclasses.field(default_factory=list)

    def compute_mean_imbalance(self) -> float:
        """Return the mean imbalance of all steps; 1 means equal loads."""
        return sum(self.imbalances) / max(1, len(self.imbalances))

    def compute_mean_hops(self) -> float:
        """Return the mean number of hops of later packets."""
        return self.hops / max(1, self.later_packets)


def build_scenarios(member_count: int) -> list[Scenario]:
    """Return the scenarios for a service with ``member_count`` members.

    The members have the numbers 1 to ``member_count``.
    """
    joining_number = member_count + 1
    return [
        Scenario('steady', ()),
        Scenario('drain', (placement_rules.Drain(1),)),
        Scenario('crash', (placement_rules.Crash(1),)),
        Scenario('join, cold', (placement_rules.Join(joining_number),)),
        Scenario(
            'lying reports',
            (
                placement_rules.FalseReport(1, 0),
                placement_rules.FalseReport(2, 10**6),
            ),
        ),
        Scenario(
            'drain + join',
            (placement_rules.Drain(1), placement_rules.Join(joining_number)),
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
        entry_count: int,
        flow_count: int,
        seed: int,
    ) -> None:
        """Create a run without flows, which opens ``flow_count`` at first."""
        self._rule = rule
        self._entry_count = entry_count
        self._flow_count = flow_count
        self._rng = random.Random(seed)
        # Maps each open flow to the number of its member.
        self._owners: dict[packets.FlowKey, int] = {}
        # The keys of flows that were lost or broken are removed only when
        # they are chosen to be closed.
        self._opened_keys: list[packets.FlowKey] = []
        self._last_flow_number = 0
        self.results = RunResults()

    def run(self, scenario: Scenario) -> RunResults:
        """Run the scenario and return its figures."""
        while len(self._owners) < self._flow_count:
            self._open_flows(FILL_FLOWS_PER_STEP)
            self._rule.advance_time(STEP_MS)
        self.results.opened = 0
        diverted_during_fill = self._rule.count_diverted_flows()
        self._replace_flows(STEPS_BEFORE_CHANGES)
        for change in scenario.changes:
            self._apply_change(change)
        self._replace_flows(STEPS_WITH_MIXED_VIEWS)
        self._count_broken_flows()
        self._rule.update_all_entries()
        self._replace_flows(STEPS_AFTER_UPDATE)
        self._count_broken_flows()
        self.results.diverted = (
            self._rule.count_diverted_flows() - diverted_during_fill
        )
        return self.results

    def _apply_change(self, change: placement_rules.Change) -> None:
        match change:
            case placement_rules.Crash(member_number=member_number):
                lost_keys = [
                    key
                    for key, owner_number in self._owners.items()
                    if owner_number == member_number
                ]
                for key in lost_keys:
                    del self._owners[key]
                self.results.lost_with_upstream += len(lost_keys)
        self._rule.apply_change(change)

    def _replace_flows(self, steps: int) -> None:
        for _ in range(steps):
            self._close_flows(NEW_FLOWS_PER_STEP)
            self._open_flows(NEW_FLOWS_PER_STEP)
            self._rule.advance_time(STEP_MS)
            loads = self._rule.measure_live_loads().values()
            mean_load = sum(loads) / len(loads)
            self.results.imbalances.append(max(loads) / mean_load)

    def _open_flows(self, count: int) -> None:
        for _ in range(count):
            self._last_flow_number += 1
            caller = self._last_flow_number.to_bytes(4, 'big')
            key = packets.make_key(
                packets.TCP, caller, SERVICE_ADDRESS, 9_999, SERVICE_PORT
            )
            owner_number = self._send_opening(key)
            self.results.opened += 1
            if owner_number:
                self._owners[key] = owner_number
                self._opened_keys.append(key)
            else:
                self.results.refused += 1

    def _send_opening(self, key: packets.FlowKey) -> int:
        for _ in range(MAX_SEND_ATTEMPTS):
            owner_number = self._rule.open_flow(
                key, self._choose_entry_index()
            )
            if owner_number:
                return owner_number
        return 0

    def _send_later_packet(self, key: packets.FlowKey) -> tuple[int, int]:
        for _ in range(MAX_SEND_ATTEMPTS):
            member_number, hops = self._rule.send_later_packet(
                key, self._choose_entry_index()
            )
            if member_number:
                return member_number, hops
        return 0, 0

    def _close_flows(self, count: int) -> None:
        closed = 0
        while closed < count and self._opened_keys:
            index = self._rng.randrange(len(self._opened_keys))
            self._opened_keys[index], self._opened_keys[-1] = (
                self._opened_keys[-1],
                self._opened_keys[index],
            )
            key = self._opened_keys.pop()
            if key in self._owners:
                del self._owners[key]
                self._rule.close_flow(key, self._choose_entry_index())
                closed += 1

    def _count_broken_flows(self) -> None:
        broken_keys: list[packets.FlowKey] = []
        for key, owner_number in self._owners.items():
            member_number, hops = self._send_later_packet(key)
            self.results.later_packets += 1
            self.results.hops += hops
            if member_number != owner_number:
                broken_keys.append(key)
        self.results.broken += len(broken_keys)
        for key in broken_keys:
            del self._owners[key]

    def _choose_entry_index(self) -> int:
        return self._rng.randrange(self._entry_count)
