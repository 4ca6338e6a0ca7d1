"""Records of the capacities and loads in the pools of one agent."""

import dataclasses

from gentianspoke.core import views
from gentianspoke.decisions.agent import upstream_capacity
from gentianspoke.decisions import member_ranking


@dataclasses.dataclass(slots=True)
class MemberLoad:
    """The last report of another member.

    ``work_us`` and ``slots`` are of the last report that knew the work, which
    came at ``capacity_ms``; they are 0 if there was none. ``reported_ms`` is
    the time of the last report.
    """

    reported_ms: int
    open_flows: int = 0
    running: int = 0
    slots: int = 0
    work_us: int = 0
    capacity_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolShares:
    """The shares of a pool's upstreams, computed from capacities and loads.

    ``capacity`` is that of the own upstream in requests a second, and
    ``flow_share`` the number of open flows that it should have. ``targets``
    are the other live members, and ``weight_sums`` the running sums of the
    weights by which they are drawn. ``min_wait_ms`` is the shortest wait for a
    slot at the members with a fresh report, ``None`` if there are too few.
    ``spread_permille`` is the largest number of open flows relative to the
    capacity, in thousandths of the mean, and ``report_age_ms`` the mean age of
    the reports.
    """

    computed_ms: int
    ranking: member_ranking.Ranking
    capacity: float
    flow_share: float
    targets: tuple[views.Member, ...]
    weight_sums: tuple[float, ...]
    min_wait_ms: float | None
    spread_permille: int
    report_age_ms: int


@dataclasses.dataclass(slots=True)
class EvenLoad:
    """The state of placement by capacity.

    ``members`` are the last reports by pool and member, and ``shares`` those
    of each pool. ``draws`` counts the targets that were drawn, and
    ``refused_early`` the openings for which no further member was tried
    because the pool was full.
    """

    work: upstream_capacity.UpstreamWork = dataclasses.field(
        default_factory=upstream_capacity.UpstreamWork
    )
    members: dict[tuple[int, int], MemberLoad] = dataclasses.field(
        default_factory=dict
    )
    shares: dict[int, PoolShares] = dataclasses.field(default_factory=dict)
    draws: int = 0
    refused_early: int = 0
