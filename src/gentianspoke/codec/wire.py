"""What the shells need of an encoding of callers' packets.

The module :mod:`gentianspoke.codec.ip` is one; a front end with another
encoding brings its own.
"""

import typing

from gentianspoke.config import units
from gentianspoke.core import packets


class PacketCodec(typing.Protocol):
    """Between the bytes of packets and data classes."""

    def parse(self, raw: bytes, *, reply: bool = False) -> packets.Packet:
        """Return what the decisions need to know of a packet.

        ``reply`` tells that it comes from the upstream. Raises
        :class:`gentianspoke.errors.PacketError`.
        """

    def reset_for(self, packet: packets.Packet) -> bytes:
        """Return the packet that refuses an opening as not run."""

    def reset_to_caller(
        self, key: packets.FlowKey, seq: int, ack: int
    ) -> bytes:
        """Return a reset of the caller's side of a flow."""

    def reset_to_upstream(
        self, key: packets.FlowKey, seq: int, ack: int
    ) -> bytes:
        """Return a reset of the upstream's side of a flow."""

    def destination(self, raw: bytes) -> units.Address | None:
        """Return where a packet to a caller goes, ``None`` for the fabric."""
