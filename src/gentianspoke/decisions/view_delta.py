"""Deltas between two views of a pool, and digests of views and entries.

A feed sends a whole view once, and then only the members that changed. A
consumer and its source compare digests to find out whether they hold the same
views and catalogue entries.
"""

import dataclasses

import xxhash

from gentianspoke.core import services
from gentianspoke.core import views

DIGEST_RANGE = 1 << 64

# The number and the revision of a view, which are its ``views.View.order``.
Order = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ViewDelta:
    """The changes from one view to a newer view.

    ``service`` is the number of the pool, as in both views. ``base`` is the
    number and revision of the older view, ``number`` and ``revision`` are
    those of the newer view. ``changed`` holds the new and changed members,
    ``removed`` the numbers of removed members.
    """

    service: int
    base: Order
    number: int
    revision: int
    changed: tuple[views.Member, ...]
    removed: tuple[int, ...]


def compute_delta(old: views.View, new: views.View) -> ViewDelta:
    """Return the delta from the view ``old`` to the view ``new``."""
    old_members = {member.number: member for member in old.members}
    new_numbers = {member.number for member in new.members}
    return ViewDelta(
        service=new.service,
        base=old.order,
        number=new.number,
        revision=new.revision,
        changed=tuple(
            member
            for member in new.members
            if old_members.get(member.number) != member
        ),
        removed=tuple(
            number for number in old_members if number not in new_numbers
        ),
    )


def apply_delta(old: views.View, delta: ViewDelta) -> views.View | None:
    """Return the newer view that results from applying a delta to ``old``.

    Return ``None`` if ``old`` is not the view that the delta is based on.
    """
    if old.order != delta.base:
        return None
    members = {member.number: member for member in old.members}
    for number in delta.removed:
        members.pop(number, None)
    members.update((member.number, member) for member in delta.changed)
    new_members = tuple(members[number] for number in sorted(members))
    return views.View(delta.service, delta.number, new_members, delta.revision)


def strip_agent_fields(view: views.View) -> views.View:
    """Return a copy of a view without the fields that only agents use.

    ``acked_view`` and ``oldest_flow_view`` are set to 0 in each member.
    They change with heartbeats, and each change would otherwise be sent to
    every entry instance.
    """
    members = tuple(
        dataclasses.replace(member, acked_view=0, oldest_flow_view=0)
        for member in view.members
    )
    return dataclasses.replace(view, members=members)


def compute_view_digest(view: views.View) -> int:
    """Return a digest of a view; ``add_digests`` combines several."""
    text = repr(view)
    evacuated_numbers = [
        member.number for member in view.members if member.zone_evacuated
    ]
    if evacuated_numbers:
        text += f'/evacuated {evacuated_numbers}'
    return xxhash.xxh3_64_intdigest(text.encode())


def compute_entry_digest(entry: services.Service) -> int:
    """Return a digest of a catalogue entry's number and version."""
    text = f'{entry.number}/{entry.version}'
    return xxhash.xxh3_64_intdigest(text.encode())


def add_digests(*digests: int) -> int:
    """Return the combined digest of several digests, given in any order."""
    return sum(digests) % DIGEST_RANGE
