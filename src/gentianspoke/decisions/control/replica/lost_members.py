"""Automatic removal of lost members, so that new ones can replace them.

A new member joins as a learner and becomes a voter as soon as it has caught up
(``member_changes.promote_if_caught_up``).

A member whose data folder was emptied returns under another number. The
records that it had synced are lost, and so is its vote. The leader removes
the old number by an ordinary change of one member.

A voter that does not answer is removed only if the group has more voters than
it needs to tolerate ``Limits.tolerate`` losses. Otherwise it stays a member,
since it may return, and a majority may need the records that it has synced.
"""

from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import member_changes
from gentianspoke.decisions.control.replica import state as states

# A voter that has not answered for this long is considered lost, if the group
# has more voters than it needs.
MAX_VOTER_SILENCE_MS = 2_500
# The same limit for a learner, on which no majority depends.
MAX_LEARNER_SILENCE_MS = 10_000

Effects = list[effects.Effect]


def remove_lost_member(state: states.State, now: int) -> Effects:
    """As leader, remove at most one lost member.

    Do nothing if ``Limits.tolerate`` is 0 or no change of members may be
    made.
    """
    if not state.limits.tolerate or member_changes.find_refusal(state, now):
        return []
    member = _find_lost_member(state, now)
    if member is None:
        return []
    return member_changes.set_members(
        state, state.group.get_others(member.number)
    )


def compute_min_voters(tolerate: int) -> int:
    """Return how many voters a group needs to tolerate the given losses."""
    return 2 * tolerate + 1


def _find_lost_member(state: states.State, now: int) -> groups.Member | None:
    voters = state.group.voters
    # The first call for a member records the time of its first check. The
    # loop below may end early, so the calls for all members come before it.
    silence_starts_ms = {
        member.number: _get_or_set_silence_start_ms(state, member, now)
        for member in state.group.get_others(state.number)
    }
    spare_voter_count = len(voters) - compute_min_voters(state.limits.tolerate)
    for member in state.group.get_others(state.number):
        if member.number in state.replaced_members:
            return member
        silent_ms = now - silence_starts_ms[member.number]
        if member.voter:
            if spare_voter_count > 0 and silent_ms >= MAX_VOTER_SILENCE_MS:
                return member
        elif silent_ms >= MAX_LEARNER_SILENCE_MS:
            return member
    return None


def _get_or_set_silence_start_ms(
    state: states.State, member: groups.Member, now: int
) -> int:
    """Return the time from which a member counts as silent.

    This is when the leader last reached the member or first checked it,
    whichever is later. The first call for a member sets the time of its first
    check.
    """
    progress = state.progress[member.number]
    if progress.first_check_ms == states.LONG_AGO_MS:
        # A member that has not answered this leader yet counts as silent
        # only from the first check by this leader.
        progress.first_check_ms = now
    return max(progress.last_contact_ms, progress.first_check_ms)
