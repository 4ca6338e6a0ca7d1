"""Where control is found: by the settings, and as control tells itself."""

import collections.abc

from gentianspoke.config import units


class Sources:
    """Addresses of control instances, for all tasks of one process."""

    def __init__(self, configured: tuple[units.Address, ...]) -> None:
        """Begin with the addresses of the settings."""
        self._configured = configured
        self._learned: tuple[units.Address, ...] = ()
        self.leader: units.Address | None = None

    def configure(self, configured: tuple[units.Address, ...]) -> None:
        """Take the addresses of changed settings."""
        self._configured = configured

    def learn(
        self, reported: collections.abc.Iterable[str], leader: str
    ) -> None:
        """Take what a control instance tells of its group.

        Addresses are "host:port"; an empty ``leader`` is no news.
        """
        self._learned = tuple(units.host_port(item) for item in reported)
        if leader:
            self.leader = units.host_port(leader)

    def addresses(self) -> list[units.Address]:
        """Return all known addresses, those of the settings first."""
        return list(dict.fromkeys((*self._configured, *self._learned)))
