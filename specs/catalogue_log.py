"""Specification of the catalogue log.

It covers votes, appends, commits, answers and the replacement of members.

The model: A few control instances replicate one log. Two operators send the
edits A and B, which are based on the same version of one entry. Edit A may be
sent again because its answer was lost. An exchange between two instances is
one step, and its reply arrives or is lost. One append at a time may be
delayed. It may then arrive late, more than once or never. An append carries
the log from its first record on. An instance that crashes restarts with the
records that it had synced. An instance that loses its disk does not return. A
disk that is full refuses all writes until there is room, also across a crash.
A spare instance joins under a new identity, at the same address or another,
and receives the log before it votes. The leader replaces members without an
operator where ``Bounds.tolerate`` is set.

The model calls the production code for its decisions: ``groups.Group`` for
majorities and the commit index, and ``catalogue.Catalogue`` for the answers to
edits.

The properties: No answer that an operator received is ever revoked. A term has
at most one leader. The committed parts of all logs agree. Every leader of the
newest term has all committed records, and at least one disk still holds them.
Where instances stop for good and are replaced without an operator, those that
remain can always elect a leader.
At most one of the edits that are based on the same version is accepted. An
edit that is sent again gets the same answer, since each edit has an
idempotency key.
"""

import functools
import itertools

from specs import catalogue_invariants as invariants
from specs import catalogue_state as states
from specs import catalogue_voters
from specs import checking

Bounds = states.Bounds
Kind = states.Kind
Mistake = states.Mistake
Node = states.Node
Record = states.Record
State = states.State
Steps = list[checking.Step]


class CatalogueLog:
    """The specification; ``mistake`` names the rule that it leaves out."""

    name = 'catalogue-log'
    fields: tuple[str, ...] = State._fields

    def __init__(
        self, bounds: Bounds = Bounds(), mistake: Mistake | None = None
    ) -> None:
        """Start with empty logs and no leader."""
        self.bounds = bounds
        self.mistake = mistake
        node_count = bounds.voters + bounds.spares
        self.numbers = range(node_count)
        self.rules = catalogue_voters.VoterRules(bounds, mistake)
        nodes = (Node(match_indexes=(0,) * node_count),) * node_count
        self.initial: tuple = State(
            nodes,
            (),
            (),
            frozenset(),
            bounds.crashes,
            bounds.losses,
            bounds.delays,
            bounds.refusals,
            bounds.stops,
        )
        self.invariants: checking.Invariants = {
            'one-leader-per-term': invariants.has_one_leader_per_term,
            'committed-logs-agree': invariants.committed_logs_agree,
            'leader-has-what-was-committed': invariants.leader_is_complete,
            'what-was-committed-is-on-a-disk': invariants.is_durable,
            'one-winner-per-version': invariants.has_one_winner,
            'one-answer-per-key': invariants.has_one_answer,
        }
        if bounds.stops:
            self.invariants['a-quorum-survives'] = functools.partial(
                invariants.has_quorum, self.rules
            )

    def successors(self, state: tuple) -> Steps:
        """Return all steps that are possible in a state."""
        current = State(*state)
        steps: Steps = []
        for number in self.numbers:
            if current.nodes[number].is_up:
                steps.extend(self._list_instance_steps(current, number))
            elif not current.nodes[number].is_gone:
                steps.append(self._restart(current, number))
        steps.extend(self._list_late_appends(current))
        return steps

    def _list_instance_steps(self, state: State, number: int) -> Steps:
        steps = self._list_elections(state, number)
        if state.nodes[number].leads:
            steps.extend(self._list_proposals(state, number))
            steps.extend(self._list_appends(state, number))
        if state.crashes:
            steps.append(self._crash(state, number))
        if state.losses and self.rules.may_lose_disk(state, number):
            steps.append(self._lose_disk(state, number))
        if state.stops and self.rules.may_stop(state, number):
            steps.append(_stop(state, number))
        if self.mistake is Mistake.ANSWERS_NOT_IN_SNAPSHOT:
            steps.extend(self._list_snapshots(state, number))
        steps.extend(_list_disk_steps(state, number))
        return steps

    def _list_elections(self, state: State, number: int) -> Steps:
        node = state.nodes[number]
        if node.term >= self.bounds.terms or node.leads:
            return []
        if not node.can_write:
            return []
        if not self.rules.may_campaign(node, number):
            return []
        voters = self.rules.find_voters(node)
        term = node.term + 1
        willing_voters = [
            other
            for other in voters
            if other != number
            and self._grants_vote(state, other, number, term)
        ]
        steps: Steps = []
        for size in range(len(willing_voters) + 1):
            for granting_voters in itertools.combinations(
                willing_voters, size
            ):
                steps.append(
                    self._hold_election(state, number, term, granting_voters)
                )
        return steps

    def _grants_vote(
        self, state: State, number: int, candidate: int, term: int
    ) -> bool:
        node = state.nodes[number]
        if not node.is_up or node.term > term:
            return False
        ignores_disk = self.mistake is Mistake.UNSAVED_VOTE_COUNTS
        if not node.can_write and not ignores_disk:
            return False
        if node.term == term and node.voted_for not in (
            states.NOBODY,
            candidate,
        ):
            return False
        if self.mistake is Mistake.VOTE_IGNORES_LOG:
            return True
        return states.find_log_end(
            state.nodes[candidate].log
        ) >= states.find_log_end(node.log)

    def _hold_election(
        self,
        state: State,
        number: int,
        term: int,
        granting_voters: tuple[int, ...],
    ) -> checking.Step:
        nodes = list(state.nodes)
        for voter in (number, *granting_voters):
            nodes[voter] = _record_vote(
                nodes[voter], term, number, self.mistake
            )
        voters = states.build_group(self.rules.find_voters(nodes[number]))
        wins = voters.is_majority({number, *granting_voters})
        if wins:
            nodes[number] = nodes[number]._replace(
                leads=True, match_indexes=(0,) * len(nodes)
            )
            nodes[number] = self._append_as_leader(
                nodes[number], number, Record(term, Kind.NO_OP)
            )
        label = (
            f'{number} is a candidate in term {term}, votes {granting_voters}'
        )
        return label, state._replace(nodes=tuple(nodes))

    def _append_as_leader(
        self, node: Node, number: int, record: Record
    ) -> Node:
        log = (*node.log, record)
        match_indexes = _replace_item(node.match_indexes, number, len(log))
        return node._replace(
            log=log, synced=len(log), match_indexes=match_indexes
        )

    def _list_proposals(self, state: State, number: int) -> Steps:
        node = state.nodes[number]
        if len(node.log) >= self.bounds.records:
            return []
        steps: Steps = []
        max_sends = {
            Kind.EDIT_A: self.bounds.sends_a,
            Kind.EDIT_B: self.bounds.sends_b,
        }
        for kind, max_count in max_sends.items():
            if sum(entry.kind == kind for entry in node.log) < max_count:
                record = Record(node.term, kind)
                label = f'{number} appends {kind.name}'
                steps.append(self._propose(state, number, record, label))
        steps.extend(self._list_voter_changes(state, number))
        return steps

    def _list_voter_changes(self, state: State, number: int) -> Steps:
        node = state.nodes[number]
        is_change_pending = any(
            entry.kind == Kind.VOTERS
            for entry in node.log[node.commit_index :]
        )
        if (
            is_change_pending
            and self.mistake is not Mistake.TWO_CHANGES_AT_ONCE
        ):
            return []
        has_committed_in_own_term = (
            node.commit_index
            and node.log[node.commit_index - 1].term == node.term
        )
        # The mistake also leaves out the rule that a leader first commits a
        # record of its own term.
        if (
            not has_committed_in_own_term
            and self.mistake is not Mistake.TWO_CHANGES_AT_ONCE
        ):
            return []
        voters = self.rules.find_voters(node)
        steps: Steps = []
        for other in self.numbers:
            if other in voters and self.rules.may_remove(state, other, number):
                new_voters = tuple(voter for voter in voters if voter != other)
            elif self.rules.may_join(state, number, other, voters):
                new_voters = tuple(sorted((*voters, other)))
                if self.mistake is Mistake.SWAP_IN_ONE_CHANGE:
                    removed = next(
                        voter for voter in voters if voter != number
                    )
                    new_voters = tuple(
                        voter for voter in new_voters if voter != removed
                    )
            else:
                continue
            record = Record(node.term, Kind.VOTERS, new_voters)
            label = f'{number} sets the voters {new_voters}'
            steps.append(self._propose(state, number, record, label))
        return steps

    def _propose(
        self, state: State, number: int, record: Record, label: str
    ) -> checking.Step:
        node = self._append_as_leader(state.nodes[number], number, record)
        after = _replace_node(state, number, node)
        if self.mistake is Mistake.ANSWER_BEFORE_MAJORITY:
            after = self._record_answers(
                after, node._replace(commit_index=len(node.log))
            )
        return label, self._advance_commit(after, number)

    def _list_appends(self, state: State, number: int) -> Steps:
        steps: Steps = []
        for other in self.numbers:
            if other == number or not state.nodes[other].is_up:
                continue
            for message in self._list_batches(state.nodes[number], number):
                after_append = self._handle_append(state, other, message)
                label = f'{number} sends {len(message[2])} records to {other}'
                steps.append((f'{label}, reply lost', after_append))
                acked_index = self._find_acked_index(
                    after_append.nodes[other], message
                )
                after_reply = self._handle_reply(
                    after_append, number, other, acked_index
                )
                steps.append((label, after_reply))
        if state.delays and not state.delayed:
            message = _build_append(state.nodes[number], number)
            after = state._replace(delayed=message, delays=state.delays - 1)
            steps.append((f'an append of {number} is delayed', after))
        return steps

    def _list_batches(self, node: Node, number: int) -> list[tuple]:
        messages = [_build_append(node, number)]
        if self.bounds.short_batches and len(node.log) > 1:
            shorter_node = node._replace(log=node.log[:-1])
            messages.append(_build_append(shorter_node, number))
        return messages

    def _list_late_appends(self, state: State) -> Steps:
        if not state.delayed:
            return []
        steps: Steps = [
            ('the delayed append is lost', state._replace(delayed=()))
        ]
        for other in self.numbers:
            if state.nodes[other].is_up and other != state.delayed[0]:
                after_append = self._handle_append(state, other, state.delayed)
                label = f'the delayed append of {state.delayed[0]} reaches'
                steps.append((f'{label} {other}', after_append))
        return steps

    def _find_acked_index(self, node: Node, message: tuple) -> int:
        counts_unsaved = self.mistake is Mistake.UNSAVED_RECORD_COUNTS
        if node.can_write or counts_unsaved:
            return len(message[2])
        return 0

    def _handle_append(
        self, state: State, number: int, message: tuple
    ) -> State:
        sender, term, log, commit_index = message
        node = state.nodes[number]
        if node.term > term or (node.leads and node.term == term):
            return state
        if node.term < term:
            node = node._replace(
                term=term,
                voted_for=states.NOBODY,
                synced_voted_for=states.NOBODY,
            )
        merged = _merge_logs(node.log, log)
        synced = len(merged)
        if self.mistake is Mistake.NO_SYNC_BEFORE_REPLY:
            synced = min(node.synced, len(merged))
        if not node.can_write:
            synced = min(node.synced, len(merged))
            if self.mistake is not Mistake.UNSAVED_RECORD_COUNTS:
                return self._follow_without_writes(
                    state, number, node, message
                )
        node = node._replace(
            leads=False,
            log=merged,
            synced=synced,
            commit_index=max(node.commit_index, min(commit_index, len(log))),
        )
        return _extend_committed(_replace_node(state, number, node), node)

    def _follow_without_writes(
        self, state: State, number: int, node: Node, message: tuple
    ) -> State:
        """Apply what is committed and held already; append nothing."""
        _, _, log, commit_index = message
        shared_length = min(len(node.log), commit_index, len(log))
        if node.log[:shared_length] == log[:shared_length]:
            node = node._replace(
                commit_index=max(node.commit_index, shared_length)
            )
        node = node._replace(leads=False)
        return _extend_committed(_replace_node(state, number, node), node)

    def _handle_reply(
        self, state: State, leader: int, number: int, acked_index: int
    ) -> State:
        node = state.nodes[leader]
        follower = state.nodes[number]
        if follower.term > node.term:
            deposed = node._replace(
                term=follower.term,
                voted_for=states.NOBODY,
                synced_voted_for=states.NOBODY,
                leads=False,
            )
            return _replace_node(state, leader, deposed)
        match_index = max(acked_index, node.match_indexes[number])
        node = node._replace(
            match_indexes=_replace_item(
                node.match_indexes, number, match_index
            )
        )
        return self._advance_commit(_replace_node(state, leader, node), leader)

    def _advance_commit(self, state: State, number: int) -> State:
        node = state.nodes[number]
        group = states.build_group(self.rules.find_voters(node))
        agreed_index = group.get_majority_value(
            dict(enumerate(node.match_indexes)), 0
        )
        if agreed_index <= node.commit_index:
            return state
        is_old_term = node.log[agreed_index - 1].term != node.term
        if is_old_term and self.mistake is not Mistake.COMMIT_OLD_TERM:
            return state
        node = node._replace(commit_index=agreed_index)
        return self._record_answers(_replace_node(state, number, node), node)

    def _record_answers(self, state: State, node: Node) -> State:
        log = node.log[: node.commit_index]
        answers_by_kind = states.compute_answers(
            log, node.dropped, self.mistake
        )
        new_answers = {
            (int(kind), answer.accepted, answer.version)
            for kind, answer in answers_by_kind.items()
        }
        state = state._replace(answers=state.answers | new_answers)
        return _extend_committed(state, node)

    def _crash(self, state: State, number: int) -> checking.Step:
        node = state.nodes[number]
        node = node._replace(
            is_up=False,
            leads=False,
            log=node.log[: node.synced],
            commit_index=0,
            voted_for=node.synced_voted_for,
            match_indexes=(0,) * len(state.nodes),
        )
        if not node.can_write:
            node = node._replace(term=node.durable_term)
        after = _replace_node(state, number, node)
        return f'{number} crashes', after._replace(crashes=state.crashes - 1)

    def _restart(self, state: State, number: int) -> checking.Step:
        node = state.nodes[number]._replace(is_up=True)
        return f'{number} restarts', _replace_node(state, number, node)

    def _lose_disk(self, state: State, number: int) -> checking.Step:
        empty_node = Node(
            is_up=False, disk_lost=True, match_indexes=(0,) * len(state.nodes)
        )
        if self.mistake is Mistake.WIPED_KEEPS_IDENTITY:
            empty_node = empty_node._replace(disk_lost=False)
        after = _replace_node(state, number, empty_node)
        label = f'{number} loses its disk'
        return label, after._replace(losses=state.losses - 1)

    def _list_snapshots(self, state: State, number: int) -> Steps:
        node = state.nodes[number]
        if not node.commit_index or node.dropped:
            return []
        compacted = node._replace(dropped=node.commit_index)
        label = f'{number} takes a snapshot'
        return [(label, _replace_node(state, number, compacted))]


def _list_disk_steps(state: State, number: int) -> Steps:
    node = state.nodes[number]
    if not node.can_write:
        writable_node = node._replace(
            can_write=True,
            durable_term=states.NOBODY,
            synced_voted_for=node.voted_for,
            synced=len(node.log),
        )
        label = f'{number} has room and writes its whole state'
        return [(label, _replace_node(state, number, writable_node))]
    if not state.refusals:
        return []
    unwritable_node = node._replace(
        can_write=False,
        durable_term=node.term,
        leads=False,
        match_indexes=(0,) * len(state.nodes),
    )
    after = _replace_node(state, number, unwritable_node)
    return [
        (
            f'the disk of {number} is full',
            after._replace(refusals=state.refusals - 1),
        )
    ]


def _stop(state: State, number: int) -> checking.Step:
    node = state.nodes[number]._replace(is_up=False, leads=False, stopped=True)
    after = _replace_node(state, number, node)
    return f'{number} stops for good', after._replace(stops=state.stops - 1)


def _record_vote(
    node: Node, term: int, candidate: int, mistake: Mistake | None
) -> Node:
    synced_voted_for = candidate
    if mistake is Mistake.VOTE_NOT_SYNCED or not node.can_write:
        synced_voted_for = states.NOBODY
    return node._replace(
        term=term,
        voted_for=candidate,
        synced_voted_for=synced_voted_for,
        leads=False,
    )


def _build_append(node: Node, number: int) -> tuple:
    """Return the sender of an append, its term, its log and commit index."""
    return (number, node.term, node.log, node.commit_index)


def _merge_logs(local: states.Log, sent: states.Log) -> states.Log:
    """Return a member's log after an append of the records ``sent``.

    Local records are removed only if one of them conflicts with those sent.
    """
    if local[: len(sent)] == sent:
        return local
    return sent


def _replace_node(state: State, number: int, node: Node) -> State:
    return state._replace(nodes=_replace_item(state.nodes, number, node))


def _extend_committed(state: State, node: Node) -> State:
    committed = node.log[: node.commit_index]
    if len(committed) <= len(state.committed):
        return state
    return state._replace(committed=committed)


def _replace_item(items: tuple, position: int, item: object) -> tuple:
    return (*items[:position], item, *items[position + 1 :])
