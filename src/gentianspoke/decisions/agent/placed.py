"""Records counted by the bucket and the view that they were placed in.

So the oldest flow view of a heartbeat needs no scan over the flows.
"""

from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing

State = agent_state.AgentState


def view_number(state: State, pool: int) -> int:
    """Return the number of the view that this agent applied last."""
    ranking = state.rankings.get(pool)
    return ranking.view.number if ranking else 0


def placed_view(state: State, pool: int, decided_view: int | None) -> int:
    """Return the view that a record counts as placed in.

    A target may have applied a newer view than the decider of an offer. It
    counts the older of the two, because the decider must be able to find
    the record by its own view once it has to ask for it.
    """
    own = view_number(state, pool)
    return own if decided_view is None else min(own, decided_view)


def oldest_view(state: State, ranking: hashing.Ranking) -> int:
    """Return the view of the oldest record outside the own buckets.

    0 where there is none.
    """
    placed = state.placed.get(ranking.view.service, {})
    oldest = 0
    for bucket, view in placed:
        if oldest and view >= oldest:
            continue
        home = ranking.home(bucket)
        if home is None or home.number != state.number:
            oldest = view
    return oldest


def count(state: State, pool: int, bucket: int, view: int) -> None:
    """Count a record of a flow or of a diversion."""
    placed = state.placed.setdefault(pool, {})
    placed[(bucket, view)] = placed.get((bucket, view), 0) + 1


def uncount(state: State, pool: int, bucket: int, view: int) -> None:
    """Take back what :func:`count` counted."""
    placed = state.placed[pool]
    placed[(bucket, view)] -= 1
    if not placed[(bucket, view)]:
        del placed[(bucket, view)]
