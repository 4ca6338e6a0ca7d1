"""Whole catalogues: what is wrong with one, and what it changes."""

import collections.abc
import dataclasses

from gentianspoke.core import services

# Pools of earlier documents in which open flows are still looked for.
MAX_FORMER_POOLS = 8

EntriesByName = dict[str, services.Service]


def find_error(
    entries: collections.abc.Iterable[services.Service],
    pools: collections.abc.Collection[str],
) -> str:
    """Return why a document cannot hold, empty where it can.

    ``pools`` are the names of the pools that the document defines.
    """
    names: set[str] = set()
    owners: dict[tuple[bytes, int], str] = {}
    for entry in entries:
        if entry.name in names:
            return f'{entry.name}: stands twice; give each entry its own name'
        names.add(entry.name)
        error = _shares_error(entry, pools)
        if error:
            return error
        for port in entry.ports:
            holder = owners.setdefault((entry.address, port), entry.name)
            if holder != entry.name:
                return (
                    f'{entry.name}: has address and port {port} of {holder};'
                    ' choose another port'
                )
    return ''


def replace_entries(
    known: EntriesByName, wanted: list[services.Service], version: int
) -> EntriesByName:
    """Return all entries once ``wanted`` are the only ones not retired.

    An entry that does not change keeps its version, so that consumers get
    only what does. One that is missing is retired rather than removed: a
    consumer learns so, and its open flows still find their way.
    """
    entries = dict(known)
    names = {entry.name for entry in wanted}
    for entry in known.values():
        if entry.name not in names and not entry.retired:
            entries[entry.name] = dataclasses.replace(
                entry, retired=True, version=version
            )
    for entry in wanted:
        entries[entry.name] = _updated_entry(
            known.get(entry.name), entry, version
        )
    return entries


def _shares_error(
    entry: services.Service, pools: collections.abc.Collection[str]
) -> str:
    if not entry.shares:
        return f'{entry.name}: names no pool; name one at least'
    for share in entry.shares:
        if share.name not in pools:
            return f'{entry.name}: {share.name} is not defined; add it'
    if not any(share.weight for share in entry.shares):
        return f'{entry.name}: all weights are 0; give one that is not'
    return ''


def _updated_entry(
    known: services.Service | None, entry: services.Service, version: int
) -> services.Service:
    if known is None:
        return dataclasses.replace(entry, version=version)
    current = services.current_pools(entry)
    former = [
        pool for pool in services.all_pools(known) if pool not in current
    ]
    updated = dataclasses.replace(
        entry, version=known.version, former=tuple(former[:MAX_FORMER_POOLS])
    )
    if updated == known:
        return known
    return dataclasses.replace(updated, version=version)
