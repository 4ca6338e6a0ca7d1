"""The state of one replica, and questions about it that change nothing."""

import dataclasses
import random

from gentianspoke.core import shares
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions.control.replica import roles

LONG_AGO_MS = -(10**12)


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Durations in milliseconds, the same on all members.

    Two clocks differ in speed by at most ``drift_permille``. A follower
    that heard the leader gives nobody a vote for ``election_min_ms``; so
    the leader's claim lasts for less than that by the drift. A replica that
    has just started asks the others within ``startup_election_ms``.
    """

    heartbeat_ms: int = 150
    election_min_ms: int = 1000
    election_max_ms: int = 2000
    drift_permille: int = 50
    startup_election_ms: int = 100

    @property
    def leader_lease_ms(self) -> int:
        """How long a majority's answer lets the leader claim to lead."""
        permille = shares.PERMILLE - 2 * self.drift_permille
        return self.election_min_ms * permille // shares.PERMILLE


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in records: when to compact, and what stays behind it.

    ``tolerate`` counts members.
    """

    compact_records: int = 1000
    kept_records: int = 200
    # Members whose loss the group makes good by itself; 0 for operators
    # who see to it.
    tolerate: int = 0


@dataclasses.dataclass(slots=True)
class Progress:
    """What the leader knows of one other member; times of its clock.

    ``member_since_ms`` is when the leader began to count it as a member.
    """

    next_index: int
    match_index: int = 0
    last_contact_ms: int = LONG_AGO_MS
    sent_ms: int = LONG_AGO_MS
    echo_ms: int = 0
    sent_commit_index: int = 0
    member_since_ms: int = LONG_AGO_MS


class State:
    """Everything that a replica knows, durable or not."""

    def __init__(
        self,
        stored: effects.Stored,
        timing: Timing,
        limits: Limits,
        rng: random.Random,
        now: int,
    ) -> None:
        """Begin as a follower with what was stored."""
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
        self.synced_index = self.log.last_index
        self.started_ms = now
        # A restart forgets whether a leader was heard a moment ago, and
        # the leader's claim rests on that: begin as if one was.
        self.leader_contact_ms = now
        # Whether a leader was heard, or this replica led, since the start.
        self.had_leader = False
        self.confirmed_ms = LONG_AGO_MS
        self.elected_ms = now
        self.answered: set[int] = set()
        self.votes: set[int] = set()
        # Members that would vote for this one, or have, if all others do.
        self.willing: set[int] = set()
        # Whether all were willing when this one began to campaign.
        self.unopposed = False
        self.progress: dict[int, Progress] = {}
        # Members in whose place another folder answered this leader.
        self.replaced_members: set[int] = set()
        self.election_due_ms = now + rng.randint(0, timing.startup_election_ms)

    @property
    def group(self) -> groups.Group:
        """The members in force: those of the newest record about them."""
        return self.log.group

    @property
    def is_voter(self) -> bool:
        """Whether this member votes."""
        return self.group.is_voter(self.number)

    def reset_election_timer(self, now: int) -> None:
        """Choose anew when to miss the leader, at random against ties."""
        timing = self.timing
        min_ms, max_ms = timing.election_min_ms, timing.election_max_ms
        if self.is_starting(now):
            min_ms, max_ms = (
                timing.startup_election_ms,
                2 * timing.startup_election_ms,
            )
        self.election_due_ms = now + self.rng.randint(min_ms, max_ms)

    def is_starting(self, now: int) -> bool:
        """Return whether this replica has just started without a leader."""
        if self.had_leader:
            return False
        return now - self.started_ms < self.timing.election_min_ms

    def are_all_willing(self) -> bool:
        """Return whether every voter is willing to vote for this one."""
        return all(item.number in self.willing for item in self.group.voters)

    def vote(self) -> effects.SaveVote:
        """Return what is durable of terms and votes."""
        return effects.SaveVote(self.term, self.voted_for)

    def stored(self) -> effects.Stored:
        """Return all that has to be durable."""
        return effects.Stored(
            self.number,
            self.instance,
            self.vote(),
            self.snapshot,
            self.log.base,
            tuple(self.log.records),
        )

    def majority_contact_ms(self, now: int) -> int:
        """Return when the requests were sent that a majority answered."""
        contacts = {
            number: item.last_contact_ms
            for number, item in self.progress.items()
        }
        contacts[self.number] = now
        return self.group.majority_value(contacts, LONG_AGO_MS)

    def leads(self, now: int) -> bool:
        """Return whether this replica leads and no other one can."""
        if self.role.state != roles.LEADER:
            return False
        if self.log.term_at(self.commit_index) != self.term:
            return False
        return (
            now - self.majority_contact_ms(now) < self.timing.leader_lease_ms
        )

    def confirmed_age_ms(self, now: int) -> int:
        """Return how long ago a majority confirmed what this one knows."""
        confirmed_ms = self.confirmed_ms
        if self.role.state == roles.LEADER:
            confirmed_ms = max(confirmed_ms, self.majority_contact_ms(now))
        return max(0, now - confirmed_ms)


def initial_stored(
    number: int, instance: str, group: groups.Group = groups.Group()
) -> effects.Stored:
    """Return what a new folder holds."""
    return effects.Stored(
        number=number,
        instance=instance,
        vote=effects.SaveVote(0, groups.NOBODY),
        snapshot=records.Snapshot(0, 0, group, catalogue.CatalogueState()),
        base=records.Base(0, 0, group),
        records=(),
    )
