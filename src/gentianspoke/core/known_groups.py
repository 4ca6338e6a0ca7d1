"""What a process knows about the addresses of the control group."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class KnownGroup:
    """The addresses of the control group's members, as one process knows them.

    Each address is a "host:port" text. ``addresses`` is empty if no member is
    known, and ``leader`` is empty if no leader is known. ``version`` is the
    index of the log record that set the members, 0 if it is not known.
    """

    addresses: tuple[str, ...] = ()
    leader: str = ''
    version: int = 0


def choose_newer(known: KnownGroup, reported: KnownGroup) -> KnownGroup:
    """Return what a process knows after another one has reported a group.

    A report without addresses or with an older version changes nothing, so
    that a process that was cut off does not bring back members that the group
    has removed. The last known leader is kept if the report names none.
    """
    if not reported.addresses or reported.version < known.version:
        return known
    if reported.leader:
        return reported
    return dataclasses.replace(reported, leader=known.leader)
