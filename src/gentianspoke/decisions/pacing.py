"""Pacing of what is sent over a narrow link, bulk after all else.

The queue of a link holds few packets and drops the rest, and a caller sends
again only after 200 ms or more. So what is beyond the link's rate waits here
instead, where short requests overtake uploads, and where a copy of a packet
that still waits is left out.
"""

import collections
import dataclasses

from gentianspoke.core import packets
from gentianspoke.core import shares

# Of the link's rate; the rest is for other processes and for clocks.
MAX_USE_PERMILLE = 950
# Time of the link that may be used at once after a pause.
BURST_MS = 25
# Longest wait; beyond it a caller has sent most of what waits again.
MAX_WAIT_MS = 600
# Bytes of the headers of UDP and IPv4.
HEADER_BYTES = 28
# On faster links all that one caller has in flight takes less than 10 ms.
MAX_PACED_LINK_KBPS = 20_000
BITS_PER_BYTE = 8

# The flow and the sequence number of a segment with data.
SegmentId = tuple[packets.FlowKey, int]


@dataclasses.dataclass(slots=True)
class Outgoing:
    """A datagram, where it goes, and for bulk by what its copies are told.

    ``segment_id`` is ``None`` for what goes before all bulk.
    """

    data: bytes
    host: str
    port: int
    segment_id: SegmentId | None = None


class Pacer:
    """Datagrams that wait for their time on a link of ``link_kbps``."""

    def __init__(self, link_kbps: int, now: int) -> None:
        """Begin with an idle link."""
        bits_per_ms = link_kbps * MAX_USE_PERMILLE // shares.PERMILLE
        self._rate = max(1, bits_per_ms // BITS_PER_BYTE)
        self._credit = self._rate * BURST_MS
        self._credit_ms = now
        self._urgent: collections.deque[Outgoing] = collections.deque()
        self._bulk: collections.deque[Outgoing] = collections.deque()
        self._queued_segments: set[SegmentId] = set()
        self._waiting_bytes = 0

    def add(self, item: Outgoing) -> bool:
        """Let a datagram wait; return whether it was not dropped.

        A copy of one that waits counts as the same.
        """
        if item.segment_id in self._queued_segments:
            return True
        if self._waiting_bytes >= self._rate * MAX_WAIT_MS:
            return False
        self._waiting_bytes += _size(item)
        if item.segment_id is None:
            self._urgent.append(item)
        else:
            self._queued_segments.add(item.segment_id)
            self._bulk.append(item)
        return True

    def take_due(self, now: int) -> list[Outgoing]:
        """Return what may be sent now, in this order."""
        elapsed_ms = now - self._credit_ms
        self._credit_ms = now
        most = self._rate * BURST_MS
        self._credit = min(most, self._credit + elapsed_ms * self._rate)
        due: list[Outgoing] = []
        while self._credit > 0 and (self._urgent or self._bulk):
            queue = self._urgent or self._bulk
            item = queue.popleft()
            if item.segment_id is not None:
                self._queued_segments.discard(item.segment_id)
            self._credit -= _size(item)
            self._waiting_bytes -= _size(item)
            due.append(item)
        return due

    def wait_ms(self) -> int | None:
        """Return how long the next one has to wait, ``None`` without one."""
        if not self._urgent and not self._bulk:
            return None
        return max(1, 1 - self._credit // self._rate)


def segment_id(packet: packets.Packet) -> SegmentId | None:
    """Return by what copies of a packet are told, ``None`` without data."""
    match packet:
        case packets.Segment(key=key, seq=seq, payload_bytes=size) if size:
            return key, seq
        case _:
            return None


def _size(item: Outgoing) -> int:
    return len(item.data) + HEADER_BYTES


def is_narrow(link_kbps: int) -> bool:
    """Return whether a link is narrow enough to need pacing."""
    return 0 < link_kbps <= MAX_PACED_LINK_KBPS
