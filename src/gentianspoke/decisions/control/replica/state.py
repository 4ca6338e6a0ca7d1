"""The state of one replica, with its queries and its election timer."""

import dataclasses
import random

from gentianspoke.core import shares
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions.control.replica import roles

# The time of an event that has not occurred: earlier than any clock's time.
LONG_AGO_MS = -(10**12)


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Durations in milliseconds and clock drift, the same on all members.

    A leader sends a request to each member at least every
    ``heartbeat_interval_ms``. An election timeout is between
    ``min_election_timeout_ms`` and ``max_election_timeout_ms``. A follower
    that received a message from the leader grants no vote for
    ``min_election_timeout_ms``.

    The rate of each clock differs from the true rate by at most
    ``max_drift_permille``, so the rates of two clocks differ by at most twice
    that. The leader lease is therefore shorter than
    ``min_election_timeout_ms`` by twice ``max_drift_permille``.

    A replica that has just started asks the others for votes within
    ``startup_election_timeout_ms``, and again after one to two times
    ``startup_election_timeout_ms``.
    """

    heartbeat_interval_ms: int = 150
    min_election_timeout_ms: int = 1000
    max_election_timeout_ms: int = 2000
    max_drift_permille: int = 50
    startup_election_timeout_ms: int = 100

    @property
    def leader_lease_ms(self) -> int:
        """The duration of the leader lease.

        The lease begins when the leader sends requests that a majority then
        answers.
        """
        permille = shares.PERMILLE - 2 * self.max_drift_permille
        return self.min_election_timeout_ms * permille // shares.PERMILLE


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the log and the number of losses that the group tolerates.

    A snapshot is taken once ``compact_records`` records have been applied
    since the last one. The newest ``kept_records`` records that a snapshot
    covers stay in the log.
    """

    compact_records: int = 1000
    kept_records: int = 200
    # The number of lost voters that the group must tolerate. The leader takes
    # the vote of a silent or stopping voter without an operator if more than
    # 2 * tolerate + 1 voters exist. With 0, the leader changes no member by
    # itself, and operators replace lost members.
    tolerate: int = 0


@dataclasses.dataclass(slots=True)
class Progress:
    """What the leader knows about another member.

    ``last_contact_ms`` is when the leader sent the latest request that the
    member answered. ``can_write`` is false if the disk of the member took no
    writes then, and ``stopping`` is true if its process was about to end.
    ``extra_heartbeat_ms`` is when the leader sent its latest extra heartbeat.
    ``sent_ms`` is when it sent its latest other request, and
    ``sent_commit_index`` the commit index in it. ``first_check_ms`` is when
    the leader first checked whether the member is lost. These times are of
    the leader's clock.

    ``echo_ms`` is the time of the member's own clock in its latest reply, 0
    if none is known. The leader sends it back to the member.
    """

    next_index: int
    match_index: int = 0
    can_write: bool = True
    stopping: bool = False
    last_contact_ms: int = LONG_AGO_MS
    extra_heartbeat_ms: int = LONG_AGO_MS
    sent_ms: int = LONG_AGO_MS
    echo_ms: int = 0
    sent_commit_index: int = 0
    first_check_ms: int = LONG_AGO_MS


class State:
    """The whole state of a replica, both durable and volatile."""

    def __init__(
        self,
        stored: effects.Stored,
        timing: Timing,
        limits: Limits,
        rng: random.Random,
        now: int,
    ) -> None:
        """Start as a follower with the stored state."""
        self.number = stored.number
        self.instance = stored.instance
        self.timing = timing
        self.limits = limits
        self.rng = rng
        self.role = roles.RoleMachine()
        self.term = stored.vote.term
        self.voted_for = stored.vote.voted_for
        self.leader = groups.NOBODY
        self.log = records.RecordLog(stored.base, stored.records)
        self.snapshot = stored.snapshot
        self.catalogue = catalogue.Catalogue()
        self.catalogue.restore(stored.snapshot.state)
        self.commit_index = stored.snapshot.index
        self.applied_index = stored.snapshot.index
        # The local log is durable up to this index.
        self.synced_index = self.log.last_index
        # Whether the disk takes writes; ``write_failures.py`` explains what
        # the replica does without them.
        self.can_write = True
        # When the planned stop of this process began, and whether a leader has
        # received a reply that tells of it.
        self.stop_began_ms: int | None = None
        self.stop_acknowledged = False
        self.started_ms = now
        # After a restart, it is not known whether a message from a leader
        # arrived recently, and that leader's lease may depend on this voter.
        # So assume that one arrived.
        self.leader_contact_ms = now
        # The last leader, also while no leader is known.
        self.last_leader = groups.NOBODY
        # Whether this replica has led or received a leader's message since
        # its start.
        self.had_leader = False
        # When a majority last confirmed the state that this replica applied.
        self.confirmed_ms = LONG_AGO_MS
        # When this replica last became the leader; before that, its start.
        self.elected_ms = now
        # Voters that have answered the request for a vote or pre-vote, and
        # those among them that granted it and did not skip the wait after a
        # start. elections.py explains this wait.
        self.answered_by: set[int] = set()
        self.granted_votes: set[int] = set()
        # Voters that grant the vote, whether or not they skip that wait. The
        # votes that skip it count only if this set holds all voters.
        self.willing_voters: set[int] = set()
        # Whether all voters were willing when this replica became a
        # candidate.
        self.unopposed = False
        self.progress: dict[int, Progress] = {}
        # Members at whose addresses another data folder has answered. A
        # leader collects them during its term.
        self.replaced_members: set[int] = set()
        self.election_due_ms = now + rng.randint(
            0, timing.startup_election_timeout_ms
        )

    @property
    def group(self) -> groups.Group:
        """The current members, which the newest ``SetGroup`` record set."""
        return self.log.group

    @property
    def stopping(self) -> bool:
        """Whether the process of this replica is about to end."""
        return self.stop_began_ms is not None

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter."""
        return self.group.is_voter(self.number)

    def reset_election_timer(self, now: int) -> None:
        """Restart the election timer with a random timeout.

        Random timeouts make split votes rare. The timeout is shorter while
        the replica has just started.
        """
        timing = self.timing
        min_ms, max_ms = (
            timing.min_election_timeout_ms,
            timing.max_election_timeout_ms,
        )
        if self.is_starting(now):
            min_ms, max_ms = (
                timing.startup_election_timeout_ms,
                2 * timing.startup_election_timeout_ms,
            )
        self.election_due_ms = now + self.rng.randint(min_ms, max_ms)

    def is_starting(self, now: int) -> bool:
        """Return whether this replica has just started.

        It no longer counts as just started once it has led or heard from a
        leader, or once the minimum election timeout has passed.
        """
        if self.had_leader:
            return False
        return now - self.started_ms < self.timing.min_election_timeout_ms

    def are_all_willing(self) -> bool:
        """Return whether each voter grants its vote, with or without the wait.

        In a pre-vote, return whether each voter would grant it.
        """
        return all(
            item.number in self.willing_voters for item in self.group.voters
        )

    def build_save_vote(self) -> effects.SaveVote:
        """Return the effect that saves the current term and the vote."""
        return effects.SaveVote(self.term, self.voted_for)

    def build_stored(self) -> effects.Stored:
        """Return the whole state that has to be durable."""
        return effects.Stored(
            self.number,
            self.instance,
            self.build_save_vote(),
            self.snapshot,
            self.log.base,
            tuple(self.log.records),
        )

    def get_majority_contact_ms(self, now: int) -> int:
        """Return when the leader last sent requests that a majority answered.

        The time is in ms of the leader's clock.
        """
        contacts = {
            number: item.last_contact_ms
            for number, item in self.progress.items()
        }
        contacts[self.number] = now
        return self.group.get_majority_value(contacts, LONG_AGO_MS)

    def leads(self, now: int) -> bool:
        """Return whether this replica leads and its lease is valid.

        A new leader does not count until a record of its own term is
        committed. While the lease is valid, no other replica can lead.
        """
        if self.role.state != roles.LEADER:
            return False
        if self.log.get_term(self.commit_index) != self.term:
            return False
        return (
            now - self.get_majority_contact_ms(now)
            < self.timing.leader_lease_ms
        )

    def get_confirmed_age_ms(self, now: int) -> int:
        """Return how long ago (ms) a majority confirmed the applied state."""
        confirmed_ms = self.confirmed_ms
        if self.role.state == roles.LEADER:
            confirmed_ms = max(confirmed_ms, self.get_majority_contact_ms(now))
        return max(0, now - confirmed_ms)


def build_initial_stored(
    number: int, instance: str, group: groups.Group = groups.Group()
) -> effects.Stored:
    """Return the state that a new data folder holds."""
    return effects.Stored(
        number=number,
        instance=instance,
        vote=effects.SaveVote(0, groups.NOBODY),
        snapshot=records.Snapshot(
            0, 0, group, catalogue_records.CatalogueState()
        ),
        base=records.Base(0, 0, group),
        records=(),
    )
