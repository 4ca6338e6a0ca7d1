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
LOAD = frames.LoadReport(1, 2, 3, 4, 5, 6, 7, 8)


@pytest.mark.parametrize('content', [FORWARD, OFFER, LOAD])
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


def test_a_frame_that_lists_too_many_members_is_rejected():
    forward = frames.Forward(1, 2, 3, 4, b'p', tried=tuple(range(1, 67)))
    with pytest.raises(errors.PacketError) as caught:
        frame.decode(frame.encode(forward, RING), RING)
    assert caught.value.reason == 'long-trail'
