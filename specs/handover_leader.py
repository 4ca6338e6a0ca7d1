"""The leader's steps, taken by the code's own ``ServiceMembers``."""

import dataclasses
import functools

from gentianspoke.core import views
from gentianspoke.decisions.control import service_members
from specs import handover_state as states


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """What a heartbeat changes; ``caught_up`` allows a new lease."""

    leader: states.Leader
    caught_up: bool


@functools.cache
def announce(
    leader: states.Leader,
    number: int,
    joining: bool,
    acked_view: int,
    oldest_flow_view: int,
    forget_floor: bool,
) -> Heard:
    """Take a heartbeat; ``forget_floor`` seeds a mistake."""
    record = _open(leader)
    report = service_members.ServiceReport(
        states.SERVICE_NUMBER, acked_view, oldest_flow_view
    )
    listing = record.listings.get(number)
    if forget_floor and listing is not None:
        member = listing.member
        listing.lease_floor = member.joined_view or member.closed_view
    record.announce(announcement(number, joining, report), report, now=0)
    return Heard(_close(record), record.has_caught_up(number, report))


@functools.cache
def suspect(leader: states.Leader, number: int) -> states.Leader:
    """Suspect a silent member."""
    record = _open(leader)
    record.suspect(number)
    return _close(record)


@functools.cache
def remove(leader: states.Leader, number: int) -> states.Leader:
    """Remove a member whose lease has run out."""
    record = _open(leader)
    record.remove(number)
    return _close(record)


@functools.cache
def begin_term(
    number: int, known: views.View | None, hold_ticks: int
) -> states.Leader:
    """Begin a term; its leader may know a view of the term before."""
    record = _open(states.Leader(number + 1))
    for member in known.members if known else ():
        record.adopt(member, now=0)
    return dataclasses.replace(_close(record), hold_ticks=hold_ticks)


def view_of(leader: states.Leader) -> views.View:
    """Return the leader's present view."""
    members = tuple(item.member for item in leader.listed)
    return views.View(states.SERVICE_NUMBER, leader.number, members)


def live_member(number: int, joined_view: int) -> views.Member:
    """Return a member that became live in a view."""
    record = service_members.ServiceMembers(
        states.SERVICE_NUMBER, lambda: joined_view
    )
    report = service_members.ServiceReport(states.SERVICE_NUMBER)
    record.announce(announcement(number, False, report), report, now=0)
    return record.listings[number].member


def announcement(
    number: int, joining: bool, report: service_members.ServiceReport
) -> service_members.Announcement:
    """Return the heartbeat of an agent."""
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


def _open(leader: states.Leader) -> service_members.ServiceMembers:
    def next_number() -> int:
        return record.number + 1

    record = service_members.ServiceMembers(states.SERVICE_NUMBER, next_number)
    record.number = leader.number
    record.listings = {
        item.member.number: service_members.Listing(
            item.member, -item.silent_ticks, item.floor
        )
        for item in leader.listed
    }
    return record


def _close(record: service_members.ServiceMembers) -> states.Leader:
    listed = tuple(
        states.Listed(listing.member, listing.lease_floor, -listing.heard_ms)
        for _, listing in sorted(record.listings.items())
    )
    return states.Leader(record.number, listed)
