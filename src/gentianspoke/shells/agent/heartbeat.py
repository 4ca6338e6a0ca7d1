"""Heartbeats of an agent to the leader, which grants a lease in reply."""

import asyncio
import contextlib

from gentianspoke.codec import feed
from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke.core import shares
from gentianspoke.core import views
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.control import membership
from gentianspoke.generated import feed_grpc
from gentianspoke.generated import feed_pb2
from gentianspoke.shells import channel_auth
from gentianspoke.shells import feed_client
from gentianspoke.shells import process

HEARTBEAT_INTERVAL_S = 0.5
# Minimum time between two heartbeats, however often the views change.
MIN_HEARTBEAT_INTERVAL_S = 0.05
ANNOUNCE_TIMEOUT_S = 1.0
# Time for which an instance that did not answer gets no heartbeats.
RETRY_DELAY_MS = 1_000
# The agent stops using a lease this long before the lease ends, in thousandths
# of the lease's duration, in case the agent's clock runs slower than the
# leader's.
LEASE_MARGIN_PERMILLE = 50


class Heartbeat:
    """Sends the agent's state to the leader periodically and after changes."""

    def __init__(
        self,
        proc: process.Process,
        cfg: settings.AgentSettings,
        state: agent_state.AgentState,
    ) -> None:
        """Start without a lease."""
        self._proc = proc
        self._cfg = cfg
        self._state = state
        self._state_changed = asyncio.Event()
        # Whether the current incarnation of the upstream has left.
        self.upstream_has_left = False
        # The time at which an instance that did not answer may be tried again,
        # by the instance's address.
        self._retry_times_ms: dict[units.Address, int] = {}
        # Set once the upstream's incarnation is known. Heartbeats carry the
        # number that is derived from the incarnation, so none is sent before.
        self.upstream_known = asyncio.Event()
        # Set once the leader has accepted a heartbeat that reports the state
        # draining.
        self.drain_accepted = asyncio.Event()

    def announce_now(self) -> None:
        """Send the next heartbeat without waiting for the interval to end.

        The minimum interval between two heartbeats is still observed.
        """
        self._state_changed.set()

    async def run(self) -> None:
        """Send heartbeats to the leader, until cancelled.

        The control instances are tried in turn. One that does not lead
        replies with the leader's address, which is tried next.
        """
        while True:
            for address in self._proc.sources.list_addresses():
                await self.upstream_known.wait()
                leader = await self._announce_to(address)
                await asyncio.sleep(MIN_HEARTBEAT_INTERVAL_S)
                if leader:
                    await self._announce_to(units.parse_address(leader))
            # Without this pause, a loop over no addresses never ends.
            await asyncio.sleep(MIN_HEARTBEAT_INTERVAL_S)

    async def _announce_to(self, address: units.Address) -> str:
        """Send heartbeats to an instance until it fails or does not lead.

        Return the leader that the instance names as "host:port", or an empty
        text if it fails or names none. An instance that failed less than
        ``RETRY_DELAY_MS`` ago is skipped.
        """
        if self._proc.clock.now() < self._retry_times_ms.get(address, 0):
            return ''
        try:
            return await self._send_heartbeats(address)
        except feed_client.CHANNEL_ERRORS:
            # The other instances name a failed leader until they have elected
            # another. Without this delay the agent would keep waiting for
            # the failed one while its lease runs out.
            self._retry_times_ms[address] = (
                self._proc.clock.now() + RETRY_DELAY_MS
            )
            return ''

    async def _send_heartbeats(self, address: units.Address) -> str:
        async with channel_auth.open_channel(
            address, self._proc.get_current_ring, self._proc.cfg.instance
        ) as channel:
            stub = feed_grpc.FeedStub(channel)
            while True:
                self._state_changed.clear()
                announcement = self._make_announcement()
                sent_ms = self._proc.clock.now()
                message = feed.encode_announcement(
                    announcement, self._cfg.services
                )
                message.logical = self._proc.events.logical
                reply = await stub.Announce(
                    message, timeout=ANNOUNCE_TIMEOUT_S
                )
                self._proc.events.observe(reply.logical)
                if not reply.granted:
                    return reply.leader
                self._apply_grant(announcement, sent_ms, reply)
                await self._wait_for_change()

    def _apply_grant(
        self,
        announcement: membership.Announcement,
        sent_ms: int,
        reply: feed_pb2.AnnouncementReply,
    ) -> None:
        if announcement.number != self._state.number:
            # The upstream has restarted since the heartbeat was sent. The
            # lease belongs to the earlier incarnation.
            return
        margin_ms = reply.lease_ms * LEASE_MARGIN_PERMILLE // shares.PERMILLE
        until_ms = sent_ms + reply.lease_ms - margin_ms
        state = self._state
        holds_lease = state.lease_until_ms > self._proc.clock.now()
        # A renewal-only grant must not start a new lease: the agent must
        # first know the view that lists it.
        if holds_lease or not reply.renewal_only:
            state.lease_until_ms = max(state.lease_until_ms, until_ms)
        self._end_joining(announcement)
        if announcement.state is views.State.DRAINING and state.draining:
            self.drain_accepted.set()

    def _end_joining(self, announcement: membership.Announcement) -> None:
        """End the joining of an agent whose listing does not change.

        The leader issues no view if it lists an earlier run of the agent as
        not live already. Where leases matter, the agent waits for a view that
        is newer than its start.
        """
        state = self._state
        if not state.joining or not state.all_handshake:
            return
        is_accepted = announcement.state is views.State.DRAINING
        if is_accepted and state.is_listed_as_not_live():
            state.joining = False
            self.announce_now()

    async def _wait_for_change(self) -> None:
        await asyncio.sleep(MIN_HEARTBEAT_INTERVAL_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                HEARTBEAT_INTERVAL_S - MIN_HEARTBEAT_INTERVAL_S
            ):
                await self._state_changed.wait()

    def _make_announcement(self) -> membership.Announcement:
        state = self._state
        host, port = self._cfg.listen
        reports = tuple(
            membership.ServiceReport(
                pool,
                state.rankings[pool].view.number,
                core.find_oldest_flow_view(state, pool),
                state.counts[pool].open_flows,
            )
            for pool in state.get_own_pools()
            if pool in state.rankings
        )
        refuses_flows = state.draining or state.joining
        return membership.Announcement(
            number=state.number,
            instance=self._proc.cfg.instance,
            host=host,
            port=port,
            zone=self._proc.cfg.zone,
            weight=self._cfg.weight,
            state=views.State.DRAINING if refuses_flows else views.State.LIVE,
            recovering=state.recovering,
            # The message carries the names of the services; an agent does not
            # announce their numbers.
            services=(),
            reports=reports,
            leaving=self.upstream_has_left,
        )
