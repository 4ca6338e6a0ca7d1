"""What the decisions need to know of one IP packet.

A flow key is the packed five-tuple, seen from the caller's side::

    protocol (1) | caller address | service address | caller port | port

Addresses take 4 or 16 bytes each, so the length tells the IP version.
Bytes are used in place of a data class because every packet is looked up
by this key, and bytes hash several times faster.
"""

import dataclasses
import enum
import ipaddress
import typing

FlowKey = typing.NewType('FlowKey', bytes)

TCP = 6
UDP = 17
PORT_BYTES = 2


class Flags(enum.IntFlag):
    """Flags of a TCP header."""

    FIN = 0x01
    SYN = 0x02
    RST = 0x04
    PSH = 0x08
    ACK = 0x10


# Plain integers, because a test of an IntFlag member costs a method call.
FIN = int(Flags.FIN)
SYN = int(Flags.SYN)
RST = int(Flags.RST)
PSH = int(Flags.PSH)
ACK = int(Flags.ACK)


@dataclasses.dataclass(slots=True)
class Segment:
    """One TCP segment; ``seq`` and ``ack`` are raw 32-bit numbers.

    ``copy`` counts the retransmissions of an opening, where the caller
    tells. ``returned`` marks a segment of the caller that the upstream
    sent back, since it cannot take the opening or lacks the flow.
    """

    key: FlowKey
    flags: int
    seq: int
    ack: int
    payload_bytes: int
    raw: bytes
    copy: int = 0
    returned: bool = False


@dataclasses.dataclass(slots=True)
class Datagram:
    """One UDP datagram."""

    key: FlowKey
    payload_bytes: int
    raw: bytes


Packet = Segment | Datagram


def make_key(
    protocol: int, caller: bytes, service: bytes, sport: int, dport: int
) -> FlowKey:
    """Return the key of a flow from its five parts.

    ``caller`` and ``service`` are addresses in network byte order.
    """
    ports = sport.to_bytes(PORT_BYTES, 'big') + dport.to_bytes(
        PORT_BYTES, 'big'
    )
    return FlowKey(bytes((protocol,)) + caller + service + ports)


def key_protocol(key: FlowKey) -> int:
    """Return the IP protocol number of a flow."""
    return key[0]


def service_address(key: FlowKey) -> bytes:
    """Return the service address of a flow, 4 or 16 bytes."""
    size = _address_bytes(key)
    return key[1 + size : 1 + 2 * size]


def caller_address(key: FlowKey) -> bytes:
    """Return the caller's address of a flow, 4 or 16 bytes."""
    return key[1 : 1 + _address_bytes(key)]


def service_port(key: FlowKey) -> int:
    """Return the service port of a flow."""
    return int.from_bytes(key[-PORT_BYTES:], 'big')


def caller_port(key: FlowKey) -> int:
    """Return the caller's port of a flow."""
    return int.from_bytes(key[-2 * PORT_BYTES : -PORT_BYTES], 'big')


def describe_key(key: FlowKey) -> str:
    """Return a flow as ``tcp 10.0.0.1:5000 > 10.1.0.1:443``."""
    name = {TCP: 'tcp', UDP: 'udp'}.get(key[0], str(key[0]))
    caller = ipaddress.ip_address(caller_address(key))
    service = ipaddress.ip_address(service_address(key))
    return (
        f'{name} {caller}:{caller_port(key)}'
        f' > {service}:{service_port(key)}'
    )


def is_opening(segment: Segment) -> bool:
    """Return whether a segment opens a connection (SYN without ACK)."""
    return segment.flags & (SYN | ACK) == SYN


def ends_message(segment: Segment) -> bool:
    """Return whether the sender has nothing more to send for now.

    By that a whole request is told from one that still arrives.
    """
    return bool(segment.payload_bytes and segment.flags & PSH)


def retransmission_number(packet: Packet) -> int:
    """Return which copy of an opening a packet is, 0 where unknown."""
    match packet:
        case Segment(copy=copy):
            return copy
        case Datagram():
            return 0


def is_retransmission(packet: Packet) -> bool:
    """Return whether a packet is known to be a copy of an opening."""
    return retransmission_number(packet) > 0


def _address_bytes(key: FlowKey) -> int:
    return (len(key) - 1 - 2 * PORT_BYTES) // 2
