"""Stateless routing of packets from an entry instance to the agents."""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions import hashing
from gentianspoke.decisions import member_ranking

# Maximum number of times that agents forward a frame after the entry instance
# has sent it.
MAX_HOPS = 24
# Maximum number of times that agents offer the opening of a frame to another
# member.
MAX_OFFERS = 3

# Protocol, address and port of a service.
Endpoint = tuple[int, bytes, int]


@dataclasses.dataclass(slots=True)
class RouteTable:
    """An entry instance's catalogue and views, indexed for look-up by packet.

    ``rankings`` holds the ranking of each pool's current view, by the number
    of the pool.
    """

    catalogue_version: int = 0
    services_by_endpoint: dict[Endpoint, services.Service] = dataclasses.field(
        default_factory=dict
    )
    rankings: dict[int, member_ranking.Ranking] = dataclasses.field(
        default_factory=dict
    )
    # The shares that new flows of a service may get, by the number of the
    # service; emptied by each change of the catalogue or of a view.
    _routable_shares: dict[int, tuple[services.Share, ...]] = (
        dataclasses.field(default_factory=dict)
    )

    def set_catalogue(
        self, version: int, entries: list[services.Service]
    ) -> bool:
        """Store a catalogue unless it is older than the current one.

        Return whether it was stored.
        """
        if version < self.catalogue_version:
            return False
        self.catalogue_version = version
        self.services_by_endpoint = index_services(entries)
        self._routable_shares.clear()
        return True

    def set_view(self, view: views.View) -> bool:
        """Store a view unless the pool's current one is newer.

        Return whether it was stored.
        """
        current = self.rankings.get(view.service)
        if current is not None and current.view.order > view.order:
            return False
        self.rankings[view.service] = member_ranking.Ranking(view)
        self._routable_shares.clear()
        return True

    def get_routable_shares(
        self, service: services.Service
    ) -> tuple[services.Share, ...]:
        """Return the shares of a service to choose from for a flow.

        These are the shares with a weight whose pool has a live member, or
        all with a weight and a view if no such pool has one.
        """
        shares = self._routable_shares.get(service.number)
        if shares is None:
            shares = self._select_routable_shares(service)
            self._routable_shares[service.number] = shares
        return shares

    def _select_routable_shares(
        self, service: services.Service
    ) -> tuple[services.Share, ...]:
        known_shares = [
            share
            for share in service.shares
            if share.weight and share.pool in self.rankings
        ]
        live_shares = [
            share
            for share in known_shares
            if self.rankings[share.pool].live_count
        ]
        return tuple(live_shares or known_shares)


def index_services(
    entries: list[services.Service],
) -> dict[Endpoint, services.Service]:
    """Return a mapping from protocol, address and port to the service.

    A retired service stays routable as long as it is listed, because flows
    may still be open from before it was retired. A service that is not
    retired takes precedence over a retired one with the same endpoint.
    """
    index: dict[Endpoint, services.Service] = {}
    for entry in sorted(entries, key=lambda entry: not entry.retired):
        for port in entry.ports:
            index[(entry.protocol, entry.address, port)] = entry
    return index


def get_endpoint(key: packets.FlowKey) -> Endpoint:
    """Return the protocol, address and port that a flow is addressed to."""
    return (
        packets.get_protocol(key),
        packets.get_service_address(key),
        packets.get_service_port(key),
    )


def route(table: RouteTable, packet: packets.Packet) -> actions.Action:
    """Return the action of an entry instance for a packet from the fabric."""
    key = packet.key
    service = table.services_by_endpoint.get(get_endpoint(key))
    if service is None:
        return actions.Drop('no-service')
    # Openings to a retired service without ``handshake`` are forwarded, and
    # the agent refuses them.
    if service.handshake and service.retired and _is_opening(packet):
        return _refuse_or_drop(service, packet, 'service-retired')
    ranking = _choose_ranking(table, service, key)
    if ranking is None or not ranking.live_count:
        ranking = _choose_without_live_ranking(table, service, ranking, packet)
    if ranking is None:
        return actions.Drop('no-view')
    bucket = hashing.bucket_of(key, service.number)
    member, purpose = _choose_member(service, ranking, bucket, packet)
    if member is None:
        return _refuse_or_drop(service, packet, _find_reason(ranking))
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


def _is_opening(packet: packets.Packet) -> bool:
    match packet:
        case packets.Segment():
            return packets.is_opening(packet)
        case packets.Datagram():
            return False


def _choose_ranking(
    table: RouteTable, service: services.Service, key: packets.FlowKey
) -> member_ranking.Ranking | None:
    if not service.shares:
        return table.rankings.get(service.number)
    share = hashing.choose_share(key, table.get_routable_shares(service))
    return table.rankings[share.pool] if share else None


def _choose_without_live_ranking(
    table: RouteTable,
    service: services.Service,
    chosen: member_ranking.Ranking | None,
    packet: packets.Packet,
) -> member_ranking.Ranking | None:
    """Return the ranking for a packet if ``chosen`` has no live member.

    ``chosen`` is the ranking that the shares give. If none of its members
    responds, a packet of an open flow goes to another pool with one that does.
    The flow may be open there, and any member searches all pools.
    """
    if _is_opening(packet):
        return chosen
    pools = services.get_all_pools(service)
    others = [table.rankings.get(pool) for pool in pools]
    for ranking in (chosen, *others):
        if ranking is not None and _has_responding_member(ranking):
            return ranking
    return chosen


def _has_responding_member(ranking: member_ranking.Ranking) -> bool:
    return any(
        member.state is not views.State.SUSPECT
        for member in ranking.view.members
    )


def _choose_member(
    service: services.Service,
    ranking: member_ranking.Ranking,
    bucket: int,
    packet: packets.Packet,
) -> tuple[views.Member | None, frames.Purpose]:
    """Return the member to send a packet to, and the frame's purpose.

    The member is the home of the bucket. If no member is live, it is the
    member with the highest score for the bucket, or ``None`` in a view
    without members. A member of an evacuated zone accepts no new flow. If the
    service has ``handshake`` and all members are in such zones, the result is
    therefore ``None`` for the first transmission of an opening.
    If the service has ``handshake``, with which its upstreams guarantee that a
    request runs at most once, a retransmitted opening goes to the live members
    in turn, because the home may have failed.
    """
    if service.handshake and packets.is_retransmission(packet):
        live_members = [
            member for member in ranking.rank_members(bucket) if member.is_live
        ]
        if len(live_members) > 1:
            member = live_members[
                packets.get_retransmission_number(packet) % len(live_members)
            ]
            return member, frames.Purpose.OFFER
    home = ranking.home(bucket)
    if home is None:
        home = _choose_without_live_member(service, ranking, bucket, packet)
    return home, frames.Purpose.ROUTE


def _choose_without_live_member(
    service: services.Service,
    ranking: member_ranking.Ranking,
    bucket: int,
    packet: packets.Packet,
) -> views.Member | None:
    members = ranking.rank_members(bucket)
    # A retransmission may belong to a flow that is open in an evacuated zone.
    # Without ``handshake``, retransmissions are not marked.
    if (
        service.handshake
        and _is_opening(packet)
        and not packets.is_retransmission(packet)
    ):
        members = tuple(
            member
            for member in members
            if member.zone not in ranking.evacuated_zones
        )
    return next(iter(members), None)


def _find_reason(ranking: member_ranking.Ranking) -> str:
    if ranking.evacuated_zones:
        return member_ranking.EVACUATED_REASON
    return 'no-upstream'


def _refuse_or_drop(
    service: services.Service, packet: packets.Packet, reason: str
) -> actions.Action:
    if service.retired:
        reason = 'service-retired'
    if services.needs_single_decider(service):
        # A refusal would tell the caller that its request did not run.
        # Another entry instance may have a newer view, though, and may have
        # sent a retransmission of this opening to a member of that view.
        return actions.Drop(reason)
    if packets.is_retransmission(packet):
        # An upstream may have accepted an earlier transmission.
        return actions.Drop(reason)
    match packet:
        case packets.Segment() if packets.is_opening(packet):
            return actions.Refuse(packet, reason)
        case _:
            return actions.Drop(reason)
