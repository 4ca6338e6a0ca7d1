"""A catalogue log that is not replicated, for tests."""

import asyncio

from gentianspoke.core import known_groups
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control import catalogue_records


class LocalLog:
    """A catalogue in memory, to which each request is applied at once."""

    def __init__(self) -> None:
        """Start with an empty catalogue, as the leader of term 1."""
        self.catalogue = catalogue.Catalogue()
        self.term = 1
        self.is_leader = True
        self.knows_group = True
        # The leader's address. Tests that redirect requests set it.
        self.leader = ''
        self.member_addresses: tuple[str, ...] = ()
        self._applied = asyncio.Condition()

    async def submit(
        self, request: catalogue_records.Request
    ) -> catalogue_records.Answer:
        """Apply a request and return its answer."""
        answer = self.catalogue.apply(request)
        async with self._applied:
            self._applied.notify_all()
        return answer

    async def wait_for_newer(self, version: int) -> None:
        """Return once the catalogue is newer than ``version``."""
        async with self._applied:
            await self._applied.wait_for(
                lambda: self.catalogue.version > version
            )

    def get_confirmed_age_ms(self) -> int:
        """Return 0, since no majority has to confirm the state."""
        return 0

    def describe_group(self) -> known_groups.KnownGroup:
        """Return a group without members, which names the leader."""
        return known_groups.KnownGroup(self.member_addresses, self.leader)
