"""Hashing of flows to buckets and of buckets to ordered members.

Every process computes the same answer from the same view, so placement
needs no message. Source of the weighted score: Schindelhauer and
Schomaker, "Weighted distributed hash tables" (SPAA 2005).
"""

import functools
import math
import typing

import xxhash

from gentianspoke.core import packets
from gentianspoke.core import views

BUCKETS_PER_SERVICE = 1024
HASH_BITS = 64
HASH_RANGE = float(1 << HASH_BITS)
SERVICE_BYTES = 4
BUCKET_BYTES = 4


def bucket_of(key: packets.FlowKey, service: int) -> int:
    """Return the bucket of a flow, from 0 to BUCKETS_PER_SERVICE - 1."""
    return xxhash.xxh3_64_intdigest(key, service) % BUCKETS_PER_SERVICE


@functools.cache
def _bucket_label(service: int, bucket: int) -> bytes:
    return service.to_bytes(SERVICE_BYTES, 'big') + bucket.to_bytes(
        BUCKET_BYTES, 'big'
    )


def score(service: int, bucket: int, number: int, weight: int) -> float:
    """Return the rendezvous score of a member for a bucket.

    The member with the highest score is the bucket's home; each member
    is home of a share of buckets in proportion to its weight.
    """
    digest = xxhash.xxh3_64_intdigest(_bucket_label(service, bucket), number)
    return -weight / math.log((digest + 0.5) / HASH_RANGE)


class Ranking:
    """The members of one view, ordered for each bucket when asked.

    Orders depend on the members' numbers and weights alone, so a view that
    changes neither takes them over from the one before it.
    """

    def __init__(
        self, view: views.View, earlier: typing.Optional['Ranking'] = None
    ) -> None:
        """Keep the view; orders are computed when first needed."""
        self.view = view
        self.by_number = {member.number: member for member in view.members}
        self.live_count = sum(member.is_live for member in view.members)
        self._weights = {item.number: item.weight for item in view.members}
        self._numbers: dict[int, tuple[int, ...]] = {}
        if earlier is not None and earlier._weights == self._weights:
            self._numbers = earlier._numbers
        self._orders: dict[int, tuple[views.Member, ...]] = {}
        self._homes: dict[int, views.Member | None] = {}
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
        if bucket not in self._homes:
            live = (member for member in self.order(bucket) if member.is_live)
            self._homes[bucket] = next(live, None)
        return self._homes[bucket]

    def least_acked(self, own: int) -> float:
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


def _is_joining(member: views.Member) -> bool:
    return member.state is views.State.DRAINING and member.acked_view == 0
