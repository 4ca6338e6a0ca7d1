"""Validation and application of documents, which are whole catalogues."""

import collections.abc
import dataclasses

from gentianspoke.core import services
from gentianspoke.decisions.control import former_pools

EntriesByName = dict[str, services.Service]


def find_error(
    entries: collections.abc.Iterable[services.Service],
    pools: collections.abc.Collection[str],
) -> str:
    """Return why a document is invalid, or an empty string if it is valid.

    ``pools`` contains the names of the pools that the document defines.
    """
    names: set[str] = set()
    names_by_endpoint: dict[tuple[bytes, int], str] = {}
    for entry in entries:
        if entry.name in names:
            return (
                f'{entry.name}: is listed twice; give each entry its own name'
            )
        names.add(entry.name)
        error = _find_share_error(entry, pools)
        if error:
            return error
        for port in entry.ports:
            holder = names_by_endpoint.setdefault(
                (entry.address, port), entry.name
            )
            if holder != entry.name:
                return (
                    f'{entry.name}: has the same address and port {port} as'
                    f' {holder}; choose another port'
                )
    return ''


def replace_entries(
    current_entries: EntriesByName,
    new_entries: list[services.Service],
    version: int,
) -> EntriesByName:
    """Return all entries after a document has set ``new_entries``.

    ``current_entries`` are the entries before the document. ``new_entries``
    have the number and version that they get if they are new. A changed
    entry gets ``version``. An unchanged one keeps its own, so that consumers
    get only the changed entries. An entry that the document omits is retired
    rather than removed: consumers get the change, and the open flows of the
    entry are still routed.
    """
    removed = find_removed_names(current_entries, new_entries)
    return change_entries(current_entries, new_entries, removed, version)


def change_entries(
    current_entries: EntriesByName,
    changed_entries: collections.abc.Collection[services.Service],
    removed: collections.abc.Iterable[str],
    version: int,
) -> EntriesByName:
    """Return all entries after a document has changed and removed some.

    Versions and removed entries are as in :func:`replace_entries`.
    """
    entries = dict(current_entries)
    for name in removed:
        if name in entries:
            entries[name] = dataclasses.replace(
                entries[name], retired=True, version=version
            )
    holders = former_pools.index_holders(
        current_entries.values(), changed_entries
    )
    for entry in changed_entries:
        previous = current_entries.get(entry.name)
        former = former_pools.list_former_pools(
            previous, holders, entry, version
        )
        entries[entry.name] = _update_entry(previous, entry, former, version)
    return entries


def find_removed_names(
    current_entries: EntriesByName,
    new_entries: collections.abc.Iterable[services.Service],
) -> tuple[str, ...]:
    """Return the names of the entries that a whole document retires."""
    names = {entry.name for entry in new_entries}
    return tuple(
        entry.name
        for entry in current_entries.values()
        if entry.name not in names and not entry.retired
    )


def find_changed_entries(
    current_entries: EntriesByName,
    new_entries: collections.abc.Iterable[services.Service],
) -> tuple[services.Service, ...]:
    """Return the entries of a whole document that are new or change.

    The shares of ``new_entries`` refer to pools by name.
    """
    return tuple(
        entry
        for entry in new_entries
        if not _is_unchanged(current_entries.get(entry.name), entry)
    )


def _is_unchanged(
    previous: services.Service | None, entry: services.Service
) -> bool:
    return previous is not None and _get_operator_fields(
        previous
    ) == _get_operator_fields(entry)


def _get_operator_fields(entry: services.Service) -> tuple[object, ...]:
    """Return the fields that a document sets, in a form to compare."""
    return (
        entry.owner,
        entry.address,
        entry.ports,
        entry.protocol,
        entry.traffic,
        entry.limits,
        entry.retired,
        entry.handshake,
        entry.priority,
        tuple((share.name, share.weight) for share in entry.shares),
    )


def _find_share_error(
    entry: services.Service, pools: collections.abc.Collection[str]
) -> str:
    if not entry.shares:
        return f'{entry.name}: names no pool; name at least one'
    for share in entry.shares:
        if share.name not in pools:
            return (
                f'{entry.name}: the pool {share.name} is not defined; add it'
            )
    if not any(share.weight for share in entry.shares):
        return (
            f'{entry.name}: all weights are 0; give at least one pool a weight'
            ' above 0'
        )
    return ''


def _update_entry(
    previous: services.Service | None,
    entry: services.Service,
    former: tuple[services.FormerPool, ...],
    version: int,
) -> services.Service:
    if (
        previous is not None
        and former == previous.former
        and _is_unchanged(previous, entry)
    ):
        return previous
    return services.with_catalogue_fields(
        entry, entry.number, version, entry.shares, former
    )
