"""Reasons for refusing the edit of a catalogue entry."""

from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue_records


# Each replica stores the reason as part of its answer, so two versions of this
# program that run side by side must give the same text.
def find_conflict_reason(
    edit: catalogue_records.Edit, current: services.Service | None
) -> str:
    """Return why an edit is refused, or an empty string if it is not.

    ``current`` is the entry before the edit, ``None`` if there is none.
    """
    version = current.version if current else 0
    if edit.base_version != version:
        return (
            f'based on version {edit.base_version}, but the entry is at'
            f' {version}; read it again, merge and apply again'
        )
    match edit.change:
        case catalogue_records.Retire() if current is None:
            return 'no such entry; check the name with "catalogue list"'
        case catalogue_records.Put(entry=entry) if current is not None:
            return _find_identity_conflict_reason(entry, current)
        case _:
            return ''


def _find_identity_conflict_reason(
    entry: services.Service, current: services.Service
) -> str:
    if current.retired:
        return 'retired; a name is not used again, so choose another one'
    if (entry.address, entry.protocol) != (current.address, current.protocol):
        return (
            'address and protocol of a service do not change; add a new'
            ' entry, then retire this one'
        )
    if type(entry.traffic) is not type(current.traffic):
        return (
            'the class of a service does not change under open flows; add'
            ' a new entry, then retire this one'
        )
    return ''
