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
from gentianspoke.decisions.control import endpoints

Entries = collections.abc.Iterable[services.Service]
HoldersByEndpoint = collections.abc.Mapping[
    endpoints.Endpoint, list[services.Service]
]


def index_holders(
    current_entries: Entries, changed_entries: Entries
) -> HoldersByEndpoint:
    """Return the entries that have the endpoints of changed entries now.

    Endpoints with other addresses are left out, because indexing all entries
    takes long. Retired entries have their endpoints still.
    """
    addresses = {entry.address for entry in changed_entries}
    holders: dict[endpoints.Endpoint, list[services.Service]] = (
        collections.defaultdict(list)
    )
    for entry in current_entries:
        if entry.address in addresses:
            for endpoint in endpoints.list_endpoints(entry):
                holders[endpoint].append(entry)
    return holders


def list_former_pools(
    previous: services.Service | None,
    holders: HoldersByEndpoint,
    entry: services.Service,
    version: int,
) -> tuple[services.FormerPool, ...]:
    """Return the former pools of an entry that takes over flows.

    These are the flows of its ``previous`` version, and those of the entries
    to which its endpoints belong now. An endpoint belongs to retired entries
    only if no other entry has it. ``version`` is the version of the catalogue
    with ``entry``.

    The pool that got new flows last comes first, so the order is the same at
    all replicas. The number of the pools has no limit, because an open flow
    whose pool is not listed is lost, and is even reset where agents inquire
    about flows. Pools are removed by time instead
    (:func:`expire_former_pools`).
    """
    sources = {previous.name: previous} if previous else {}
    for endpoint in endpoints.list_endpoints(entry):
        for holder in _select_current(holders.get(endpoint, [])):
            sources[holder.name] = holder
    pools = [
        pool
        for source in sources.values()
        for pool in _list_pools_of_flows(source, version)
    ]
    pools.sort(key=lambda pool: (-pool.since_version, pool.pool))
    current_pools = services.get_current_pools(entry)
    result: dict[int, services.FormerPool] = {}
    for pool in pools:
        if pool.pool not in current_pools:
            result.setdefault(pool.pool, pool)
    return tuple(result.values())


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


def expire_former_pools(
    entries: Entries, expired_version: int, version: int
) -> list[services.Service]:
    """Return the entries that an expiry changes, as they are after it.

    It removes the former pools that have got no new flows since
    ``expired_version`` or an earlier version. The entries get ``version``.
    """
    changed_entries: list[services.Service] = []
    for entry in entries:
        kept_pools = tuple(
            [
                former
                for former in entry.former
                if former.since_version > expired_version
            ]
        )
        if kept_pools != entry.former:
            changed_entries.append(
                dataclasses.replace(entry, former=kept_pools, version=version)
            )
    return changed_entries
