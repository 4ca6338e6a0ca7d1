"""The members of a pool's view, ranked for each bucket.

The order of the members comes from ``hashing.compute_score``.
"""

import array
import bisect
import math
import typing

from gentianspoke.core import views
from gentianspoke.decisions import hashing

# The reason for refusing an opening because the upstreams that could take it
# are in evacuated availability zones.
EVACUATED_REASON = 'evacuated'
# Values in the table of homes. HOME_UNKNOWN means that the home has not been
# computed, HOME_NONE that no member is live. A value of FIRST_POSITION or more
# is the index of a member in the view plus FIRST_POSITION.
HOME_UNKNOWN = 0
HOME_NONE = 1
FIRST_POSITION = 2
ONE_BYTE_VALUES = 1 << 8
# If more members than this have joined since the previous view, the homes are
# computed anew when they are needed.
MAX_COMPARED_MEMBERS = 8


class Ranking:
    """The members of one view, ranked for each bucket on demand.

    The order of the members for a bucket depends only on their numbers and
    weights, so a ranking reuses the orders of member numbers that the previous
    ranking has computed, and only sorts in the members that joined. The homes
    also depend on which members are live. A home that is still live keeps its
    buckets, except those for which a member that joined has a higher score. An
    entry instance rarely needs more than the homes, whose table takes one byte
    for each bucket, or an unsigned long (8 bytes on 64-bit Linux) from 254
    members on. Agents need the orders too.
    """

    def __init__(
        self, view: views.View, previous: typing.Optional['Ranking'] = None
    ) -> None:
        """Store the view and reuse results of ``previous`` that still hold."""
        self.view = view
        self.members_by_number = {
            member.number: member for member in view.members
        }
        self.evacuated_zones = frozenset(
            member.zone
            for member in view.members
            if member.zone_evacuated or member.state is views.State.EVACUATED
        )
        self._weights = {
            member.number: member.weight for member in view.members
        }
        self._live_weights = {
            member.number: member.weight
            for member in view.members
            if member.is_live
        }
        self._positions = {
            member.number: position
            for position, member in enumerate(view.members)
        }
        self.live_count = len(self._live_weights)
        self._numbers_by_bucket = self._make_initial_orders(previous)
        self._orders: dict[int, tuple[views.Member, ...]] = {}
        self._homes = self._make_initial_homes(previous)
        self._min_acked_views: dict[int, float] = {}

    def rank_members(self, bucket: int) -> tuple[views.Member, ...]:
        """Return all members, sorted by descending score for ``bucket``."""
        order = self._orders.get(bucket)
        if order is None:
            members_by_number = self.members_by_number
            numbers = self._order_numbers(bucket)
            order = tuple([members_by_number[number] for number in numbers])
            self._orders[bucket] = order
        return order

    def home(self, bucket: int) -> views.Member | None:
        """Return the live member with the highest score for a bucket.

        Return ``None`` if no member is live.
        """
        value = self._homes[bucket]
        if value == HOME_UNKNOWN:
            value = self._find_home(bucket)
            self._homes[bucket] = value
        if value == HOME_NONE:
            return None
        return self.view.members[value - FIRST_POSITION]

    def get_min_acked_view(self, own_number: int) -> float:
        """Return the number of the oldest view that another member may use.

        This is the minimum of the acknowledged view numbers of all members
        except ``own_number``. It leaves out a member that is draining and
        has acknowledged no view: such a member is joining, and uses no view
        before it has seen itself in one. The result is infinite if no
        member remains.
        """
        if own_number not in self._min_acked_views:
            acked_views = [
                member.acked_view
                for member in self.view.members
                if member.number != own_number and not _is_joining(member)
            ]
            self._min_acked_views[own_number] = min(
                acked_views, default=math.inf
            )
        return self._min_acked_views[own_number]

    def _make_initial_orders(
        self, previous: typing.Optional['Ranking']
    ) -> dict[int, tuple[int, ...]]:
        if previous is None:
            return {}
        if previous._weights == self._weights:
            return previous._numbers_by_bucket
        joined_numbers = [
            number
            for number, weight in self._weights.items()
            if previous._weights.get(number) != weight
        ]
        if len(joined_numbers) > MAX_COMPARED_MEMBERS:
            return {}
        kept_numbers = self._weights.keys() - set(joined_numbers)
        return {
            bucket: self._update_order(
                bucket, numbers, kept_numbers, joined_numbers
            )
            for bucket, numbers in previous._numbers_by_bucket.items()
        }

    def _update_order(
        self,
        bucket: int,
        previous_order: tuple[int, ...],
        kept_numbers: set[int],
        joined_numbers: list[int],
    ) -> tuple[int, ...]:
        """Return the order for a bucket after members have left and joined."""
        order = [number for number in previous_order if number in kept_numbers]

        def sort_key(number: int) -> tuple[float, int]:
            score, _ = self._rank_number(bucket, number)
            return -score, -number

        for number in joined_numbers:
            bisect.insort(order, number, key=sort_key)
        return tuple(order)

    def _make_initial_homes(
        self, previous: typing.Optional['Ranking']
    ) -> 'array.array[int]':
        if previous is not None and _have_same_homes(previous.view, self.view):
            return previous._homes
        max_value = len(self.view.members) + FIRST_POSITION
        type_code = 'B' if max_value < ONE_BYTE_VALUES else 'L'
        joined_positions = self._find_joined_positions(previous)
        if previous is None or len(joined_positions) > MAX_COMPARED_MEMBERS:
            return (
                array.array(type_code, [HOME_UNKNOWN])
                * hashing.BUCKETS_PER_SERVICE
            )
        new_values = self._map_previous_homes(previous.view)
        homes = array.array(
            type_code, [new_values[value] for value in previous._homes]
        )
        for position in joined_positions:
            self._take_buckets(homes, position)
        return homes

    def _find_joined_positions(
        self, previous: typing.Optional['Ranking']
    ) -> list[int]:
        """Return the positions of members that may take buckets of others."""
        if previous is None:
            return []
        weights = {
            member.number: member.weight
            for member in previous.view.members
            if member.is_live
        }
        return [
            position
            for position, member in enumerate(self.view.members)
            if member.is_live and weights.get(member.number) != member.weight
        ]

    def _map_previous_homes(self, previous: views.View) -> list[int]:
        """Return the new value in the table of homes for each previous value.

        A home that is no longer live, or whose weight has changed, becomes
        unknown.
        """
        positions = {
            (member.number, member.weight): position + FIRST_POSITION
            for position, member in enumerate(self.view.members)
            if member.is_live
        }
        return [HOME_UNKNOWN, HOME_UNKNOWN] + [
            positions.get((member.number, member.weight), HOME_UNKNOWN)
            for member in previous.members
        ]

    def _take_buckets(self, homes: 'array.array[int]', position: int) -> None:
        """Make a member the home of the buckets for which it ranks higher."""
        for bucket, value in enumerate(homes):
            if value == HOME_UNKNOWN:
                continue
            home = self.view.members[value - FIRST_POSITION]
            member = self.view.members[position]
            if self._rank(bucket, member) > self._rank(bucket, home):
                homes[bucket] = position + FIRST_POSITION

    def _rank(self, bucket: int, member: views.Member) -> tuple[float, int]:
        return self._rank_number(bucket, member.number)

    def _rank_number(self, bucket: int, number: int) -> tuple[float, int]:
        score = hashing.compute_score(
            self.view.service, bucket, number, self._weights[number]
        )
        return score, number

    def _find_home(self, bucket: int) -> int:
        scores = hashing.compute_scores(
            self.view.service, bucket, self._live_weights
        )
        if not scores:
            return HOME_NONE
        _, number = max(scores)
        return self._positions[number] + FIRST_POSITION

    def _order_numbers(self, bucket: int) -> tuple[int, ...]:
        numbers = self._numbers_by_bucket.get(bucket)
        if numbers is None:
            numbers = self._compute_order(bucket)
            self._numbers_by_bucket[bucket] = numbers
        return numbers

    def _compute_order(self, bucket: int) -> tuple[int, ...]:
        scores = hashing.compute_scores(
            self.view.service, bucket, self._weights
        )
        return tuple([number for _, number in sorted(scores, reverse=True)])


def _have_same_homes(first: views.View, second: views.View) -> bool:
    # A table of homes holds indexes in the view, so the position of each
    # member counts as well.
    return [
        (member.number, member.weight, member.is_live)
        for member in first.members
    ] == [
        (member.number, member.weight, member.is_live)
        for member in second.members
    ]


def _is_joining(member: views.Member) -> bool:
    return member.state is views.State.DRAINING and member.acked_view == 0
