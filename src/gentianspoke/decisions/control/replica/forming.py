"""How an instance with a new data folder gets its group, or is refused.

A group forms only when all its first members have shown each other new
folders. Afterwards a new folder under the name of a member is refused:
what it had synced and voted for is lost, and a majority may rest on it.
"""

import dataclasses

from gentianspoke.decisions.control.replica import group as groups


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who an instance says it is; ``group`` is empty for a new folder."""

    number: int
    instance: str
    group: groups.Group = groups.Group()


@dataclasses.dataclass(frozen=True, slots=True)
class InitialMember:
    """A first member as the settings name it; address is "host:port"."""

    instance: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Not all first members have answered."""

    missing: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """The group is known."""

    group: groups.Group


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """This instance must not start; ``reason`` names the remedy."""

    reason: str


Decision = Wait | Begin | Refuse


def decide(
    own: Identity,
    initial: tuple[InitialMember, ...],
    replies: dict[str, Identity],
) -> Decision:
    """Return what follows from the first members' replies, by name."""
    if not any(item.instance == own.instance for item in initial):
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
    known = {**replies, own.instance: own}
    missing = [item.instance for item in initial if item.instance not in known]
    if missing:
        return Wait(tuple(missing))
    members = tuple(
        groups.Member(
            known[item.instance].number, item.instance, item.address, True
        )
        for item in initial
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
