"""A consumer's copy of the catalogue and of the views that it follows."""

import collections.abc
import dataclasses

from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import view_delta


@dataclasses.dataclass(slots=True)
class FeedCopy:
    """What a consumer has taken from its sources; it only grows newer.

    It outlives the change from one source to the next, so that the next
    one sends only what differs.
    """

    version: int = 0
    entries: dict[int, services.Service] = dataclasses.field(
        default_factory=dict
    )
    views_by_service: dict[int, views.View] = dataclasses.field(
        default_factory=dict
    )
    _view_digests: dict[int, int] = dataclasses.field(default_factory=dict)

    def take_entries(
        self,
        version: int,
        entries: collections.abc.Iterable[services.Service],
        *,
        snapshot: bool,
    ) -> bool:
        """Take entries of a catalogue version unless it is older.

        Return whether they were taken. A snapshot replaces all entries.
        """
        if version < self.version:
            return False
        if snapshot:
            self.entries.clear()
        self.entries.update((entry.number, entry) for entry in entries)
        self.version = version
        return True

    def take_view(self, view: views.View) -> bool:
        """Take a whole view unless it is older; return whether taken."""
        known = self.views_by_service.get(view.service)
        if known is not None and known.order > view.order:
            return False
        self.views_by_service[view.service] = view
        self._view_digests[view.service] = view_delta.view_digest(view)
        return True

    def take_delta(self, delta: view_delta.ViewDelta) -> views.View | None:
        """Return the view that a delta makes, ``None`` if it has no base."""
        known = self.views_by_service.get(delta.service)
        view = view_delta.apply_delta(known, delta) if known else None
        return view if view is not None and self.take_view(view) else None

    def digest(self) -> int:
        """Return the digest of all that this copy holds."""
        return view_delta.add_digests(
            *self._view_digests.values(),
            *map(view_delta.entry_digest, self.entries.values()),
        )
