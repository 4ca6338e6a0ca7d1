"""Check of catalogue entries before an operator sends them.

The check finds entries that no packet can match, limits that contradict each
other, and differences from the entries in force. What control refuses is an
error, and so is an entry without any effect; the rest are warnings.
"""

import collections
import collections.abc
import dataclasses
import enum
import ipaddress

from gentianspoke.core import services

Entries = collections.abc.Sequence[services.Service]
EntriesByName = collections.abc.Mapping[str, services.Service]
# Fields that the catalogue assigns; they differ without a change by operators.
ASSIGNED_FIELDS = frozenset({'number', 'version', 'former'})


class Severity(enum.Enum):
    """How serious a finding is."""

    ERROR = 'error'
    WARNING = 'warning'


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A fault of an entry: its field, what is wrong, and the remedy."""

    severity: Severity
    entry: str
    field: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A field of an entry that differs from the entry in force.

    ``old`` is empty for an added entry, and ``new`` for a removed one.
    """

    entry: str
    field: str
    old: str
    new: str


def find_findings(entries: Entries, in_force: EntriesByName) -> list[Finding]:
    """Return the findings on ``entries``, in their order.

    ``in_force`` holds the entries that remain in force beside them, by name.
    """
    names = {entry.name for entry in entries}
    others = [
        entry
        for entry in in_force.values()
        if entry.name not in names and not entry.retired
    ]
    findings: list[Finding] = []
    for entry in entries:
        findings.extend(_check_address(entry))
        findings.extend(_check_shares(entry))
        findings.extend(_check_limits(entry))
    findings.extend(_find_shared_endpoints([*others, *entries], names))
    findings.extend(_check_pools(entries))
    return findings


def find_differences(
    entries: Entries, in_force: EntriesByName, *, is_complete: bool
) -> list[Difference]:
    """Return what differs from the entries in force.

    If ``is_complete`` is true, entries that are not listed are removed.
    """
    differences: list[Difference] = []
    for entry in entries:
        old = _describe(in_force.get(entry.name))
        differences.extend(
            Difference(entry.name, field, old.get(field, ''), text)
            for field, text in _describe(entry).items()
            if old.get(field) != text
        )
    names = {entry.name for entry in entries}
    if is_complete:
        differences.extend(
            Difference(name, 'entry', 'in force', '')
            for name, entry in in_force.items()
            if name not in names and not entry.retired
        )
    return differences


def _describe(entry: services.Service | None) -> dict[str, str]:
    """Return the text of each field that operators set, by its name."""
    if entry is None:
        return {}
    texts = {
        field.name: str(getattr(entry, field.name))
        for field in dataclasses.fields(entry)
        if field.name not in ASSIGNED_FIELDS | {'limits', 'shares'}
    }
    texts['address'] = str(ipaddress.ip_address(entry.address))
    texts['shares'] = ', '.join(
        f'{share.name} {share.weight}' for share in entry.shares
    )
    for field in dataclasses.fields(entry.limits):
        texts[f'limits.{field.name}'] = str(getattr(entry.limits, field.name))
    return texts


def _check_address(
    entry: services.Service,
) -> collections.abc.Iterator[Finding]:
    address = ipaddress.ip_address(entry.address)
    if address.is_unspecified or address.is_multicast:
        yield Finding(
            Severity.ERROR,
            entry.name,
            'address',
            f'no flow can have the address {address}; give a unicast address',
        )


def _check_shares(
    entry: services.Service,
) -> collections.abc.Iterator[Finding]:
    counts = collections.Counter(share.name for share in entry.shares)
    for share in entry.shares:
        if not share.weight:
            yield Finding(
                Severity.WARNING,
                entry.name,
                'shares',
                f'the pool {share.name} gets no flow, as its weight is 0;'
                ' remove it or give it a weight',
            )
    for name, count in counts.items():
        if count > 1:
            yield Finding(
                Severity.WARNING,
                entry.name,
                'shares',
                f'the pool {name} is listed {count} times; add the weights up',
            )


def _check_limits(
    entry: services.Service,
) -> collections.abc.Iterator[Finding]:
    limits = entry.limits
    # With ``handshake``, the upstream queues the requests itself, and slots
    # and queue of the entry have no effect.
    waits_here = services.occupies_slot(entry) and not entry.handshake
    rules = (
        (
            waits_here and limits.slots > limits.connections,
            'slots',
            f'{limits.slots} slots need as many connections, but'
            f' {limits.connections} are allowed; raise connections',
        ),
        (
            waits_here and limits.wait_ms and not limits.queue,
            'wait_ms',
            'nothing can wait without a queue; raise queue',
        ),
        (
            waits_here and limits.queue and not limits.wait_ms,
            'queue',
            'no opening is queued without a wait; set wait',
        ),
        (
            limits.wait_ms >= limits.idle_ms,
            'wait_ms',
            f'an opening may wait for {limits.wait_ms} ms, but its flow is'
            f' removed after {limits.idle_ms} ms; raise idle',
        ),
        (
            limits.wait_ms and not waits_here and not entry.handshake,
            'wait_ms',
            'flows of this class need no slot and never wait; remove wait',
        ),
    )
    for applies, field, text in rules:
        if applies:
            yield Finding(
                Severity.WARNING, entry.name, f'limits.{field}', text
            )


def _find_shared_endpoints(
    entries: Entries, checked_names: collections.abc.Container[str]
) -> collections.abc.Iterator[Finding]:
    holders: dict[tuple[int, bytes, int], str] = {}
    for entry in entries:
        for port in entry.ports:
            key = (entry.protocol, entry.address, port)
            holder = holders.setdefault(key, entry.name)
            if holder != entry.name and entry.name in checked_names:
                yield Finding(
                    Severity.ERROR,
                    entry.name,
                    'ports',
                    f'port {port} of this address belongs to {holder}, which'
                    ' gets all of its packets; choose another port',
                )


def _check_pools(entries: Entries) -> collections.abc.Iterator[Finding]:
    """Yield the entries whose connection limit is below others of a pool.

    The flows of all services of a pool count against each service's limit.
    """
    limits: dict[str, int] = {}
    for entry in entries:
        for share in entry.shares:
            limits[share.name] = max(
                limits.get(share.name, 0), entry.limits.connections
            )
    for entry in entries:
        for share in entry.shares:
            if entry.limits.connections < limits[share.name]:
                yield Finding(
                    Severity.WARNING,
                    entry.name,
                    'limits.connections',
                    f'in the pool {share.name}, other entries may hold'
                    f' {limits[share.name]} connections and leave none for the'
                    f' {entry.limits.connections} of this one; give all the'
                    ' same limit',
                )
