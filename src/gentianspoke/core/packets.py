"""Flow keys and the parts of an IP packet that the decisions use.

A flow key is the packed five-tuple of a flow, in the caller's direction::

    protocol | caller address | service address | caller port | service port

The protocol takes 1 byte and each port 2. Each address takes 4 or 16 bytes, so
the length of the key determines the IP version. The key is a ``bytes`` object
and not a data class because every packet requires a look-up by this key, and
bytes hash several times faster.
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
    """Flags in a TCP header."""

    FIN = 0x01
    SYN = 0x02
    RST = 0x04
    PSH = 0x08
    ACK = 0x10


# The same flags as plain integers, which are faster: a bit test on an IntFlag
# member costs a method call.
FIN = int(Flags.FIN)
SYN = int(Flags.SYN)
RST = int(Flags.RST)
PSH = int(Flags.PSH)
ACK = int(Flags.ACK)


@dataclasses.dataclass(slots=True)
class Segment:
    """One TCP segment; ``seq`` and ``ack`` are its header's 32-bit numbers.

    ``raw`` is the whole IP packet. ``retransmission`` is the number of the
    retransmission of an opening: 0 for the first transmission, or if the
    caller does not send the number. ``is_returned`` is true for a segment of
    the caller that the upstream sent back, because the upstream cannot
    accept the opening or does not know the flow.
    """

    key: FlowKey
    flags: int
    seq: int
    ack: int
    payload_bytes: int
    raw: bytes
    retransmission: int = 0
    is_returned: bool = False


@dataclasses.dataclass(slots=True)
class Datagram:
    """One UDP datagram; ``raw`` is the whole IP packet."""

    key: FlowKey
    payload_bytes: int
    raw: bytes


Packet = Segment | Datagram


def make_key(
    protocol: int, caller: bytes, service: bytes, sport: int, dport: int
) -> FlowKey:
    """Return the flow key of a five-tuple.

    ``caller`` and ``service`` are addresses in network byte order. ``sport``
    is the caller's port and ``dport`` the service port.
    """
    ports = sport.to_bytes(PORT_BYTES, 'big') + dport.to_bytes(
        PORT_BYTES, 'big'
    )
    return FlowKey(bytes((protocol,)) + caller + service + ports)


def get_protocol(key: FlowKey) -> int:
    """Return the IP protocol number of a flow, such as 6 for TCP."""
    return key[0]


def get_service_address(key: FlowKey) -> bytes:
    """Return the service address of a flow, 4 or 16 bytes."""
    size = _compute_address_bytes(key)
    return key[1 + size : 1 + 2 * size]


def get_caller_address(key: FlowKey) -> bytes:
    """Return the caller's address of a flow, 4 or 16 bytes."""
    return key[1 : 1 + _compute_address_bytes(key)]


def get_service_port(key: FlowKey) -> int:
    """Return the service port of a flow."""
    return int.from_bytes(key[-PORT_BYTES:], 'big')


def get_caller_port(key: FlowKey) -> int:
    """Return the caller's port of a flow."""
    return int.from_bytes(key[-2 * PORT_BYTES : -PORT_BYTES], 'big')


def describe_key(key: FlowKey) -> str:
    """Return the flow as text, as in ``tcp 10.0.0.1:5000 > 10.1.0.1:443``."""
    name = {TCP: 'tcp', UDP: 'udp'}.get(key[0], str(key[0]))
    caller = ipaddress.ip_address(get_caller_address(key))
    service = ipaddress.ip_address(get_service_address(key))
    return (
        f'{name} {caller}:{get_caller_port(key)}'
        f' > {service}:{get_service_port(key)}'
    )


def is_opening(segment: Segment) -> bool:
    """Return whether a segment opens a connection (SYN without ACK)."""
    return segment.flags & (SYN | ACK) == SYN


def ends_message(segment: Segment) -> bool:
    """Return whether a segment carries the end of the sender's message.

    TCP sets the PSH flag on the segment with the last byte of the data that
    the sender has written. A segment with payload but without the flag thus
    belongs to a message that is still arriving.
    """
    return bool(segment.payload_bytes and segment.flags & PSH)


def get_retransmission_number(packet: Packet) -> int:
    """Return the number of an opening's retransmission.

    It is 0 for the first transmission and if the number is unknown, as it
    always is for UDP.
    """
    match packet:
        case Segment(retransmission=number):
            return number
        case Datagram():
            return 0


def is_retransmission(packet: Packet) -> bool:
    """Return whether a packet is a known retransmission of an opening."""
    return get_retransmission_number(packet) > 0


def _compute_address_bytes(key: FlowKey) -> int:
    return (len(key) - 1 - 2 * PORT_BYTES) // 2
