"""Tests that a consumer's copy equals the source within its scope.

The tests cover deltas of views, digests of the content, and which services
and details a scope includes.
"""

import dataclasses
import random

import builders
import control_fakes
import heartbeats
import pytest

from gentianspoke.codec import feed as feed_codec
from gentianspoke.codec import packing
from gentianspoke.core import views
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control import membership
from gentianspoke.decisions.control import scopes
from gentianspoke.decisions import feed_copy
from gentianspoke.decisions import view_delta
from gentianspoke import errors
from gentianspoke.generated import feed_pb2
from gentianspoke.shells.control import feed_source
from gentianspoke.shells.control import subscriber

SEED = 11
FULL_SCOPE = scopes.Scope(scopes.Detail.FULL)
ROUTING_SCOPE = scopes.Scope(scopes.Detail.ROUTING)
RELAY_SCOPE = scopes.Scope(scopes.Detail.FULL, catalogue=False)
FULL_SCOPE_OF_A = scopes.Scope(scopes.Detail.FULL, frozenset({'a'}))


def make_view(number, revision, *members):
    return views.View(1, number, tuple(members), revision)


MEMBER_1, MEMBER_2 = builders.member(1), builders.member(2)
MEMBER_2_ACKED = builders.member(2, acked_view=7)


@pytest.mark.parametrize(
    ('old_members', 'new_members', 'changed_count', 'removed_count'),
    [
        pytest.param((MEMBER_1,), (MEMBER_1, MEMBER_2), 1, 0, id='joins'),
        pytest.param((MEMBER_1, MEMBER_2), (MEMBER_1,), 0, 1, id='leaves'),
        pytest.param(
            (MEMBER_1, MEMBER_2),
            (MEMBER_1, MEMBER_2_ACKED),
            1,
            0,
            id='acknowledges',
        ),
        pytest.param((MEMBER_1,), (MEMBER_2,), 1, 1, id='replaced'),
        pytest.param((), (), 0, 0, id='empty'),
    ],
)
def test_a_delta_turns_only_its_base_into_the_newer_view(
    old_members, new_members, changed_count, removed_count
):
    before, after = (
        make_view(1, 1, *old_members),
        make_view(2, 2, *new_members),
    )
    delta = view_delta.compute_delta(before, after)
    assert (len(delta.changed), len(delta.removed)) == (
        changed_count,
        removed_count,
    )
    decoded = feed_codec.decode_view(feed_codec.encode_delta(delta))
    assert view_delta.apply_delta(before, decoded) == after
    assert (
        view_delta.apply_delta(make_view(1, 2, *old_members), decoded) is None
    )


@pytest.mark.parametrize(
    ('stored_order', 'offered_order', 'accepted'),
    [((2, 1), (2, 0), False), ((2, 1), (1, 9), False), ((2, 1), (2, 2), True)],
)
def test_a_copy_does_not_accept_an_older_view(
    stored_order, offered_order, accepted
):
    # The order of a view is its number and its revision.
    copy = feed_copy.FeedCopy()
    copy.store_view(make_view(*stored_order, MEMBER_1))
    assert copy.store_view(make_view(*offered_order, MEMBER_2)) is accepted


def apply_edit(log, name, number, base=0, handshake=False):
    """Add or replace an entry of the log's catalogue.

    ``number`` is the number of the service and also its only port, so that no
    two entries share a port. ``base`` is the version that the edit replaces.
    """
    entry = dataclasses.replace(
        builders.service(number=number),
        name=name,
        ports=(number,),
        handshake=handshake,
    )
    edit = catalogue_records.Edit(name, base, catalogue_records.Put(entry))
    key = f'{name}/{log.catalogue.version}'
    assert log.catalogue.apply(
        catalogue_records.Request(key, 'operator', (edit,))
    ).accepted


def deliver(replies, copy):
    """Store the updates that ``replies`` carry in a consumer's copy."""
    for reply in replies:
        match reply.WhichOneof('content'):
            case 'catalogue':
                entries = feed_codec.decode_catalogue_entries(reply.catalogue)
                copy.store_entries(
                    reply.catalogue.version,
                    entries,
                    is_snapshot=reply.catalogue.snapshot,
                )
            case 'view':
                match feed_codec.decode_view(reply.view):
                    case views.View() as view:
                        assert copy.store_view(view)
                    case delta:
                        assert copy.apply_view_delta(delta)


@pytest.mark.parametrize('scope', [FULL_SCOPE, ROUTING_SCOPE, FULL_SCOPE_OF_A])
def test_a_copy_equals_its_source_after_random_changes(scope):
    rng = random.Random(SEED)
    log = control_fakes.FakeLog()
    for number, name in enumerate('abc', 1):
        apply_edit(log, name, number)
    source = feed_source.FeedSource(log)
    members = membership.Membership(1, heartbeats.LIMITS, 0)
    copy = feed_copy.FeedCopy()
    feed_subscriber = subscriber.Subscriber(source, scope, 0, {})
    # The grace period of the leader, in which it issues no view, is over after
    # 3,150 ms.
    for step in range(200):
        now = 4_000 + step * 300
        announcement = heartbeats.make_heartbeat(
            rng.randrange(1, 6),
            rng.choice((views.State.LIVE, views.State.DRAINING)),
            services=(1, 2, 3),
            # View numbers of term 1 start at 2**32.
            acked_view=rng.randrange(2**32, 2**32 + 400),
        )
        members.announce(announcement, now)
        members.tick(now)
        for changed in members.pop_changed_views(now):
            source.store_view(changed)
            feed_subscriber.mark_changed(changed.service)
        if step % 20 == 0:
            name = rng.choice('abc')
            base = log.catalogue.entries[name].version
            apply_edit(log, name, 'abc'.index(name) + 1, base)
        deliver(feed_subscriber.pop_due_updates(), copy)
        assert feed_subscriber.compute_digest() == copy.compute_digest()
    expected_count = 1 if scope.names else 3
    assert (len(copy.views_by_pool), len(copy.entries)) == (
        expected_count,
        expected_count,
    )
    assert copy.version == log.catalogue.version


def make_source(handshake=False):
    log = control_fakes.FakeLog()
    apply_edit(log, 'a', 1, handshake=handshake)
    source = feed_source.FeedSource(log)
    source.store_view(make_view(5, 5, MEMBER_1, MEMBER_2))
    return log, source


@pytest.mark.parametrize(
    ('scope', 'handshake', 'expected_count'),
    [
        pytest.param(FULL_SCOPE, False, 1, id='agent'),
        pytest.param(FULL_SCOPE, True, 0, id='agent-with-handshake-only'),
        pytest.param(RELAY_SCOPE, True, 1, id='relay-with-handshake-only'),
        pytest.param(ROUTING_SCOPE, False, 0, id='entry-instance'),
    ],
)
def test_a_consumer_gets_no_change_that_it_does_not_need(
    scope, handshake, expected_count
):
    _, source = make_source(handshake)
    feed_subscriber = subscriber.Subscriber(source, scope, 0, {})
    feed_subscriber.pop_due_updates()
    source.store_view(make_view(5, 6, MEMBER_1, MEMBER_2_ACKED))
    feed_subscriber.mark_changed(1)
    assert len(feed_subscriber.pop_due_updates()) == expected_count


@pytest.mark.parametrize(
    ('held_orders', 'version', 'message_count', 'is_digest_known'),
    [
        pytest.param({}, 0, 2, True, id='holds-nothing'),
        pytest.param(
            {1: (5, 5), 2: (1, 1)}, 1, 0, False, id='holds-more-views'
        ),
        pytest.param({1: (5, 5)}, 1, 0, True, id='holds-everything'),
        pytest.param({1: (4, 9)}, 1, 1, True, id='holds-an-older-view'),
        pytest.param({1: (6, 0)}, 1, 0, False, id='holds-a-newer-view'),
        pytest.param({1: (5, 5)}, 7, 0, False, id='holds-a-newer-catalogue'),
    ],
)
def test_a_source_sends_only_what_the_consumer_lacks(
    held_orders, version, message_count, is_digest_known
):
    _, source = make_source()
    feed_subscriber = subscriber.Subscriber(
        source, FULL_SCOPE, version, held_orders
    )
    assert len(feed_subscriber.pop_due_updates()) == message_count
    assert bool(feed_subscriber.compute_digest()) is is_digest_known


def test_a_source_sends_a_view_once_it_is_newer_than_the_consumers():
    _, source = make_source()
    feed_subscriber = subscriber.Subscriber(source, FULL_SCOPE, 1, {1: (6, 0)})
    for number, expected_count in ((6, 0), (7, 1)):
        source.store_view(make_view(number, 0, MEMBER_1))
        feed_subscriber.mark_changed(1)
        assert len(feed_subscriber.pop_due_updates()) == expected_count


def test_one_update_covers_hundreds_of_changes():
    log, source = make_source()
    for base in range(1, 501):
        apply_edit(log, 'a', 1, base)
    feed_subscriber = subscriber.Subscriber(source, FULL_SCOPE, 1, {1: (5, 5)})
    (reply,) = feed_subscriber.pop_due_updates()
    assert not reply.catalogue.snapshot
    assert [entry.version for entry in reply.catalogue.entries] == [501]


def test_an_agent_gets_whole_views_once_a_service_needs_the_full_detail():
    log, source = make_source(handshake=True)
    source.store_view(make_view(5, 6, MEMBER_1, MEMBER_2_ACKED))
    feed_subscriber = subscriber.Subscriber(source, FULL_SCOPE, 0, {})
    copy = feed_copy.FeedCopy()
    deliver(feed_subscriber.pop_due_updates(), copy)
    acked_views = [item.acked_view for item in copy.views_by_pool[1].members]
    assert acked_views == [0, 0]
    apply_edit(log, 'b', 2)
    deliver(feed_subscriber.pop_due_updates(), copy)
    assert copy.views_by_pool[1].members == (MEMBER_1, MEMBER_2_ACKED)
    assert feed_subscriber.compute_digest() == copy.compute_digest()


@pytest.mark.parametrize('entry_count', [1, 33, 1_520])
def test_consumers_with_the_same_version_share_one_encoded_update(entry_count):
    log = control_fakes.FakeLog()
    for number in range(1, entry_count + 1):
        apply_edit(log, f'entry-{number}', number)
    source = feed_source.FeedSource(log)
    scopes_of_all = (FULL_SCOPE, ROUTING_SCOPE, FULL_SCOPE)
    replies = [
        subscriber.Subscriber(source, scope, 0, {}).pop_due_updates()
        for scope in scopes_of_all
    ]
    assert all(reply[0] is replies[0][0] for reply in replies)
    copy = feed_copy.FeedCopy()
    deliver(replies[0], copy)
    assert set(copy.entries) == set(range(1, entry_count + 1))
    # An entry takes some 60 bytes if it is not compressed.
    assert replies[0][0].ByteSize() < 1_000 + 30 * entry_count


@pytest.mark.parametrize(
    'packed',
    [
        pytest.param(b'x', id='not-compressed'),
        pytest.param(packing.pack(b'abc' * 100)[:-4], id='cut-short'),
        pytest.param(packing.pack(b'\xff' * 9), id='no-entries'),
    ],
)
def test_entries_that_cannot_be_read_raise_a_typed_error(packed):
    message = feed_pb2.CatalogueUpdate(version=1, packed_entries=packed)
    with pytest.raises(errors.ControlError):
        feed_codec.decode_catalogue_entries(message)
