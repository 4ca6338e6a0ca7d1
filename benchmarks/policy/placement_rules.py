"""The interface of a placement rule, and changes that happen to members."""

import dataclasses
import typing

from gentianspoke.core import packets


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """A member drains: it takes no new flows and keeps its open ones."""

    member_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A member and its upstream crash without notice."""

    member_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """A new member joins; its upstream is cold and needs a slow start."""

    member_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class FalseReport:
    """A member reports ``open_flows`` from now on, whatever its real count."""

    member_number: int
    open_flows: int


Change = Drain | Crash | Join | FalseReport


class PlacementRule(typing.Protocol):
    """A rule by which several entries place the flows of one service.

    A member is given by its number, and 0 stands for no member.
    ``entry_index`` selects the entry that receives the packet.
    """

    name: str

    def open_flow(self, key: packets.FlowKey, entry_index: int) -> int:
        """Open a flow through an entry; return its member, 0 if refused."""

    def send_later_packet(
        self, key: packets.FlowKey, entry_index: int
    ) -> tuple[int, int]:
        """Send a later packet; return the member it reaches and the hops.

        Each frame from an entry or a member to a member is one hop.
        """

    def close_flow(self, key: packets.FlowKey, entry_index: int) -> None:
        """Close a flow through an entry."""

    def apply_change(self, change: Change) -> None:
        """Apply a change, and tell only control and the first entry of it."""

    def update_all_entries(self) -> None:
        """Tell all entries of the changes so far."""

    def advance_time(self, duration_ms: int) -> None:
        """Advance the time, exchange reports and run the members' timers.

        The reports are heartbeats and load reports.
        """

    def measure_live_loads(self) -> dict[int, int]:
        """Return the number of open flows of each member that takes new ones.

        The keys are member numbers.
        """

    def count_diverted_flows(self) -> int:
        """Return how many flows were not placed at their bucket's home.

        The home is the member that decides on the bucket's openings.
        """
