"""Membership of services: soft state from announcements, issued as views.

Only the leader of the control instances keeps it. A member is suspect
once heartbeats are missing and is removed only after the longest lease
that this leader, or the one before it, may have granted has run out.
"""

import dataclasses

from gentianspoke.core import views

# A member's clock may run slower than the leader's by this share.
CLOCK_DRIFT_PERMILLE = 50
PERMILLE = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReport:
    """What an agent reports of one service with each heartbeat."""

    service: int
    acked_view: int = 0
    oldest_flow_view: int = 0
    open_flows: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A heartbeat of an agent; it asks for a lease."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Durations in milliseconds."""

    lease_ms: int
    suspect_ms: int

    @property
    def removal_ms(self) -> int:
        """Time without a heartbeat after which no lease can be valid."""
        return self.lease_ms * (PERMILLE + CLOCK_DRIFT_PERMILLE) // PERMILLE


@dataclasses.dataclass(slots=True)
class _ServiceMembers:
    number: int
    revision: int = 0
    members: dict[int, views.Member] = dataclasses.field(default_factory=dict)


class Membership:
    """All services' members, as the leader of one term knows them."""

    def __init__(self, term: int, limits: MembershipLimits, now: int) -> None:
        """Begin a term; the views of earlier terms are all older."""
        self.limits = limits
        self.started_ms = now
        self._term = term
        self._sequence = 0
        self._services: dict[int, _ServiceMembers] = {}
        self._heard: dict[int, int] = {}
        self._changed: set[int] = set()

    def announce(self, announcement: Announcement, now: int) -> None:
        """Take a heartbeat and remember which views it changes."""
        self._heard[announcement.number] = now
        reports = {item.service: item for item in announcement.reports}
        for service in announcement.services:
            report = reports.get(service, ServiceReport(service))
            self._update(service, announcement, report)
        if announcement.leaving:
            self._remove(announcement.number)

    def tick(self, now: int) -> None:
        """Suspect or remove the members whose heartbeats are missing."""
        for number, heard_ms in tuple(self._heard.items()):
            silent_ms = now - heard_ms
            if silent_ms >= self.limits.removal_ms:
                self._remove(number)
            elif silent_ms >= self.limits.suspect_ms:
                self._suspect(number)

    def take_changed(self) -> list[views.View]:
        """Return the views that changed since the last call."""
        changed = [self.view(service) for service in sorted(self._changed)]
        self._changed.clear()
        return changed

    def view(self, service: int) -> views.View:
        """Return the current view of a service, empty if unknown."""
        record = self._services.get(service)
        if record is None:
            return views.View(service, 0, ())
        members = tuple(
            record.members[number] for number in sorted(record.members)
        )
        return views.View(service, record.number, members, record.revision)

    def all_views(self) -> list[views.View]:
        """Return the current views of all services."""
        return [self.view(service) for service in sorted(self._services)]

    def _update(
        self,
        service: int,
        announcement: Announcement,
        report: ServiceReport,
    ) -> None:
        record = self._services.setdefault(service, _ServiceMembers(0))
        known = record.members.get(announcement.number)
        member = _member(announcement, report, known)
        was_live = known is not None and known.is_live
        if member.is_live != was_live:
            record.number = self._next_number()
            member = _with_change(member, record.number)
        elif known is None:
            member = dataclasses.replace(member, closed_view=record.number)
        if member != known:
            record.members[member.number] = member
            record.revision += 1
            self._changed.add(service)

    def _suspect(self, number: int) -> None:
        for service, record in self._services.items():
            known = record.members.get(number)
            if known is None or known.state is views.State.SUSPECT:
                continue
            suspect = dataclasses.replace(known, state=views.State.SUSPECT)
            if known.is_live:
                record.number = self._next_number()
                suspect = _with_change(suspect, record.number)
            record.members[number] = suspect
            record.revision += 1
            self._changed.add(service)

    def _remove(self, number: int) -> None:
        self._heard.pop(number, None)
        for service, record in self._services.items():
            if record.members.pop(number, None) is not None:
                record.number = self._next_number()
                record.revision += 1
                self._changed.add(service)

    def _next_number(self) -> int:
        self._sequence += 1
        return views.make_view_number(self._term, self._sequence)


def _member(
    announcement: Announcement,
    report: ServiceReport,
    known: views.Member | None,
) -> views.Member:
    return views.Member(
        number=announcement.number,
        instance=announcement.instance,
        host=announcement.host,
        port=announcement.port,
        zone=announcement.zone,
        weight=announcement.weight,
        state=announcement.state,
        joined_view=known.joined_view if known else 0,
        closed_view=known.closed_view if known else 0,
        acked_view=report.acked_view,
        oldest_flow_view=report.oldest_flow_view,
        recovering=announcement.recovering,
    )


def _with_change(member: views.Member, number: int) -> views.Member:
    if member.is_live:
        return dataclasses.replace(member, joined_view=number, closed_view=0)
    return dataclasses.replace(member, closed_view=number)
