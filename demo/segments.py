"""TCP segments of the stand-ins, built with dpkt."""

import dpkt

from gentianspoke.codec import ip
from gentianspoke.core import packets

SEQ_MODULUS = 1 << 32


def build(
    key: packets.FlowKey,
    flags: int,
    seq: int,
    ack: int,
    payload: bytes = b'',
    *,
    reply: bool = False,
) -> bytes:
    """Return a segment of a flow; ``reply`` is the upstream's direction."""
    caller = (packets.caller_address(key), packets.caller_port(key))
    service = (packets.service_address(key), packets.service_port(key))
    source, target = (service, caller) if reply else (caller, service)
    segment = dpkt.tcp.TCP(
        sport=source[1],
        dport=target[1],
        seq=seq % SEQ_MODULUS,
        ack=ack % SEQ_MODULUS,
        flags=flags,
        win=65_535,
        data=payload,
    )
    return ip.wrap(source[0], target[0], packets.TCP, segment)


def payload_of(segment: packets.Segment) -> bytes:
    """Return the payload of a parsed segment."""
    if not segment.payload_bytes:
        return b''
    return segment.raw[-segment.payload_bytes :]
