"""Simulated callers with a minimal TCP client in user space.

Each connection has one task and sends one segment at a time: it retransmits
the segment until the answer arrives (stop-and-wait), and gives up after
``MAX_TRANSMISSIONS`` transmissions.
"""

import asyncio
import collections.abc
import dataclasses
import random

from demo import segments
from gentianspoke.codec import ip
from gentianspoke.core import packets
from gentianspoke import errors
from gentianspoke.net import datagrams

INITIAL_TIMEOUT_S = 0.3
MAX_TRANSMISSIONS = 10
BACKOFF_FACTOR = 1.3
SYN = int(packets.Flags.SYN)
RST = int(packets.Flags.RST)
ACK = int(packets.Flags.ACK)
FIN_ACK = int(packets.Flags.FIN | packets.Flags.ACK)
PSH_ACK = int(packets.Flags.PSH | packets.Flags.ACK)


class _ResetError(Exception):
    """Signals that a segment with RST arrived."""


class HandshakeResetError(Exception):
    """The connection was reset during its handshake.

    The caller may conclude that no work was run for it.
    """


class ConnectionBrokenError(Exception):
    """The connection was reset or a segment got no answer in time.

    ``exchange_started_at`` is the event loop's time at the first
    transmission of the last segment, which got no answer or a reset.
    """

    def __init__(self, reason: str, exchange_started_at: float) -> None:
        """Store the reason, ``reset`` or ``silent``, and the time."""
        self.exchange_started_at = exchange_started_at
        super().__init__(reason)


Send = collections.abc.Callable[[bytes], None]


class Connection:
    """A caller's TCP connection with at most one request in flight."""

    def __init__(
        self, key: packets.FlowKey, send: Send, rng: random.Random
    ) -> None:
        """Choose the initial sequence number; send nothing yet.

        :meth:`connect` opens the connection.
        """
        self.key = key
        self._send = send
        self._isn = rng.randrange(1 << 32)
        self._seq = self._isn
        self._ack = 0
        self.inbox: asyncio.Queue[packets.Segment] = asyncio.Queue()

    async def connect(self) -> None:
        """Complete the three-way handshake.

        Raises ``HandshakeResetError`` if a reset arrives, and
        ``ConnectionBrokenError`` if no answer arrives.
        """
        syn = segments.build(self.key, SYN, self._seq, 0)
        expected_ack = (self._isn + 1) % segments.SEQ_MODULUS
        answer = await self._exchange(
            syn,
            lambda segment: segment.ack == expected_ack,
            is_handshake=True,
        )
        self._seq = expected_ack
        self._ack = (answer.seq + 1) % segments.SEQ_MODULUS
        self._acknowledge()

    async def request(self, payload: bytes) -> bytes:
        """Send a request and return the payload of its answer.

        Raises ``ConnectionBrokenError`` if a reset or no answer arrives.
        """
        request_segment = segments.build(
            self.key, PSH_ACK, self._seq, self._ack, payload
        )
        expected_ack = (self._seq + len(payload)) % segments.SEQ_MODULUS

        def is_answer(segment: packets.Segment) -> bool:
            return (
                segment.payload_bytes > 0
                and segment.seq == self._ack
                and segment.ack == expected_ack
            )

        answer = await self._exchange(request_segment, is_answer)
        self._seq = expected_ack
        self._ack += answer.payload_bytes
        self._ack %= segments.SEQ_MODULUS
        self._acknowledge()
        return segments.get_payload(answer)

    async def close(self) -> None:
        """Send a FIN and wait for the FIN of the upstream.

        Raises ``ConnectionBrokenError`` if a reset or no answer arrives.
        """
        fin = segments.build(self.key, FIN_ACK, self._seq, self._ack)
        await self._exchange(
            fin, lambda segment: bool(segment.flags & packets.FIN)
        )
        self._seq += 1
        self._ack += 1
        self._acknowledge()

    def _acknowledge(self) -> None:
        self._send(segments.build(self.key, ACK, self._seq, self._ack))

    async def _exchange(
        self,
        raw: bytes,
        is_answer: collections.abc.Callable[[packets.Segment], bool],
        is_handshake: bool = False,
    ) -> packets.Segment:
        timeout_s = INITIAL_TIMEOUT_S
        exchange_started_at = asyncio.get_running_loop().time()
        for _ in range(MAX_TRANSMISSIONS):
            self._send(raw)
            try:
                async with asyncio.timeout(timeout_s):
                    return await self._wait_for(is_answer)
            except TimeoutError:
                timeout_s *= BACKOFF_FACTOR
            except _ResetError as exc:
                if is_handshake:
                    raise HandshakeResetError from exc
                raise ConnectionBrokenError(
                    'reset', exchange_started_at
                ) from exc
        raise ConnectionBrokenError('silent', exchange_started_at)

    async def _wait_for(
        self,
        is_answer: collections.abc.Callable[[packets.Segment], bool],
    ) -> packets.Segment:
        while True:
            segment = await self.inbox.get()
            if segment.flags & packets.RST:
                raise _ResetError
            if is_answer(segment):
                return segment


@dataclasses.dataclass(slots=True)
class CallerHost:
    """All connections of the simulated callers, which share one socket.

    ``fabric`` is the address to which their packets are sent, and ``address``
    is the IP address of all callers. ``last_port`` is the caller's port of
    the connection that was opened last.
    """

    sock: datagrams.DatagramSocket
    fabric: tuple[str, int]
    rng: random.Random
    address: bytes
    connections: dict[packets.FlowKey, Connection] = dataclasses.field(
        default_factory=dict
    )
    last_port: int = 10_000

    def open(self, service_address: bytes, port: int) -> Connection:
        """Return a new connection to a service without connecting it."""
        self.last_port += 1
        key = packets.make_key(
            packets.TCP, self.address, service_address, self.last_port, port
        )
        connection = Connection(key, self._send, self.rng)
        self.connections[key] = connection
        return connection

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self.connections.pop(connection.key, None)

    async def receive_packets(self) -> None:
        """Deliver received segments to their connections until cancelled."""
        while True:
            for raw, _ in await self.sock.receive_burst():
                self._handle_packet(raw)

    def _handle_packet(self, raw: bytes) -> None:
        try:
            packet = ip.parse(raw, reply=True)
        except errors.PacketError:
            return
        if not isinstance(packet, packets.Segment):
            return
        connection = self.connections.get(packet.key)
        if connection is not None:
            connection.inbox.put_nowait(packet)
        elif packet.flags & packets.SYN:
            # TCP answers a SYN-ACK for an unknown connection with a reset.
            # For example, a delayed duplicate of a SYN causes such a SYN-ACK.
            self._send(segments.build(packet.key, RST, packet.ack, 0))

    def _send(self, raw: bytes) -> None:
        self.sock.send(raw, self.fabric)
