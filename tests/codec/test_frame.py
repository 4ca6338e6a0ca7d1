"""An encoded frame is decoded unchanged; an invalid frame is rejected."""

import builders
import fakes
import pytest

from gentianspoke.codec import frame
from gentianspoke.codec import keys
from gentianspoke.core import frames
from gentianspoke import errors

RING = keys.KeyRing(1, {1: bytes(32), 2: bytes(31) + b'x'})
FORWARD = fakes.forward(7, builders.segment())
OFFER = frames.Forward(
    1, 2, 3, 4, b'p', frames.Purpose.OFFER, (5, 6), 7, 8, 9, 10, 11, 12
)
LOAD = frames.LoadReport(1, 2, 3, 4, 5, 6, 7, 8, 9)
INQUIRY = frames.FlowInquiry(1, 2, 1 << 63, (b'k1', b'k2'), (3, 4), 5, 6)
REPLY = frames.FlowInquiryReply(1, 1 << 63, 1 << 31, 3, True, 5, 6)


@pytest.mark.parametrize('content', [FORWARD, OFFER, LOAD, INQUIRY, REPLY])
def test_decoding_restores_an_encoded_frame(content):
    assert frame.decode(frame.encode(content, RING), RING) == content


@pytest.mark.parametrize(
    ('ring', 'reason'),
    [
        (keys.KeyRing(1, {1: bytes(31) + b'y'}), 'bad-tag'),
        (keys.KeyRing(3, {3: bytes(32)}), 'unknown-key'),
    ],
)
def test_a_frame_of_another_deployment_is_rejected(ring, reason):
    with pytest.raises(errors.PacketError) as caught:
        frame.decode(frame.encode(FORWARD, ring), RING)
    assert caught.value.reason == reason


@pytest.mark.parametrize(
    ('content', 'reason'),
    [
        pytest.param(
            frames.Forward(1, 2, 3, 4, b'p', tried=tuple(range(1, 67))),
            'long-trail',
            id='too-many-members',
        ),
        pytest.param(
            frames.FlowInquiry(1, 2, 3, (b'key',) * 33, (), 5),
            'long-inquiry',
            id='too-many-flows',
        ),
    ],
)
def test_a_frame_that_lists_too_much_is_rejected(content, reason):
    with pytest.raises(errors.PacketError) as caught:
        frame.decode(frame.encode(content, RING), RING)
    assert caught.value.reason == reason
