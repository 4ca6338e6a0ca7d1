"""The members that replicate the log, and majorities of them."""

import dataclasses

# The number that stands for no member: no vote given, or no leader known.
NOBODY = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One member of a group; ``number`` is that of its data folder.

    ``address`` is "host:port". A member that is not a voter is a learner: it
    receives the log but counts in no majority.
    """

    number: int
    instance: str
    address: str
    voter: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """All members of a group.

    It is empty on an instance that waits to be added to a group.
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
        agreed = sum(item.number in numbers for item in self.voters)
        return agreed >= self.quorum

    def get_majority_value(self, values: dict[int, int], absent: int) -> int:
        """Return the greatest value that a majority has reached.

        ``values`` maps members' numbers to their values. ``absent`` is
        the value of voters that ``values`` lacks, and the result for a group
        without voters.
        """
        if not self.voters:
            return absent
        reached = [values.get(item.number, absent) for item in self.voters]
        reached.sort(reverse=True)
        return reached[self.quorum - 1]
