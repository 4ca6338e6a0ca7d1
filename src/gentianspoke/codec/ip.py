"""Parsing of IP packets, and construction of resets and ICMP messages.

The formats are defined in RFC 791 and 8200 (IP), 9293 (TCP), 768 (UDP), 792
(ICMP) and 4443 (ICMPv6). ``dpkt`` writes headers and checksums. The parser
reads fields at fixed offsets instead, because it runs for every packet and
needs only a few fields.
"""

import struct

import dpkt

from gentianspoke.config import units
from gentianspoke.core import packets
from gentianspoke import errors

IPV4_HEADER_BYTES = 20
IPV6_HEADER_BYTES = 40
TCP_HEADER_BYTES = 20
UDP_HEADER_BYTES = 8
MAX_PACKET_BYTES = 65_535
# Covers the more-fragments flag and the offset in an IPv4 header.
FRAGMENT_MASK = 0x3FFF
IPV6_FRAGMENT_HEADER = 44
SEQ_MODULUS = 1 << 32
DEFAULT_TTL = 64
ICMP_CODE_ADMIN_PROHIBITED = 13
ICMP6_CODE_ADMIN_PROHIBITED = 1

_TCP_FIELDS = struct.Struct('!IIBB')
_U16 = struct.Struct('!H')


def parse(raw: bytes, *, reply: bool = False) -> packets.Packet:
    """Return the parsed fields of an IP packet.

    ``reply`` is true if the packet comes from the upstream. Source and
    destination are then swapped in the flow key, so that both directions
    of a flow have the same key.

    Raises :class:`gentianspoke.errors.PacketError` if ``raw`` is not a
    whole, unfragmented TCP or UDP packet.
    """
    if not raw:
        raise errors.PacketError('empty')
    if len(raw) > MAX_PACKET_BYTES:
        raise errors.PacketError('oversized')
    match raw[0] >> 4:
        case 4:
            return _parse_ipv4(raw, reply)
        case 6:
            return _parse_ipv6(raw, reply)
        case _:
            raise errors.PacketError('not-ip')


def make_refusal(packet: packets.Packet) -> bytes:
    """Return the packet that tells the caller that ``packet`` is refused.

    A segment that opens a flow is refused with a TCP reset, and a datagram
    with the ICMP message "administratively prohibited". Both tell the caller
    that the upstream has not run its request.
    """
    match packet:
        case packets.Segment():
            ack = (packet.seq + packet.payload_bytes + 1) % SEQ_MODULUS
            return make_reset_to_caller(packet.key, 0, ack)
        case packets.Datagram():
            return _make_icmp_prohibited(packet)


def make_reset_to_caller(key: packets.FlowKey, seq: int, ack: int) -> bytes:
    """Return a TCP reset to the caller, with the service as its source."""
    return _make_reset(
        packets.get_service_address(key),
        packets.get_caller_address(key),
        packets.get_service_port(key),
        packets.get_caller_port(key),
        seq,
        ack,
    )


def make_reset_to_upstream(key: packets.FlowKey, seq: int, ack: int) -> bytes:
    """Return a TCP reset to the upstream, with the caller as its source."""
    return _make_reset(
        packets.get_caller_address(key),
        packets.get_service_address(key),
        packets.get_caller_port(key),
        packets.get_service_port(key),
        seq,
        ack,
    )


def find_next_hop(raw: bytes) -> units.Address | None:
    """Return ``None``, since all packets for callers go to the fabric."""


def _parse_ipv4(raw: bytes, reply: bool) -> packets.Packet:
    if len(raw) < IPV4_HEADER_BYTES:
        raise errors.PacketError('truncated')
    header_bytes = (raw[0] & 0x0F) * 4
    total_bytes = _U16.unpack_from(raw, 2)[0]
    if header_bytes < IPV4_HEADER_BYTES or not header_bytes <= total_bytes:
        raise errors.PacketError('bad-header')
    if total_bytes > len(raw):
        raise errors.PacketError('truncated')
    if _U16.unpack_from(raw, 6)[0] & FRAGMENT_MASK:
        raise errors.PacketError('fragment')
    source, destination = raw[12:16], raw[16:20]
    return _parse_transport(
        raw[:total_bytes], raw[9], source, destination, header_bytes, reply
    )


def _parse_ipv6(raw: bytes, reply: bool) -> packets.Packet:
    if len(raw) < IPV6_HEADER_BYTES:
        raise errors.PacketError('truncated')
    if raw[6] == IPV6_FRAGMENT_HEADER:
        raise errors.PacketError('fragment')
    total_bytes = IPV6_HEADER_BYTES + _U16.unpack_from(raw, 4)[0]
    if total_bytes > len(raw):
        raise errors.PacketError('truncated')
    source, destination = raw[8:24], raw[24:40]
    return _parse_transport(
        raw[:total_bytes],
        raw[6],
        source,
        destination,
        IPV6_HEADER_BYTES,
        reply,
    )


def _parse_transport(
    raw: bytes,
    protocol: int,
    source: bytes,
    destination: bytes,
    transport_offset: int,
    reply: bool,
) -> packets.Packet:
    if protocol == packets.TCP:
        min_header_bytes = TCP_HEADER_BYTES
    elif protocol == packets.UDP:
        min_header_bytes = UDP_HEADER_BYTES
    else:
        raise errors.PacketError('not-tcp-or-udp')
    if len(raw) < transport_offset + min_header_bytes:
        raise errors.PacketError('truncated')
    sport, dport = (
        raw[transport_offset : transport_offset + 2],
        raw[transport_offset + 2 : transport_offset + 4],
    )
    if reply:
        addresses, ports = destination + source, dport + sport
    else:
        addresses, ports = source + destination, sport + dport
    key = packets.FlowKey(bytes((protocol,)) + addresses + ports)
    if protocol == packets.UDP:
        return packets.Datagram(
            key, len(raw) - transport_offset - UDP_HEADER_BYTES, raw
        )
    return _parse_segment(raw, transport_offset, key)


def _parse_segment(
    raw: bytes, transport_offset: int, key: packets.FlowKey
) -> packets.Segment:
    seq, ack, data_offset_byte, flags = _TCP_FIELDS.unpack_from(
        raw, transport_offset + 4
    )
    header_bytes = (data_offset_byte >> 4) * 4
    payload_bytes = len(raw) - transport_offset - header_bytes
    if header_bytes < TCP_HEADER_BYTES or payload_bytes < 0:
        raise errors.PacketError('bad-header')
    return packets.Segment(key, flags, seq, ack, payload_bytes, raw)


def _make_reset(
    source: bytes,
    destination: bytes,
    sport: int,
    dport: int,
    seq: int,
    ack: int,
) -> bytes:
    segment = dpkt.tcp.TCP(
        sport=sport,
        dport=dport,
        seq=seq % SEQ_MODULUS,
        ack=ack % SEQ_MODULUS,
        flags=int(packets.Flags.RST | packets.Flags.ACK),
        win=0,
    )
    return make_packet(source, destination, packets.TCP, segment)


def make_packet(
    source: bytes, destination: bytes, protocol: int, payload: dpkt.Packet
) -> bytes:
    """Return an IP packet with checksums that carries ``payload``."""
    if len(source) == 4:
        packet = dpkt.ip.IP(
            src=source,
            dst=destination,
            p=protocol,
            ttl=DEFAULT_TTL,
            data=payload,
        )
        packet.len = len(packet)
        return bytes(packet)
    packet6 = dpkt.ip6.IP6(
        src=source,
        dst=destination,
        nxt=protocol,
        hlim=DEFAULT_TTL,
        plen=len(payload),
        data=payload,
    )
    packet6.extension_hdrs = {}
    packet6.all_extension_headers = []
    return bytes(packet6)


def _make_icmp_prohibited(packet: packets.Datagram) -> bytes:
    service = packets.get_service_address(packet.key)
    caller = packets.get_caller_address(packet.key)
    if len(service) == 4:
        unreachable = dpkt.icmp.ICMP.Unreach(
            data=packet.raw[: IPV4_HEADER_BYTES + UDP_HEADER_BYTES]
        )
        message = dpkt.icmp.ICMP(
            type=dpkt.icmp.ICMP_UNREACH,
            code=ICMP_CODE_ADMIN_PROHIBITED,
            data=unreachable,
        )
        return make_packet(service, caller, dpkt.ip.IP_PROTO_ICMP, message)
    # The body of the message begins with four unused bytes.
    body = bytes(4) + packet.raw[: IPV6_HEADER_BYTES + UDP_HEADER_BYTES]
    message6 = dpkt.icmp6.ICMP6(
        type=dpkt.icmp6.ICMP6_DST_UNREACH,
        code=ICMP6_CODE_ADMIN_PROHIBITED,
        data=body,
    )
    return make_packet(service, caller, dpkt.ip.IP_PROTO_ICMP6, message6)
