"""Replication of the log: heartbeats, records, snapshots and replies."""

from gentianspoke.decisions.control.replica import commits
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import elections
from gentianspoke.decisions.control.replica import member_changes
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions.control.replica import state as states
from gentianspoke import errors

Effects = list[effects.Effect]


def build_next_request(
    state: states.State, peer: int, now: int
) -> messages.AppendRequest | messages.InstallRequest | None:
    """Return the leader's next request to a peer, and record it as sent.

    Return ``None`` if there is nothing to send and no heartbeat is due.
    """
    progress = state.progress.get(peer)
    if progress is None:
        return None
    if not progress.can_write:
        return _build_heartbeat_if_due(state, peer, progress, now)
    has_records = progress.next_index <= state.log.last_index
    is_heartbeat_due = (
        now - progress.sent_ms >= state.timing.heartbeat_interval_ms
    )
    has_commit_advanced = progress.sent_commit_index < state.commit_index
    if not has_records and not is_heartbeat_due and not has_commit_advanced:
        return None
    progress.sent_ms = now
    progress.sent_commit_index = state.commit_index
    previous_index = progress.next_index - 1
    previous_term = state.log.get_term(previous_index)
    if previous_term is None:
        return messages.InstallRequest(
            state.number, peer, state.term, state.snapshot, now
        )
    return messages.AppendRequest(
        sender=state.number,
        to=peer,
        term=state.term,
        previous_index=previous_index,
        previous_term=previous_term,
        records=state.log.get_batch(progress.next_index),
        commit_index=state.commit_index,
        echo_ms=progress.echo_ms,
        confirmed_age_ms=state.get_confirmed_age_ms(now),
        sent_ms=now,
    )


def build_extra_heartbeat(
    state: states.State, peer: int, now: int
) -> messages.AppendRequest | None:
    """Return a heartbeat that overtakes an unanswered request to a peer.

    Return ``None`` if the peer has answered a request recently. Otherwise
    records may be on their way to it, and neither their size nor the time
    that the peer needs for them must cost the leader its contact.
    """
    progress = state.progress.get(peer)
    if progress is None:
        return None
    newest_ms = max(
        progress.last_contact_ms,
        progress.extra_heartbeat_ms,
        state.elected_ms,
    )
    if now - newest_ms < 2 * state.timing.heartbeat_interval_ms:
        return None
    progress.extra_heartbeat_ms = now
    return _build_heartbeat(state, peer, progress, now)


def _build_heartbeat_if_due(
    state: states.State, peer: int, progress: states.Progress, now: int
) -> messages.AppendRequest | None:
    if now - progress.sent_ms < state.timing.heartbeat_interval_ms:
        return None
    progress.sent_ms = now
    return _build_heartbeat(state, peer, progress, now)


def _build_heartbeat(
    state: states.State, peer: int, progress: states.Progress, now: int
) -> messages.AppendRequest:
    # The logs match up to ``match_index``. If this log no longer holds that
    # index, the peer may reject the heartbeat, which is a contact too.
    previous_index = max(progress.match_index, state.log.base.index)
    return messages.AppendRequest(
        sender=state.number,
        to=peer,
        term=state.term,
        previous_index=previous_index,
        previous_term=state.log.get_term(previous_index) or 0,
        records=(),
        commit_index=state.commit_index,
        echo_ms=progress.echo_ms,
        confirmed_age_ms=state.get_confirmed_age_ms(now),
        sent_ms=now,
        is_heartbeat_only=True,
    )


def handle_append(
    state: states.State, request: messages.AppendRequest, now: int
) -> Effects:
    """Follow the leader, and append its records if the logs match.

    A request is rejected if its term is older or the logs do not match.

    Raises ``errors.StorageError`` where a record would replace one that is
    committed.
    """
    if request.term < state.term:
        return [_build_reply(state, False, state.log.last_index, now)]
    result = follow_leader(state, request, now)
    reject_hint = find_reject_hint(state, request)
    if reject_hint is not None:
        return [*result, _build_reply(state, False, reject_hint, now)]
    result.extend(_append_received(state, request.records))
    match_index = request.previous_index + len(request.records)
    commit_index = min(request.commit_index, match_index)
    if commit_index > state.commit_index:
        result.extend(commits.commit_until(state, commit_index))
    update_confirmed_ms(state, request, now)
    _record_stop_acknowledged(state, request)
    return [*result, _build_reply(state, True, match_index, now)]


def handle_install(
    state: states.State, request: messages.InstallRequest, now: int
) -> Effects:
    """Replace the log and the catalogue by the leader's snapshot.

    A request of an older term is rejected. A snapshot that covers no record
    after the commit index is acknowledged, but the log and the catalogue stay
    as they are.
    """
    if request.term < state.term:
        return [_build_reply(state, False, state.log.last_index, now)]
    result = follow_leader(state, request, now)
    snapshot = request.snapshot
    if snapshot.index <= state.commit_index:
        return [*result, _build_reply(state, True, snapshot.index, now)]
    base = records.Base(snapshot.index, snapshot.term, snapshot.group)
    state.log = records.RecordLog(base)
    state.snapshot = snapshot
    state.catalogue.restore(snapshot.state)
    state.commit_index = snapshot.index
    state.applied_index = snapshot.index
    result.append(effects.SaveAll(state.build_stored()))
    result.append(effects.Restored(snapshot.index))
    result.append(effects.GroupChanged())
    return [*result, _build_reply(state, True, snapshot.index, now)]


def handle_append_reply(
    state: states.State,
    request: messages.AppendRequest | messages.InstallRequest,
    reply: messages.AppendReply,
    now: int,
) -> Effects:
    """Record a member's match index, and commit what a majority has synced.

    If the member rejected the request, set the index of the record to send
    next. A learner that has caught up becomes a voter. After a reply with a
    newer term, the leader becomes a follower.
    """
    if reply.term > state.term:
        return elections.become_follower(state, reply.term, 0, now)
    progress = state.progress.get(reply.sender)
    if progress is None or request.term != state.term:
        return []
    progress.last_contact_ms = max(progress.last_contact_ms, request.sent_ms)
    progress.echo_ms = reply.clock_ms
    progress.can_write = reply.can_write
    progress.stopping = reply.stopping
    match request:
        case messages.AppendRequest(is_heartbeat_only=True):
            return []
    if not reply.success:
        # Go back by at least one record with each rejection.
        previous_index = min(reply.match_index, progress.next_index - 2)
        progress.next_index = max(progress.match_index, previous_index) + 1
        return []
    progress.match_index = max(progress.match_index, reply.match_index)
    progress.next_index = progress.match_index + 1
    result = commits.advance_commit_index(state)
    return result + member_changes.promote_if_caught_up(
        state, reply.sender, now
    )


def reset_echo(state: states.State, peer: int) -> None:
    """Forget the time of a peer's clock: the peer may have restarted."""
    progress = state.progress.get(peer)
    if progress is not None:
        progress.echo_ms = 0


def follow_leader(
    state: states.State,
    request: messages.AppendRequest | messages.InstallRequest,
    now: int,
) -> Effects:
    """Follow the sender of a request whose term is not older."""
    state.had_leader = True
    result = elections.become_follower(
        state, request.term, request.sender, now
    )
    state.leader_contact_ms = now
    state.last_leader = request.sender
    state.reset_election_timer(now)
    return result


def _record_stop_acknowledged(
    state: states.State, request: messages.AppendRequest
) -> None:
    """Record whether the leader knows that this member stops.

    The request must hold all records that the leader had then, so that the
    member knows of a vote that it was given before.
    """
    if state.stop_began_ms is None or request.is_heartbeat_only:
        return
    # The leader sends back the time of the newest reply that it has received.
    has_reply = request.echo_ms > state.stop_began_ms
    is_complete = request.commit_index <= state.commit_index
    state.stop_acknowledged |= has_reply and is_complete


def update_confirmed_ms(
    state: states.State, request: messages.AppendRequest, now: int
) -> None:
    """Record when a majority last confirmed what this member has applied."""
    if state.commit_index < request.commit_index:
        # The member is still catching up: it has not applied all committed
        # records.
        return
    # ``echo_ms`` proves that the leader received the reply that this member
    # sent at that time of its own clock, so messages pass in both directions.
    # A delay of messages only makes the confirmation older. A time before the
    # start comes from a reply before a restart and proves nothing.
    if state.started_ms <= request.echo_ms <= now:
        confirmed_ms = request.echo_ms - request.confirmed_age_ms
        state.confirmed_ms = max(state.confirmed_ms, confirmed_ms)


def find_reject_hint(
    state: states.State, request: messages.AppendRequest
) -> int | None:
    """Return the index at which the leader is to compare the logs next.

    Return ``None`` if the logs match at the request's ``previous_index``.
    """
    previous_index = request.previous_index
    if previous_index < state.log.base.index:
        # Records before the base are committed, so both logs have them.
        return None
    term = state.log.get_term(previous_index)
    if term is None:
        return state.log.last_index
    if term == request.previous_term:
        return None
    # Skip all records of the conflicting term at once, instead of one record
    # in each exchange.
    while state.log.get_term(previous_index) == term:
        previous_index -= 1
    return max(previous_index, state.commit_index)


def _append_received(
    state: states.State, received: tuple[records.Record, ...]
) -> Effects:
    new_records = tuple(
        item
        for item in received
        if item.index > state.log.base.index
        and state.log.get_term(item.index) != item.term
    )
    if not new_records:
        return []
    first_index = new_records[0].index
    if first_index <= state.commit_index:
        raise errors.StorageError(
            f'record {first_index} differs from the one committed here; this'
            ' data folder was changed or restored: replace this control'
            ' instance'
        )
    new_records = tuple(item for item in received if item.index >= first_index)
    old_group = state.group
    state.log.append(new_records)
    state.synced_index = min(state.synced_index, first_index - 1)
    result: Effects = [effects.SaveRecords(new_records)]
    if state.group != old_group:
        result.append(effects.GroupChanged())
    return result


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
            stopping=state.stopping,
        )
    )
