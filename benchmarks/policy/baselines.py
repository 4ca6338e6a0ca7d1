"""Baseline placement rules: hashing, and the less loaded of two members."""

import collections

from benchmarks.policy import placement_rules
from gentianspoke.core import packets
from gentianspoke.core import views
from gentianspoke.decisions import hashing

SERVICE_NUMBER = 1
WEIGHT = 100


def make_view(live: set[int], number: int) -> views.View:
    """Return view ``number``, in which the members ``live`` are live."""
    members = tuple(
        views.Member(
            number=item,
            instance=f'agent-{item}',
            host='127.0.0.1',
            port=1,
            zone='zone',
            weight=WEIGHT,
            state=views.State.LIVE,
            joined_view=1,
        )
        for item in sorted(live)
    )
    return views.View(SERVICE_NUMBER, number, members)


class _Baseline:
    """A rule whose entries learn of the live members at different times.

    Each flow belongs to a bucket. The first member of a bucket is the one
    with the highest hash score for it, the second the one with the next.
    """

    def __init__(self, members: int, entries: int) -> None:
        """Create the members 1 to ``members``, known to all entries."""
        self._live = set(range(1, members + 1))
        self._crashed: set[int] = set()
        self._view_number = 1
        self._owners: dict[packets.FlowKey, int] = {}
        self._loads: collections.Counter[int] = collections.Counter()
        ranking = hashing.Ranking(make_view(self._live, 1))
        self._rankings = [ranking for _ in range(entries)]

    def apply_change(self, change: placement_rules.Change) -> None:
        """Apply a change and update only the first entry."""
        match change:
            case placement_rules.Drain(member=member):
                self._live.discard(member)
            case placement_rules.Crash(member=member):
                self._live.discard(member)
                self._crashed.add(member)
                self._drop_flows_of(member)
            case placement_rules.Join(member=member):
                self._live.add(member)
            case placement_rules.FalseReport():
                return
        self._view_number += 1
        view = make_view(self._live, self._view_number)
        self._rankings[0] = hashing.Ranking(view)

    def update_all_entries(self) -> None:
        """Give all entries the ranking that the first entry has."""
        self._rankings = [self._rankings[0] for _ in self._rankings]

    def advance_time(self, duration_ms: int) -> None:
        """Do nothing, since the baselines' load counts are always exact."""

    def close_flow(self, key: packets.FlowKey, entry: int) -> None:
        """Close a flow and lower the load of its owner."""
        owner = self._owners.pop(key, 0)
        if owner:
            self._loads[owner] -= 1

    def measure_live_loads(self) -> dict[int, int]:
        """Return the number of open flows of each live member."""
        return {member: self._loads[member] for member in self._live}

    def count_diverted_flows(self) -> int:
        """Return 0, since the baselines divert no flow from its home."""
        return 0

    def _assign(self, key: packets.FlowKey, member: int) -> int:
        self._owners[key] = member
        self._loads[member] += 1
        return member

    def _try_delivery(self, member: int, hops: int) -> tuple[int, int]:
        return (0 if member in self._crashed else member), hops

    def _drop_flows_of(self, member: int) -> None:
        lost = [key for key, owner in self._owners.items() if owner == member]
        for key in lost:
            del self._owners[key]
        self._loads[member] = 0

    def _rank_members(
        self, key: packets.FlowKey, entry: int
    ) -> tuple[views.Member, ...]:
        bucket = hashing.bucket_of(key, SERVICE_NUMBER)
        return self._rankings[entry].rank_members(bucket)


class PlainHash(_Baseline):
    """Each entry hashes new flows and keeps its own table of flows."""

    name = 'plain hash, per-entry tables'

    def __init__(self, members: int, entries: int) -> None:
        """Create the entries with empty flow tables."""
        super().__init__(members, entries)
        self._tables: list[dict[packets.FlowKey, int]] = [
            {} for _ in range(entries)
        ]

    def open_flow(self, key: packets.FlowKey, entry: int) -> int:
        """Place a flow at the first member of its bucket and return it.

        Return 0 if that member has crashed.
        """
        member = self._rank_members(key, entry)[0].number
        if member in self._crashed:
            return 0
        self._tables[entry][key] = member
        return self._assign(key, member)

    def send_later_packet(
        self, key: packets.FlowKey, entry: int
    ) -> tuple[int, int]:
        """Return the member that the entry's table has for a flow, and 1 hop.

        A flow that the table lacks goes to the first member of its bucket.
        The member is 0 if it has crashed.
        """
        member = self._tables[entry].get(key)
        if member is None:
            member = self._rank_members(key, entry)[0].number
            self._tables[entry][key] = member
        return self._try_delivery(member, 1)


class TwoChoices(_Baseline):
    """The less loaded of a bucket's first two members takes a new flow.

    A later packet goes to the first member, which forwards it to the second
    if it does not own the flow. The load counts are always exact, which no
    real entry can have.
    """

    name = 'two-choice pairs, fresh counts'

    def open_flow(self, key: packets.FlowKey, entry: int) -> int:
        """Place a flow at the less loaded of its bucket's first two members.

        Return that member, 0 if it has crashed.
        """
        pair = self._rank_members(key, entry)[:2]
        less_loaded = min(pair, key=lambda item: self._loads[item.number])
        if less_loaded.number in self._crashed:
            return 0
        return self._assign(key, less_loaded.number)

    def send_later_packet(
        self, key: packets.FlowKey, entry: int
    ) -> tuple[int, int]:
        """Return the first member and 1 hop, or the second and 2 hops.

        The second gets the packet if the first does not own the flow. The
        member is 0 if it has crashed.
        """
        first, second = self._rank_members(key, entry)[:2]
        owner = self._owners.get(key)
        if owner == first.number:
            return self._try_delivery(first.number, 1)
        return self._try_delivery(second.number, 2)
