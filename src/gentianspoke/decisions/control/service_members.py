"""The members of one service, as the leader of one term lists them.

A service is identified here by the number of its pool of upstreams. A lease
is an agent's permission, for a limited time, to place new flows of
non-idempotent services.
"""

import collections.abc
import dataclasses

from gentianspoke.core import views


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReport:
    """The part of a heartbeat in which an agent reports on one service.

    ``acked_view`` is the newest view that the agent has applied.
    ``views.Member`` explains ``oldest_flow_view`` and when it is 0.
    ``open_flows`` is the number of the service's flows that are open at the
    agent.
    """

    service: int
    acked_view: int = 0
    oldest_flow_view: int = 0
    open_flows: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A heartbeat of an agent, by which it asks for a lease.

    ``number`` identifies the incarnation of the agent's upstream, ``host``
    and ``port`` are the agent's address, and ``services`` lists the numbers
    of the services of which the agent is a member. ``views.Member`` explains
    ``recovering``. ``leaving`` is true if the agent is shutting down. It then
    asks for no further lease and stays listed until its last lease has
    expired.
    """

    number: int
    instance: str
    host: str
    port: int
    zone: str
    weight: int
    state: views.State
    recovering: bool
    services: tuple[int, ...]
    reports: tuple[ServiceReport, ...] = ()
    leaving: bool = False


@dataclasses.dataclass(slots=True)
class Listing:
    """A listed member, with the state that only the leader needs.

    ``last_heartbeat_ms`` is the time at which the member was listed or last
    asked for a lease, by the leader's monotonic clock. ``min_lease_view`` is
    the view that the member must have applied to get a new lease rather than
    an extension of the lease that it holds. It is the view in which the
    member was listed or, if that is newer, the newest view that the member
    has acknowledged since. ``leaving`` is true if the member has
    announced that it is shutting down.
    """

    member: views.Member
    last_heartbeat_ms: int
    min_lease_view: int
    leaving: bool = False


class ServiceMembers:
    """The listed members of one service and the number of its view.

    ``listings`` maps the numbers of the members to their listings.
    ``view_number`` grows when a member is listed and when the set of live
    members changes. ``revision`` grows with every change of the view.
    ``evacuated_zones`` are the availability zones whose members are not live.
    All times are in milliseconds of the leader's monotonic clock.
    """

    def __init__(
        self,
        service: int,
        allocate_view_number: collections.abc.Callable[[], int],
        evacuated_zones: frozenset[str] = frozenset(),
    ) -> None:
        """Initialize a service without members.

        ``allocate_view_number`` returns a new view number with each call.
        """
        self.service = service
        self.view_number = 0
        self.revision = 0
        self.listings: dict[int, Listing] = {}
        self.evacuated_zones = evacuated_zones
        self._allocate_view_number = allocate_view_number

    def set_evacuated_zones(self, zones: frozenset[str]) -> bool:
        """Replace the evacuated zones and return whether the view changes."""
        self.evacuated_zones = zones
        changed = False
        for listing in self.listings.values():
            changed |= self._replace_member(listing, listing.member)
        return changed

    def get_view(self) -> views.View:
        """Return the members as a view."""
        members = tuple(
            self.listings[number].member for number in sorted(self.listings)
        )
        return views.View(
            self.service, self.view_number, members, self.revision
        )

    def add_earlier_member(
        self, member: views.Member, now: int, *, as_suspect: bool = True
    ) -> None:
        """List a member of an earlier term's view.

        With ``as_suspect`` the member is listed as suspect; otherwise it
        keeps its state, except that a live or evacuated member is evacuated
        exactly if its zone is evacuated now.
        """
        state = views.State.SUSPECT if as_suspect else member.state
        listed_member = dataclasses.replace(member, state=state, acked_view=0)
        self._add_listing(listed_member, now)

    def announce(
        self, announcement: Announcement, report: ServiceReport, now: int
    ) -> bool:
        """Process a heartbeat and return whether it changes the view."""
        listing = self.listings.get(announcement.number)
        if listing is None:
            self._add_listing(_make_member(announcement, report), now)
            return True
        listing.leaving = announcement.leaving
        if not announcement.leaving:
            listing.last_heartbeat_ms = now
        acked_view = min(report.acked_view, self.view_number)
        listing.min_lease_view = max(listing.min_lease_view, acked_view)
        member = _update_member(announcement, report, listing.member)
        return self._replace_member(listing, member)

    def has_caught_up(self, number: int, report: ServiceReport) -> bool:
        """Return whether a member has acknowledged its ``min_lease_view``.

        Only such a member may get a new lease.
        """
        listing = self.listings[number]
        return (
            min(report.acked_view, self.view_number) >= listing.min_lease_view
        )

    def has_responding_member(self) -> bool:
        """Return whether any member is live or evacuated.

        The heartbeats of such a member are not overdue.
        """
        return any(
            item.member.is_live_or_evacuated for item in self.listings.values()
        )

    def has_newer_incarnation(self, listing: Listing) -> bool:
        """Return whether the upstream of a listed member has restarted.

        Another member of the same instance has announced itself later.
        """
        return any(
            other.member.instance == listing.member.instance
            and other.last_heartbeat_ms > listing.last_heartbeat_ms
            for other in self.listings.values()
        )

    def mark_suspect(self, number: int) -> bool:
        """Mark a member as suspect, so that it gets no new flows.

        Return whether the view changes.
        """
        listing = self.listings[number]
        member = dataclasses.replace(listing.member, state=views.State.SUSPECT)
        return self._replace_member(listing, member)

    def remove(self, number: int) -> None:
        """Remove a member whose lease has expired."""
        if self.listings.pop(number).member.is_live:
            self.view_number = self._allocate_view_number()
        self.revision += 1

    def _add_listing(self, member: views.Member, now: int) -> None:
        member = self._apply_evacuations(member)
        # A new listing always gets a new view number, so that no
        # acknowledgement of an earlier listing can match it. A member that
        # is not live needs the number as its closed_view.
        self.view_number = self._allocate_view_number()
        self.revision += 1
        self.listings[member.number] = Listing(
            _replace_joined_or_closed_view(member, self.view_number),
            now,
            self.view_number,
        )

    def _apply_evacuations(self, member: views.Member) -> views.Member:
        is_evacuated = member.zone in self.evacuated_zones
        state = member.state
        match state:
            case views.State.LIVE if is_evacuated:
                state = views.State.EVACUATED
            case views.State.EVACUATED if not is_evacuated:
                state = views.State.LIVE
        if (state, is_evacuated) == (member.state, member.zone_evacuated):
            return member
        return dataclasses.replace(
            member, state=state, zone_evacuated=is_evacuated
        )

    def _replace_member(self, listing: Listing, member: views.Member) -> bool:
        member = self._apply_evacuations(member)
        if member.is_live != listing.member.is_live:
            self.view_number = self._allocate_view_number()
            member = _replace_joined_or_closed_view(member, self.view_number)
        if member == listing.member:
            return False
        listing.member = member
        self.revision += 1
        return True


def _choose_state(announcement: Announcement) -> views.State:
    if announcement.leaving and announcement.state is views.State.LIVE:
        return views.State.DRAINING
    return announcement.state


def _make_member(
    announcement: Announcement, report: ServiceReport
) -> views.Member:
    return views.Member(
        number=announcement.number,
        instance=announcement.instance,
        host=announcement.host,
        port=announcement.port,
        zone=announcement.zone,
        weight=announcement.weight,
        state=_choose_state(announcement),
        joined_view=0,
        acked_view=report.acked_view,
        oldest_flow_view=report.oldest_flow_view,
        recovering=announcement.recovering,
    )


def _update_member(
    announcement: Announcement, report: ServiceReport, current: views.Member
) -> views.Member:
    # An acknowledgement is never withdrawn: an agent that has restarted and
    # acts on older views gets no new lease until it has caught up.
    acked_view = max(current.acked_view, report.acked_view)
    oldest_flow_view = report.oldest_flow_view
    if report.acked_view < current.acked_view:
        # The heartbeat is late or the agent has restarted. Keep the oldest
        # flow view that came with the newest acknowledgement until the
        # agent acknowledges that view again.
        oldest_flow_view = current.oldest_flow_view
    state = _choose_state(announcement)
    weight = announcement.weight
    if weight != current.weight and (
        current.is_live or acked_view < current.closed_view
    ):
        # A change of a weight moves buckets between members without a new
        # view number. The weight therefore changes only after the member
        # has acknowledged that it is closed and decides for no bucket.
        state = views.State.DRAINING
        weight = current.weight
    return dataclasses.replace(
        current,
        instance=announcement.instance,
        host=announcement.host,
        port=announcement.port,
        zone=announcement.zone,
        weight=weight,
        state=state,
        acked_view=acked_view,
        oldest_flow_view=oldest_flow_view,
        recovering=announcement.recovering,
    )


def _replace_joined_or_closed_view(
    member: views.Member, number: int
) -> views.Member:
    if member.is_live:
        return dataclasses.replace(member, joined_view=number, closed_view=0)
    return dataclasses.replace(member, closed_view=number)
