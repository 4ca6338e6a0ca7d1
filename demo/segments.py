"""Build the TCP segments of the simulated callers and upstreams."""

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
    """Return an IP packet with a TCP segment of the flow ``key``.

    The segment goes from the caller to the service, or in the opposite
    direction if ``reply`` is true. ``seq`` and ``ack`` are reduced modulo
    2**32.
    """
    caller = (packets.get_caller_address(key), packets.get_caller_port(key))
    service = (packets.get_service_address(key), packets.get_service_port(key))
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
    return ip.make_packet(source[0], target[0], packets.TCP, segment)


def get_payload(segment: packets.Segment) -> bytes:
    """Return the payload of a parsed segment, which may be empty."""
    if not segment.payload_bytes:
        return b''
    return segment.raw[-segment.payload_bytes :]
