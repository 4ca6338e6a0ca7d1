"""Define the options and helpers that the catalogue's subcommands share."""

import getpass
import os
import typing

import cappa

from gentianspoke.config import key_file
from gentianspoke.config import units
from gentianspoke.core import services
from gentianspoke import errors
from gentianspoke.shells import catalogue_client

UNKNOWN_OPERATOR = 'unknown'

Control = typing.Annotated[
    str,
    cappa.Arg(
        long='--control',
        default=cappa.Env('GENTIANSPOKE_CONTROL'),
        help='Addresses of control instances, separated by commas.',
    ),
]
KeyFile = typing.Annotated[
    str,
    cappa.Arg(
        long='--key-file',
        default=cappa.Env('GENTIANSPOKE_KEY_FILE'),
        help='File that holds the shared keys of the deployment.',
    ),
]
IdempotencyKey = typing.Annotated[
    str,
    cappa.Arg(
        long='--key',
        help='Idempotency key of an earlier request that is sent again.',
    ),
]
Wait = typing.Annotated[
    bool,
    cappa.Arg(
        long='--wait', help='Wait until all consumers use the new version.'
    ),
]
Timeout = typing.Annotated[
    str, cappa.Arg(long='--timeout', help='Maximum wait, such as 20s.')
]
AsJson = typing.Annotated[bool, cappa.Arg(long='--json', help='Print JSON.')]


def create_client(
    control: str, key_path: str
) -> catalogue_client.CatalogueClient:
    """Return a client of the control instances at the given addresses.

    ``control`` holds addresses separated by commas, and ``key_path`` names
    the file of the shared keys that authenticate the client.

    Raises :class:`gentianspoke.errors.SettingsError` if an address or the
    key file is not valid.
    """
    try:
        addresses = tuple(map(units.parse_address, control.split(',')))
    except ValueError as exc:
        raise errors.SettingsError(
            'command line', '--control', str(exc)
        ) from exc
    key_ring = key_file.load(key_path)
    return catalogue_client.CatalogueClient(addresses, key_ring)


def parse_timeout_ms(text: str) -> int:
    """Return the value of ``--timeout`` in milliseconds.

    Raises :class:`gentianspoke.errors.SettingsError` if it is not a
    duration.
    """
    try:
        return units.parse_duration_ms(text)
    except ValueError as exc:
        raise errors.SettingsError(
            'command line', '--timeout', str(exc)
        ) from exc


def find_operator_name() -> str:
    """Return the name of the user who runs the command, for the history."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return os.environ.get('LOGNAME', UNKNOWN_OPERATOR)


def find_entry(
    listing: catalogue_client.Listing, name: str
) -> services.Service:
    """Return the entry called ``name``.

    Raises :class:`gentianspoke.errors.ControlError` if there is none.
    """
    entry = listing.entries.get(name)
    if entry is None:
        raise build_not_found_error(name)
    return entry


def build_not_found_error(name: str) -> errors.ControlError:
    """Return the error to raise if no entry is called ``name``."""
    return errors.ControlError(
        f'{name}: no such entry; check the name with "catalogue list"'
    )
