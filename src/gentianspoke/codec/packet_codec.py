"""The interface of the modules that encode and decode callers' packets.

The module :mod:`gentianspoke.codec.ip` implements it for IP packets. A
front end with another packet format provides its own implementation.
"""

import typing

from gentianspoke.config import units
from gentianspoke.core import packets


class PacketCodec(typing.Protocol):
    """Parses packets into data classes and builds replies to them."""

    def parse(self, raw: bytes, *, reply: bool = False) -> packets.Packet:
        """Return the parsed fields of a packet.

        ``reply`` is true if the packet comes from the upstream. Raises
        :class:`gentianspoke.errors.PacketError` if the packet is malformed
        or of an unsupported kind.
        """

    def make_refusal(self, packet: packets.Packet) -> bytes:
        """Return the packet that tells the caller that ``packet`` is refused.

        The returned packet also tells the caller that the upstream has not
        run its request.
        """

    def make_reset_to_caller(
        self, key: packets.FlowKey, seq: int, ack: int
    ) -> bytes:
        """Return the packet that resets a flow on the caller's side.

        ``seq`` and ``ack`` are the numbers that the reset carries if its
        format has fields for them.
        """

    def make_reset_to_upstream(
        self, key: packets.FlowKey, seq: int, ack: int
    ) -> bytes:
        """Return the packet that resets a flow on the upstream's side.

        ``seq`` and ``ack`` are the numbers that the reset carries if its
        format has fields for them.
        """

    def find_next_hop(self, raw: bytes) -> units.Address | None:
        """Return the next hop of a packet for a caller, or ``None``.

        ``None`` means that the packet is sent to the fabric.
        """
