"""Tests of the views that the leader of one term issues from heartbeats."""

import heartbeats
import pytest

from gentianspoke.core import views
from gentianspoke.decisions.control import membership

LIMITS = heartbeats.LIMITS
make_heartbeat = heartbeats.make_heartbeat
LIVE = views.State.LIVE
DRAINING = views.State.DRAINING
SUSPECT = views.State.SUSPECT
# The time after which a silent member is removed if another member is live. It
# is also the grace period of a leader if earlier leases may still be valid.
REMOVAL_MS = LIMITS.removal_timeout_ms


def make_membership(term=1, now=0):
    return membership.Membership(term, LIMITS, now)


def keep_alive(
    members, numbers, until_ms, start_ms=0, confirmed_age_ms=0, **fields
):
    """Send members' heartbeats and tick, every 500 ms and at the end."""
    for now in (*range(start_ms, until_ms, 500), until_ms):
        for number in numbers:
            members.announce(make_heartbeat(number, **fields), now)
        members.tick(now, confirmed_age_ms)


def find_member(members, number=1, service=1):
    matching = [
        m for m in members.get_view(service).members if m.number == number
    ]
    return matching[0] if matching else None


def test_views_are_issued_only_after_the_grace_period():
    members = make_membership()
    keep_alive(members, (1, 2), REMOVAL_MS)
    assert members.pop_changed_views(REMOVAL_MS - 1) == []
    (view,) = members.pop_changed_views(REMOVAL_MS)
    assert [member.number for member in view.members] == [1, 2]
    assert members.pop_changed_views(REMOVAL_MS) == []


@pytest.mark.parametrize(
    ('silent_ms', 'state'),
    [
        (LIMITS.suspect_timeout_ms - 1, LIVE),
        (LIMITS.suspect_timeout_ms, SUSPECT),
        (REMOVAL_MS - 1, SUSPECT),
        (REMOVAL_MS, None),
    ],
)
@pytest.mark.parametrize('age_ms', [0, 700])
def test_silence_is_measured_up_to_the_last_confirmation(
    silent_ms, state, age_ms
):
    members = make_membership()
    members.announce(make_heartbeat(1), 0)
    until_ms = silent_ms + age_ms
    keep_alive(members, (2,), until_ms, confirmed_age_ms=age_ms)
    member = find_member(members)
    assert (member.state if member else None) is state


@pytest.mark.parametrize('state', [DRAINING, LIVE, SUSPECT])
def test_only_a_member_that_is_not_live_has_a_closed_view(state):
    members = make_membership()
    members.announce(make_heartbeat(1, state), 0)
    member = find_member(members)
    assert bool(member.closed_view) is (state is not LIVE)


@pytest.mark.parametrize(
    ('states', 'is_same_number'),
    [
        pytest.param((LIVE, LIVE), True, id='stays-live'),
        pytest.param((LIVE, DRAINING), False, id='drains'),
        pytest.param((DRAINING, DRAINING), True, id='still-drains'),
        pytest.param((DRAINING, LIVE), False, id='is-live-again'),
    ],
)
def test_the_view_number_grows_only_when_the_set_of_live_members_changes(
    states, is_same_number
):
    members = make_membership()
    numbers = []
    for now, state in enumerate(states):
        members.announce(make_heartbeat(1, state), now)
        numbers.append(members.get_view(1).number)
    assert (numbers[0] == numbers[1]) is is_same_number


def test_a_returning_suspect_member_joins_in_a_new_view():
    members = make_membership()
    members.announce(make_heartbeat(1), 0)
    before = find_member(members)
    keep_alive(members, (2,), LIMITS.suspect_timeout_ms)
    closed = find_member(members)
    members.announce(make_heartbeat(1), LIMITS.suspect_timeout_ms + 1)
    after = find_member(members)
    assert before.joined_view < closed.closed_view < after.joined_view
    assert after.closed_view == 0


def test_a_leaving_member_stays_listed_until_its_lease_has_expired():
    members = make_membership()
    keep_alive(members, (1, 2), 1_000)
    grant = members.announce(make_heartbeat(1, leaving=True), 1_100)
    assert grant == membership.Grant(0, renewal_only=True)
    keep_alive(members, (2,), 1_000 + REMOVAL_MS - 1, start_ms=1_200)
    assert not find_member(members).is_live
    members.tick(1_000 + REMOVAL_MS)
    assert find_member(members) is None


def test_an_acknowledgement_is_never_withdrawn():
    members = make_membership()
    members.announce(make_heartbeat(1), 0)
    number = members.get_view(1).number
    members.announce(make_heartbeat(1, acked_view=number), 1)
    grant = members.announce(make_heartbeat(1, acked_view=0), 2)
    assert find_member(members).acked_view == number
    assert grant.renewal_only


def test_a_member_is_removed_from_a_service_that_it_stops_announcing():
    members = make_membership()
    keep_alive(members, (1, 2), 500, services=(1, 2))
    keep_alive(members, (1,), 500 + REMOVAL_MS, start_ms=600, services=(1,))
    keep_alive(members, (2,), 500 + REMOVAL_MS, start_ms=600, services=(1, 2))
    members.tick(500 + REMOVAL_MS)
    assert find_member(members, service=1) is not None
    assert find_member(members, service=2) is None


def test_a_new_weight_applies_once_the_member_has_acknowledged_its_closing():
    members = make_membership()
    members.announce(make_heartbeat(1), 0)
    members.announce(make_heartbeat(1, weight=50), 1)
    closed = find_member(members)
    assert (closed.weight, closed.is_live) == (100, False)
    members.announce(
        make_heartbeat(1, weight=50, acked_view=closed.closed_view), 2
    )
    after = find_member(members)
    assert (after.weight, after.is_live) == (50, True)
    assert after.joined_view > closed.closed_view


@pytest.mark.parametrize(
    ('silent_ms', 'is_listed'),
    [
        (REMOVAL_MS, True),
        (membership.LAST_MEMBERS_RETENTION_MS - 1, True),
        (membership.LAST_MEMBERS_RETENTION_MS, False),
    ],
)
def test_the_last_members_stay_listed_for_the_retention_time(
    silent_ms, is_listed
):
    members = make_membership()
    members.announce(make_heartbeat(1), 0)
    for now in range(0, silent_ms, 500):
        members.tick(now)
    members.tick(silent_ms)
    assert (find_member(members) is not None) is is_listed


def test_a_leader_that_was_suspended_removes_no_member():
    members = make_membership()
    keep_alive(members, (1, 2), 5_000)
    members.tick(30_000)
    assert [m.state for m in members.get_view(1).members] == [LIVE, LIVE]


def test_a_flapping_member_causes_views_in_increasing_order():
    members = make_membership()
    orders = []
    for now in range(0, 60_000, 100):
        if now // 2_500 % 2 == 0:
            members.announce(make_heartbeat(1), now)
        members.announce(make_heartbeat(2), now)
        members.tick(now)
        orders += [view.order for view in members.pop_changed_views(now)]
    assert len(orders) > 20
    assert all(old < new for old, new in zip(orders, orders[1:]))


def test_without_earlier_leases_the_grace_period_is_shorter():
    members = make_membership()
    members.earlier_leases_possible = False
    members.announce(make_heartbeat(1), 0)
    assert (
        members.pop_changed_views(membership.GRACE_WITHOUT_LEASES_MS - 1) == []
    )
    (view,) = members.pop_changed_views(membership.GRACE_WITHOUT_LEASES_MS)
    assert [member.number for member in view.members] == [1]


@pytest.mark.parametrize(
    ('earlier_leases_possible', 'state'), [(True, SUSPECT), (False, LIVE)]
)
def test_a_member_of_an_earlier_term_is_suspect_if_its_lease_may_be_valid(
    earlier_leases_possible, state
):
    before = make_membership()
    before.announce(make_heartbeat(1), 0)
    after = make_membership(term=2)
    after.earlier_leases_possible = earlier_leases_possible
    after.add_earlier_members([before.get_view(1)], 0)
    assert find_member(after).state is state
