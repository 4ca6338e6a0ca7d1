"""The codec parses and builds packets in the platform's published format."""

from gentianspoke_platform import headers
import pytest

from gentianspoke.core import packets
from gentianspoke import errors

PORT = 8_172
CODEC = headers.HeaderCodec(PORT)
CALLER = bytes((100, 64, 0, 7))
SERVICE = bytes((198, 18, 0, 1))
KEY = packets.make_key(packets.TCP, CALLER, SERVICE, 40_001, 443)
OPENING = bytes.fromhex(
    'd5c3b2a1 bb01 07004064 010012c6 419c 00000000 44332211 00000000'
    ' 0000 40 000000'
)
RESET = bytes.fromhex(
    '00000000 419c 0100 12c6 0700 4064 bb01 00000000 00000000 00000000'
    ' 0000 10 000000'
)


def make_packet(
    flags=headers.ACK, seq=1, ack=2, data=b'', length=None, reply=False
):
    """Return a packet of the caller, or of the upstream with ``reply``."""
    endpoints = (
        443,
        headers.reverse_bytes(CALLER),
        headers.reverse_bytes(SERVICE),
        40_001,
    )
    if reply:
        endpoints = (
            40_001,
            headers.reverse_bytes(SERVICE),
            headers.reverse_bytes(CALLER),
            443,
        )
    length = len(data) if length is None else length
    # The codec ignores the checksum, here 7, and the echo field, here 0.
    header = headers.HEADER.pack(
        7, *endpoints, 0, seq, ack, length, flags, headers.PAD
    )
    return header + data


def test_the_published_opening_is_parsed():
    packet = CODEC.parse(OPENING)
    assert packet == packets.Segment(
        KEY, packets.SYN, 0x11223344, 0, 0, OPENING
    )


def test_a_refusal_is_the_published_reset():
    assert CODEC.make_refusal(CODEC.parse(OPENING)) == RESET


@pytest.mark.parametrize(
    ('platform_flag', 'own_flag'),
    [
        (headers.SYN, packets.SYN),
        (headers.SYN | headers.ACK, packets.SYN | packets.ACK),
        (headers.ACK, packets.ACK),
        (headers.FIN | headers.ACK, packets.FIN | packets.ACK),
        (headers.RST, packets.RST),
    ],
)
def test_flags_are_translated(platform_flag, own_flag):
    assert CODEC.parse(make_packet(platform_flag)).flags == own_flag


@pytest.mark.parametrize(
    ('size', 'ends_message'),
    [
        pytest.param(0, False, id='no data'),
        pytest.param(900, True, id='partly filled'),
        pytest.param(headers.MAX_DATA_BYTES, False, id='full'),
    ],
)
def test_a_partly_filled_packet_ends_a_message(size, ends_message):
    packet = CODEC.parse(make_packet(data=bytes(size)))
    assert packets.ends_message(packet) is ends_message


@pytest.mark.parametrize(
    ('flags', 'retransmission'),
    [(headers.SYN, 2), (headers.ACK, 0), (headers.RST, 0)],
)
def test_only_an_opening_has_a_retransmission_number(flags, retransmission):
    assert (
        CODEC.parse(make_packet(flags, ack=2)).retransmission == retransmission
    )


def test_a_reply_has_the_flow_key_of_the_callers_packets():
    packet = CODEC.parse(make_packet(data=b'abc', reply=True), reply=True)
    assert (packet.key, packet.payload_bytes) == (KEY, 3)


def test_a_returned_packet_is_restored_to_the_callers_packet():
    sent = make_packet(data=b'abc')
    returned_raw = bytearray(sent)
    returned_raw[headers.FLAGS_OFFSET] |= headers.BOUNCED
    packet = CODEC.parse(bytes(returned_raw), reply=True)
    assert (packet.key, packet.is_returned, packet.raw) == (KEY, True, sent)


@pytest.mark.parametrize(
    ('raw', 'reason'),
    [
        pytest.param(b'', 'truncated', id='empty'),
        pytest.param(make_packet()[:-1], 'truncated', id='truncated header'),
        pytest.param(
            make_packet(length=1), 'bad-length', id='less data than stated'
        ),
        pytest.param(
            make_packet(data=b'ab', length=1),
            'bad-length',
            id='more data than stated',
        ),
        pytest.param(
            make_packet(data=bytes(1_201)),
            'bad-length',
            id='more data than allowed',
        ),
        pytest.param(make_packet(flags=1), 'unknown-flags', id='unknown flag'),
        pytest.param(
            make_packet(flags=headers.ACK | headers.BOUNCED),
            'unknown-flags',
            id='returned packet from a caller',
        ),
    ],
)
def test_an_invalid_packet_is_refused_with_a_reason(raw, reason):
    with pytest.raises(errors.PacketError) as caught:
        CODEC.parse(raw)
    assert caught.value.reason == reason


def test_a_reset_is_sent_to_the_callers_own_address():
    raw = CODEC.make_reset_to_caller(KEY, 5, 6)
    assert CODEC.find_next_hop(raw) == ('100.64.0.7', PORT)
    reset = CODEC.parse(raw, reply=True)
    assert (reset.key, reset.flags, reset.seq) == (KEY, packets.RST, 5)
