"""Rules of the catalogue log's specification on who votes, joins and stops."""

import dataclasses

from gentianspoke.decisions.control.replica import lost_members
from specs import catalogue_state as states

Kind = states.Kind
Mistake = states.Mistake
Node = states.Node
State = states.State


@dataclasses.dataclass(frozen=True)
class VoterRules:
    """The rules within bounds; ``mistake`` names the one that is left out."""

    bounds: states.Bounds
    mistake: Mistake | None

    @property
    def initial_voters(self) -> tuple[int, ...]:
        """The voters before any change."""
        return tuple(range(self.bounds.voters))

    def find_voters(self, node: Node) -> tuple[int, ...]:
        """Return the voters that an instance's log names."""
        return states.find_voters(node.log, self.initial_voters)

    def may_campaign(self, node: Node, number: int) -> bool:
        """Return whether an instance votes, as far as it knows for certain.

        One that lost its vote by a change that may be uncommitted may still
        ask for votes, since nobody else may have the change.
        """
        committed_log = node.log[: node.commit_index]
        return number in self.find_voters(node) or (
            number in states.find_voters(committed_log, self.initial_voters)
            and self.mistake is not Mistake.ONLY_VOTERS_CAMPAIGN
        )

    def may_remove(self, state: State, other: int, leader: int) -> bool:
        """Return whether the leader may take the vote of an instance."""
        voters = self.find_voters(state.nodes[leader])
        if self.bounds.stops and self._has_spare_voter(voters):
            return True
        if other == leader or len(voters) < 2:
            return False
        if self.bounds.tolerate is None:
            return True
        if self.mistake is Mistake.SILENT_MEMBER_REMOVED:
            return True
        return state.nodes[other].disk_lost

    def may_join(
        self, state: State, number: int, other: int, voters: tuple[int, ...]
    ) -> bool:
        """Return whether the leader may give an instance a vote."""
        if other in voters or not state.nodes[other].is_up:
            return False
        if other < self.bounds.voters and not self.bounds.stops:
            return False
        node = state.nodes[number]
        return node.match_indexes[other] >= node.commit_index

    def may_stop(self, state: State, number: int) -> bool:
        """Return whether an instance that stops as planned may end.

        It waits until a leader knows of its stop and has sent it all records,
        and until the change that took its vote is committed.
        """
        node = state.nodes[number]
        voters = self.find_voters(node)
        if self.mistake is Mistake.STOP_BEFORE_VOTE_IS_TAKEN:
            return self._has_spare_voter(voters)
        is_acknowledged = any(
            other.leads and other.log == node.log for other in state.nodes
        )
        committed_log = node.log[: node.commit_index]
        is_committed = Kind.VOTERS not in {
            record.kind for record in node.log[len(committed_log) :]
        }
        return is_acknowledged and is_committed and number not in voters

    def may_lose_disk(self, state: State, number: int) -> bool:
        """Return whether the bounds allow the loss of a voter's disk.

        The voters are those of the newest committed change of voters, so the
        replacement of a member counts once it is committed. Where
        ``Bounds.tolerate`` is not set, the voters without a lost disk must
        remain a majority.
        """
        voters = states.find_voters(state.committed, self.initial_voters)
        if number not in voters:
            return False
        if self.bounds.tolerate is not None:
            total_lost = sum(node.disk_lost for node in state.nodes)
            return total_lost < self.bounds.tolerate
        lost_count = sum(state.nodes[voter].disk_lost for voter in voters) + 1
        return lost_count <= (len(voters) - 1) // 2

    def _has_spare_voter(self, voters: tuple[int, ...]) -> bool:
        tolerate = self.bounds.tolerate
        if tolerate is None:
            return False
        return len(voters) > lost_members.compute_min_voters(tolerate)
