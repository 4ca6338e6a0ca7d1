"""Conversion of heartbeats, views and summaries to protobuf and back.

An announcement is a heartbeat of an agent. A summary states which versions of
the catalogue the consumers use.
"""

from gentianspoke.codec import catalogue_entries
from gentianspoke.config import units
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.control import consumers
from gentianspoke.decisions.control import membership
from gentianspoke.decisions import view_delta
from gentianspoke import errors
from gentianspoke.generated import feed_pb2

STATES = {
    feed_pb2.MEMBER_STATE_LIVE: views.State.LIVE,
    feed_pb2.MEMBER_STATE_DRAINING: views.State.DRAINING,
    feed_pb2.MEMBER_STATE_SUSPECT: views.State.SUSPECT,
    feed_pb2.MEMBER_STATE_EVACUATED: views.State.EVACUATED,
}
# Only control decides which members are evacuated.
ANNOUNCED_STATES = {
    number: state
    for number, state in STATES.items()
    if state is not views.State.EVACUATED
}
# An update with more entries is compressed.
MAX_PLAIN_ENTRIES = 32
# The greatest weight in the settings of an agent.
MAX_WEIGHT = 1_000
STATE_NUMBERS = {state: number for number, state in STATES.items()}


def encode_catalogue_update(
    entries: list[services.Service], version: int, *, is_snapshot: bool
) -> feed_pb2.CatalogueUpdate:
    """Return entries of a catalogue version as a protobuf message."""
    update = feed_pb2.CatalogueUpdate(snapshot=is_snapshot, version=version)
    if len(entries) > MAX_PLAIN_ENTRIES:
        update.packed_entries = catalogue_entries.pack_entries(entries)
    else:
        update.entries.extend(map(catalogue_entries.encode_entry, entries))
    return update


def decode_catalogue_entries(
    message: feed_pb2.CatalogueUpdate,
) -> list[services.Service]:
    """Return the entries of a catalogue update.

    Raises :class:`gentianspoke.errors.ControlError` if they cannot be read
    or one of them is invalid.
    """
    if message.packed_entries:
        return catalogue_entries.unpack_entries(message.packed_entries)
    return [catalogue_entries.decode_entry(entry) for entry in message.entries]


def encode_view(view: views.View) -> feed_pb2.View:
    """Return a view as a protobuf message."""
    return feed_pb2.View(
        service=view.service,
        number=view.number,
        revision=view.revision,
        members=[_encode_member(member) for member in view.members],
    )


def encode_delta(delta: view_delta.ViewDelta) -> feed_pb2.View:
    """Return the delta between two views as a protobuf message."""
    base_number, base_revision = delta.base
    return feed_pb2.View(
        service=delta.service,
        number=delta.number,
        revision=delta.revision,
        members=[_encode_member(member) for member in delta.changed],
        delta=True,
        base_number=base_number,
        base_revision=base_revision,
        removed=delta.removed,
    )


def decode_view(
    message: feed_pb2.View,
) -> views.View | view_delta.ViewDelta:
    """Return the whole view or the delta that a message holds.

    A member whose state is unknown counts as suspect.
    """
    if message.delta:
        return _decode_delta(message)
    return _decode_whole_view(message)


def _decode_delta(message: feed_pb2.View) -> view_delta.ViewDelta:
    return view_delta.ViewDelta(
        service=message.service,
        base=(message.base_number, message.base_revision),
        number=message.number,
        revision=message.revision,
        changed=tuple(_decode_member(member) for member in message.members),
        removed=tuple(message.removed),
    )


def _decode_whole_view(message: feed_pb2.View) -> views.View:
    members = sorted(
        (_decode_member(member) for member in message.members),
        key=lambda member: member.number,
    )
    return views.View(
        message.service, message.number, tuple(members), message.revision
    )


def encode_announcement(
    announcement: membership.Announcement, service_names: tuple[str, ...]
) -> feed_pb2.Announcement:
    """Return a heartbeat as a protobuf message."""
    member = feed_pb2.Member(
        id=announcement.number,
        instance=announcement.instance,
        host=announcement.host,
        port=announcement.port,
        zone=announcement.zone,
        weight=announcement.weight,
        state=STATE_NUMBERS[announcement.state],
        recovering=announcement.recovering,
    )
    return feed_pb2.Announcement(
        member=member,
        service_names=service_names,
        reports=[_encode_report(report) for report in announcement.reports],
        leaving=announcement.leaving,
    )


def decode_announcement(
    message: feed_pb2.Announcement, numbers_by_name: dict[str, int]
) -> membership.Announcement:
    """Return the heartbeat that a protobuf message holds.

    ``numbers_by_name`` maps the names of the services in the catalogue to
    their numbers. The result omits services that are not in the catalogue.
    A member whose state is unknown counts as suspect.

    Raises :class:`gentianspoke.errors.ControlError` if the member cannot be
    reached at its address, because the entry instances and the other agents
    would not be able to use it.
    """
    member = message.member
    _check_address(member)
    service_numbers = [
        numbers_by_name.get(name) for name in message.service_names
    ]
    return membership.Announcement(
        number=member.id,
        instance=member.instance,
        host=member.host,
        port=member.port,
        zone=member.zone,
        # A missing weight reads as 0, and the decisions divide by weights.
        weight=min(max(1, member.weight), MAX_WEIGHT),
        state=ANNOUNCED_STATES.get(member.state, views.State.SUSPECT),
        recovering=member.recovering,
        services=tuple(
            number for number in service_numbers if number is not None
        ),
        reports=tuple(_decode_report(report) for report in message.reports),
        leaving=message.leaving,
    )


def _check_address(member: feed_pb2.Member) -> None:
    try:
        units.check_address((member.host, member.port))
    except ValueError as exc:
        raise errors.ControlError(
            f'the heartbeat of {member.instance!r} states an address that'
            f' cannot be used: {exc}'
        ) from exc


def encode_grant(grant: membership.Grant) -> feed_pb2.AnnouncementReply:
    """Return a grant of a lease as the protobuf reply to a heartbeat."""
    return feed_pb2.AnnouncementReply(
        granted=True,
        lease_ms=grant.lease_ms,
        renewal_only=grant.renewal_only,
    )


def encode_summary(summary: consumers.Summary) -> feed_pb2.Summary:
    """Return the summary of a relay's consumers as a protobuf message."""
    return feed_pb2.Summary(
        counts=[
            feed_pb2.VersionCount(version=version, consumers=count)
            for version, count in summary.counts.items()
        ],
        laggards=[_encode_laggard(laggard) for laggard in summary.laggards],
        departed=[_encode_laggard(laggard) for laggard in summary.departed],
        arrived=sorted(summary.arrived),
    )


def decode_summary(message: feed_pb2.Summary) -> consumers.Summary:
    """Return the summary of a relay's consumers that a message holds."""
    return consumers.Summary(
        counts={count.version: count.consumers for count in message.counts},
        laggards=tuple(
            _decode_laggard(laggard) for laggard in message.laggards
        ),
        departed=tuple(
            _decode_laggard(laggard) for laggard in message.departed
        ),
        arrived=frozenset(message.arrived),
    )


def _encode_laggard(laggard: consumers.Laggard) -> feed_pb2.Laggard:
    return feed_pb2.Laggard(instance=laggard.instance, version=laggard.version)


def _decode_laggard(message: feed_pb2.Laggard) -> consumers.Laggard:
    return consumers.Laggard(message.instance, message.version)


def _encode_member(member: views.Member) -> feed_pb2.Member:
    return feed_pb2.Member(
        id=member.number,
        instance=member.instance,
        host=member.host,
        port=member.port,
        zone=member.zone,
        weight=member.weight,
        state=STATE_NUMBERS[member.state],
        joined_view=member.joined_view,
        closed_view=member.closed_view,
        acked_view=member.acked_view,
        oldest_flow_view=member.oldest_flow_view,
        recovering=member.recovering,
        zone_evacuated=member.zone_evacuated,
    )


def _decode_member(message: feed_pb2.Member) -> views.Member:
    return views.Member(
        number=message.id,
        instance=message.instance,
        host=message.host,
        port=message.port,
        zone=message.zone,
        # A missing weight reads as 0, and the decisions divide by weights.
        weight=max(1, message.weight),
        state=STATES.get(message.state, views.State.SUSPECT),
        joined_view=message.joined_view,
        closed_view=message.closed_view,
        acked_view=message.acked_view,
        oldest_flow_view=message.oldest_flow_view,
        recovering=message.recovering,
        zone_evacuated=message.zone_evacuated,
    )


def _encode_report(
    report: membership.ServiceReport,
) -> feed_pb2.ServiceReport:
    return feed_pb2.ServiceReport(
        service=report.service,
        acked_view=report.acked_view,
        oldest_flow_view=report.oldest_flow_view,
        open_flows=report.open_flows,
    )


def _decode_report(
    message: feed_pb2.ServiceReport,
) -> membership.ServiceReport:
    return membership.ServiceReport(
        service=message.service,
        acked_view=message.acked_view,
        oldest_flow_view=message.oldest_flow_view,
        open_flows=message.open_flows,
    )
