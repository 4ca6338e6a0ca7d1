"""What the control services need of the log behind the catalogue."""

import typing

from gentianspoke.decisions.control import catalogue as edits


class CatalogueLog(typing.Protocol):
    """A log of catalogue requests, with or without replicas.

    ``catalogue`` holds what a majority has accepted and this instance has
    applied. ``term`` grows with each leader. ``leader`` is the address of
    the leader as "host:port", empty where none is known.
    """

    catalogue: edits.Catalogue

    @property
    def term(self) -> int:
        """The newest term that this instance knows."""

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads and a majority follows it now."""

    @property
    def in_group(self) -> bool:
        """Whether this instance knows the members of its group."""

    @property
    def leader(self) -> str:
        """Address of the leader, empty where none is known."""

    def addresses(self) -> list[str]:
        """Return the addresses of all members as "host:port"."""

    async def submit(self, request: edits.Request) -> edits.Answer:
        """Return the answer to a request once a majority has synced it.

        Raises :class:`gentianspoke.errors.NotLeaderError` where another
        instance leads, and :class:`gentianspoke.errors.ControlError`
        where the outcome is not known within the time limit.
        """

    async def wait_applied(self, version: int) -> None:
        """Return once the catalogue is newer than ``version``."""

    def confirmed_age_ms(self) -> int:
        """Return how long ago a majority confirmed this instance."""
