"""Addresses of control instances, from settings and from the feed."""

import collections.abc

from gentianspoke.config import units


class Sources:
    """The known addresses of control instances, for all tasks of a process.

    ``leader`` is the address of the last known leader, or ``None``.
    """

    def __init__(self, addresses: tuple[units.Address, ...]) -> None:
        """Start with the addresses from the settings."""
        self._configured_addresses = addresses
        self._learned_addresses: tuple[units.Address, ...] = ()
        self.leader: units.Address | None = None

    def configure(self, addresses: tuple[units.Address, ...]) -> None:
        """Replace the configured addresses after the settings changed."""
        self._configured_addresses = addresses

    def store_reported(
        self, reported_addresses: collections.abc.Iterable[str], leader: str
    ) -> None:
        """Store the addresses of the group that a control instance reported.

        Each address is a "host:port" text. An empty ``leader`` means that
        the instance knows no leader; the last known leader is kept.
        """
        self._learned_addresses = tuple(
            units.parse_address(address) for address in reported_addresses
        )
        if leader:
            self.leader = units.parse_address(leader)

    def list_addresses(self) -> list[units.Address]:
        """Return all known addresses, with the configured ones first."""
        return list(
            dict.fromkeys(
                (*self._configured_addresses, *self._learned_addresses)
            )
        )
