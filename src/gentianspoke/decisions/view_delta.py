"""Differences between two views of a service, and digests of views.

A feed sends a view once and then only the members that changed. A digest
over all that a consumer has tells whether it still equals the source's.
"""

import dataclasses

import xxhash

from gentianspoke.core import services
from gentianspoke.core import views

DIGEST_RANGE = 1 << 64

Order = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ViewDelta:
    """What turns the view of order ``base`` into a newer one."""

    service: int
    base: Order
    number: int
    revision: int
    changed: tuple[views.Member, ...]
    removed: tuple[int, ...]


def difference(old: views.View, new: views.View) -> ViewDelta:
    """Return what turns ``old`` into ``new``."""
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
    """Return the newer view, ``None`` where ``old`` is not the base."""
    if old.order != delta.base:
        return None
    members = {member.number: member for member in old.members}
    for number in delta.removed:
        members.pop(number, None)
    members.update((member.number, member) for member in delta.changed)
    ordered = tuple(members[number] for number in sorted(members))
    return views.View(delta.service, delta.number, ordered, delta.revision)


def for_routing(view: views.View) -> views.View:
    """Return a view with only what an entry needs to route by.

    Acknowledgements and reports on flows concern the agents; they change
    with every heartbeat and would reach every entry.
    """
    members = tuple(
        dataclasses.replace(member, acked_view=0, oldest_flow_view=0)
        for member in view.members
    )
    return dataclasses.replace(view, members=members)


def view_digest(view: views.View) -> int:
    """Return a digest of a view; digests of several views are added."""
    return xxhash.xxh3_64_intdigest(repr(view).encode())


def entry_digest(entry: services.Service) -> int:
    """Return a digest that tells which text of an entry this is."""
    text = f'{entry.number}/{entry.version}'
    return xxhash.xxh3_64_intdigest(text.encode())


def add_digests(*digests: int) -> int:
    """Return the digest of several things, in any order."""
    return sum(digests) % DIGEST_RANGE
