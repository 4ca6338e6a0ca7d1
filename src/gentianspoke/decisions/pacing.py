"""Pacing of datagrams on a slow link, with priority for short messages.

The queue of a link holds few packets and drops the rest, and a caller
retransmits only after 200 ms or more. Datagrams that exceed the link's rate
are therefore queued here instead. In this queue, short requests and answers
overtake bulk transfers, and a retransmission of a packet that is still queued
is discarded.
"""

import collections
import dataclasses

from gentianspoke.core import packets
from gentianspoke.core import shares

# The share of the link's rate that is used. The rest is left for other
# processes and for inaccurate clocks.
MAX_USE_PERMILLE = 950
# Capacity of the token bucket, as transmission time at the paced rate.
BURST_MS = 25
# Limit of the two queues together, as transmission time at the paced rate. If
# it is reached, new datagrams are dropped: after a longer wait, the caller
# would have retransmitted most of the queued packets.
MAX_WAIT_MS = 600
# Size of the UDP and IPv4 headers.
HEADER_BYTES = 28
# Faster links need no pacing: on them, the transmission of all data that one
# caller has in flight takes less than 10 ms.
MAX_PACED_LINK_KBPS = 20_000
BITS_PER_BYTE = 8

# The flow key and the sequence number of a segment with data.
SegmentId = tuple[packets.FlowKey, int]


@dataclasses.dataclass(slots=True)
class OutgoingDatagram:
    """A datagram to send, with its destination.

    ``segment_id`` identifies a bulk segment and its retransmissions. It is
    ``None`` for an urgent datagram, which is sent before all bulk datagrams.
    """

    data: bytes
    host: str
    port: int
    segment_id: SegmentId | None = None


class Pacer:
    """A token bucket with an urgent queue and a bulk queue for one link."""

    def __init__(self, link_kbps: int, now: int) -> None:
        """Begin with empty queues and a full token bucket.

        ``link_kbps`` is the link's rate in kilobits per second, and ``now``
        the current time in milliseconds.
        """
        bits_per_ms = link_kbps * MAX_USE_PERMILLE // shares.PERMILLE
        self._bytes_per_ms = max(1, bits_per_ms // BITS_PER_BYTE)
        self._credit_bytes = self._bytes_per_ms * BURST_MS
        self._credit_updated_ms = now
        self._urgent_queue: collections.deque[OutgoingDatagram] = (
            collections.deque()
        )
        self._bulk_queue: collections.deque[OutgoingDatagram] = (
            collections.deque()
        )
        self._queued_segments: set[SegmentId] = set()
        self._queued_bytes = 0

    def add(self, datagram: OutgoingDatagram) -> bool:
        """Queue a datagram; return ``False`` if it was dropped.

        A retransmission of a queued segment is discarded. In this case the
        result is ``True``, because the first transmission will be sent.
        """
        if datagram.segment_id in self._queued_segments:
            return True
        if self._queued_bytes >= self._bytes_per_ms * MAX_WAIT_MS:
            return False
        self._queued_bytes += _compute_bytes_on_link(datagram)
        if datagram.segment_id is None:
            self._urgent_queue.append(datagram)
        else:
            self._queued_segments.add(datagram.segment_id)
            self._bulk_queue.append(datagram)
        return True

    def pop_due(self, now: int) -> list[OutgoingDatagram]:
        """Remove and return the datagrams that may be sent at ``now``.

        Urgent datagrams come first. In each of the two queues, the datagrams
        keep the order in which they were added.
        """
        elapsed_ms = now - self._credit_updated_ms
        self._credit_updated_ms = now
        max_credit_bytes = self._bytes_per_ms * BURST_MS
        self._credit_bytes = min(
            max_credit_bytes,
            self._credit_bytes + elapsed_ms * self._bytes_per_ms,
        )
        due_datagrams: list[OutgoingDatagram] = []
        while self._credit_bytes > 0 and (
            self._urgent_queue or self._bulk_queue
        ):
            queue = self._urgent_queue or self._bulk_queue
            datagram = queue.popleft()
            if datagram.segment_id is not None:
                self._queued_segments.discard(datagram.segment_id)
            self._credit_bytes -= _compute_bytes_on_link(datagram)
            self._queued_bytes -= _compute_bytes_on_link(datagram)
            due_datagrams.append(datagram)
        return due_datagrams

    def get_wait_ms(self) -> int | None:
        """Return the wait in milliseconds until a datagram may be sent.

        The wait is at least 1. Return ``None`` if no datagram is queued.
        """
        if not self._urgent_queue and not self._bulk_queue:
            return None
        # The time, rounded up, until the credit is no longer negative, and one
        # more millisecond, so that it is positive.
        return max(1, 1 - self._credit_bytes // self._bytes_per_ms)


def get_segment_id(packet: packets.Packet) -> SegmentId | None:
    """Return the identifier that a segment and its retransmissions share.

    Return ``None`` for a segment without data and for a UDP datagram.
    """
    match packet:
        case packets.Segment(key=key, seq=seq, payload_bytes=size) if size:
            return key, seq
        case _:
            return None


def _compute_bytes_on_link(datagram: OutgoingDatagram) -> int:
    return len(datagram.data) + HEADER_BYTES


def needs_pacing(link_kbps: int) -> bool:
    """Return whether a link is slow enough to need pacing.

    A rate of 0 kbit/s stands for an unknown rate. Such a link is not paced.
    """
    return 0 < link_kbps <= MAX_PACED_LINK_KBPS
