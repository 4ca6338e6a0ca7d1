"""Conversion of durations and addresses to text and back."""

import ipaddress

UNITS_MS = {'ms': 1, 's': 1_000, 'm': 60_000, 'h': 3_600_000}
MAX_PORT = 65_535

Address = tuple[str, int]


def parse_duration_ms(text: str) -> int:
    """Return a duration such as ``250ms`` or ``3s`` in milliseconds.

    Raises ``ValueError`` with a message that says how to write a duration.
    """
    for unit in sorted(UNITS_MS, key=len, reverse=True):
        digits = text.removesuffix(unit)
        if digits != text and digits.isdecimal():
            return int(digits) * UNITS_MS[unit]
    raise ValueError(
        f'{text!r} is not a duration; write a whole number with its unit, ms,'
        ' s, m or h, such as 250ms'
    )


def format_duration(duration_ms: int) -> str:
    """Return a duration in the largest unit that divides it, as in ``3s``."""
    for unit, unit_ms in sorted(
        UNITS_MS.items(), key=lambda item: item[1], reverse=True
    ):
        if duration_ms and duration_ms % unit_ms == 0:
            return f'{duration_ms // unit_ms}{unit}'
    return f'{duration_ms}ms'


def parse_address(text: str) -> Address:
    """Return the host and port of an address such as ``127.0.0.1:7000``.

    Raises ``ValueError`` with a message that says how to write an address.
    """
    host, _, digits = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    try:
        ipaddress.ip_address(host)
        port = int(digits)
    except ValueError as exc:
        raise ValueError(
            f'{text!r} is not an address; write an IP address and a port,'
            ' such as 127.0.0.1:7000'
        ) from exc
    check_address((host, port))
    return host, port


def check_address(address: Address) -> None:
    """Check that an address is an IP address with a port that exists.

    Raises ``ValueError`` with a message that says what is wrong.
    """
    host, port = address
    ipaddress.ip_address(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError(
            f'port {port} does not exist; use one from 1 to {MAX_PORT}'
        )


def format_address(address: Address) -> str:
    """Return an address as text that :func:`parse_address` can parse."""
    host, port = address
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
