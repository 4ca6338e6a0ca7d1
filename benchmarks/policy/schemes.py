"""What a placement rule must offer to be measured, and the events."""

import dataclasses
import typing

from gentianspoke.core import packets


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """A member leaves as planned; its open flows stay."""

    member: int


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A member and its upstream die without a word."""

    member: int


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """A new member joins with a cold upstream."""

    member: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lie:
    """A member reports this many open flows from now on."""

    member: int
    open_flows: int


Change = Drain | Crash | Join | Lie


class Scheme(typing.Protocol):
    """A placement rule over a few entries and the members of a service."""

    name: str

    def open(self, key: packets.FlowKey, entry: int) -> int:
        """Place a flow through an entry; return the member, 0 if refused."""

    def deliver(self, key: packets.FlowKey, entry: int) -> tuple[int, int]:
        """Return the member that a later packet reaches, and its hops."""

    def close(self, key: packets.FlowKey, entry: int) -> None:
        """Close a flow."""

    def change(self, change: Change) -> None:
        """Make a change known to control and to the first entry."""

    def settle(self) -> None:
        """Make the last changes known to all entries."""

    def step(self, duration_ms: int) -> None:
        """Let time pass: reports, heartbeats, ticks."""

    def live_loads(self) -> dict[int, int]:
        """Return the open flows of each member that takes new flows."""

    def diverted(self) -> int:
        """Return how many openings were placed away from their home."""
