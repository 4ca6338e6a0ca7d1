"""Conversion of the known control group to protobuf and back."""

import collections.abc

from gentianspoke.config import units
from gentianspoke.core import known_groups
from gentianspoke import errors
from gentianspoke.generated import discovery_pb2


def encode_known_group(
    group: known_groups.KnownGroup,
) -> discovery_pb2.KnownGroup:
    """Return a known group as a protobuf message."""
    return discovery_pb2.KnownGroup(
        addresses=group.addresses, leader=group.leader, version=group.version
    )


def decode_known_group(
    addresses: collections.abc.Iterable[str], leader: str, version: int
) -> known_groups.KnownGroup:
    """Return the known group that a message reports.

    ``addresses`` and ``leader`` are "host:port" texts; ``leader`` is empty if
    no leader is known. Raises :class:`gentianspoke.errors.ControlError` if one
    of them is not valid.
    """
    group = known_groups.KnownGroup(tuple(addresses), leader, version)
    try:
        for text in (*group.addresses, *filter(None, [leader])):
            units.parse_address(text)
    except ValueError as exc:
        raise errors.ControlError(
            f'an address of the control group is not valid ({exc}); run the'
            ' same version on all control instances'
        ) from exc
    return group
