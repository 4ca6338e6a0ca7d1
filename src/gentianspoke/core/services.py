"""Data classes of catalogue entries, and functions on them.

An opening is the first packet of a flow. A slot is the permission to run one
request at an upstream.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Board:
    """Traffic whose flows stay open for hours and occupy only a connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Booking:
    """Traffic of short requests; each occupies a slot while it runs.

    ``idempotent`` is true if a request may run more than once.
    """

    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Upload:
    """Traffic of long transfers; each occupies a slot while it runs.

    ``idempotent`` is true if a request may run more than once.
    """

    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Download:
    """Traffic of short requests with long answers, such as file transfers.

    A request may run more than once. It occupies a slot while the upstream
    works on it, and its answer continues long after that.
    """


TrafficClass = Board | Booking | Upload | Download


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a service at one upstream.

    ``connections`` is the maximum number of open flows, ``slots`` the maximum
    number of requests that run at a time, and ``queue`` the maximum number of
    openings that wait for a slot. ``wait_ms`` is the longest wait for a slot,
    in milliseconds. ``idle_ms`` is the idle timeout of a flow, in
    milliseconds. If the upstream already has ``bound_permille`` thousandths of
    its share, by weight, of the pool's open flows, an opening is offered to
    another upstream. ``retry_permille`` is the maximum share of openings, in
    thousandths, that are offered to a further upstream after one has declined
    them. ``timeout_ms`` is the time after which a caller gives up its request,
    in milliseconds, 0 if it is not known.
    """

    connections: int = 2000
    slots: int = 4
    queue: int = 16
    wait_ms: int = 0
    idle_ms: int = 7_200_000
    bound_permille: int = 1050
    retry_permille: int = 500
    timeout_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The share of a service's new flows that one pool of upstreams gets.

    The share is ``weight`` divided by the sum of the weights of all shares
    of the service. ``name`` is the name that the upstreams of the pool
    announce to join it.
    """

    pool: int
    weight: int
    name: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class FormerPool:
    """A pool that got new flows in an earlier version of an entry.

    ``name`` is the name that the upstreams of the pool announce. It is empty
    if an earlier version of this program, which kept only numbers, wrote the
    entry. ``since_version`` is the catalogue version from which the pool has
    got no new flows of the service.
    """

    pool: int
    name: str
    since_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One accepted catalogue entry.

    ``number`` is never reused for another service. A packet in flight can
    therefore not reach a later service that has the same address.
    ``address`` is an IP address in network byte order, 4 or 16 bytes, and
    ``protocol`` an IP protocol number. ``version`` is the catalogue version
    in which the entry last changed.
    ``shares`` lists the pools that get new flows. A service without shares
    has a pool of its own, whose number is the service's number. ``former``
    lists earlier pools that may still hold open flows.
    If ``handshake`` is true, an upstream runs nothing until the caller has
    acknowledged a random number that only this upstream generated. An
    opening may then reach several upstreams, and at most one of them runs
    it. ``priority`` ranks the services of a pool in an overload: 0 is the
    most urgent, and the most urgent services are refused last.
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
    former: tuple[FormerPool, ...] = ()
    handshake: bool = False
    priority: int = 0


def with_catalogue_fields(
    entry: Service,
    number: int,
    version: int,
    shares: tuple[Share, ...],
    former: tuple[FormerPool, ...] = (),
) -> Service:
    """Return a copy of an entry with the fields that the catalogue assigns.

    ``dataclasses.replace`` takes several times as long, which matters where a
    document changes thousands of entries.
    """
    return Service(
        number,
        entry.name,
        entry.owner,
        entry.address,
        entry.ports,
        entry.protocol,
        entry.traffic,
        entry.limits,
        version,
        entry.retired,
        shares,
        former,
        entry.handshake,
        entry.priority,
    )


def get_current_pools(service: Service) -> tuple[int, ...]:
    """Return the pools that get new flows of the service."""
    if not service.shares:
        return (service.number,)
    return tuple(share.pool for share in service.shares)


def get_all_pools(service: Service) -> tuple[int, ...]:
    """Return the pools that may hold open flows, the current ones first."""
    former_pools = tuple([former.pool for former in service.former])
    return get_current_pools(service) + former_pools


def find_pool_number(entries: list[Service], name: str) -> int:
    """Return the number of the pool ``name``, 0 if no entry refers to it.

    Former pools count too, because their upstreams have open flows.
    """
    for entry in entries:
        for share in entry.shares:
            if share.name == name:
                return share.pool
        for former in entry.former:
            if former.name == name:
                return former.pool
    return 0


def needs_single_decider(service: Service) -> bool:
    """Return whether only one agent may decide on an opening at a time.

    This is required for requests that are not idempotent, because they must
    run at most once. It is not required if the service has ``handshake``,
    because its upstreams then guarantee this themselves.
    """
    if service.handshake:
        return False
    match service.traffic:
        case Board() | Download():
            return False
        case Booking(idempotent=idempotent) | Upload(idempotent=idempotent):
            return not idempotent


def find_highest_priorities(entries: list[Service]) -> dict[int, int]:
    """Return the highest priority among each pool's services, by pool.

    A service counts in the pools that get its new flows. The highest
    priority is the lowest number.
    """
    lowest_numbers: dict[int, int] = {}
    for entry in entries:
        for pool in get_current_pools(entry):
            lowest = lowest_numbers.get(pool, entry.priority)
            lowest_numbers[pool] = min(lowest, entry.priority)
    return lowest_numbers


def is_bulk(service: Service) -> bool:
    """Return whether a request of the service spans many packets.

    The packets of such a request are bulk: they may be queued behind other
    packets. The request is complete long after its flow was opened.
    """
    match service.traffic:
        case Upload():
            return True
        case Board() | Booking() | Download():
            return False


def has_bulk_answer(service: Service) -> bool:
    """Return whether an answer of the service spans many packets.

    The packets of such an answer are bulk. The answer is complete long after
    the upstream has ended its work on the request.
    """
    match service.traffic:
        case Download():
            return True
        case Board() | Booking() | Upload():
            return False


def occupies_slot(service: Service) -> bool:
    """Return whether the traffic class of the service needs slots.

    If it does, each open flow of the service occupies a slot. The result does
    not apply to flows with ``handshake``, whose requests occupy slots instead.
    """
    match service.traffic:
        case Board():
            return False
        case Booking() | Upload() | Download():
            return True
