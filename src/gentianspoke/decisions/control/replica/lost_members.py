"""Automatic changes of the group when members are lost, stop or come back.

A voter that does not vote makes the group weaker, since it still counts for
the majority. So the leader takes the vote of a voter that is silent or whose
process is about to end, if the group has more voters than it needs to tolerate
``Limits.tolerate`` losses. The member stays in the group as a learner. Without
such a spare voter it keeps its vote, since it may return, and a majority may
need the records that it has synced.

A learner becomes a voter as soon as it answers and has caught up
(``member_changes.promote_if_caught_up``), be it new or back after a restart.

A member whose data folder was emptied returns under another number. The
records that it had synced are lost, and so is its vote. The leader removes
the old number. It also removes a learner that stays silent.

Each of these is an ordinary change of one member.
"""

from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import member_changes
from gentianspoke.decisions.control.replica import state as states

# A learner that has not answered for this long is removed. No majority depends
# on it.
MAX_LEARNER_SILENCE_MS = 10_000

Effects = list[effects.Effect]


def handle_tick(state: states.State, now: int) -> Effects:
    """As leader, change at most one member that is lost or stops.

    Do nothing if ``Limits.tolerate`` is 0 or no change of members may be
    made.
    """
    if not state.limits.tolerate or member_changes.find_refusal(state, now):
        return []
    silences_ms = {
        member.number: _measure_silence_ms(state, member, now)
        for member in state.group.get_others(state.number)
    }
    removed = _find_member_to_remove(state, silences_ms)
    if removed is not None:
        remaining = state.group.get_others(removed.number)
        return member_changes.set_members(state, remaining)
    demoted = _find_voter_to_demote(state, silences_ms)
    if demoted is not None:
        return member_changes.set_voting(state, demoted, False)
    return []


def may_end(state: states.State) -> bool:
    """Return whether the process of this replica may end without delay.

    It may not end before the leader knows that it stops, nor while the leader
    is still to take its vote. The latter is so if there is a spare voter, or a
    learner that may soon be one. Without a leader, a voter keeps its vote, and
    a learner waits, since it may have been given a vote that it does not know.
    """
    if not state.limits.tolerate or not state.group.members:
        return True
    # A leader knows itself that it stops, also after its vote was taken.
    is_known = state.stop_acknowledged or state.last_leader == state.number
    if not state.is_voter:
        return is_known and state.log.group_index <= state.commit_index
    if state.leader != groups.NOBODY and not is_known:
        return False
    learner_count = len(state.group.members) - len(state.group.voters)
    return not learner_count and not has_spare_voter(state)


def has_spare_voter(state: states.State) -> bool:
    """Return whether the group has more voters than it needs."""
    return len(state.group.voters) > compute_min_voters(state.limits.tolerate)


def compute_min_voters(tolerate: int) -> int:
    """Return how many voters a group needs to tolerate the given losses."""
    return 2 * tolerate + 1


def _find_member_to_remove(
    state: states.State, silences_ms: dict[int, int]
) -> groups.Member | None:
    for member in state.group.get_others(state.number):
        if member.number in state.replaced_members:
            return member
        is_silent = silences_ms[member.number] >= MAX_LEARNER_SILENCE_MS
        if is_silent and not member.voter:
            return member
    return None


def _find_voter_to_demote(
    state: states.State, silences_ms: dict[int, int]
) -> groups.Member | None:
    """Return the voter that loses its vote, ``None`` if none has to.

    One that is silent already comes before one that is about to end.
    """
    if not has_spare_voter(state):
        return None
    # The members may replace a leader after the same silence.
    max_silence_ms = state.timing.min_election_timeout_ms
    for member in state.group.voters:
        if silences_ms.get(member.number, 0) >= max_silence_ms:
            return member
    for member in state.group.voters:
        if _is_stopping(state, member):
            return member
    return None


def _is_stopping(state: states.State, member: groups.Member) -> bool:
    if member.number == state.number:
        return state.stopping
    return state.progress[member.number].stopping


def _measure_silence_ms(
    state: states.State, member: groups.Member, now: int
) -> int:
    """Return for how long a member has been silent.

    The silence begins when the leader last reached the member or first
    checked it, whichever is later. The first call for a member sets the time
    of its first check, unless the election has set it.
    """
    progress = state.progress[member.number]
    if progress.first_check_ms == states.LONG_AGO_MS:
        # A member that has not answered this leader yet counts as silent
        # only from the first check by this leader.
        progress.first_check_ms = now
    return now - max(progress.last_contact_ms, progress.first_check_ms)
