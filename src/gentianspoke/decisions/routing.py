"""The entry's decision: which agent gets a packet. It keeps no flow."""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions import hashing

MAX_HOPS = 24
MAX_OFFERS = 3

Endpoint = tuple[int, bytes, int]


@dataclasses.dataclass(slots=True)
class RouteTable:
    """Catalogue and views of an entry, indexed for look-up by packet."""

    catalogue_version: int = 0
    by_endpoint: dict[Endpoint, services.Service] = dataclasses.field(
        default_factory=dict
    )
    rankings: dict[int, hashing.Ranking] = dataclasses.field(
        default_factory=dict
    )

    def set_catalogue(
        self, version: int, entries: list[services.Service]
    ) -> bool:
        """Take a newer catalogue; return whether it was newer."""
        if version < self.catalogue_version:
            return False
        self.catalogue_version = version
        self.by_endpoint = index_services(entries)
        return True

    def set_view(self, view: views.View) -> bool:
        """Take a newer view of a service; return whether it was newer."""
        known = self.rankings.get(view.service)
        if known is not None and known.view.order > view.order:
            return False
        self.rankings[view.service] = hashing.Ranking(view)
        return True


def index_services(
    entries: list[services.Service],
) -> dict[Endpoint, services.Service]:
    """Return the services by protocol, address and port.

    A retired service stays routable as long as it is listed, for flows
    that were open when it was retired; an unretired one goes before it.
    """
    index: dict[Endpoint, services.Service] = {}
    for entry in sorted(entries, key=lambda item: not item.retired):
        for port in entry.ports:
            index[(entry.protocol, entry.address, port)] = entry
    return index


def endpoint_of(key: packets.FlowKey) -> Endpoint:
    """Return protocol, address and port that a flow is addressed to."""
    return (
        packets.key_protocol(key),
        packets.service_address(key),
        packets.service_port(key),
    )


def route(table: RouteTable, packet: packets.Packet) -> actions.Action:
    """Return where an entry sends a packet that the fabric handed to it."""
    key = packet.key
    service = table.by_endpoint.get(endpoint_of(key))
    if service is None:
        return actions.Drop('no-service')
    if service.handshake and service.retired and _opens(packet):
        return _answer_without_members(service, packet)
    ranking = _choose_ranking(table, service, key)
    if ranking is None:
        return actions.Drop('no-view')
    bucket = hashing.bucket_of(key, service.number)
    member, purpose = _choose_member(service, ranking, bucket, packet)
    if member is None:
        return _answer_without_members(service, packet)
    forward = frames.Forward(
        service=service.number,
        view=ranking.view.number,
        bucket=bucket,
        target=member.number,
        packet=packet.raw,
        purpose=purpose,
        hops_left=MAX_HOPS,
        wait_left_ms=service.limits.wait_ms,
        offers_left=MAX_OFFERS,
        pool=ranking.view.service,
    )
    return actions.SendFrame(member, forward, services.is_bulk(service))


def _opens(packet: packets.Packet) -> bool:
    match packet:
        case packets.Segment():
            return packets.is_opening(packet)
        case packets.Datagram():
            return False


def _choose_ranking(
    table: RouteTable, service: services.Service, key: packets.FlowKey
) -> hashing.Ranking | None:
    if not service.shares:
        return table.rankings.get(service.number)
    known = [
        share
        for share in service.shares
        if share.weight and share.pool in table.rankings
    ]
    live = [item for item in known if table.rankings[item.pool].live_count]
    share = hashing.choose_share(key, tuple(live or known))
    return table.rankings[share.pool] if share else None


def _choose_member(
    service: services.Service,
    ranking: hashing.Ranking,
    bucket: int,
    packet: packets.Packet,
) -> tuple[views.Member | None, frames.Purpose]:
    """Return the home, or for a repeated opening one of the next members.

    The home may be gone. Where the upstreams see to it that work runs
    once, a copy of an opening may go elsewhere meanwhile.
    """
    if service.handshake and packets.is_retransmission(packet):
        live = [item for item in ranking.order(bucket) if item.is_live]
        if len(live) > 1:
            member = live[packets.retransmission_number(packet) % len(live)]
            return member, frames.Purpose.OFFER
    home = ranking.home(bucket)
    if home is None:
        home = next(iter(ranking.order(bucket)), None)
    return home, frames.Purpose.ROUTE


def _answer_without_members(
    service: services.Service, packet: packets.Packet
) -> actions.Action:
    reason = 'service-retired' if service.retired else 'no-upstream'
    if services.needs_single_decider(service):
        # Another entry may have sent a copy to a member of a newer view.
        return actions.Drop(reason)
    if packets.is_retransmission(packet):
        # An earlier copy may have been accepted.
        return actions.Drop(reason)
    match packet:
        case packets.Segment() if packets.is_opening(packet):
            return actions.Refuse(packet, reason)
        case _:
            return actions.Drop(reason)
