"""Appending records to the local log, and committing and applying them."""

from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions.control.replica import roles
from gentianspoke.decisions.control.replica import state as states

Effects = list[effects.Effect]


def append_as_leader(
    state: states.State, payloads: tuple[records.Payload, ...]
) -> Effects:
    """Append payloads to the log as records of the leader's current term."""
    first_index = state.log.last_index + 1
    new_records = tuple(
        records.Record(first_index + offset, state.term, payload)
        for offset, payload in enumerate(payloads)
    )
    old_group = state.group
    state.log.append(new_records)
    result: Effects = [effects.SaveRecords(new_records)]
    if state.group != old_group:
        track_members(state)
        result.append(effects.GroupChanged())
    return result


def track_members(state: states.State) -> None:
    """Make ``state.progress`` hold exactly the other current members."""
    others = {item.number for item in state.group.get_others(state.number)}
    for number in tuple(state.progress):
        if number not in others:
            del state.progress[number]
    for number in others:
        next_index = state.log.last_index + 1
        state.progress.setdefault(number, states.Progress(next_index))


def handle_synced(state: states.State, index: int) -> Effects:
    """Record that the local log is durable up to ``index``.

    As leader, also commit the records that a majority has synced.
    """
    state.synced_index = max(state.synced_index, index)
    return advance_commit_index(state)


def advance_commit_index(state: states.State) -> Effects:
    """As leader, commit the records that a majority has synced.

    Only a record of the leader's current term is committed by counting
    replicas (section 5.4.2 of the Raft paper): a record of an older term
    could still be replaced. A leader that is no longer a voter becomes a
    follower once the record that took its vote is committed.
    """
    if state.role.state != roles.LEADER:
        return []
    match_indexes = {
        number: item.match_index for number, item in state.progress.items()
    }
    match_indexes[state.number] = state.synced_index
    agreed_index = state.group.get_majority_value(match_indexes, 0)
    if agreed_index <= state.commit_index:
        return []
    if state.log.get_term(agreed_index) != state.term:
        return []
    result = commit_until(state, agreed_index)
    if not state.is_voter and state.log.group_index <= state.commit_index:
        result.extend(_step_down(state))
    return result


def commit_until(state: states.State, index: int) -> Effects:
    """Commit and apply the records up to ``index``.

    Also take a snapshot and discard records if enough have been applied since
    the last snapshot.
    """
    result: Effects = []
    state.commit_index = max(state.commit_index, index)
    while state.applied_index < state.commit_index:
        record = state.log.get(state.applied_index + 1)
        result.append(_apply(state, record))
        state.applied_index = record.index
    return result + _compact(state)


def _apply(state: states.State, record: records.Record) -> effects.Effect:
    answer = None
    match record.payload:
        case records.Command(request=request):
            answer = state.catalogue.apply(request)
    return effects.Committed(record.index, record.term, answer)


def _compact(state: states.State) -> Effects:
    applied_count = state.applied_index - state.snapshot.index
    if applied_count < state.limits.compact_records:
        return []
    index = state.applied_index
    state.snapshot = records.Snapshot(
        index=index,
        term=state.log.get(index).term,
        group=find_group_at_index(state, index),
        state=state.catalogue.export(),
    )
    state.log.discard_until(index - state.limits.kept_records)
    return [effects.SaveAll(state.build_stored())]


def find_group_at_index(state: states.State, index: int) -> groups.Group:
    """Return the members that the records up to ``index`` set.

    The log must hold all records from its base to ``index``.
    """
    group = state.log.base.group
    for record in state.log.records[: index - state.log.base.index]:
        match record.payload:
            case records.SetGroup(group=new_group):
                group = new_group
    return group


def _step_down(state: states.State) -> Effects:
    # The record that takes this leader's vote is committed. The leader has
    # nothing left to do, and the voters elect a new one.
    state.role.advance('follow')
    state.leader = groups.NOBODY
    return [effects.RoleChanged(state.role.state, state.term)]
