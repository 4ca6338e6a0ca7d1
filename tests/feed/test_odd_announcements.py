"""A heartbeat that nobody could use is refused, and the next one is read."""

import google.protobuf.message
import hypothesis
from hypothesis import strategies
import pytest

from gentianspoke.codec import feed as feed_codec
from gentianspoke import errors
from gentianspoke.generated import catalogue_pb2
from gentianspoke.generated import feed_pb2

deterministic = hypothesis.settings(
    derandomize=True, max_examples=300, database=None, deadline=None
)


def make_announcement(**fields):
    """Return a heartbeat of an agent with some fields of its member."""
    values = {'id': 7, 'host': '10.0.0.9', 'port': 7_720, 'weight': 100}
    return feed_pb2.Announcement(member=feed_pb2.Member(**values | fields))


@pytest.mark.parametrize(
    'fields',
    [
        pytest.param({'port': 0}, id='port-0'),
        pytest.param({'port': 65_536}, id='port-above-the-range'),
        pytest.param({'port': 2**32 - 1}, id='greatest-number'),
        pytest.param({'host': ''}, id='no-host'),
        pytest.param({'host': 'upstream.example'}, id='host-name'),
        pytest.param({'host': '10.0.0.999'}, id='no-ip-address'),
    ],
)
def test_an_address_that_cannot_be_used_is_refused(fields):
    with pytest.raises(errors.ControlError):
        feed_codec.decode_announcement(make_announcement(**fields), {})


@pytest.mark.parametrize(
    ('weight', 'expected_weight'), [(0, 1), (100, 100), (2**32 - 1, 1_000)]
)
def test_a_weight_is_limited(weight, expected_weight):
    message = make_announcement(weight=weight)
    announcement = feed_codec.decode_announcement(message, {})
    assert announcement.weight == expected_weight


@deterministic
@hypothesis.given(strategies.binary(max_size=120))
def test_any_message_is_decoded_or_raises_a_typed_error(data):
    for message_type, decode in (
        (
            feed_pb2.Announcement,
            lambda message: feed_codec.decode_announcement(message, {}),
        ),
        (feed_pb2.View, feed_codec.decode_view),
        (
            feed_pb2.CatalogueUpdate,
            feed_codec.decode_catalogue_entries,
        ),
        (feed_pb2.Summary, feed_codec.decode_summary),
    ):
        try:
            message = message_type.FromString(data)
        except google.protobuf.message.DecodeError:
            continue
        try:
            decode(message)
        except errors.ControlError:
            continue


def test_an_entry_list_of_random_bytes_is_refused():
    message = feed_pb2.CatalogueUpdate(
        packed_entries=catalogue_pb2.EntryList().SerializeToString() + b'\x01'
    )
    with pytest.raises(errors.ControlError):
        feed_codec.decode_catalogue_entries(message)
