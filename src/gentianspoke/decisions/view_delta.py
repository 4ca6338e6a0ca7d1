"""Differences between two views of a service, and digests of views.

A feed sends a whole view once, and then only the members that changed. To
find out whether the views and entries of a consumer equal those of the source,
their digests are compared.
"""

import dataclasses

import xxhash

from gentianspoke.core import services
from gentianspoke.core import views

DIGEST_RANGE = 1 << 64

Order = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ViewDelta:
    """The changes from the view with the order ``base`` to a newer view.

    ``changed`` holds the new and changed members, ``removed`` the numbers
    of removed members.
    """

    service: int
    base: Order
    number: int
    revision: int
    changed: tuple[views.Member, ...]
    removed: tuple[int, ...]


def difference(old: views.View, new: views.View) -> ViewDelta:
    """Return the delta from the view ``old`` to the view ``new``."""
    before = {member.number: member for member in old.members}
    after = {member.number for member in new.members}
    return ViewDelta(
        service=new.service,
        base=old.order,
        number=new.number,
        revision=new.revision,
        changed=tuple(
            member
            for member in new.members
            if before.get(member.number) != member
        ),
        removed=tuple(number for number in before if number not in after),
    )


def apply_delta(old: views.View, delta: ViewDelta) -> views.View | None:
    """Return the newer view.

    Return ``None`` if ``old`` is not the view that the delta is based on.
    """
    if old.order != delta.base:
        return None
    members = {member.number: member for member in old.members}
    for number in delta.removed:
        members.pop(number, None)
    members.update((member.number, member) for member in delta.changed)
    ordered = tuple(members[number] for number in sorted(members))
    return views.View(delta.service, delta.number, ordered, delta.revision)


def for_routing(view: views.View) -> views.View:
    """Return a copy of a view with only the data that an entry needs.

    Acknowledged views and the oldest flows' views matter only to agents.
    They change with every heartbeat, and each change would otherwise be
    sent to every entry.
    """
    members = tuple(
        dataclasses.replace(member, acked_view=0, oldest_flow_view=0)
        for member in view.members
    )
    return dataclasses.replace(view, members=members)


def view_digest(view: views.View) -> int:
    """Return a digest of a view; ``add_digests`` combines several."""
    return xxhash.xxh3_64_intdigest(repr(view).encode())


def entry_digest(entry: services.Service) -> int:
    """Return a digest of an entry's number and version."""
    text = f'{entry.number}/{entry.version}'
    return xxhash.xxh3_64_intdigest(text.encode())


def add_digests(*digests: int) -> int:
    """Return the combined digest of several digests, in any order."""
    return sum(digests) % DIGEST_RANGE
