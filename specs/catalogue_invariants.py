"""The properties that the catalogue log's specification has to keep."""

from specs import catalogue_state as states
from specs import catalogue_voters


def has_one_leader_per_term(state: dict) -> bool:
    """Return whether no two instances lead in one term."""
    terms = [node.term for node in state['nodes'] if node.leads]
    return len(terms) == len(set(terms))


def is_durable(state: dict) -> bool:
    """Return whether a disk holds all that is committed."""
    committed = state['committed']
    return any(
        node.log[: node.synced][: len(committed)] == committed
        for node in state['nodes']
        if not node.is_gone
    )


def has_one_winner(state: dict) -> bool:
    """Return whether at most one edit of a version is accepted."""
    winners = [
        kind
        for kind, accepted, version in state['answers']
        if accepted and version
    ]
    return len(set(winners)) <= 1


def has_one_answer(state: dict) -> bool:
    """Return whether each edit has a single answer."""
    kinds = [kind for kind, _, _ in state['answers']]
    return len(kinds) == len(set(kinds))


def committed_logs_agree(state: dict) -> bool:
    """Return whether what instances have committed agrees."""
    committed = state['committed']
    return all(
        _agree(node.log[: node.commit_index], committed)
        for node in state['nodes']
    )


def has_quorum(rules: catalogue_voters.VoterRules, state: dict) -> bool:
    """Return whether the instances that remain can elect a leader."""
    remaining = {
        number: node
        for number, node in enumerate(state['nodes'])
        if not node.is_gone
    }
    for number, node in remaining.items():
        voters = rules.find_voters(node)
        granting_voters = {
            voter
            for voter in voters
            if voter in remaining
            and states.find_log_end(remaining[voter].log)
            <= states.find_log_end(node.log)
        }
        group = states.build_group(voters)
        if rules.may_campaign(node, number) and group.is_majority(
            granting_voters
        ):
            return True
    return False


def leader_is_complete(state: dict) -> bool:
    """Return whether leaders of the newest term have what is committed."""
    newest_term = max(node.term for node in state['nodes'])
    committed = state['committed']
    return all(
        node.log[: len(committed)] == committed
        for node in state['nodes']
        if node.leads and node.term == newest_term
    )


def _agree(first: states.Log, second: states.Log) -> bool:
    shared_length = min(len(first), len(second))
    return first[:shared_length] == second[:shared_length]
