"""Membership of services, kept as soft state and issued as views.

Only the leader of the control instances keeps the membership, and each
term starts with an empty one. Agents announce themselves by heartbeats. A
member becomes suspect when its heartbeats are missing. It is removed only
after the longest lease that this leader may have granted has expired.

The flows of a service are hashed into buckets, and at most one agent at a
time may decide which upstreams get the new flows of a bucket. Three rules
ensure this while the leader changes; docs/design/membership-and-feeds.md gives
the reasons.

* A lease is shortened by the time since a majority last confirmed the
  leader. It therefore expires before the grace period of a later leader
  ends.
* During its grace period a leader issues no view, since leases that an
  earlier leader granted may still be valid.
* An agent that has not yet applied the view that lists it may extend a
  lease that it still holds, but gets no new lease.
"""

import collections.abc
import dataclasses

from gentianspoke.core import shares
from gentianspoke.core import views
from gentianspoke.decisions.control import service_members

# The greatest difference between the rates of two clocks at which leases
# are still safe.
MAX_CLOCK_DRIFT_PERMILLE = 50
# A pause between two ticks that is at least this long means that this process
# was suspended and could not receive heartbeats.
STALL_THRESHOLD_MS = 1_000
# How long a leader collects heartbeats before it issues views if no agent
# acts on leases of an earlier leader.
GRACE_WITHOUT_LEASES_MS = 150
# How long silent members stay listed if no member of their service is live or
# evacuated. If all members are silent, the leader itself may be isolated. A
# member that has announced that it is leaving is removed without this delay.
LAST_MEMBERS_RETENTION_MS = 60_000

Announcement = service_members.Announcement
ServiceReport = service_members.ServiceReport


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipLimits:
    """The lease duration and the heartbeat timeout, both in milliseconds.

    ``lease_ms`` is the lease duration, and ``suspect_timeout_ms`` is the time
    without a heartbeat after which a member becomes suspect. A silent member
    whose upstream may still run stays listed for ``retention_ms``, if that is
    longer than its lease.
    """

    lease_ms: int
    suspect_timeout_ms: int
    retention_ms: int = 0

    @property
    def removal_timeout_ms(self) -> int:
        """Time without a heartbeat after which no lease can be valid.

        This is the lease duration plus the allowance for clock drift.
        """
        return (
            self.lease_ms
            * (shares.PERMILLE + MAX_CLOCK_DRIFT_PERMILLE)
            // shares.PERMILLE
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a heartbeat, which grants a lease to the agent.

    ``lease_ms`` counts from the moment at which the heartbeat was sent.
    With ``renewal_only`` the grant extends only a lease that the agent
    still holds when the answer arrives.
    """

    lease_ms: int
    renewal_only: bool


class Membership:
    """The members of all services, as the leader of one term knows them.

    All times are in milliseconds of the leader's monotonic clock.
    """

    def __init__(self, term: int, limits: MembershipLimits, now: int) -> None:
        """Initialize the membership of a term, without members.

        Its views are newer than all views of earlier terms.
        """
        self.term = term
        self.limits = limits
        self.started_ms = now
        # Whether agents may still act on leases of an earlier leader.
        self.earlier_leases_possible = True
        self._last_tick_ms = now
        self._sequence = 0
        self._services: dict[int, service_members.ServiceMembers] = {}
        self._changed_services: set[int] = set()
        self._evacuated_zones: frozenset[str] = frozenset()

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Evacuate the members of these zones, and no others."""
        if zones == self._evacuated_zones:
            return
        self._evacuated_zones = zones
        for members in self._services.values():
            if members.set_evacuated_zones(zones):
                self._changed_services.add(members.service)

    def add_earlier_members(
        self, earlier_views: collections.abc.Iterable[views.View], now: int
    ) -> None:
        """Add the members of the views of earlier terms.

        The members are listed as suspect, so that their open flows are
        still routed until they announce themselves or their leases have
        expired. If no lease of an earlier leader can be valid, they keep
        their state, since nothing indicates a failure yet. A service whose
        view has no members gets a view of this term too.
        """
        for view in earlier_views:
            members = self._get_or_add_service(view.service)
            for member in view.members:
                if member.number not in members.listings:
                    members.add_earlier_member(
                        member, now, as_suspect=self.earlier_leases_possible
                    )
            self._changed_services.add(view.service)

    def announce(
        self, announcement: Announcement, now: int, confirmed_age_ms: int = 0
    ) -> Grant:
        """Process a heartbeat and return the lease that the agent gets.

        ``confirmed_age_ms`` is the time since a majority last confirmed
        that this instance leads.
        """
        reports = {item.service: item for item in announcement.reports}
        caught_up = True
        for service in announcement.services:
            report = reports.get(service, ServiceReport(service))
            members = self._get_or_add_service(service)
            if members.announce(announcement, report, now):
                self._changed_services.add(service)
            if not members.has_caught_up(announcement.number, report):
                caught_up = False
        if announcement.leaving:
            return Grant(0, renewal_only=True)
        lease_ms = max(0, self.limits.lease_ms - confirmed_age_ms)
        return Grant(lease_ms, renewal_only=not caught_up)

    def tick(self, now: int, confirmed_age_ms: int = 0) -> None:
        """Mark members without heartbeats as suspect, or remove them.

        The time since a member's last heartbeat is measured up to the last
        confirmation of this leader by a majority, ``confirmed_age_ms`` ago,
        since a later leader may have granted leases after that confirmation.
        """
        paused_ms = now - self._last_tick_ms
        self._last_tick_ms = now
        if paused_ms >= STALL_THRESHOLD_MS:
            self._exclude_pause_from_silence(paused_ms)
        confirmed_ms = now - confirmed_age_ms
        for members in self._services.values():
            if self._tick_service(members, confirmed_ms):
                self._changed_services.add(members.service)

    def issues_views(self, now: int) -> bool:
        """Return whether the grace period is over and views are issued."""
        grace_ms = GRACE_WITHOUT_LEASES_MS
        if self.earlier_leases_possible:
            grace_ms = self.limits.removal_timeout_ms
        return now - self.started_ms >= grace_ms

    def pop_changed_views(self, now: int) -> list[views.View]:
        """Return the views that have changed since the last call.

        The list is empty during the grace period. The first call after the
        grace period returns all views.
        """
        if not self.issues_views(now):
            return []
        changed_views = [
            self.get_view(service)
            for service in sorted(self._changed_services)
        ]
        self._changed_services.clear()
        return changed_views

    def get_view(self, service: int) -> views.View:
        """Return the current view of a service, or an empty one if unknown."""
        members = self._services.get(service)
        return members.get_view() if members else views.View(service, 0, ())

    def list_views(self) -> list[views.View]:
        """Return the current views of all services, issued or not."""
        return [self.get_view(service) for service in sorted(self._services)]

    def _get_or_add_service(
        self, service: int
    ) -> service_members.ServiceMembers:
        members = self._services.get(service)
        if members is None:
            members = service_members.ServiceMembers(
                service, self._allocate_view_number, self._evacuated_zones
            )
            members.view_number = self._allocate_view_number()
            self._services[service] = members
        return members

    def _allocate_view_number(self) -> int:
        self._sequence += 1
        return views.make_view_number(self.term, self._sequence)

    def _exclude_pause_from_silence(self, paused_ms: int) -> None:
        for members in self._services.values():
            for listing in members.listings.values():
                listing.last_heartbeat_ms += paused_ms

    def _tick_service(
        self, members: service_members.ServiceMembers, confirmed_ms: int
    ) -> bool:
        changed = False
        for number, listing in tuple(members.listings.items()):
            silent_ms = confirmed_ms - listing.last_heartbeat_ms
            if (
                silent_ms >= self.limits.removal_timeout_ms
                and silent_ms >= self._get_removal_timeout_ms(members, listing)
            ):
                members.remove(number)
                changed = True
            elif silent_ms >= self.limits.suspect_timeout_ms:
                changed |= members.mark_suspect(number)
        return changed

    def _get_removal_timeout_ms(
        self,
        members: service_members.ServiceMembers,
        listing: service_members.Listing,
    ) -> int:
        removal_timeout_ms = self.limits.removal_timeout_ms
        if listing.leaving or members.has_newer_incarnation(listing):
            return removal_timeout_ms
        if members.has_responding_member():
            # The agent may be restarting, or cut off from control, while its
            # upstream keeps its flows. Agents end no flow that a listed
            # member may have.
            return max(self.limits.retention_ms, removal_timeout_ms)
        return max(LAST_MEMBERS_RETENTION_MS, removal_timeout_ms)
