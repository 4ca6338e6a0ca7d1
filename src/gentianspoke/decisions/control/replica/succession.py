"""Which members the leader removes, so that others take their places.

A learner votes as soon as it has caught up (``members.promote_if_caught_up``). A
member whose folder was emptied comes back under another number; what it
had synced is lost, but so is its vote, and the group goes on without it by
the ordinary change of one member. A silent member is removed only where
enough others vote: it may hold what was accepted and come back.
"""

from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import members
from gentianspoke.decisions.control.replica import state as states

# Silence after which a voter is taken for lost where another can vote.
MAX_VOTER_SILENCE_MS = 2_500
# The same for a learner, on which nothing depends.
MAX_LEARNER_SILENCE_MS = 10_000

Effects = list[effects.Effect]


def tick(state: states.State, now: int) -> Effects:
    """As leader, remove a member that is gone; one change at a time."""
    if not state.limits.tolerate or members.find_refusal(state, now):
        return []
    member = _next_to_remove(state, now)
    if member is None:
        return []
    return members.set_members(state, state.group.others(member.number))


def min_voters(tolerate: int) -> int:
    """Return how many voters bear the loss of ``tolerate`` of them."""
    return 2 * tolerate + 1


def _next_to_remove(state: states.State, now: int) -> groups.Member | None:
    voters = state.group.voters
    contacts = {
        member.number: _last_contact_ms(state, member, now)
        for member in state.group.others(state.number)
    }
    spare = len(voters) - min_voters(state.limits.tolerate)
    for member in state.group.others(state.number):
        if member.number in state.replaced_members:
            return member
        silent_ms = now - contacts[member.number]
        if member.voter:
            if spare > 0 and silent_ms >= MAX_VOTER_SILENCE_MS:
                return member
        elif silent_ms >= MAX_LEARNER_SILENCE_MS:
            return member
    return None


def _last_contact_ms(
    state: states.State, member: groups.Member, now: int
) -> int:
    progress = state.progress[member.number]
    if progress.member_since_ms == states.LONG_AGO_MS:
        # Time to answer begins when this leader first looks at the member.
        progress.member_since_ms = now
    return max(progress.last_contact_ms, progress.member_since_ms)
