"""Baseline placement rules: plain hashing, and two choices by load."""

import collections

from benchmarks.policy import placement_rules
from gentianspoke.core import packets
from gentianspoke.core import views
from gentianspoke.decisions import hashing
from gentianspoke.decisions import member_ranking

SERVICE_NUMBER = 1
MEMBER_WEIGHT = 100


def make_view(live_numbers: set[int], view_number: int) -> views.View:
    """Return a view with the given number and live members."""
    members = tuple(
        views.Member(
            number=member_number,
            instance=f'agent-{member_number}',
            host='127.0.0.1',
            port=1,
            zone='zone',
            weight=MEMBER_WEIGHT,
            state=views.State.LIVE,
            joined_view=1,
        )
        for member_number in sorted(live_numbers)
    )
    return views.View(SERVICE_NUMBER, view_number, members)


class _Baseline:
    """A rule whose first entry learns of a change earlier than the others.

    Each flow belongs to a bucket. The members of a bucket are ranked by
    descending hash score, and the first member has the highest one.
    """

    def __init__(self, member_count: int, entry_count: int) -> None:
        """Create the members 1 to ``member_count``, known to all entries."""
        self._live_numbers = set(range(1, member_count + 1))
        self._crashed_numbers: set[int] = set()
        self._view_number = 1
        self._owners: dict[packets.FlowKey, int] = {}
        self._loads: collections.Counter[int] = collections.Counter()
        ranking = member_ranking.Ranking(make_view(self._live_numbers, 1))
        self._rankings = [ranking for _ in range(entry_count)]

    def apply_change(self, change: placement_rules.Change) -> None:
        """Apply a change and update only the first entry."""
        match change:
            case placement_rules.Drain(member_number=member_number):
                self._live_numbers.discard(member_number)
            case placement_rules.Crash(member_number=member_number):
                self._live_numbers.discard(member_number)
                self._crashed_numbers.add(member_number)
                self._drop_flows_of_member(member_number)
            case placement_rules.Join(member_number=member_number):
                self._live_numbers.add(member_number)
            case placement_rules.FalseReport():
                return
        self._view_number += 1
        view = make_view(self._live_numbers, self._view_number)
        self._rankings[0] = member_ranking.Ranking(view)

    def update_all_entries(self) -> None:
        """Give all entries the ranking that the first entry has."""
        self._rankings = [self._rankings[0] for _ in self._rankings]

    def advance_time(self, duration_ms: int) -> None:
        """Do nothing, since the baselines' load counts are always exact."""

    def close_flow(self, key: packets.FlowKey, entry_index: int) -> None:
        """Close a flow and lower the load of its owner."""
        owner = self._owners.pop(key, 0)
        if owner:
            self._loads[owner] -= 1

    def measure_live_loads(self) -> dict[int, int]:
        """Return the number of open flows of each live member."""
        return {
            member_number: self._loads[member_number]
            for member_number in self._live_numbers
        }

    def count_diverted_flows(self) -> int:
        """Return 0, since the baselines' buckets have no home."""
        return 0

    def _record_owner(self, key: packets.FlowKey, member_number: int) -> int:
        self._owners[key] = member_number
        self._loads[member_number] += 1
        return member_number

    def _deliver_unless_crashed(
        self, member_number: int, hops: int
    ) -> tuple[int, int]:
        return (
            0 if member_number in self._crashed_numbers else member_number
        ), hops

    def _drop_flows_of_member(self, member_number: int) -> None:
        lost_keys = [
            key
            for key, owner in self._owners.items()
            if owner == member_number
        ]
        for key in lost_keys:
            del self._owners[key]
        self._loads[member_number] = 0

    def _rank_members(
        self, key: packets.FlowKey, entry_index: int
    ) -> tuple[views.Member, ...]:
        bucket = hashing.bucket_of(key, SERVICE_NUMBER)
        return self._rankings[entry_index].rank_members(bucket)


class PlainHash(_Baseline):
    """Each entry hashes new flows and keeps its own table of flows."""

    name = 'plain hash, per-entry tables'

    def __init__(self, member_count: int, entry_count: int) -> None:
        """Create the entries with empty flow tables."""
        super().__init__(member_count, entry_count)
        self._flow_tables: list[dict[packets.FlowKey, int]] = [
            {} for _ in range(entry_count)
        ]

    def open_flow(self, key: packets.FlowKey, entry_index: int) -> int:
        """Place a flow at the first member of its bucket and return it.

        Return 0 if that member has crashed.
        """
        member_number = self._rank_members(key, entry_index)[0].number
        if member_number in self._crashed_numbers:
            return 0
        self._flow_tables[entry_index][key] = member_number
        return self._record_owner(key, member_number)

    def send_later_packet(
        self, key: packets.FlowKey, entry_index: int
    ) -> tuple[int, int]:
        """Return the member that the entry's table has for a flow, and 1 hop.

        A flow that the table lacks goes to the first member of its bucket.
        The member is 0 if it has crashed.
        """
        member_number = self._flow_tables[entry_index].get(key)
        if member_number is None:
            member_number = self._rank_members(key, entry_index)[0].number
            self._flow_tables[entry_index][key] = member_number
        return self._deliver_unless_crashed(member_number, 1)


class TwoChoices(_Baseline):
    """The less loaded of a bucket's first two members takes a new flow.

    A later packet goes to the first member, which forwards it to the second
    if it does not own the flow. The load counts are always exact, which no
    real entry can have.
    """

    name = 'two-choice pairs, fresh counts'

    def open_flow(self, key: packets.FlowKey, entry_index: int) -> int:
        """Place a flow at the less loaded of its bucket's first two members.

        Return that member, 0 if it has crashed.
        """
        pair = self._rank_members(key, entry_index)[:2]
        less_loaded = min(pair, key=lambda member: self._loads[member.number])
        if less_loaded.number in self._crashed_numbers:
            return 0
        return self._record_owner(key, less_loaded.number)

    def send_later_packet(
        self, key: packets.FlowKey, entry_index: int
    ) -> tuple[int, int]:
        """Return the first member and 1 hop, or the second and 2 hops.

        The second gets the packet if the first does not own the flow. The
        member is 0 if it has crashed.
        """
        first, second = self._rank_members(key, entry_index)[:2]
        owner = self._owners.get(key)
        if owner == first.number:
            return self._deliver_unless_crashed(first.number, 1)
        return self._deliver_unless_crashed(second.number, 2)
