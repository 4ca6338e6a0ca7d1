"""Changes of a group's members, one member at a time.

A change is refused until the previous change is committed.
"""

import dataclasses

from gentianspoke.decisions.control.replica import commits
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions.control.replica import state as states

Effects = list[effects.Effect]


def form_group(state: states.State, group: groups.Group) -> Effects:
    """Set the initial members, unless the replica already has a group."""
    if state.group.members:
        return []
    base = records.Base(0, 0, group)
    state.log = records.RecordLog(base)
    state.snapshot = dataclasses.replace(state.snapshot, group=group)
    return [effects.SaveAll(state.build_stored()), effects.GroupChanged()]


def add_learner(
    state: states.State, event: messages.AddLearner, now: int
) -> Effects:
    """Add a member as a learner, which does not vote yet.

    The change is refused if no change may be made now, if the name belongs
    to a member with another data folder, or if the instance belongs to
    another group. Nothing changes if the data folder is already a member's.
    """
    member = event.member
    existing = state.group.find(member.number)
    if existing is not None:
        # The answer was lost, and the request was sent again.
        return []
    refusal = find_refusal(state, now)
    if state.group.find_instance(member.instance):
        refusal = refusal or (
            f'{member.instance} is a member with another data folder; give'
            ' the new instance a new name'
        )
    if event.has_other_group:
        refusal = refusal or (
            f'{member.instance} keeps a log already; start it with an empty'
            ' data folder and control.join: true'
        )
    if refusal:
        return [effects.Refused(refusal)]
    learner = dataclasses.replace(member, voter=False)
    return set_members(state, (*state.group.members, learner))


def remove_member(state: states.State, instance: str, now: int) -> Effects:
    """Remove the member named ``instance``.

    The change is refused if no change may be made now, if there is no such
    member, or if it is the last voter.
    """
    member = state.group.find_instance(instance)
    refusal = find_refusal(state, now)
    if member is None:
        refusal = refusal or (
            f'{instance} is no member; see "gentianspoke control-group'
            ' members"'
        )
        return [effects.Refused(refusal)]
    remaining = state.group.get_others(member.number)
    if not any(other.voter for other in remaining):
        refusal = refusal or (
            f'{instance} is the last member that votes; add another first'
        )
    if refusal:
        return [effects.Refused(refusal)]
    return set_members(state, remaining)


def promote_if_caught_up(
    state: states.State, number: int, now: int
) -> Effects:
    """Make a learner a voter once it has all committed records.

    A learner whose process is about to end stays one.
    """
    member = state.group.find(number)
    if member is None or member.voter or find_refusal(state, now):
        return []
    progress = state.progress[number]
    if progress.stopping or progress.match_index < state.commit_index:
        return []
    return set_voting(state, member, True)


def set_voting(
    state: states.State, member: groups.Member, voter: bool
) -> Effects:
    """Make a member a voter or a learner."""
    changed_member = dataclasses.replace(member, voter=voter)
    members = tuple(
        changed_member if other.number == member.number else other
        for other in state.group.members
    )
    return set_members(state, members)


def handle_change(
    state: states.State,
    event: messages.AddLearner | messages.RemoveMember,
    now: int,
) -> Effects:
    """Carry out a requested change of members, or refuse it."""
    match event:
        case messages.AddLearner():
            return add_learner(state, event, now)
        case messages.RemoveMember(instance=instance):
            return remove_member(state, instance, now)


def find_refusal(state: states.State, now: int) -> str:
    """Return why no change may be made now, or "" if one may be made."""
    if not state.leads(now):
        return 'this control instance does not lead; ask the leader'
    if state.log.group_index > state.commit_index:
        return (
            'the previous change of members is not committed yet;'
            ' try again in a second'
        )
    return ''


def set_members(
    state: states.State, members: tuple[groups.Member, ...]
) -> Effects:
    """Append a record that makes these the group's members.

    The change takes effect as soon as the record is in the log.
    """
    change = records.SetGroup(groups.Group(members))
    return commits.append_as_leader(state, (change,))
