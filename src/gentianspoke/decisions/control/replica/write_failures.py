"""Behaviour of a replica whose disk refuses writes, for example a full one.

Such a replica must promise nothing that a restart would undo. It leads no
group, asks for no votes and grants none, and appends no records. It goes on
following the leader: it answers heartbeats, says in its replies that it cannot
write, and applies committed records that it already holds. A record counts as
held here only up to ``State.synced_index``, since later ones may be lost.

The term of a newer leader is kept in memory only. That is safe: a term
protects votes, and this replica grants none until the term is durable.
Once the disk takes writes again, the calling code writes the whole state to a
new file and passes ``messages.WritesRestored``. ``specs/catalogue_log.py``
models failed writes.
"""

import typing

from gentianspoke.decisions.control.replica import commits
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import replication
from gentianspoke.decisions.control.replica import roles
from gentianspoke.decisions.control.replica import state as states

Effects = list[effects.Effect]
CANNOT_WRITE = (
    'the disk of this control instance takes no writes; free some space there,'
    ' and ask another instance meanwhile'
)


def handle_write_failed(state: states.State) -> Effects:
    """Stop writing, after the effects of the last step were not saved.

    Records that are neither durable here nor committed are discarded. A
    leader or candidate becomes a follower, so that another member can lead.
    """
    state.can_write = False
    result: Effects = []
    old_group = state.group
    state.log.discard_after(max(state.synced_index, state.commit_index))
    state.synced_index = min(state.synced_index, state.log.last_index)
    if state.group != old_group:
        result.append(effects.GroupChanged())
    if state.role.state != roles.FOLLOWER:
        state.role.advance('follow')
        state.leader = groups.NOBODY
        result.append(effects.RoleChanged(state.role.state, state.term))
    return result


def start_without_writes(state: states.State) -> None:
    """Start a replica whose stored state could be read but not written.

    What was read may be only in the page cache and not on the disk, so no
    record counts as durable.
    """
    state.can_write = False
    state.synced_index = 0


def handle_writes_restored(state: states.State, now: int) -> Effects:
    """Take part again, after the whole state has been written."""
    state.can_write = True
    state.synced_index = state.log.last_index
    state.reset_election_timer(now)
    return []


def handle_event(
    state: states.State, event: messages.Event, now: int
) -> Effects:
    """Handle an event while the disk takes no writes.

    The result holds no effect that saves something.
    """
    match event:
        case messages.WritesRestored():
            return handle_writes_restored(state, now)
        case messages.RequestReceived(request=request):
            return _handle_request(state, request, now)
        case messages.StopPlanned():
            state.stop_began_ms = now
            return []
        case (
            messages.Propose()
            | messages.AddLearner()
            | messages.RemoveMember()
        ):
            return [effects.Refused(CANNOT_WRITE)]
        case (
            messages.Tick()
            | messages.ReplyReceived()
            | messages.RequestFailed()
            | messages.FormGroup()
            | messages.Synced()
            | messages.WriteFailed()
        ):
            return []
    typing.assert_never(event)


def _handle_request(
    state: states.State, request: messages.Request, now: int
) -> Effects:
    match request:
        case messages.VoteRequest():
            vote_reply = messages.VoteReply(state.number, state.term, False)
            return [effects.Respond(vote_reply)]
        case _ if request.term < state.term:
            return [_build_reply(state, False, state.log.last_index, now)]
        case messages.InstallRequest():
            result = replication.follow_leader(state, request, now)
            reply = _build_reply(state, False, state.commit_index, now)
        case messages.AppendRequest():
            result = replication.follow_leader(state, request, now)
            more_effects, reply = _handle_append(state, request, now)
            result.extend(more_effects)
    return [*_drop_saves(result), reply]


def _handle_append(
    state: states.State, request: messages.AppendRequest, now: int
) -> tuple[Effects, effects.Respond]:
    reject_hint = replication.find_reject_hint(state, request)
    if reject_hint is not None:
        return [], _build_reply(state, False, reject_hint, now)
    result: Effects = []
    commit_index = min(request.commit_index, request.previous_index)
    if commit_index > state.commit_index:
        result = commits.commit_until(state, commit_index)
    replication.update_confirmed_ms(state, request, now)
    match_index = min(request.previous_index, state.synced_index)
    return result, _build_reply(state, True, match_index, now)


def _drop_saves(result: Effects) -> Effects:
    """Return the effects without those that save something.

    Their content is part of the state, which is written as a whole later.
    """
    saves = (effects.SaveVote, effects.SaveRecords, effects.SaveAll)
    return [effect for effect in result if not isinstance(effect, saves)]


def _build_reply(
    state: states.State, success: bool, match_index: int, now: int
) -> effects.Respond:
    return effects.Respond(
        messages.AppendReply(
            state.number,
            state.term,
            success,
            match_index,
            now,
            can_write=False,
            stopping=state.stopping,
        )
    )
