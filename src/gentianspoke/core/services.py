"""Catalogue entries as the decisions see them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Board:
    """Flows that stay open for hours and take a connection only."""


@dataclasses.dataclass(frozen=True, slots=True)
class Booking:
    """Short work that takes a slot while it runs."""

    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Upload:
    """Long transfers that take a slot and may wait for it."""

    idempotent: bool


TrafficClass = Board | Booking | Upload


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a service at one upstream.

    ``bound_permille`` is the greatest load of an upstream, in thousandths
    of the mean; ``retry_permille`` the share of openings, in thousandths,
    that may be offered to a further upstream.
    """

    connections: int = 2000
    slots: int = 4
    queue: int = 16
    wait_ms: int = 0
    idle_ms: int = 7_200_000
    bound_permille: int = 1050
    retry_permille: int = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The part of a service's new flows that one pool of upstreams gets.

    ``weight`` counts against the sum over the service's shares. ``name``
    is what the upstreams of the pool announce themselves for.
    """

    pool: int
    weight: int
    name: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One catalogue entry that was accepted.

    ``number`` is never used for another service, so that a packet in
    flight cannot reach the next user of a reused address. ``shares`` name
    the pools that new flows go to; without any the service has a pool of
    its own, of its own number. ``former`` are pools that still may hold
    open flows. With ``handshake`` an upstream runs nothing before the
    caller has acknowledged a random number of that upstream alone, so that
    an opening may reach several upstreams and still runs at one at most.
    ``priority`` orders the services of a pool in an overload, 0 first: the
    most urgent ones are refused last.
    """

    number: int
    name: str
    owner: str
    address: bytes
    ports: tuple[int, ...]
    protocol: int
    traffic: TrafficClass
    limits: Limits
    version: int
    retired: bool = False
    shares: tuple[Share, ...] = ()
    former: tuple[int, ...] = ()
    handshake: bool = False
    priority: int = 0


def current_pools(service: Service) -> tuple[int, ...]:
    """Return the pools that get new flows of the service."""
    if not service.shares:
        return (service.number,)
    return tuple(share.pool for share in service.shares)


def all_pools(service: Service) -> tuple[int, ...]:
    """Return the pools that may hold flows, the current ones first."""
    return current_pools(service) + service.former


def needs_single_decider(service: Service) -> bool:
    """Return whether only one agent may decide on an opening at a time.

    So it is for work that must run at most once, unless the upstreams see
    to that by their handshake.
    """
    if service.handshake:
        return False
    match service.traffic:
        case Board():
            return False
        case Booking(idempotent=idempotent) | Upload(idempotent=idempotent):
            return not idempotent


def most_urgent(entries: list[Service]) -> dict[int, int]:
    """Return the least priority number among the services of each pool."""
    urgent: dict[int, int] = {}
    for entry in entries:
        for pool in current_pools(entry):
            least = urgent.get(pool, entry.priority)
            urgent[pool] = min(least, entry.priority)
    return urgent


def is_bulk(service: Service) -> bool:
    """Return whether requests of the service arrive in many packets.

    Such packets may wait for others, and the request comes long after its
    flow is open.
    """
    match service.traffic:
        case Upload():
            return True
        case Board() | Booking():
            return False


def takes_slot(service: Service) -> bool:
    """Return whether an open flow of the service occupies a slot."""
    match service.traffic:
        case Board():
            return False
        case Booking() | Upload():
            return True
