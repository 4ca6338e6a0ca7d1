"""Changes of the group, one member and one change at a time."""

import dataclasses

from gentianspoke.decisions.control.replica import commits
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions.control.replica import state as states

Effects = list[effects.Effect]


def form_group(state: states.State, group: groups.Group) -> Effects:
    """Begin with the first members, unless a group is known already."""
    if state.group.members:
        return []
    base = records.Base(0, 0, group)
    state.log = records.RecordLog(base)
    state.snapshot = dataclasses.replace(state.snapshot, group=group)
    return [effects.SaveAll(state.stored()), effects.GroupChanged()]


def add_learner(
    state: states.State, event: messages.AddLearner, now: int
) -> Effects:
    """Add a member that does not vote yet."""
    member = event.member
    known = state.group.find(member.number)
    if known is not None:
        # The operator sent the change again after losing the answer.
        return []
    refusal = find_refusal(state, now)
    if state.group.find_instance(member.instance):
        refusal = refusal or (
            f'{member.instance} is a member with another data folder; give'
            ' the new instance a new name'
        )
    if event.has_group:
        refusal = refusal or (
            f'{member.instance} keeps a log already; start it with an empty'
            ' data folder and control.join: true'
        )
    if refusal:
        return [effects.Refused(refusal)]
    learner = dataclasses.replace(member, voter=False)
    return set_members(state, (*state.group.members, learner))


def remove(state: states.State, instance: str, now: int) -> Effects:
    """Remove a member."""
    member = state.group.find_instance(instance)
    refusal = find_refusal(state, now)
    if member is None:
        refusal = refusal or (
            f'{instance} is no member; see "gentianspoke control-group'
            ' members"'
        )
        return [effects.Refused(refusal)]
    rest = state.group.others(member.number)
    if not any(item.voter for item in rest):
        refusal = refusal or (
            f'{instance} is the last member that votes; add another first'
        )
    if refusal:
        return [effects.Refused(refusal)]
    return set_members(state, rest)


def promote_if_caught_up(
    state: states.State, number: int, now: int
) -> Effects:
    """Let a learner vote once it has all that is committed."""
    member = state.group.find(number)
    if member is None or member.voter or find_refusal(state, now):
        return []
    if state.progress[number].match_index < state.commit_index:
        return []
    voter = dataclasses.replace(member, voter=True)
    changed = tuple(
        voter if item.number == number else item
        for item in state.group.members
    )
    return set_members(state, changed)


def handle_change(
    state: states.State,
    event: messages.AddLearner | messages.RemoveMember,
    now: int,
) -> Effects:
    """Carry out an operator's change."""
    match event:
        case messages.AddLearner():
            return add_learner(state, event, now)
        case messages.RemoveMember(instance=instance):
            return remove(state, instance, now)


def find_refusal(state: states.State, now: int) -> str:
    """Return why no change may be made now, empty where one may."""
    if not state.leads(now):
        return 'this control instance does not lead; ask the leader'
    if state.log.group_index > state.commit_index:
        return (
            'the change of members before this one is not committed yet;'
            ' ask again in a second'
        )
    return ''


def set_members(
    state: states.State, members: tuple[groups.Member, ...]
) -> Effects:
    """Append the change to these members; it is in force at once."""
    change = records.SetGroup(groups.Group(members))
    return commits.append_as_leader(state, (change,))
