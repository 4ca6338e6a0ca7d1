"""The IP codec parses whole TCP and UDP packets and rejects all others."""

import builders
import dpkt
import pytest

from gentianspoke.codec import ip
from gentianspoke.core import packets
from gentianspoke import errors

SYN = ip.make_packet(
    builders.CALLER_ADDRESS,
    builders.SERVICE_ADDRESS,
    packets.TCP,
    dpkt.tcp.TCP(sport=5_000, dport=443, seq=7, flags=packets.SYN),
)
# Byte 6 of an IPv4 header holds the flags, here "more fragments", and byte 9
# the protocol, here ICMP.
FRAGMENT = SYN[:6] + b'\x20\x00' + SYN[8:]
ICMP = SYN[:9] + b'\x01' + SYN[10:]


@pytest.mark.parametrize(
    ('raw', 'reason'),
    [
        pytest.param(b'', 'empty', id='empty'),
        pytest.param(b'\x00', 'not-ip', id='no-ip-version'),
        pytest.param(SYN[:10], 'truncated', id='short-ip-header'),
        pytest.param(SYN[:-1], 'truncated', id='short-payload'),
        pytest.param(FRAGMENT, 'fragment', id='fragment'),
        pytest.param(ICMP, 'not-tcp-or-udp', id='other-protocol'),
        pytest.param(SYN + bytes(70_000), 'oversized', id='oversized'),
    ],
)
def test_an_invalid_packet_is_rejected_with_its_reason(raw, reason):
    with pytest.raises(errors.PacketError) as caught:
        ip.parse(raw)
    assert caught.value.reason == reason


def test_both_directions_of_a_flow_have_the_same_key():
    refusal = ip.make_refusal(ip.parse(SYN))
    assert ip.parse(refusal, reply=True).key == builders.flow_key()


def test_a_refusal_acknowledges_the_opening():
    refusal = ip.parse(ip.make_refusal(ip.parse(SYN)), reply=True)
    assert refusal.flags & packets.RST
    assert refusal.ack == 8
