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
# Limits on the heartbeats from before this instance led: how many are kept,
# and up to which age they are applied when it becomes the leader.
MAX_EARLY_HEARTBEATS = 10_000
MAX_EARLY_HEARTBEAT_AGE_MS = 1_000
# A member without heartbeats is suspected after this part of a lease's
# duration, in thousandths.
SUSPECT_AFTER_PERMILLE = 600


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """A heartbeat and the time at which it was received."""

    announcement: membership.Announcement
    received_ms: int


class Leadership:
    """Keeps the membership of agents while this instance leads.

    Each term in which this instance leads begins with a new membership.
    """

    def __init__(
        self,
        proc: process.Process,
        log: catalogue_log.CatalogueLog,
        feed_hub: hub.Hub,
        lease_ms: int,
        retention_ms: int = 0,
    ) -> None:
        """Start without a membership.

        ``lease_ms`` is a lease's duration, and ``retention_ms`` the time for
        which a silent member stays listed.
        """
        self._proc = proc
        self._log = log
        self._hub = feed_hub
        self._limits = membership.MembershipLimits(
            lease_ms,
            lease_ms * SUSPECT_AFTER_PERMILLE // shares.PERMILLE,
            retention_ms,
        )
        self._membership: membership.Membership | None = None
        # The newest heartbeat of each agent, by the agent's number, that was
        # received while this instance did not lead.
        self._early_heartbeats: dict[int, ReceivedHeartbeat] = {}

    def announce(
        self, announcement: membership.Announcement
    ) -> membership.Grant:
        """Handle a heartbeat and return the lease that the agent gets.

        Raises :class:`gentianspoke.errors.NotLeaderError` if this instance
        does not lead. The heartbeat is then kept, in case the instance soon
        leads.
        """
        own_membership = self._ensure_membership()
        if own_membership is None:
            self._keep_early_heartbeat(announcement)
            raise errors.NotLeaderError(self._log.leader)
        return own_membership.announce(
            announcement,
            self._proc.clock.now(),
            self._log.get_confirmed_age_ms(),
        )

    def issues_views(self) -> bool:
        """Return whether this instance leads and issues views.

        The first call in a term creates the membership of that term.
        """
        own_membership = self._ensure_membership()
        if own_membership is None:
            return False
        return own_membership.issues_views(self._proc.clock.now())

    async def tick(self) -> None:
        """Suspect and remove silent members and issue views periodically.

        Runs until cancelled.
        """
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            own_membership = self._ensure_membership()
            self._update_issues_views()
            if own_membership is None:
                continue
            now = self._proc.clock.now()
            own_membership.tick(now, self._log.get_confirmed_age_ms())
            self._hub.publish(own_membership.pop_changed_views(now))

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
        self, own_membership: membership.Membership, now: int
    ) -> None:
        # While there is no leader, the agents send their heartbeats to all
        # instances in turn, so the next leader knows the agents at its
        # start.
        for heartbeat in self._early_heartbeats.values():
            if now - heartbeat.received_ms < MAX_EARLY_HEARTBEAT_AGE_MS:
                own_membership.announce(heartbeat.announcement, now)
        self._early_heartbeats.clear()

    def _update_issues_views(self) -> None:
        issues_views = self.issues_views()
        if issues_views != self._hub.issues_views:
            self._hub.issues_views = issues_views
            self._hub.wake_subscribers()

    def _needs_single_decider(self) -> bool:
        entries = self._log.catalogue.entries.values()
        return any(services.needs_single_decider(entry) for entry in entries)

    def _ensure_membership(self) -> membership.Membership | None:
        """Return the membership, ``None`` if this instance does not lead.

        The first call in a term creates the membership of that term.
        """
        if not self._log.is_leader:
            return None
        term = self._log.term
        if self._membership is None or self._membership.term != term:
            now = self._proc.clock.now()
            self._membership = membership.Membership(term, self._limits, now)
            self._membership.set_evacuated_zones(
                self._log.catalogue.evacuated_zones
            )
            # Agents need leases only for services that need a single decider.
            # Without such a service, no agent acts on a lease of an earlier
            # leader.
            self._membership.earlier_leases_possible = (
                self._needs_single_decider()
            )
            self._membership.add_earlier_members(
                self._hub.source.views.values(), now
            )
            self._apply_early_heartbeats(self._membership, now)
            self._proc.events.write('membership-begun', term=term)
        # This instance leads, so its catalogue contains all accepted orders.
        self._membership.set_evacuated_zones(
            self._log.catalogue.evacuated_zones
        )
        return self._membership
