"""The members that replicate the log, and majorities of them."""

import dataclasses

# The number that stands for no member: no vote given, or no leader known.
NOBODY = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One member of a group.

    ``number`` identifies its data folder. A new data folder has a new
    number, so an instance whose folder was emptied is not mistaken for the
    member that it was before. ``address`` is "host:port". A member that is
    not a voter is a learner: it receives the log but counts in no majority.
    """

    number: int
    instance: str
    address: str
    voter: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """All members of a group.

    It is empty on an instance that waits for its group to form, or that
    waits to be added to a group.
    """

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[Member, ...]:
        """The members that vote."""
        return tuple(item for item in self.members if item.voter)

    @property
    def quorum(self) -> int:
        """The least number of voters that is a majority."""
        return len(self.voters) // 2 + 1

    def find(self, number: int) -> Member | None:
        """Return the member with the given number, ``None`` if none."""
        for member in self.members:
            if member.number == number:
                return member
        return None

    def find_instance(self, instance: str) -> Member | None:
        """Return the member with the given instance name, ``None`` if none."""
        for member in self.members:
            if member.instance == instance:
                return member
        return None

    def is_voter(self, number: int) -> bool:
        """Return whether the member with the given number is a voter."""
        member = self.find(number)
        return member is not None and member.voter

    def get_others(self, number: int) -> tuple[Member, ...]:
        """Return all members but the one with the given number."""
        return tuple(item for item in self.members if item.number != number)

    def is_majority(self, numbers: set[int]) -> bool:
        """Return whether the voters among ``numbers`` are a majority."""
        if not self.voters:
            return False
        voter_count = sum(item.number in numbers for item in self.voters)
        return voter_count >= self.quorum

    def get_majority_value(self, values: dict[int, int], default: int) -> int:
        """Return the greatest value that a majority has reached.

        ``values`` maps members' numbers to their values. ``default`` is
        the value of voters that ``values`` lacks, and the result for a group
        without voters.
        """
        if not self.voters:
            return default
        voter_values = [
            values.get(item.number, default) for item in self.voters
        ]
        voter_values.sort(reverse=True)
        return voter_values[self.quorum - 1]
