"""Hashing of flows to buckets and of buckets to ordered members.

Every process computes the same answer from the same view, so placement
needs no message. Source of the weighted score: Schindelhauer and
Schomaker, "Weighted distributed hash tables" (SPAA 2005).
"""

import array
import math
import typing

import xxhash

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views

BUCKETS_PER_SERVICE = 1024
HASH_BITS = 64
HASH_RANGE = float(1 << HASH_BITS)
BUCKET_BITS = 32
HASH_INPUT_BYTES = 8
# Values of the table of homes; higher ones are positions among the members.
HOME_UNKNOWN = 0
HOME_NONE = 1
FIRST_POSITION = 2
ONE_BYTE_VALUES = 1 << 8


def bucket_of(key: packets.FlowKey, service: int) -> int:
    """Return the bucket of a flow, from 0 to BUCKETS_PER_SERVICE - 1."""
    return xxhash.xxh3_64_intdigest(key, service) % BUCKETS_PER_SERVICE


def score(service: int, bucket: int, number: int, weight: int) -> float:
    """Return the rendezvous score of a member for a bucket.

    The member with the highest score is the bucket's home; each member
    is home of a share of buckets in proportion to its weight.
    """
    hash_input = (service << BUCKET_BITS | bucket).to_bytes(
        HASH_INPUT_BYTES, 'big'
    )
    digest = xxhash.xxh3_64_intdigest(hash_input, number)
    return -weight / math.log((digest + 0.5) / HASH_RANGE)


def choose_share(
    key: packets.FlowKey, shares: tuple[services.Share, ...]
) -> services.Share | None:
    """Return the share that a new flow falls to, by weight.

    No weight is 0. A change of weights moves no more flows than it has to.
    """
    if len(shares) < 2:
        return next(iter(shares), None)

    def rank(share: services.Share) -> float:
        digest = xxhash.xxh3_64_intdigest(key, share.pool)
        return -share.weight / math.log((digest + 0.5) / HASH_RANGE)

    return max(shares, key=rank)


class Ranking:
    """The members of one view, ordered for each bucket when asked.

    Orders depend on the members' numbers and weights alone, so a view that
    changes neither takes them over from the one before it; homes, which
    depend on who is live too, likewise. An entry asks for homes only, which
    take a byte or four for each bucket; orders are for agents.
    """

    def __init__(
        self, view: views.View, previous: typing.Optional['Ranking'] = None
    ) -> None:
        """Keep the view; orders are computed when first needed."""
        self.view = view
        self.by_number = {member.number: member for member in view.members}
        self.live_count = sum(member.is_live for member in view.members)
        self._weights = {item.number: item.weight for item in view.members}
        self._numbers: dict[int, tuple[int, ...]] = {}
        if previous is not None and previous._weights == self._weights:
            self._numbers = previous._numbers
        self._orders: dict[int, tuple[views.Member, ...]] = {}
        self._homes = self._initial_homes(previous)
        self._least_acked: dict[int, float] = {}

    def order(self, bucket: int) -> tuple[views.Member, ...]:
        """Return all members, the highest score for ``bucket`` first."""
        order = self._orders.get(bucket)
        if order is None:
            by_number = self.by_number
            numbers = self._order_numbers(bucket)
            order = tuple([by_number[number] for number in numbers])
            self._orders[bucket] = order
        return order

    def home(self, bucket: int) -> views.Member | None:
        """Return the first live member of a bucket, ``None`` without one."""
        value = self._homes[bucket]
        if value == HOME_UNKNOWN:
            value = self._find_home(bucket)
            self._homes[bucket] = value
        if value == HOME_NONE:
            return None
        return self.view.members[value - FIRST_POSITION]

    def min_acked_view(self, own: int) -> float:
        """Return the oldest view that a member but ``own`` may act on.

        A closed member that has applied no view is about to join: it acts
        on none before it has seen itself in one. Infinite where no member
        is left.
        """
        if own not in self._least_acked:
            acked = [
                member.acked_view
                for member in self.view.members
                if member.number != own and not _is_joining(member)
            ]
            self._least_acked[own] = min(acked, default=math.inf)
        return self._least_acked[own]

    def _initial_homes(
        self, previous: typing.Optional['Ranking']
    ) -> 'array.array[int]':
        if previous is not None and _same_live(previous.view, self.view):
            return previous._homes
        highest = len(self.view.members) + FIRST_POSITION
        code = 'B' if highest < ONE_BYTE_VALUES else 'L'
        return array.array(code, [HOME_UNKNOWN]) * BUCKETS_PER_SERVICE

    def _find_home(self, bucket: int) -> int:
        service = self.view.service
        home = HOME_NONE
        best = (-math.inf, 0)
        for position, member in enumerate(self.view.members):
            if not member.is_live:
                continue
            number = member.number
            rank = (score(service, bucket, number, member.weight), number)
            if rank > best:
                best = rank
                home = position + FIRST_POSITION
        return home

    def _order_numbers(self, bucket: int) -> tuple[int, ...]:
        numbers = self._numbers.get(bucket)
        if numbers is None:
            numbers = self._compute_order(bucket)
            self._numbers[bucket] = numbers
        return numbers

    def _compute_order(self, bucket: int) -> tuple[int, ...]:
        service = self.view.service
        scored = [
            (score(service, bucket, number, weight), number)
            for number, weight in self._weights.items()
        ]
        scored.sort(reverse=True)
        return tuple([number for _, number in scored])


def _same_live(first: views.View, second: views.View) -> bool:
    return [
        (item.number, item.weight, item.is_live) for item in first.members
    ] == [(item.number, item.weight, item.is_live) for item in second.members]


def _is_joining(member: views.Member) -> bool:
    return member.state is views.State.DRAINING and member.acked_view == 0
