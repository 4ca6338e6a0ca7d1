"""A caller and an upstream with the subset of TCP that the matrix needs."""

import dataclasses

import dpkt

from gentianspoke.codec import ip
from gentianspoke.core import packets

RETRANSMIT_INTERVAL_MS = 500
REQUEST = b'book'
SYN, ACK, FIN, RST = packets.SYN, packets.ACK, packets.FIN, packets.RST


def make_packet(source, target, sport, dport, flags, seq, ack, data=b''):
    """Return an IP packet with one TCP segment."""
    segment = dpkt.tcp.TCP(
        sport=sport, dport=dport, seq=seq, ack=ack, flags=flags, data=data
    )
    return ip.make_packet(source, target, packets.TCP, segment)


def read_segment(raw):
    """Return the TCP segment of an IP packet."""
    return dpkt.ip.IP(raw).data


@dataclasses.dataclass
class Caller:
    """A caller that opens a flow, sends a request, gets the answer and closes.

    It retransmits each packet that is not answered. ``state`` is ``opening``,
    ``waiting`` or ``closing``, and in the end ``complete``, ``refused`` or
    ``reset``. ``isn`` and ``peer_isn`` are the initial sequence numbers of
    the caller and the upstream. ``due_ms`` is the time of the next
    transmission.
    """

    sport: int
    service_address: bytes
    isn: int = 100
    state: str = 'opening'
    peer_isn: int = 0
    answer: bytes = b''
    due_ms: int = 0
    address: bytes = bytes((10, 9, 0, 1))

    @property
    def is_done(self):
        """Whether the caller has nothing more to send."""
        return self.state in ('complete', 'refused', 'reset')

    def make_due_packet(self, now):
        """Return the step and the packet that is due, or ``None``.

        The packet is due again ``RETRANSMIT_INTERVAL_MS`` after ``now``.
        """
        if self.is_done or now < self.due_ms:
            return None
        self.due_ms = now + RETRANSMIT_INTERVAL_MS
        next_seq = self.isn + 1
        match self.state:
            case 'opening':
                return 'open', self._make_packet(SYN, self.isn, 0)
            case 'waiting':
                raw = self._make_packet(
                    ACK, next_seq, self.peer_isn + 1, REQUEST
                )
                return 'forward', raw
            case _:
                seq = next_seq + len(REQUEST)
                ack = self.peer_isn + 1 + len(self.answer)
                return 'close', self._make_packet(FIN | ACK, seq, ack)

    def receive(self, raw, now):
        """Process an IP packet from the fabric."""
        seg = read_segment(raw)
        if self.is_done:
            return
        if seg.flags & RST:
            acks_syn = seg.ack == self.isn + 1
            if self.state == 'opening' and acks_syn:
                self.state = 'refused'
            elif self.state != 'opening' and seg.seq >= self.peer_isn + 1:
                self.state = 'reset'
        elif seg.flags & SYN and self.state == 'opening':
            if seg.ack == self.isn + 1:
                self.peer_isn, self.state, self.due_ms = (
                    seg.seq,
                    'waiting',
                    now,
                )
        elif seg.data and self.state == 'waiting':
            if seg.seq == self.peer_isn + 1:
                self.answer, self.state = bytes(seg.data), 'closing'
                self.due_ms = now
        elif seg.flags & FIN and self.state == 'closing':
            self.state = 'complete'

    def _make_packet(self, flags, seq, ack, data=b''):
        return make_packet(
            self.address,
            self.service_address,
            self.sport,
            443,
            flags,
            seq,
            ack,
            data,
        )


@dataclasses.dataclass
class Connection:
    """The state of one connection of an upstream.

    ``isn`` and ``peer_isn`` are the initial sequence numbers of the upstream
    and the caller. ``has_run`` is true once the request has run.
    """

    isn: int
    peer_isn: int
    has_run: bool = False


class Upstream:
    """An upstream that runs the request of each established connection.

    It runs the request of a connection at most once.
    """

    def __init__(self, number, service_address, runs):
        """Begin without connections.

        ``runs`` is the list to which each run adds a pair of the caller's
        port and the upstream's number. ``ignored_ports`` holds the ports of
        callers whose packets the upstream ignores. ``misdelivered_packets``
        counts the packets to the address of another service.
        """
        self.number = number
        self.service_address = service_address
        self.runs = runs
        self.ignored_ports = set()
        self.misdelivered_packets = 0
        self.connections = {}
        self._isn = 10_000 * (number + 1)

    def receive(self, raw):
        """Process an IP packet from the agent and return the replies."""
        ip_packet = dpkt.ip.IP(raw)
        seg = ip_packet.data
        if ip_packet.dst != self.service_address:
            self.misdelivered_packets += 1
            return []
        if seg.sport in self.ignored_ports:
            return []
        connection = self.connections.get(seg.sport)
        if seg.flags & RST:
            self.connections.pop(seg.sport, None)
            return []
        if seg.flags & SYN:
            return [self._accept(ip_packet, seg, connection)]
        if connection is None or seg.ack < connection.isn + 1:
            return [self._make_packet(ip_packet, seg, RST, seg.ack, 0)]
        ack = seg.seq + len(seg.data)
        if seg.data:
            if not connection.has_run:
                connection.has_run = True
                self.runs.append((seg.sport, self.number))
            answer = b'done for %d' % seg.sport
            seq = connection.isn + 1
            return [self._make_packet(ip_packet, seg, ACK, seq, ack, answer)]
        if seg.flags & FIN:
            flags = FIN | ACK
            return [self._make_packet(ip_packet, seg, flags, seg.ack, ack + 1)]
        return []

    def _accept(self, ip_packet, seg, connection):
        if connection is None or connection.peer_isn != seg.seq:
            self._isn += 1_000
            connection = Connection(self._isn, seg.seq)
            self.connections[seg.sport] = connection
        flags = SYN | ACK
        return self._make_packet(
            ip_packet, seg, flags, connection.isn, seg.seq + 1
        )

    def _make_packet(self, ip_packet, seg, flags, seq, ack, data=b''):
        source, target = ip_packet.dst, ip_packet.src
        return make_packet(
            source, target, seg.dport, seg.sport, flags, seq, ack, data
        )
