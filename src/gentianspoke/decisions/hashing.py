"""Hashing of flows to shares and buckets, and of buckets to members.

Shares and members are chosen by weighted rendezvous hashing, and buckets by
the remainder of a hash. The home of a bucket is the live member with the
highest score for it. Every process computes the same result from the same
view, so placement needs no messages. Source of the weighted score:
Schindelhauer and Schomaker, "Weighted distributed hash tables" (SPAA 2005).
"""

import collections.abc
import math

import xxhash

from gentianspoke.core import packets
from gentianspoke.core import services

BUCKETS_PER_SERVICE = 1024
HASH_BITS = 64
HASH_RANGE = float(1 << HASH_BITS)
# The greatest number below 1.
MAX_SHARE = math.nextafter(1.0, 0.0)
# Number of low bits of the hash input that hold the bucket. The bits above
# hold the service.
BUCKET_BITS = 32
HASH_INPUT_BYTES = 8


def bucket_of(key: packets.FlowKey, service: int) -> int:
    """Return the bucket of a flow, from 0 to BUCKETS_PER_SERVICE - 1."""
    return xxhash.xxh3_64_intdigest(key, service) % BUCKETS_PER_SERVICE


def compute_score(
    service: int, bucket: int, number: int, weight: int
) -> float:
    """Return the rendezvous score of a member for a bucket.

    ``number`` and ``weight`` are those of the member. The live member with
    the highest score is the bucket's home. Each member is the home of a
    share of the buckets in proportion to its weight.
    """
    hash_input = _make_hash_input(service, bucket)
    digest = xxhash.xxh3_64_intdigest(hash_input, number)
    return -weight / _compute_log(digest)


def compute_scores(
    service: int, bucket: int, weights: collections.abc.Mapping[int, int]
) -> list[tuple[float, int]]:
    """Return the score and the number of each member for a bucket.

    ``weights`` maps the numbers of the members to their weights. The scores
    are those of :func:`compute_score`, at less than half the time.
    """
    hash_input = _make_hash_input(service, bucket)
    digest, log = xxhash.xxh3_64_intdigest, math.log
    scores: list[tuple[float, int]] = []
    for number, weight in weights.items():
        share = (digest(hash_input, number) + 0.5) / HASH_RANGE
        # A comparison is faster than a call of ``min``.
        share_log = log(share if share < MAX_SHARE else MAX_SHARE)
        scores.append((-weight / share_log, number))
    return scores


def _make_hash_input(service: int, bucket: int) -> bytes:
    return (service << BUCKET_BITS | bucket).to_bytes(HASH_INPUT_BYTES, 'big')


def _compute_log(digest: int) -> float:
    """Return the logarithm of a digest's share of the range, which is < 0.

    The division rounds the greatest digests to 1, whose logarithm is 0.
    """
    return math.log(min((digest + 0.5) / HASH_RANGE, MAX_SHARE))


def choose_share(
    key: packets.FlowKey, shares: tuple[services.Share, ...]
) -> services.Share | None:
    """Return the share that a new flow belongs to, ``None`` without shares.

    Shares are chosen in proportion to their weights, which must not be 0.
    If the weights change, as few flows as possible change to another share.
    """
    if len(shares) < 2:
        return next(iter(shares), None)

    def score_share(share: services.Share) -> float:
        digest = xxhash.xxh3_64_intdigest(key, share.pool)
        return -share.weight / _compute_log(digest)

    return max(shares, key=score_share)
