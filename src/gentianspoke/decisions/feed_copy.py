"""A consumer's copy of the catalogue and of the views it subscribes to.

A consumer is a process that receives the feed of a control instance, its
source.
"""

import collections.abc
import dataclasses

from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import view_delta


@dataclasses.dataclass(slots=True)
class FeedCopy:
    """The catalogue entries and views that a consumer got from its feeds.

    A catalogue version or view never replaces a newer one. The copy
    persists when the consumer changes from one source to another, so that
    the new source sends only the differences. ``version`` is the catalogue
    version of the entries. ``entries`` holds the entries by the number of
    the service, and ``views_by_pool`` the views by the number of the pool.
    """

    version: int = 0
    entries: dict[int, services.Service] = dataclasses.field(
        default_factory=dict
    )
    views_by_pool: dict[int, views.View] = dataclasses.field(
        default_factory=dict
    )
    _view_digests: dict[int, int] = dataclasses.field(default_factory=dict)
    _entries_digest: int = 0

    def store_entries(
        self,
        version: int,
        entries: collections.abc.Iterable[services.Service],
        *,
        is_snapshot: bool,
    ) -> bool:
        """Store entries of a catalogue version unless a newer one is stored.

        Return whether they were stored. If ``is_snapshot`` is true, they
        replace all entries of this copy.
        """
        if version < self.version:
            return False
        if is_snapshot:
            self.entries.clear()
            self._entries_digest = 0
        for entry in entries:
            self._store_entry(entry)
        self.version = version
        return True

    def store_view(self, view: views.View) -> bool:
        """Store a view unless this copy holds a newer one of the pool.

        Return whether it was stored.
        """
        current = self.views_by_pool.get(view.service)
        if current is not None and current.order > view.order:
            return False
        self.views_by_pool[view.service] = view
        self._view_digests[view.service] = view_delta.compute_view_digest(view)
        return True

    def apply_view_delta(
        self, delta: view_delta.ViewDelta
    ) -> views.View | None:
        """Apply a delta, store the resulting view and return it.

        Return ``None`` and store nothing if this copy does not hold the
        view that the delta is based on, or if the result is older than the
        view that this copy holds.
        """
        current = self.views_by_pool.get(delta.service)
        view = view_delta.apply_delta(current, delta) if current else None
        return view if view is not None and self.store_view(view) else None

    def compute_digest(self) -> int:
        """Return the digest of all views and entries of this copy."""
        return view_delta.add_digests(
            *self._view_digests.values(), self._entries_digest
        )

    def _store_entry(self, entry: services.Service) -> None:
        # The digest is kept up to date entry by entry, because consumers
        # compare it with that of their source twice a second.
        previous = self.entries.get(entry.number)
        self.entries[entry.number] = entry
        self._entries_digest = view_delta.add_digests(
            self._entries_digest,
            view_delta.compute_entry_digest(entry),
            -view_delta.compute_entry_digest(previous) if previous else 0,
        )
