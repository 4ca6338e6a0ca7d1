"""Records of the capacities and loads in the pools of one agent."""

import dataclasses

from gentianspoke.core import views
from gentianspoke.decisions.agent import upstream_capacity
from gentianspoke.decisions import member_ranking


@dataclasses.dataclass(slots=True)
class MemberLoad:
    """The last report of another member.

    ``running`` counts the requests at the upstream and those that wait beside
    it. ``work_us`` and ``slots`` are of the last report that knew the work,
    which came at ``capacity_ms``; they are 0 if there was none.
    ``reported_ms`` is the time of the last report.
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

    ``capacity`` is that of the own upstream in requests a second,
    ``mean_capacity`` that of the pool's upstreams, and ``flow_share`` the
    number of open flows that the own upstream should have. ``targets`` are the
    other live members, and ``weight_sums`` the running sums of the weights by
    which they are drawn; ``spare_sums`` are those for the case that no member
    with such a weight is left. ``pool_wait_ms`` is the median wait for a
    slot at the members with a fresh report, ``None`` if there are too few.
    ``spread_permille`` is the largest number of open flows relative to the
    capacity, in thousandths of the mean, and ``report_age_ms`` the mean age of
    the reports.
    """

    computed_ms: int
    ranking: member_ranking.Ranking
    capacity: float
    mean_capacity: float
    flow_share: float
    targets: tuple[views.Member, ...]
    weight_sums: tuple[float, ...]
    spare_sums: tuple[float, ...]
    pool_wait_ms: float | None
    spread_permille: int
    report_age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class FailureNotice:
    """The upstream began or ceased to answer too fast to have worked.

    ``worked_permille`` is the share of answers that took time, and the
    capacities are those of the upstream and of the pool's mean, in requests a
    second.
    """

    is_failing: bool
    worked_permille: int
    capacity: int
    mean_capacity: int


@dataclasses.dataclass(slots=True)
class EvenLoad:
    """The state of placement by capacity.

    ``members`` are the last reports by pool and member, and ``shares`` those
    of each pool. ``draws`` counts the targets that were drawn.
    ``is_failing`` is whether the upstream answered too fast for its pool when
    the last opening was placed, and ``failure_notices`` holds the changes of
    it since the last tick.
    """

    work: upstream_capacity.UpstreamWork = dataclasses.field(
        default_factory=upstream_capacity.UpstreamWork
    )
    members: dict[tuple[int, int], MemberLoad] = dataclasses.field(
        default_factory=dict
    )
    shares: dict[int, PoolShares] = dataclasses.field(default_factory=dict)
    draws: int = 0
    is_failing: bool = False
    failure_notices: list[FailureNotice] = dataclasses.field(
        default_factory=list
    )
