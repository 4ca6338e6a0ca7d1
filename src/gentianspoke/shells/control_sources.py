"""Addresses of control instances, from settings and from the feed."""

import collections.abc

from gentianspoke.config import units


class Sources:
    """Known addresses of control instances, shared by a process's tasks."""

    def __init__(self, configured: tuple[units.Address, ...]) -> None:
        """Start with the addresses from the settings."""
        self._configured = configured
        self._learned: tuple[units.Address, ...] = ()
        self.leader: units.Address | None = None

    def configure(self, configured: tuple[units.Address, ...]) -> None:
        """Replace the configured addresses after the settings changed."""
        self._configured = configured

    def store_reported(
        self, reported: collections.abc.Iterable[str], leader: str
    ) -> None:
        """Store the group's addresses that a control instance reported.

        The addresses are "host:port" texts. An empty ``leader`` means that
        the instance knows no leader; the last known leader is kept.
        """
        self._learned = tuple(units.host_port(item) for item in reported)
        if leader:
            self.leader = units.host_port(leader)

    def addresses(self) -> list[units.Address]:
        """Return all known addresses, with the configured ones first."""
        return list(dict.fromkeys((*self._configured, *self._learned)))
