"""Decides whether an instance with a new data folder may start as a member.

A group forms only when each initial member has told all others that its data
folder is new. After that, an instance that has a new data folder and the name
of a member is refused. The records that the member had synced and its votes
are lost, and a majority may depend on them.
"""

import dataclasses

from gentianspoke.decisions.control.replica import group as groups


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """How an instance identifies itself to the others.

    ``number`` is that of its data folder; ``group`` is empty where the data
    folder is new.
    """

    number: int
    instance: str
    group: groups.Group = groups.Group()


@dataclasses.dataclass(frozen=True, slots=True)
class InitialMember:
    """An initial member from the settings; ``address`` is "host:port"."""

    instance: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Tells the instance to wait for more replies.

    ``missing`` names the initial members that have not replied.
    """

    missing: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Tells the instance to start as a member of ``group``."""

    group: groups.Group


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Tells the instance not to start; ``reason`` names the remedy."""

    reason: str


Decision = Wait | Begin | Refuse


def decide_start(
    own: Identity,
    initial_members: tuple[InitialMember, ...],
    replies: dict[str, Identity],
) -> Decision:
    """Return whether a new instance starts, waits or must not start.

    ``replies`` holds the identities of the initial members that have
    replied, by the names of their instances.
    """
    if not any(item.instance == own.instance for item in initial_members):
        return Refuse(
            f'{own.instance} is not among control.members; list it there, or'
            ' set control.join: true to have it added to a running group'
        )
    for name, reply in sorted(replies.items()):
        if reply.instance != name:
            return Refuse(
                f'the instance at the address of {name} is {reply.instance};'
                ' correct control.members'
            )
        if reply.group.members:
            return _decide_from_group(own, reply.group)
    identities = {**replies, own.instance: own}
    missing = [
        item.instance
        for item in initial_members
        if item.instance not in identities
    ]
    if missing:
        return Wait(tuple(missing))
    members = tuple(
        groups.Member(
            identities[item.instance].number, item.instance, item.address, True
        )
        for item in initial_members
    )
    return Begin(groups.Group(members))


def _decide_from_group(own: Identity, group: groups.Group) -> Decision:
    if group.find(own.number) is not None:
        return Begin(group)
    if group.find_instance(own.instance) is not None:
        return Refuse(
            f'the data folder is new, but {own.instance} is a member with'
            ' another one; never start it under the old name: give it a new'
            ' name, set control.join: true, and use "gentianspoke'
            ' control-group replace"'
        )
    return Refuse(
        f'the group has formed without {own.instance}; set control.join:'
        ' true and use "gentianspoke control-group add"'
    )
