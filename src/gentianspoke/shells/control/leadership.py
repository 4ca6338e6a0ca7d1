"""The membership that a control instance keeps while it leads."""

import asyncio
import dataclasses

from gentianspoke.core import services
from gentianspoke.core import shares
from gentianspoke.decisions.control import membership
from gentianspoke import errors
from gentianspoke.shells.control import catalogue_log
from gentianspoke.shells.control import hub
from gentianspoke.shells import process

TICK_INTERVAL_S = 0.05
# Number and age of the heartbeats that are kept from the time before this
# instance led.
MAX_EARLY_HEARTBEATS = 10_000
MAX_EARLY_HEARTBEAT_AGE_MS = 1_000
# A member without heartbeats is suspected after this part of its lease.
SUSPECT_AFTER_PERMILLE = 600


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """A heartbeat and the time at which it was received."""

    announcement: membership.Announcement
    received_ms: int


class Leadership:
    """Keeps the membership of agents while this instance leads.

    Each term that this instance leads begins with a new membership.
    """

    def __init__(
        self,
        proc: process.Process,
        log: catalogue_log.CatalogueLog,
        feed_hub: hub.Hub,
        lease_ms: int,
    ) -> None:
        """Start without a membership; ``lease_ms`` is a lease's duration."""
        self._proc = proc
        self._log = log
        self._hub = feed_hub
        self._limits = membership.MembershipLimits(
            lease_ms, lease_ms * SUSPECT_AFTER_PERMILLE // shares.PERMILLE
        )
        self._members: membership.Membership | None = None
        # The newest heartbeat of each agent, by the agent's number, that was
        # received while this instance did not lead.
        self._early_heartbeats: dict[int, ReceivedHeartbeat] = {}

    def announce(
        self, announcement: membership.Announcement
    ) -> membership.Grant:
        """Take a heartbeat and return the lease that the agent gets.

        Raises :class:`gentianspoke.errors.NotLeaderError` if this instance
        does not lead; the heartbeat is kept for the case that it soon does.
        """
        members = self._current_membership()
        if members is None:
            self._keep_early_heartbeat(announcement)
            raise errors.NotLeaderError(self._log.leader)
        return members.announce(
            announcement,
            self._proc.clock.now(),
            self._log.confirmed_age_ms(),
        )

    def issues_views(self) -> bool:
        """Return whether this instance leads and issues views."""
        members = self._current_membership()
        if members is None:
            return False
        return members.issues_views(self._proc.clock.now())

    async def tick(self) -> None:
        """Suspect and remove silent members and issue views periodically.

        Runs until cancelled.
        """
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            members = self._current_membership()
            self._update_complete()
            if members is None:
                continue
            now = self._proc.clock.now()
            members.tick(now, self._log.confirmed_age_ms())
            self._hub.publish(members.pop_changed_views(now))

    def _keep_early_heartbeat(
        self, announcement: membership.Announcement
    ) -> None:
        now = self._proc.clock.now()
        self._early_heartbeats[announcement.number] = ReceivedHeartbeat(
            announcement, now
        )
        if len(self._early_heartbeats) > MAX_EARLY_HEARTBEATS:
            del self._early_heartbeats[next(iter(self._early_heartbeats))]

    def _apply_early_heartbeats(
        self, members: membership.Membership, now: int
    ) -> None:
        # While there is no leader, the agents send their heartbeats to all
        # instances in turn, so the next leader knows them at its start.
        for heartbeat in self._early_heartbeats.values():
            if now - heartbeat.received_ms < MAX_EARLY_HEARTBEAT_AGE_MS:
                members.announce(heartbeat.announcement, now)
        self._early_heartbeats.clear()

    def _update_complete(self) -> None:
        complete = self.issues_views()
        if complete != self._hub.complete:
            self._hub.complete = complete
            self._hub.wake()

    def _needs_single_decider(self) -> bool:
        entries = self._log.catalogue.entries.values()
        return any(services.needs_single_decider(item) for item in entries)

    def _current_membership(self) -> membership.Membership | None:
        if not self._log.is_leader:
            return None
        term = self._log.term
        if self._members is None or self._members.term != term:
            now = self._proc.clock.now()
            self._members = membership.Membership(term, self._limits, now)
            self._members.earlier_leases_possible = (
                self._needs_single_decider()
            )
            self._members.add_earlier_members(
                self._hub.source.views.values(), now
            )
            self._apply_early_heartbeats(self._members, now)
            self._proc.events.write('membership-begun', term=term)
        return self._members
