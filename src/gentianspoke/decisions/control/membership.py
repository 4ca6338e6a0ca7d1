"""Membership of services: soft state from announcements, issued as views.

Only the leader of the control instances keeps it, anew in each term. A
member is suspect once heartbeats are missing, and is removed only after
the longest lease that this leader may have granted has run out.

Three rules keep two agents from deciding for one bucket while leaders
change; docs/design/membership-and-feeds.md gives the reasons.

* A lease counts from the last time at which a majority confirmed the
  leader, so it ends before a later leader's grace does.
* During its grace a leader issues no view, since leases that an earlier
  leader granted may still run.
* An agent that has not yet applied the view that lists it may extend a
  lease that it still holds, but gets no new one.
"""

import collections.abc
import dataclasses

from gentianspoke.core import shares
from gentianspoke.core import views
from gentianspoke.decisions.control import service_members

# Difference of two clocks' rates that leases allow for.
CLOCK_DRIFT_PERMILLE = 50
# A longer pause between two ticks means that this process stood still and
# could not take heartbeats.
STALL_THRESHOLD_MS = 1_000
# How long a leader gathers heartbeats before it issues views, where no
# lease of an earlier leader matters.
GRACE_WITHOUT_LEASES_MS = 150
# Members of a service without a live one stay listed this long: their
# silence may be the leader's own isolation.
LAST_MEMBERS_RETENTION_MS = 60_000

Announcement = service_members.Announcement
ServiceReport = service_members.ServiceReport


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Durations in milliseconds."""

    lease_ms: int
    suspect_ms: int

    @property
    def removal_ms(self) -> int:
        """Time without a heartbeat after which no lease can be valid."""
        return (
            self.lease_ms
            * (shares.PERMILLE + CLOCK_DRIFT_PERMILLE)
            // shares.PERMILLE
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a heartbeat.

    ``lease_ms`` counts from the moment at which the heartbeat was sent.
    With ``renewal_only`` it may only extend a lease that the agent still
    holds when the answer arrives.
    """

    lease_ms: int
    renewal_only: bool


class Membership:
    """All services' members, as the leader of one term knows them."""

    def __init__(self, term: int, limits: MembershipLimits, now: int) -> None:
        """Begin a term; the views of earlier terms are all older."""
        self.term = term
        self.limits = limits
        self.started_ms = now
        # Whether agents may act on leases that an earlier leader granted.
        self.earlier_leases_possible = True
        self._last_tick_ms = now
        self._sequence = 0
        self._services: dict[int, service_members.ServiceMembers] = {}
        self._changed_services: set[int] = set()

    def adopt(
        self, known: collections.abc.Iterable[views.View], now: int
    ) -> None:
        """List the members of earlier terms' views as suspect.

        They keep their flows in reach until they announce themselves or
        their leases have run out; also a service whose members have all
        gone gets a view of this term. Where no lease matters they keep
        their state: nothing is known against them yet.
        """
        for view in known:
            record = self._service_members(view.service)
            for member in view.members:
                if member.number not in record.listings:
                    record.adopt(
                        member, now, as_suspect=self.earlier_leases_possible
                    )
            self._changed_services.add(view.service)

    def announce(
        self, announcement: Announcement, now: int, confirmed_age_ms: int = 0
    ) -> Grant:
        """Take a heartbeat and return what lease the agent gets.

        ``confirmed_age_ms`` tells how long ago a majority confirmed that
        this instance leads.
        """
        reports = {item.service: item for item in announcement.reports}
        caught_up = True
        for service in announcement.services:
            report = reports.get(service, ServiceReport(service))
            record = self._service_members(service)
            if record.announce(announcement, report, now):
                self._changed_services.add(service)
            if not record.has_caught_up(announcement.number, report):
                caught_up = False
        if announcement.leaving:
            return Grant(0, renewal_only=True)
        lease_ms = max(0, self.limits.lease_ms - confirmed_age_ms)
        return Grant(lease_ms, renewal_only=not caught_up)

    def tick(self, now: int, confirmed_age_ms: int = 0) -> None:
        """Suspect or remove the members whose heartbeats are missing.

        Silence counts up to the last confirmation by a majority: a later
        leader may have granted leases since then.
        """
        paused_ms = now - self._last_tick_ms
        self._last_tick_ms = now
        if paused_ms >= STALL_THRESHOLD_MS:
            self._discount_pause(paused_ms)
        confirmed_ms = now - confirmed_age_ms
        for record in self._services.values():
            if self._tick_service(record, confirmed_ms):
                self._changed_services.add(record.service)

    def is_complete(self, now: int) -> bool:
        """Return whether the grace is over and views may be issued."""
        grace_ms = GRACE_WITHOUT_LEASES_MS
        if self.earlier_leases_possible:
            grace_ms = self.limits.removal_ms
        return now - self.started_ms >= grace_ms

    def take_changed_views(self, now: int) -> list[views.View]:
        """Return the views that changed since the last call.

        There are none during the grace, and all of them after it.
        """
        if not self.is_complete(now):
            return []
        changed = [
            self.view(service) for service in sorted(self._changed_services)
        ]
        self._changed_services.clear()
        return changed

    def view(self, service: int) -> views.View:
        """Return the present view of a service, empty if unknown."""
        record = self._services.get(service)
        return record.view() if record else views.View(service, 0, ())

    def all_views(self) -> list[views.View]:
        """Return the present views of all services, issued or not."""
        return [self.view(service) for service in sorted(self._services)]

    def _service_members(self, service: int) -> service_members.ServiceMembers:
        record = self._services.get(service)
        if record is None:
            record = service_members.ServiceMembers(service, self._next_number)
            record.number = self._next_number()
            self._services[service] = record
        return record

    def _next_number(self) -> int:
        self._sequence += 1
        return views.make_view_number(self.term, self._sequence)

    def _discount_pause(self, paused_ms: int) -> None:
        for record in self._services.values():
            for listing in record.listings.values():
                listing.last_heartbeat_ms += paused_ms

    def _tick_service(
        self, record: service_members.ServiceMembers, confirmed_ms: int
    ) -> bool:
        changed = False
        for number, listing in tuple(record.listings.items()):
            silent_ms = confirmed_ms - listing.last_heartbeat_ms
            if silent_ms >= self._removal_ms(record, listing):
                record.remove(number)
                changed = True
            elif silent_ms >= self.limits.suspect_ms:
                changed |= record.mark_suspect(number)
        return changed

    def _removal_ms(
        self,
        record: service_members.ServiceMembers,
        listing: service_members.Listing,
    ) -> int:
        if listing.leaving or record.has_live_member():
            return self.limits.removal_ms
        return max(LAST_MEMBERS_RETENTION_MS, self.limits.removal_ms)
