"""Leader election: terms, votes and the change of roles.

A leader's lease depends on voters that received a message from it recently.
A voter that restarts forgets whether it received one. After a start, a voter
therefore grants no vote for the minimum election timeout.

The wait is not needed if all voters have restarted. A voter may skip the wait
if it has neither led nor heard from a leader since its start. Each reply to
a pre-vote tells whether the voter would grant its vote, and whether it would
skip the wait to do so. If the candidate may skip the wait, too, and all other
voters would grant their votes, the candidate asks for votes without the wait.
It wins by such votes only if every voter grants its vote. All voters are then
in the candidate's term, so none leads or will lead in an older term.

A group with other members cannot have a leader either. Groups change by one
member at a time, so at least one of the candidate's voters would hold newer
records than the candidate and refuse its vote. The specification
``specs/fresh_start.py`` checks this protocol.
"""

from gentianspoke.decisions.control.replica import commits
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions.control.replica import roles
from gentianspoke.decisions.control.replica import state as states

Effects = list[effects.Effect]


def handle_tick(state: states.State, now: int) -> Effects:
    """Start an election if it is due; as leader, check the quorum instead.

    A leader that no majority has answered for the minimum election timeout
    becomes a follower.
    """
    if state.role.state == roles.LEADER:
        return _check_quorum(state, now)
    if not state.is_voter and not _may_campaign_as_learner(state, now):
        return []
    # The only voter of a new group need not wait for a leader lease to
    # expire. The last voter of a group that was larger has to wait, even
    # after a restart: the lease of a former leader may still run.
    may_skip_timeout = len(state.group.voters) == 1 and state.term == 0
    if now < state.election_due_ms and not may_skip_timeout:
        return []
    state.reset_election_timer(now)
    state.leader = groups.NOBODY
    state.role.advance('suspect')
    state.answered_by = {state.number}
    state.granted_votes = {state.number}
    state.willing_voters = set() if state.had_leader else {state.number}
    state.unopposed = False
    return _report_role(state) + _count_votes(state, now)


def become_follower(
    state: states.State, term: int, leader: int, now: int
) -> Effects:
    """Become a follower in a term that is at least the current one.

    ``leader`` is ``groups.NOBODY`` where the leader of the term is unknown.
    """
    result: Effects = []
    if term > state.term:
        state.term = term
        state.voted_for = groups.NOBODY
        result.append(state.build_save_vote())
    old_role = state.role.state
    state.leader = leader
    if old_role != roles.FOLLOWER:
        state.role.advance('follow')
        state.reset_election_timer(now)
        result.extend(_report_role(state))
    return result


def handle_vote_request(
    state: states.State, request: messages.VoteRequest, now: int
) -> Effects:
    """Grant or refuse a vote, or answer a pre-vote.

    The reply to a pre-vote tells whether a vote would be granted, and no
    state changes.
    """
    must_withhold_vote = _must_withhold_vote(state, now)
    may_skip_wait = must_withhold_vote and not state.had_leader
    if request.pre:
        is_eligible = request.term > state.term and _has_current_log(
            state, request
        )
        pre_vote = _build_reply(
            state,
            is_eligible and not must_withhold_vote,
            is_eligible and may_skip_wait,
        )
        if is_eligible and _must_yield(state, request, now):
            state.reset_election_timer(now)
            state.role.advance('follow')
            return [*_report_role(state), pre_vote]
        return [pre_vote]
    skips_wait = may_skip_wait and request.unopposed
    if (must_withhold_vote and not skips_wait) or request.term < state.term:
        return [_build_reply(state, False)]
    result: Effects = []
    if request.term > state.term:
        result = become_follower(state, request.term, groups.NOBODY, now)
    is_vote_free = state.voted_for in (groups.NOBODY, request.sender)
    granted = is_vote_free and _has_current_log(state, request)
    if granted:
        if state.voted_for == groups.NOBODY:
            state.voted_for = request.sender
            result.append(state.build_save_vote())
        state.reset_election_timer(now)
    return [*result, _build_reply(state, granted, granted and skips_wait)]


def handle_vote_reply(
    state: states.State,
    request: messages.VoteRequest,
    reply: messages.VoteReply,
    now: int,
) -> Effects:
    """Count a vote or a pre-vote, and advance the role if votes suffice.

    After a refusal with a newer term, the replica becomes a follower in that
    term. A reply to a request of an earlier election is ignored.
    """
    if reply.term > state.term and not reply.granted:
        return become_follower(state, reply.term, groups.NOBODY, now)
    if request != build_vote_request(state, reply.sender):
        return []
    state.answered_by.add(reply.sender)
    if reply.granted or reply.willing:
        state.willing_voters.add(reply.sender)
    # A willing voter skips the wait after its start, and its vote counts only
    # if all voters grant their votes.
    if reply.granted and not reply.willing:
        state.granted_votes.add(reply.sender)
    return _count_votes(state, now)


def build_vote_request(
    state: states.State, peer: int
) -> messages.VoteRequest | None:
    """Return the vote request for a peer, ``None`` if no election runs.

    A pre-candidate asks for a pre-vote in the next term.
    """
    pre = state.role.state == roles.PRE_CANDIDATE
    if not pre and state.role.state != roles.CANDIDATE:
        return None
    return messages.VoteRequest(
        sender=state.number,
        to=peer,
        term=state.term + 1 if pre else state.term,
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        pre=pre,
        unopposed=state.unopposed,
    )


def _count_votes(state: states.State, now: int) -> Effects:
    has_majority = state.group.is_majority(state.granted_votes)
    # A leader's lease may depend on this replica, too, so the replica's own
    # vote has to wait like that of any other voter.
    may_vote = not _must_withhold_vote(state, now)
    match state.role.state:
        case roles.PRE_CANDIDATE if state.are_all_willing():
            state.unopposed = True
            return _become_candidate(state, now)
        case roles.PRE_CANDIDATE if has_majority and may_vote:
            return _become_candidate(state, now)
        case roles.CANDIDATE if has_majority or state.are_all_willing():
            return _become_leader(state, now)
        case _:
            return []


def _become_candidate(state: states.State, now: int) -> Effects:
    state.term += 1
    state.voted_for = state.number
    # The pre-vote has used part of the timeout, and the votes take as long.
    state.reset_election_timer(now)
    state.role.advance('campaign')
    state.answered_by = {state.number}
    state.granted_votes = (
        set() if _must_withhold_vote(state, now) else {state.number}
    )
    state.willing_voters = {state.number}
    result: Effects = [state.build_save_vote()]
    return result + _report_role(state) + _count_votes(state, now)


def _become_leader(state: states.State, now: int) -> Effects:
    state.role.advance('win')
    state.leader = state.number
    state.elected_ms = now
    state.had_leader = True
    state.progress = {}
    state.replaced_members = set()
    commits.track_members(state)
    _record_silence_of_last_leader(state, now)
    result = _report_role(state)
    # The first record of the log holds the initial members, so that all
    # replicas agree on them, whatever each one learned while the group
    # formed.
    is_log_empty = state.log.last_index == 0
    payload = records.SetGroup(state.group) if is_log_empty else records.NoOp()
    return result + commits.append_as_leader(state, (payload,))


def _record_silence_of_last_leader(state: states.State, now: int) -> None:
    """Count the silence of the last leader from before the election.

    A voter grants its vote only if it has heard nothing from a leader for the
    minimum election timeout, so a majority confirms a silence of this length.
    """
    progress = state.progress.get(state.last_leader)
    if progress is not None:
        silent_since_ms = now - state.timing.min_election_timeout_ms
        progress.first_check_ms = max(state.leader_contact_ms, silent_since_ms)
    state.last_leader = state.number


def _check_quorum(state: states.State, now: int) -> Effects:
    last_contact_ms = max(state.get_majority_contact_ms(now), state.elected_ms)
    if now - last_contact_ms < state.timing.min_election_timeout_ms:
        return []
    return become_follower(state, state.term, groups.NOBODY, now)


def _may_campaign_as_learner(state: states.State, now: int) -> bool:
    """Return whether this replica asks for votes although it has none.

    A leader that took its own vote may hold the only copy of that change. The
    voters then refuse their votes to each other's older logs, and this replica
    has to lead until the change is committed (section 4.2.2 of Ongaro's
    thesis). The voters get the time for two elections first.
    """
    if state.log.group_index <= state.commit_index:
        return False
    committed_group = commits.find_group_at_index(state, state.commit_index)
    if not committed_group.is_voter(state.number):
        return False
    silent_ms = now - state.leader_contact_ms
    return silent_ms >= 2 * state.timing.max_election_timeout_ms


def _must_withhold_vote(state: states.State, now: int) -> bool:
    """Return whether a leader's lease may depend on this replica.

    This is also the case after a start: ``state.leader_contact_ms`` is then
    the time of the start.
    """
    if state.role.state == roles.LEADER:
        return state.leads(now)
    return now - state.leader_contact_ms < state.timing.min_election_timeout_ms


def _must_yield(
    state: states.State, request: messages.VoteRequest, now: int
) -> bool:
    """Return whether this pre-candidate leaves the election to another one.

    Members that start at the same moment would otherwise become candidates
    together and split the votes. The one with the greatest number goes on.
    """
    return (
        state.role.state == roles.PRE_CANDIDATE
        and state.is_starting(now)
        and request.sender > state.number
    )


def _has_current_log(
    state: states.State, request: messages.VoteRequest
) -> bool:
    """Return whether the candidate's log is at least as up to date.

    The log of the candidate and that of this replica are compared by the term
    and the index of their last records.
    """
    candidate_log_end = (request.last_term, request.last_index)
    return candidate_log_end >= (state.log.last_term, state.log.last_index)


def _build_reply(
    state: states.State, granted: bool, willing: bool = False
) -> effects.Respond:
    return effects.Respond(
        messages.VoteReply(state.number, state.term, granted, willing)
    )


def _report_role(state: states.State) -> Effects:
    return [effects.RoleChanged(state.role.state, state.term)]
