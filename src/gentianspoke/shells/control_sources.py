"""Addresses of control instances, from settings and from other processes."""

from gentianspoke.config import units
from gentianspoke.core import known_groups


class Sources:
    """The known addresses of control instances, for all tasks of a process.

    ``known_group`` is the newest group that a control instance reported.
    """

    def __init__(self, addresses: tuple[units.Address, ...]) -> None:
        """Start with the addresses from the settings."""
        self._configured_addresses = addresses
        self._learned_addresses: tuple[units.Address, ...] = ()
        self.known_group = known_groups.KnownGroup()

    def configure(self, addresses: tuple[units.Address, ...]) -> None:
        """Replace the configured addresses after the settings changed."""
        self._configured_addresses = addresses

    def store_reported(self, reported: known_groups.KnownGroup) -> None:
        """Store the group that a control instance reported, unless older."""
        self.known_group = known_groups.choose_newer(
            self.known_group, reported
        )
        self._learned_addresses = tuple(
            map(units.parse_address, self.known_group.addresses)
        )

    def list_configured(self) -> list[units.Address]:
        """Return the configured addresses without repetitions."""
        return list(dict.fromkeys(self._configured_addresses))

    def list_addresses(self) -> list[units.Address]:
        """Return all known addresses, with the configured ones first."""
        return list(
            dict.fromkeys(
                (*self._configured_addresses, *self._learned_addresses)
            )
        )
