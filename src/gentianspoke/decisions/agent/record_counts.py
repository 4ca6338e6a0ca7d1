"""Counts of the records of flows and diversions, by bucket and view.

The view is the one under which a record was placed. The counts give the oldest
flow view, which the agent's heartbeats report, without a scan over all flows.
"""

from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import member_ranking

State = agent_state.AgentState


def get_view_number(state: State, pool: int) -> int:
    """Return the number of a pool's current view, 0 if no view is known."""
    ranking = state.rankings.get(pool)
    return ranking.view.number if ranking else 0


def choose_placed_view(
    state: State, pool: int, decided_view: int | None
) -> int:
    """Return the view under which a record is counted as placed.

    ``decided_view`` is the view in which a decider offered the opening,
    ``None`` without an offer. The target of an offer may have applied a newer
    view than the decider. A later home asks only the members that report a
    record from before it became the home (``ownership.find_members_to_ask``),
    and it may have become the home after the decider's view and before the
    target's. The record is therefore counted under the older of the two views.
    """
    own_view = get_view_number(state, pool)
    return own_view if decided_view is None else min(own_view, decided_view)


def find_oldest_view(state: State, ranking: member_ranking.Ranking) -> int:
    """Return the oldest view under which a record of this agent is counted.

    Records in the buckets of which this agent is the home are left out,
    because other members do not ask for them. The result is 0 if there is no
    other record.
    """
    counts = state.record_counts.get(ranking.view.service, {})
    oldest_view = 0
    for bucket, view in counts:
        if oldest_view and view >= oldest_view:
            continue
        home = ranking.home(bucket)
        if home is None or home.number != state.number:
            oldest_view = view
    return oldest_view


def increment(state: State, pool: int, bucket: int, view: int) -> None:
    """Count a record of a flow or of a diversion."""
    counts = state.record_counts.setdefault(pool, {})
    counts[(bucket, view)] = counts.get((bucket, view), 0) + 1


def decrement(state: State, pool: int, bucket: int, view: int) -> None:
    """Undo one call of :func:`increment` when the record is removed."""
    counts = state.record_counts[pool]
    counts[(bucket, view)] -= 1
    if not counts[(bucket, view)]:
        del counts[(bucket, view)]
