"""Applies the updates of the feed to the state of an agent."""

from gentianspoke.config import settings
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import own_pools
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.shells.agent import heartbeat
from gentianspoke.shells import feed_client
from gentianspoke.shells import process


class FeedUpdates:
    """The catalogue entries of one agent, and the effect of new views."""

    def __init__(
        self,
        proc: process.Process,
        cfg: settings.AgentSettings,
        state: agent_state.AgentState,
        own_heartbeat: heartbeat.Heartbeat,
    ) -> None:
        """Start without a catalogue; updates change ``state``."""
        self._proc = proc
        self._cfg = cfg
        self._state = state
        self._heartbeat = own_heartbeat
        self._catalogue_entries: dict[str, services.Service] = {}
        self._catalogue_version = 0

    def apply(self, update: feed_client.Update) -> int:
        """Apply a feed update; return the catalogue version in use."""
        now = self._proc.clock.now()
        self._state.check_feed_gap(now)
        match update:
            case feed_client.CatalogueUpdate():
                self._apply_catalogue(update)
            case views.View():
                self._apply_view(update)
            case feed_client.SourceConfirmation(age_ms=age_ms):
                self._state.confirm_feed(now - age_ms)
                if self._proc.life.state == 'syncing':
                    self._proc.life.advance('serve')
        return self._catalogue_version

    def _apply_view(self, view: views.View) -> None:
        old_ranking = self._state.rankings.get(view.service)
        was_evacuated = self._state.is_evacuated_anywhere()
        core.on_view(self._state, view, self._proc.clock.now())
        if self._state.is_evacuated_anywhere() != was_evacuated:
            self._proc.events.write(
                'upstream-restored' if was_evacuated else 'upstream-evacuated',
                zone=self._proc.cfg.zone,
                view=view.number,
                open_flows=self._state.total_open,
            )
        if old_ranking is None or old_ranking.view.number != view.number:
            # In a new view, other members than before decide on the openings
            # of some buckets. They place these openings only after this agent
            # has acknowledged the view by a heartbeat.
            self._heartbeat.announce_now()
        self._end_joining_if_listed()

    def _end_joining_if_listed(self) -> None:
        # A joining agent announces itself as draining. A view that lists it as
        # not live is therefore newer than the agent's start, and the agent may
        # act on views from then on. Before the upstream has reported its
        # incarnation, the agent has announced nothing.
        if (
            self._state.joining
            and self._heartbeat.upstream_known.is_set()
            and self._state.is_listed_as_not_live()
        ):
            self._state.joining = False
            self._heartbeat.announce_now()

    def _apply_catalogue(self, update: feed_client.CatalogueUpdate) -> None:
        if update.version < self._catalogue_version:
            return
        if update.is_snapshot:
            self._catalogue_entries.clear()
        self._catalogue_entries.update(
            (entry.name, entry) for entry in update.entries
        )
        is_first = not self._catalogue_version
        self._catalogue_version = update.version
        earlier_pool = self._state.own_pool
        self._state.set_catalogue(self._select_services())
        self._proc.events.write('catalogue-in-force', version=update.version)
        if is_first or self._state.own_pool != earlier_pool:
            self._log_own_pool()
        if self._state.own_pool != earlier_pool:
            # The view of the pool may have come before its number was known.
            self._heartbeat.announce_now()
            self._end_joining_if_listed()

    def _log_own_pool(self) -> None:
        match self._state.own_pool:
            case own_pools.NamedPool(name=name, number=number):
                self._proc.events.write(
                    'pool-known',
                    pool=name,
                    number=number,
                    version=self._catalogue_version,
                )
            case own_pools.PoolPerService():
                pass

    def _select_services(self) -> list[services.Service]:
        """Return those services of the settings that the catalogue has.

        If the settings name a pool instead, return all services.
        """
        if self._cfg.pool:
            return list(self._catalogue_entries.values())
        return [
            self._catalogue_entries[name]
            for name in self._cfg.services
            if name in self._catalogue_entries
        ]
