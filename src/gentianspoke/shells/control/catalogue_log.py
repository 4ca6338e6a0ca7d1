"""The interface of the catalogue log that the control services use."""

import typing

from gentianspoke.core import known_groups
from gentianspoke.decisions.control import catalogue as catalogues
from gentianspoke.decisions.control import catalogue_records


class CatalogueLog(typing.Protocol):
    """The interface of a log of catalogue requests, replicated or not.

    ``catalogue`` is the result of all requests that are committed and that
    this instance has applied. ``term`` increases with each election.
    ``leader`` is the address of the leader as "host:port", empty if no
    leader is known.
    """

    catalogue: catalogues.Catalogue

    @property
    def term(self) -> int:
        """The newest term that this instance knows."""

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads and a majority confirms it now."""

    @property
    def knows_group(self) -> bool:
        """Whether this instance knows the members of its group."""

    @property
    def leader(self) -> str:
        """Address of the leader as "host:port", empty if none is known."""

    def describe_group(self) -> known_groups.KnownGroup:
        """Return the addresses of the members and of the leader."""

    async def submit(
        self, request: catalogue_records.Request
    ) -> catalogue_records.Answer:
        """Return the answer to a request once it is durable on a majority.

        Raises :class:`gentianspoke.errors.NotLeaderError` if this instance
        does not lead, and :class:`gentianspoke.errors.ControlError` if the
        outcome is not known within the time limit.
        """

    async def wait_for_newer(self, version: int) -> None:
        """Return once the catalogue is newer than ``version``."""

    def get_confirmed_age_ms(self) -> int:
        """Return the ms since a majority last confirmed this instance."""
