"""The state of one consumer's feed, and the updates still to be sent."""

import asyncio

from gentianspoke.core import views
from gentianspoke.decisions.control import scopes
from gentianspoke.decisions import view_delta
from gentianspoke.generated import feed_pb2
from gentianspoke.shells.control import feed_source


class Subscriber:
    """Records what a consumer was sent and which views are still to be sent.

    ``wake_event`` is set when an update or a confirmation may be due.
    """

    def __init__(
        self,
        source: feed_source.FeedSource,
        scope: scopes.Scope,
        catalogue_version: int,
        held_orders: dict[int, view_delta.Order],
    ) -> None:
        """Start from the catalogue and views that the consumer already holds.

        ``held_orders`` maps a service to the order of the view that the
        consumer holds. The order of a view is its number and revision.
        """
        self.scope = scope
        self.wake_event = asyncio.Event()
        self._source = source
        self._sent_version = catalogue_version
        self._sent_views: dict[int, feed_source.PreparedView] = {}
        # The orders of the views, by service, that the consumer holds and that
        # this instance lacks or has only in an older version.
        self._newer_orders: dict[int, view_delta.Order] = {}
        self._dirty_services: set[int] = set()
        self._digest = 0
        self._detail = source.choose_detail(scope)
        self._compare_held_views(held_orders)

    def mark_changed(self, service: int) -> None:
        """Record that a service has a new view, if the scope includes it."""
        if self._source.includes_service(self.scope, service):
            self._dirty_services.add(service)
            self.wake_event.set()

    def reset(self) -> None:
        """Discard the record of what was sent, so that all is sent again."""
        self._sent_version = 0
        self._reset_views()

    def pop_due_updates(self) -> list[feed_pb2.FollowReply]:
        """Return the updates that are due, and count them as sent."""
        due_updates = self._pop_catalogue_update()
        detail = self._source.choose_detail(self.scope)
        if detail is not self._detail:
            # The views that were sent have too few fields or too many.
            self._detail = detail
            self._reset_views()
        for service in sorted(self._dirty_services):
            due_updates.extend(self._pop_view_update(service))
        self._dirty_services.clear()
        return due_updates

    def compute_digest(self) -> int:
        """Return the digest of the consumer's content, 0 if it is unknown.

        It is unknown while the consumer holds newer views than this instance
        or another version of the catalogue.
        """
        version = self._source.version
        if self._newer_orders or self._sent_version != version:
            return 0
        return view_delta.add_digests(
            self._digest, self._source.compute_entries_digest(self.scope)
        )

    def _reset_views(self) -> None:
        self._sent_views.clear()
        self._newer_orders.clear()
        self._digest = 0
        self._compare_held_views({})

    def _compare_held_views(
        self, held_orders: dict[int, view_delta.Order]
    ) -> None:
        # An instance that has just started lacks views that consumers hold.
        self._newer_orders = {
            service: order
            for service, order in held_orders.items()
            if service not in self._source.views
        }
        for service in self._source.views:
            if not self._source.includes_service(self.scope, service):
                continue
            prepared_view = self._source.prepare_view(self.scope, service)
            order = held_orders.get(service)
            if order is None or order < prepared_view.view.order:
                self._dirty_services.add(service)
            elif order > prepared_view.view.order:
                self._newer_orders[service] = order
            else:
                self._record_sent(prepared_view)

    def _pop_catalogue_update(self) -> list[feed_pb2.FollowReply]:
        version = self._source.version
        if self._sent_version >= version:
            return []
        if not self.scope.catalogue:
            self._sent_version = version
            return []
        update = self._source.prepare_catalogue_update(
            self.scope, self._sent_version
        )
        self._sent_version = version
        # The scope may include the services of these entries only now, so
        # their views have to be sent too.
        self._dirty_services |= (
            update.changed_numbers & self._source.views.keys()
        ) - self._sent_views.keys()
        return [update.message]

    def _pop_view_update(self, service: int) -> list[feed_pb2.FollowReply]:
        new = self._source.prepare_view(self.scope, service)
        if service in self._newer_orders:
            if self._newer_orders[service] >= new.view.order:
                return []
            del self._newer_orders[service]
        last_sent_view = self._sent_views.get(service)
        old = last_sent_view.view if last_sent_view else None
        if old is not None and self._is_same_view(old, new.view):
            return []
        self._record_sent(new)
        return [self._source.prepare_message(self._detail, old, new.view)]

    def _record_sent(self, prepared_view: feed_source.PreparedView) -> None:
        service = prepared_view.view.service
        previous_view = self._sent_views.get(service)
        self._sent_views[service] = prepared_view
        self._digest = view_delta.add_digests(
            self._digest,
            prepared_view.digest,
            -previous_view.digest if previous_view else 0,
        )

    def _is_same_view(self, old: views.View, new: views.View) -> bool:
        # Views without the agents' reports need not be sent if only these
        # have changed: the revision differs, but the members are equal.
        if self._detail is scopes.Detail.ROUTING:
            return (old.number, old.members) == (new.number, new.members)
        return old.order == new.order
