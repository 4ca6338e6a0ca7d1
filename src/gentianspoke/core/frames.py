"""Frames that entries and agents exchange, free of their encoding."""

import dataclasses
import enum

ENTRY_SENDER = 0


class Purpose(enum.IntEnum):
    """What the receiver of a forwarded packet is to do with it."""

    ROUTE = 0
    OFFER = 1
    ASK = 2
    ADOPT = 3


@dataclasses.dataclass(slots=True)
class Forward:
    """One packet of a flow on its way to the agent that owns the flow.

    ``tried`` lists the members that did not own the flow, oldest first.
    ``target`` is the member that the frame is meant for. ``view`` is the
    sending entry's view, or in an offer the view in which ``decider``, the
    bucket's home, decided on the opening. ``logical`` is the sender's
    logical clock. ``pool`` is the one whose members the frame goes along;
    0 stands for the service's own.
    """

    service: int
    view: int
    bucket: int
    target: int
    packet: bytes
    purpose: Purpose = Purpose.ROUTE
    tried: tuple[int, ...] = ()
    hops_left: int = 0
    wait_left_ms: int = 0
    offers_left: int = 0
    sender: int = ENTRY_SENDER
    decider: int = ENTRY_SENDER
    logical: int = 0
    pool: int = 0

    def __post_init__(self) -> None:
        """Name the service's own pool where none is given."""
        if not self.pool:
            self.pool = self.service


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The sender's own counts for one pool, over all its services."""

    pool: int
    sender: int
    open_flows: int
    running: int
    queued: int
    logical: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Owned:
    """Tells a member that did not know a flow that the sender owns it.

    Later packets of the flow then come without a search. ``target`` is the
    member that is told; ``key`` the flow, as in ``core.packets``.
    """

    service: int
    pool: int
    bucket: int
    target: int
    sender: int
    key: bytes
    logical: int = 0


Frame = Forward | LoadReport | Owned
