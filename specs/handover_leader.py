"""The steps of the model's leader, made by the class ``ServiceMembers``."""

import dataclasses
import functools

from gentianspoke.core import views
from gentianspoke.decisions.control import service_members
from specs import handover_state as states


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatResult:
    """The leader after a heartbeat.

    ``has_caught_up`` is true if the sender may get a new lease.
    """

    leader: states.Leader
    has_caught_up: bool


@functools.cache
def announce(
    leader: states.Leader,
    number: int,
    joining: bool,
    acked_view: int,
    oldest_flow_view: int,
    reset_min_view: bool,
) -> HeartbeatResult:
    """Return the result of a heartbeat from the agent ``number``.

    ``reset_min_view`` injects a mistake: for a new lease, the leader requires
    no newer view than the one in which the member became or stopped being
    live.
    """
    members = _load_members(leader)
    report = service_members.ServiceReport(
        states.SERVICE_NUMBER, acked_view, oldest_flow_view
    )
    listing = members.listings.get(number)
    if reset_min_view and listing is not None:
        member = listing.member
        listing.min_lease_view = member.joined_view or member.closed_view
    members.announce(
        build_announcement(number, joining, report), report, now=0
    )
    return HeartbeatResult(
        _export_leader(members), members.has_caught_up(number, report)
    )


@functools.cache
def mark_suspect(leader: states.Leader, number: int) -> states.Leader:
    """Return the leader after it has marked a silent member as suspect."""
    members = _load_members(leader)
    members.mark_suspect(number)
    return _export_leader(members)


@functools.cache
def remove(leader: states.Leader, number: int) -> states.Leader:
    """Return the leader after it has removed a silent member."""
    members = _load_members(leader)
    members.remove(number)
    return _export_leader(members)


@functools.cache
def begin_term(
    number: int, last_view: views.View | None, grace_ticks: int
) -> states.Leader:
    """Return the leader of a new term.

    ``number`` is the number of the previous leader's view. ``last_view`` is
    the latest view of the previous term, or ``None`` if the new leader does
    not know it.
    """
    members = _load_members(states.Leader(number + 1))
    for member in last_view.members if last_view else ():
        members.add_earlier_member(member, now=0)
    return dataclasses.replace(
        _export_leader(members), grace_ticks=grace_ticks
    )


def build_view(leader: states.Leader) -> views.View:
    """Return the leader's current view."""
    members = tuple(listed_member.member for listed_member in leader.listed)
    return views.View(states.SERVICE_NUMBER, leader.number, members)


def build_live_member(number: int, joined_view: int) -> views.Member:
    """Return a live member that joined in a view."""
    members = service_members.ServiceMembers(
        states.SERVICE_NUMBER, lambda: joined_view
    )
    report = service_members.ServiceReport(states.SERVICE_NUMBER)
    members.announce(build_announcement(number, False, report), report, now=0)
    return members.listings[number].member


def build_announcement(
    number: int, joining: bool, report: service_members.ServiceReport
) -> service_members.Announcement:
    """Return the heartbeat of an agent.

    A joining agent announces itself as draining.
    """
    state = views.State.DRAINING if joining else views.State.LIVE
    return service_members.Announcement(
        number=number,
        instance=f'agent-{number}',
        host='127.0.0.1',
        port=number,
        zone='',
        weight=100,
        state=state,
        recovering=False,
        services=(states.SERVICE_NUMBER,),
        reports=(report,),
    )


def _load_members(leader: states.Leader) -> service_members.ServiceMembers:
    def allocate_view_number() -> int:
        return members.view_number + 1

    members = service_members.ServiceMembers(
        states.SERVICE_NUMBER, allocate_view_number
    )
    members.view_number = leader.number
    # The present time is 0 in all calls, so a heartbeat that arrived
    # ``silent_ticks`` ago has a negative time.
    members.listings = {
        listed_member.member.number: service_members.Listing(
            listed_member.member,
            -listed_member.silent_ticks,
            listed_member.min_lease_view,
        )
        for listed_member in leader.listed
    }
    return members


def _export_leader(members: service_members.ServiceMembers) -> states.Leader:
    listed = tuple(
        states.ListedMember(
            listing.member, listing.min_lease_view, -listing.last_heartbeat_ms
        )
        for _, listing in sorted(members.listings.items())
    )
    return states.Leader(members.view_number, listed)
