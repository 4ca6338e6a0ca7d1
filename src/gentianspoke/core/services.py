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
class Service:
    """One catalogue entry that was accepted.

    ``number`` is never used for another service, so that a packet in
    flight cannot reach the next user of a reused address.
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


def needs_single_decider(service: Service) -> bool:
    """Return whether work of the service must run at most once."""
    match service.traffic:
        case Board():
            return False
        case Booking(idempotent=idempotent) | Upload(idempotent=idempotent):
            return not idempotent


def takes_slot(service: Service) -> bool:
    """Return whether an open flow of the service occupies a slot."""
    match service.traffic:
        case Board():
            return False
        case Booking() | Upload():
            return True
