"""The content of the feed: the newest views and the catalogue.

Messages and digests that many consumers share are computed once and cached.
"""

import dataclasses

from gentianspoke.codec import feed as feed_codec
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.control import scopes
from gentianspoke.decisions import view_delta
from gentianspoke.generated import feed_pb2
from gentianspoke.shells.control import catalogue_log


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class PreparedView:
    """A view in the form in which it is sent, and its digest."""

    view: views.View
    digest: int


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class PreparedCatalogueUpdate:
    """A message with catalogue entries, and the numbers of their services."""

    message: feed_pb2.FollowReply
    changed_numbers: frozenset[int]


@dataclasses.dataclass(frozen=True, slots=True)
class _CatalogueKey:
    """The cache key of a message that updates the entries of a scope.

    ``old_version`` is the version that the consumer holds, and
    ``new_version`` the one after the update.
    """

    names: frozenset[str]
    old_version: int
    new_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class _UpdateKey:
    """The cache key of a message that updates a view to a newer one."""

    detail: scopes.Detail
    service: int
    old_order: view_delta.Order | None
    new_order: view_delta.Order


class FeedSource:
    """Holds the newest views and gives access to the catalogue of the log.

    The views come from this instance's own membership while it leads, and
    from the leader's feed otherwise. A view is stored only if it is newer
    than the stored one.
    """

    def __init__(self, log: catalogue_log.CatalogueLog) -> None:
        """Start without views."""
        self.log = log
        # The newest view of each pool, by the pool's number.
        self.views: dict[int, views.View] = {}
        self._prepared_views: dict[tuple[scopes.Detail, int], PreparedView] = (
            {}
        )
        self._messages: dict[_UpdateKey, feed_pb2.FollowReply] = {}
        self._catalogue_updates: dict[
            _CatalogueKey, PreparedCatalogueUpdate
        ] = {}
        # Whether all services have ``handshake``, and the catalogue version
        # for which this was determined.
        self._all_handshake = False
        self._handshake_version = -1
        # The catalogue version and the digest of its entries, by scope.
        self._digests: dict[scopes.Scope, tuple[int, int]] = {}

    @property
    def version(self) -> int:
        """The version of the catalogue on this instance."""
        return self.log.catalogue.version

    def store_view(self, view: views.View) -> bool:
        """Store a view if it is newer; return whether it was newer."""
        stored_view = self.views.get(view.service)
        if stored_view is not None and stored_view.order >= view.order:
            return False
        self.views[view.service] = view
        for detail in scopes.Detail:
            self._prepared_views.pop((detail, view.service), None)
        for key in [
            key for key in self._messages if key.service == view.service
        ]:
            del self._messages[key]
        return True

    def prepare_view(self, scope: scopes.Scope, service: int) -> PreparedView:
        """Return a pool's view in the form that a scope's consumers get.

        ``service`` is the number of the pool, as in ``views.View``.
        """
        detail = self.choose_detail(scope)
        key = (detail, service)
        prepared_view = self._prepared_views.get(key)
        if prepared_view is None:
            view = self.views[service]
            if detail is scopes.Detail.ROUTING:
                view = view_delta.strip_agent_fields(view)
            prepared_view = PreparedView(
                view, view_delta.compute_view_digest(view)
            )
            self._prepared_views[key] = prepared_view
        return prepared_view

    def choose_detail(self, scope: scopes.Scope) -> scopes.Detail:
        """Return the detail of the views that a scope's consumers get now."""
        if self._handshake_version != self.version:
            self._handshake_version = self.version
            entries = self.log.catalogue.entries.values()
            self._all_handshake = all(entry.handshake for entry in entries)
        return scope.choose_detail(all_handshake=self._all_handshake)

    def prepare_message(
        self, detail: scopes.Detail, old: views.View | None, new: views.View
    ) -> feed_pb2.FollowReply:
        """Return the message that updates a consumer's view to a newer one.

        It holds the whole new view if ``old`` is ``None``, else a delta.
        """
        old_order = old.order if old else None
        key = _UpdateKey(detail, new.service, old_order, new.order)
        message = self._messages.get(key)
        if message is None:
            message = feed_pb2.FollowReply(view=_encode_update(old, new))
            self._messages[key] = message
        return message

    def prepare_catalogue_update(
        self, scope: scopes.Scope, old_version: int
    ) -> PreparedCatalogueUpdate:
        """Return the message with the entries that changed since a version.

        With ``old_version`` 0, the message holds all entries of the scope.
        """
        key = _CatalogueKey(scope.names, old_version, self.version)
        update = self._catalogue_updates.get(key)
        if update is None:
            self._discard_old_catalogue_updates()
            update = self._encode_catalogue_update(scope, old_version)
            self._catalogue_updates[key] = update
        return update

    def includes_service(self, scope: scopes.Scope, service: int) -> bool:
        """Return whether a scope includes a service."""
        return scope.includes_service(service, self.log.catalogue.entries)

    def select_entries(self, scope: scopes.Scope) -> list[services.Service]:
        """Return the catalogue entries of a scope."""
        return scope.select_entries(self.log.catalogue.entries)

    def compute_entries_digest(self, scope: scopes.Scope) -> int:
        """Return the digest of a scope's entries in the current version.

        It is 0 for a scope without catalogue entries.
        """
        if not scope.catalogue:
            return 0
        cached_digest = self._digests.get(scope)
        if cached_digest is None or cached_digest[0] != self.version:
            digest = view_delta.add_digests(
                *map(
                    view_delta.compute_entry_digest, self.select_entries(scope)
                )
            )
            cached_digest = (self.version, digest)
            self._digests[scope] = cached_digest
        return cached_digest[1]

    def _encode_catalogue_update(
        self, scope: scopes.Scope, old_version: int
    ) -> PreparedCatalogueUpdate:
        changed_entries = [
            entry
            for entry in self.select_entries(scope)
            if entry.version > old_version
        ]
        catalogue = feed_codec.encode_catalogue_update(
            changed_entries, self.version, is_snapshot=old_version == 0
        )
        return PreparedCatalogueUpdate(
            feed_pb2.FollowReply(catalogue=catalogue),
            frozenset(entry.number for entry in changed_entries),
        )

    def _discard_old_catalogue_updates(self) -> None:
        for key in [
            key
            for key in self._catalogue_updates
            if key.new_version != self.version
        ]:
            del self._catalogue_updates[key]


def _encode_update(old: views.View | None, new: views.View) -> feed_pb2.View:
    if old is None:
        return feed_codec.encode_view(new)
    return feed_codec.encode_delta(view_delta.compute_delta(old, new))
