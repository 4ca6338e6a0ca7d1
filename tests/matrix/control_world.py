"""A simulated control group and an operator who repeats unanswered edits."""

import faulty_folder
import replica_network

from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import state as states

LIMITS = states.Limits(compact_records=6, kept_records=2)
STEP_MS = 50
ANSWER_TIMEOUT_MS = 1_500
MAX_TRIES = 20
# The number of the spare member.
SPARE = 4


class ControlWorld(replica_network.Network):
    """Three members, and a spare that a cell may add to the group.

    A member stops if its machine loses power in a disk operation, and goes on
    without its vote while its disk refuses writes.
    ``disk_faults`` counts the disk operations that failed. ``answers_by_key``
    maps idempotency keys to the sets of answers that the operator got.
    ``lost_disks`` holds the numbers of members that never start again.
    """

    def __init__(self):
        """Start the group and wait until it has a leader."""
        super().__init__(3, seed=7, limits=LIMITS, step_ms=STEP_MS)
        self.answers_by_key = {}
        self.lost_disks = set()
        self.wait_for_leader()

    def step(self, number, event):
        """Pass an event to a member and return the effects.

        A loss of power stops the member.
        """
        try:
            return super().step(number, event)
        except faulty_folder.PowerFailureError:
            self.disk_faults += 1
            self.replicas.pop(number, None)
            return []

    def follower(self):
        """Return the number of a running member that is not the leader."""
        leader = self.leader()
        return next(n for n in self.replicas if n != leader)

    def has_majority(self):
        """Return whether the running members can elect a leader."""
        running = set(self.replicas)
        return any(
            replica.state.group.is_majority(running)
            for replica in self.replicas.values()
        )

    def lose_disk(self, number):
        """Stop a member permanently, as if its disk were lost."""
        self.replicas.pop(number, None)
        self.lost_disks.add(number)

    def restart_stopped(self):
        """Start the stopped members that still have their disk."""
        for number in tuple(self.stores):
            if number in self.replicas or number in self.lost_disks:
                continue
            folder = self.folders[number].copy_after_power_failure(False)
            self.use_folder(number, folder)
            self.start(number)

    def send_once(self, request):
        """Send an edit to the leader and return its answer, if any."""
        leader = self.leader()
        if leader is None:
            self.run(STEP_MS)
            return None
        proposal_effects = self.propose(leader, request)
        proposals = [
            e for e in proposal_effects if type(e) is effects.Proposed
        ]
        for _ in range(0, ANSWER_TIMEOUT_MS, STEP_MS):
            if not proposals or leader not in self.replicas:
                return None
            if self.is_committed(leader, proposals[0]):
                return self.find_answer(leader, request)
            self.run(STEP_MS)
        return None

    def is_committed(self, number, proposal):
        """Return whether a member has committed a proposed record."""
        # A record that was compacted into a snapshot has no term in the log.
        state = self.replicas[number].state
        committed = state.commit_index >= proposal.index
        return committed and state.log.get_term(proposal.index) in (
            proposal.term,
            None,
        )

    def find_answer(self, number, request):
        """Return the answer that a member's catalogue stores for a request."""
        state = self.replicas[number].state
        key = request.idempotency_key
        return state.catalogue.known_answer(key)

    def send(self, request):
        """Send an edit until it is answered; record and return the answer.

        Return ``None`` after ``MAX_TRIES`` unanswered tries.
        """
        for _ in range(MAX_TRIES):
            answer = self.send_once(request)
            if answer is not None:
                key = request.idempotency_key
                self.answers_by_key.setdefault(key, set()).add(answer)
                return answer
            self.run(5 * STEP_MS)
        return None

    def add_spare(self):
        """Add the spare as a learner.

        The request is repeated until the spare is in the group, or
        ``MAX_TRIES`` times.
        """
        if SPARE not in self.stores:
            self.create(SPARE)
        spare = replica_network.member(SPARE, voter=False)
        for _ in range(MAX_TRIES):
            leader = self.leader()
            if leader is not None:
                self.step(leader, messages.AddLearner(spare))
                if self.replicas[leader].state.group.find(SPARE):
                    return
            self.run(5 * STEP_MS)

    def remove(self, number):
        """Remove a member.

        The request is repeated until the member is not in the group, or
        ``MAX_TRIES`` times.
        """
        name = f'control-{number}'
        for _ in range(MAX_TRIES):
            leader = self.leader()
            if leader is not None:
                self.step(leader, messages.RemoveMember(name))
                if not self.replicas[leader].state.group.find(number):
                    return
            self.run(5 * STEP_MS)
