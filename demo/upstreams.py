"""Simulated upstreams with a minimal TCP server in user space.

An upstream exchanges IP packets with its agent in UDP datagrams.
"""

import asyncio
import collections
import dataclasses
import hashlib
import json
import random

from demo import segments
from gentianspoke.codec import ip
from gentianspoke.core import packets
from gentianspoke import errors
from gentianspoke.net import datagrams
from gentianspoke.net import pages

SYN_ACK = int(packets.Flags.SYN | packets.Flags.ACK)
ACK = int(packets.Flags.ACK)
RST_ACK = int(packets.Flags.RST | packets.Flags.ACK)
FIN_ACK = int(packets.Flags.FIN | packets.Flags.ACK)
PSH_ACK = int(packets.Flags.PSH | packets.Flags.ACK)
BOOKING_DURATION_S = 0.03
# The guarantee is that a draining upstream receives no new flows after a few
# seconds. A flow that is opened later than this counts as a violation.
DRAIN_GRACE_S = 3.0
# A closed connection is kept for this time, so that a FIN that the caller
# retransmits is answered with a FIN and not with a reset.
CLOSED_RETENTION_S = 5.0
SYN_ACK_RETRANSMIT_DELAYS_S = (1.0, 2.0, 4.0)


@dataclasses.dataclass(slots=True)
class AcceptedConnection:
    """The state of one connection at an upstream.

    ``caller_isn`` is the caller's initial sequence number. ``seq`` is the
    upstream's own initial sequence number plus the bytes sent so far. The
    sequence number to send next is one more, because the SYN counts as one.
    ``ack`` is the next sequence number expected from the caller. ``answer``
    is the last answer, which is sent again if the caller retransmits its
    request. It is empty while a request is served.
    """

    caller_isn: int
    seq: int
    ack: int
    answer: bytes = b''
    is_established: bool = False
    upload_hash: 'hashlib._Hash' = dataclasses.field(
        default_factory=hashlib.sha256
    )


@dataclasses.dataclass(slots=True)
class Tally:
    """Counters over all simulated upstreams.

    ``booking_runs`` counts how often each booking was run, by the booking's
    id. ``misdelivered_packets`` counts packets to an address and port that
    the upstream does not serve, and ``flows_opened_late_in_drain`` the
    connections opened more than ``DRAIN_GRACE_S`` after the start of a drain.
    """

    booking_runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    misdelivered_packets: int = 0
    flows_opened_late_in_drain: int = 0


class Upstream:
    """A simulated upstream that is reached through its agent."""

    def __init__(
        self,
        name: str,
        sock: datagrams.DatagramSocket,
        agent: tuple[str, int],
        served_endpoints: set[tuple[bytes, int]],
        tally: Tally,
        rng: random.Random,
    ) -> None:
        """Create an upstream without connections.

        ``served_endpoints`` holds the addresses and ports of the services that
        the upstream serves. Replies are sent to ``agent``.
        """
        self.name = name
        # False while the agent has not been started yet. This applies only to
        # the upstream whose agent joins during the run.
        self.has_joined = True
        # The event loop's time at the start of the current drain, or ``None``
        # while the upstream does not drain.
        self.draining_since: float | None = None
        self.incarnation = f'{name}-{rng.randrange(1 << 32):x}'
        self.connections: dict[packets.FlowKey, AcceptedConnection] = {}
        self._sock = sock
        self._agent = agent
        self._served_endpoints = served_endpoints
        self._tally = tally
        self._rng = rng

    def render_status(self, path: str) -> pages.Page:
        """Return the status page that the agent polls.

        The page is the same for every path.
        """
        status = {
            'incarnation': self.incarnation,
            'draining': self.draining_since is not None,
            'load': len(self.connections),
        }
        return 200, json.dumps(status).encode(), 'application/json'

    async def answer_packets(self) -> None:
        """Receive and answer packets until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                for raw, _ in await self._sock.receive_burst():
                    self._handle_packet(raw, group)

    def _handle_packet(self, raw: bytes, group: asyncio.TaskGroup) -> None:
        try:
            packet = ip.parse(raw)
        except errors.PacketError:
            return
        key = packet.key
        endpoint = (
            packets.get_service_address(key),
            packets.get_service_port(key),
        )
        if endpoint not in self._served_endpoints:
            self._tally.misdelivered_packets += 1
            return
        if not isinstance(packet, packets.Segment):
            return
        if packets.is_opening(packet):
            self._accept(packet, group)
            return
        accepted = self.connections.get(key)
        if accepted is None:
            if not packet.flags & packets.RST:
                self._send(key, RST_ACK, packet.ack, packet.seq)
            return
        self._handle_established(packet, accepted, group)

    def _accept(
        self, packet: packets.Segment, group: asyncio.TaskGroup
    ) -> None:
        accepted = self.connections.get(packet.key)
        if accepted is None:
            if self._is_late_in_drain():
                self._tally.flows_opened_late_in_drain += 1
            accepted = AcceptedConnection(
                packet.seq,
                self._rng.randrange(1 << 32),
                (packet.seq + 1) % segments.SEQ_MODULUS,
            )
            self.connections[packet.key] = accepted
            group.create_task(self._retransmit_syn_ack(packet.key, accepted))
        if accepted.caller_isn != packet.seq:
            # A SYN with another sequence number gets a challenge ACK.
            self._send(packet.key, ACK, accepted.seq, accepted.ack)
            return
        self._send(packet.key, SYN_ACK, accepted.seq, accepted.ack)

    def drain(self) -> None:
        """Start to drain, which the status page then reports."""
        self.draining_since = asyncio.get_running_loop().time()

    def _is_late_in_drain(self) -> bool:
        if self.draining_since is None:
            return False
        now = asyncio.get_running_loop().time()
        return now - self.draining_since > DRAIN_GRACE_S

    def _handle_established(
        self,
        packet: packets.Segment,
        accepted: AcceptedConnection,
        group: asyncio.TaskGroup,
    ) -> None:
        accepted.is_established = True
        if packet.flags & packets.RST:
            del self.connections[packet.key]
        elif packet.flags & packets.FIN:
            self._send(packet.key, FIN_ACK, accepted.seq + 1, packet.seq + 1)
            group.create_task(self._remove_after_close(packet.key))
        elif packet.payload_bytes and packet.seq == accepted.ack:
            accepted.ack += packet.payload_bytes
            accepted.ack %= segments.SEQ_MODULUS
            accepted.answer = b''
            group.create_task(self._serve_request(packet, accepted))
        elif packet.payload_bytes and accepted.answer:
            self._send(
                packet.key,
                PSH_ACK,
                accepted.seq + 1 - len(accepted.answer),
                accepted.ack,
                accepted.answer,
            )

    async def _serve_request(
        self, packet: packets.Segment, accepted: AcceptedConnection
    ) -> None:
        request = json.loads(segments.get_payload(packet))
        if request['kind'] == 'booking':
            self._tally.booking_runs[request['id']] += 1
            await asyncio.sleep(BOOKING_DURATION_S)
        elif request['kind'] == 'upload':
            accepted.upload_hash.update(request['data'].encode())
        content = {'id': request['id'], 'by': self.name}
        content['digest'] = accepted.upload_hash.hexdigest()
        answer = json.dumps(content).encode()
        accepted.answer = answer
        self._send(packet.key, PSH_ACK, accepted.seq + 1, accepted.ack, answer)
        accepted.seq += len(answer)

    async def _retransmit_syn_ack(
        self, key: packets.FlowKey, accepted: AcceptedConnection
    ) -> None:
        for delay_s in SYN_ACK_RETRANSMIT_DELAYS_S:
            await asyncio.sleep(delay_s)
            if accepted.is_established:
                return
            self._send(key, SYN_ACK, accepted.seq, accepted.ack)
        if self.connections.get(key) is accepted:
            del self.connections[key]

    async def _remove_after_close(self, key: packets.FlowKey) -> None:
        await asyncio.sleep(CLOSED_RETENTION_S)
        self.connections.pop(key, None)

    def _send(
        self,
        key: packets.FlowKey,
        flags: int,
        seq: int,
        ack: int,
        payload: bytes = b'',
    ) -> None:
        raw = segments.build(key, flags, seq, ack, payload, reply=True)
        self._sock.send(raw, self._agent)
