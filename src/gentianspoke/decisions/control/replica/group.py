"""The members that keep the log, and their majorities."""

import dataclasses

NOBODY = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One member; ``number`` is that of its data folder.

    ``address`` is "host:port". A member that is no voter is a learner: it
    gets the log but takes no part in any majority.
    """

    number: int
    instance: str
    address: str
    voter: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """All members; empty where an instance waits to be added."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[Member, ...]:
        """The members that vote."""
        return tuple(item for item in self.members if item.voter)

    @property
    def quorum(self) -> int:
        """How many voters are a majority."""
        return len(self.voters) // 2 + 1

    def find(self, number: int) -> Member | None:
        """Return the member with a number."""
        for member in self.members:
            if member.number == number:
                return member
        return None

    def find_instance(self, instance: str) -> Member | None:
        """Return the member with a name."""
        for member in self.members:
            if member.instance == instance:
                return member
        return None

    def is_voter(self, number: int) -> bool:
        """Return whether a member votes."""
        member = self.find(number)
        return member is not None and member.voter

    def others(self, number: int) -> tuple[Member, ...]:
        """Return all members but one."""
        return tuple(item for item in self.members if item.number != number)

    def is_majority(self, numbers: set[int]) -> bool:
        """Return whether the voters among ``numbers`` are a majority."""
        if not self.voters:
            return False
        agreed = sum(item.number in numbers for item in self.voters)
        return agreed >= self.quorum

    def majority_value(self, values: dict[int, int], absent: int) -> int:
        """Return the greatest value that a majority has reached."""
        if not self.voters:
            return absent
        reached = [values.get(item.number, absent) for item in self.voters]
        reached.sort(reverse=True)
        return reached[self.quorum - 1]
