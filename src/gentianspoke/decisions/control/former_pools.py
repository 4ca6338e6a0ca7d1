"""The former pools of catalogue entries: which are listed, and until when.

A former pool of an entry gets no new flows of its service, but may have open
flows to one of its endpoints. The endpoint may have belonged to another entry
when such a flow was opened. Packets are matched to entries by endpoint, so an
entry takes over the pools of the entries that had its endpoints before.
"""

import collections
import collections.abc
import dataclasses

from gentianspoke.core import services

EntriesByName = dict[str, services.Service]
# Protocol, address and port.
Endpoint = tuple[int, bytes, int]


def find_holders(
    current_entries: EntriesByName,
    changed_entries: collections.abc.Collection[services.Service],
) -> collections.abc.Mapping[str, list[services.Service]]:
    """Return the entries whose flows changed entries take over, by name.

    Each changed entry takes over the flows of its previous version, and those
    of the entries to which its endpoints belong now. An endpoint belongs to
    retired entries only if no other entry has it.
    """
    names_by_endpoint = {
        endpoint: entry.name
        for entry in changed_entries
        for endpoint in _list_endpoints(entry)
    }
    addresses = {entry.address for entry in changed_entries}
    holders: dict[Endpoint, list[services.Service]] = collections.defaultdict(
        list
    )
    # Replicas have the entries in different orders, so they are sorted.
    for name in sorted(current_entries):
        entry = current_entries[name]
        if entry.address in addresses:
            for endpoint in _list_endpoints(entry):
                holders[endpoint].append(entry)
    result: dict[str, list[services.Service]] = collections.defaultdict(list)
    for entry in changed_entries:
        if entry.name in current_entries:
            result[entry.name].append(current_entries[entry.name])
    for endpoint, name in names_by_endpoint.items():
        for holder in _select_current(holders.get(endpoint, [])):
            if holder not in result[name]:
                result[name].append(holder)
    return result


def list_former_pools(
    holders: collections.abc.Iterable[services.Service],
    entry: services.Service,
    version: int,
) -> tuple[services.FormerPool, ...]:
    """Return the former pools of an entry that takes over flows.

    ``holders`` are the entries from :func:`find_holders`, and ``version`` is
    the version of the catalogue with ``entry``. The pool that got new flows
    last comes first. The number of the pools has no limit, because an open
    flow whose pool is not listed is lost, and is even reset where agents
    inquire about flows. Pools are removed by time instead
    (:func:`expire_former_pools`).
    """
    current_pools = services.get_current_pools(entry)
    result: dict[int, services.FormerPool] = {}
    for holder in holders:
        for former in _list_pools_of_flows(holder, version):
            known = result.get(former.pool)
            is_newer = known is None or known.since_version < (
                former.since_version
            )
            if is_newer and former.pool not in current_pools:
                result[former.pool] = former
    return tuple(
        sorted(result.values(), key=lambda former: -former.since_version)
    )


def _list_endpoints(
    entry: services.Service,
) -> collections.abc.Iterator[Endpoint]:
    for port in entry.ports:
        yield entry.protocol, entry.address, port


def _select_current(
    holders: list[services.Service],
) -> list[services.Service]:
    return [entry for entry in holders if not entry.retired] or holders


def _list_pools_of_flows(
    holder: services.Service, version: int
) -> collections.abc.Iterator[services.FormerPool]:
    """Yield the pools that have open flows of an entry.

    Its own pools get new flows until ``version``, or until it was retired.
    """
    since_version = holder.version if holder.retired else version
    own_pool = services.Share(holder.number, 1, holder.name)
    for share in holder.shares or (own_pool,):
        yield services.FormerPool(share.pool, share.name, since_version)
    yield from holder.former


def name_former_pools(
    entry: services.Service, names: collections.abc.Mapping[int, str]
) -> services.Service:
    """Return an entry whose former pools have their names.

    Entries that earlier versions stored lack them. ``names`` maps the numbers
    of pools to their names.
    """
    if all(former.name for former in entry.former):
        return entry
    former = tuple(
        dataclasses.replace(former, name=names.get(former.pool, ''))
        for former in entry.former
    )
    return dataclasses.replace(entry, former=former)


def has_expired_former_pools(
    entries: collections.abc.Iterable[services.Service], expired_version: int
) -> bool:
    """Return whether :func:`expire_former_pools` would remove a pool."""
    return any(
        former.since_version <= expired_version
        for entry in entries
        for former in entry.former
    )


def expire_former_pools(
    current_entries: EntriesByName, expired_version: int, version: int
) -> EntriesByName:
    """Return all entries without the former pools of an old version.

    These are the pools that have got no new flows since ``expired_version`` or
    an earlier version. An entry that changes gets ``version``.
    """
    entries = dict(current_entries)
    for entry in current_entries.values():
        if not has_expired_former_pools((entry,), expired_version):
            continue
        former = tuple(
            former
            for former in entry.former
            if former.since_version > expired_version
        )
        entries[entry.name] = dataclasses.replace(
            entry, former=former, version=version
        )
    return entries
