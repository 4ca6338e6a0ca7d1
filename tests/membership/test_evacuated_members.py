"""The leader lists the members of evacuated zones as evacuated."""

import dataclasses

import heartbeats
import pytest

from gentianspoke.codec import feed as feed_codec
from gentianspoke.core import views
from gentianspoke.decisions.control import membership
from gentianspoke.decisions import view_delta

LIMITS = heartbeats.LIMITS
LIVE, EVACUATED = views.State.LIVE, views.State.EVACUATED
DRAINING, SUSPECT = views.State.DRAINING, views.State.SUSPECT
ZONE_A, NO_ZONE = frozenset({'zone-a'}), frozenset()


def make_membership(term=1, zones=NO_ZONE):
    members = membership.Membership(term, LIMITS, 0)
    members.set_evacuated_zones(zones)
    return members


def announce(members, number=1, now=0, zone='zone-a', **fields):
    heartbeat = heartbeats.make_heartbeat(number, **fields)
    members.announce(dataclasses.replace(heartbeat, zone=zone), now)


def get_states(members):
    return [member.state for member in members.get_view(1).members]


@pytest.mark.parametrize(
    ('announced', 'zone', 'listed', 'listed_after'),
    [
        (LIVE, 'zone-a', EVACUATED, LIVE),
        (LIVE, 'zone-b', LIVE, LIVE),
        (DRAINING, 'zone-a', DRAINING, DRAINING),
    ],
)
@pytest.mark.parametrize('joins_late', [False, True])
def test_a_member_that_would_be_live_is_evacuated_with_its_zone(
    announced, zone, listed, listed_after, joins_late
):
    # Guards against new flows at a member that was there before the order or
    # joins after it, and against a draining member that is taken for live
    # after the evacuation.
    members = make_membership(zones=ZONE_A if joins_late else NO_ZONE)
    announce(members, zone=zone, state=announced)
    members.set_evacuated_zones(ZONE_A)
    assert get_states(members) == [listed]
    (member,) = members.get_view(1).members
    assert bool(member.closed_view) is (listed is not LIVE)
    members.set_evacuated_zones(NO_ZONE)
    assert get_states(members) == [listed_after]


def test_a_drained_member_is_evacuated_when_it_reports_that_it_is_live():
    # Guards against an upstream that takes flows after its own restart.
    members = make_membership(zones=ZONE_A)
    states = []
    for now, announced in enumerate((LIVE, DRAINING, LIVE)):
        announce(members, now=now, state=announced)
        states += get_states(members)
    assert states == [EVACUATED, DRAINING, EVACUATED]


@pytest.mark.parametrize('leases_possible', [True, False])
@pytest.mark.parametrize(
    ('zones_before', 'zones_after', 'expected'),
    [(NO_ZONE, ZONE_A, EVACUATED), (ZONE_A, NO_ZONE, LIVE)],
)
def test_a_new_leader_computes_the_state_from_its_log(
    leases_possible, zones_before, zones_after, expected
):
    # Guards against a leader that takes over the state of an earlier view.
    earlier = make_membership(zones=zones_before)
    announce(earlier)
    leader = make_membership(term=2, zones=zones_after)
    leader.earlier_leases_possible = leases_possible
    leader.add_earlier_members([earlier.get_view(1)], 0)
    assert get_states(leader) == [SUSPECT if leases_possible else expected]
    announce(leader, now=1)
    assert get_states(leader) == [expected]


def test_a_silent_evacuated_member_is_suspected_and_removed():
    # Guards against a list of dead members that grows until the zone returns.
    members = make_membership(zones=ZONE_A)
    announce(members, 1)
    states = []
    removal_ms = LIMITS.removal_timeout_ms
    for now in (*range(0, removal_ms, 500), removal_ms):
        announce(members, 2, now)
        members.tick(now)
        states.append(get_states(members))
    assert [SUSPECT, EVACUATED] in states
    assert states[-1] == [EVACUATED]


@pytest.mark.parametrize('announced', [LIVE, DRAINING])
def test_consumers_get_the_state_and_the_zone(announced):
    # Guards against a draining member whose agent does not learn that its zone
    # is evacuated, and against a digest that does not show the difference.
    members = make_membership()
    announce(members, state=announced)
    before = members.get_view(1)
    members.set_evacuated_zones(ZONE_A)
    after = members.get_view(1)
    message = feed_codec.encode_delta(view_delta.compute_delta(before, after))
    received = view_delta.apply_delta(before, feed_codec.decode_view(message))
    assert received == after and received.members[0].zone_evacuated
    member = dataclasses.replace(after.members[0], zone_evacuated=False)
    other = dataclasses.replace(after, members=(member,))
    digests = map(view_delta.compute_view_digest, (other, received))
    assert len(set(digests)) == 2


def test_an_agent_cannot_announce_that_it_is_evacuated():
    # Guards against a member that becomes live by such a heartbeat.
    heartbeat = heartbeats.make_heartbeat(1, EVACUATED)
    message = feed_codec.encode_announcement(heartbeat, ())
    assert feed_codec.decode_announcement(message, {}).state is SUSPECT
