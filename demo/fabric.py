"""A simulated network fabric between callers, entries and agents.

The fabric sends each packet of a caller to a random entry that is ready. It
loses, duplicates and reorders packets as :mod:`demo.faults` decides.
"""

import asyncio
import random

import h11

from demo import faults
from gentianspoke.codec import ip
from gentianspoke.core import packets
from gentianspoke import errors
from gentianspoke.net import datagrams
from gentianspoke.net import pages

PROBE_INTERVAL_S = 0.1
Address = tuple[str, int]


class Fabric:
    """Forwards packets between the callers, the entries and the agents."""

    def __init__(
        self,
        sock: datagrams.DatagramSocket,
        entries: dict[Address, Address],
        callers: Address,
        service_addresses: set[bytes],
        rng: random.Random,
        fault_injector: faults.FaultInjector,
    ) -> None:
        """Store the addresses of the peers of the fabric.

        ``entries`` maps the address on which each entry listens to the
        address of its readiness page. ``service_addresses`` are the IP
        addresses of the services.
        """
        self._sock = sock
        self._entries = entries
        self._callers = callers
        self._service_addresses = service_addresses
        self._rng = rng
        self._faults = fault_injector
        self._ready_entries: list[Address] = []
        # Flows whose answers are dropped, as by a network device that lost
        # its state for the flow.
        self.blackholed_flows: set[packets.FlowKey] = set()

    async def probe_entries(self) -> None:
        """Update the list of ready entries periodically until cancelled."""
        while True:
            probes = [
                _is_ready(page_address)
                for page_address in self._entries.values()
            ]
            answers = await asyncio.gather(*probes)
            self._ready_entries = [
                entry
                for entry, ready in zip(self._entries, answers, strict=True)
                if ready
            ]
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def forward_packets(self) -> None:
        """Receive and forward packets until cancelled."""
        while True:
            for raw, _ in await self._sock.receive_burst():
                self._forward_with_faults(raw)

    def count_ready_entries(self) -> int:
        """Return the number of entries that are ready."""
        return len(self._ready_entries)

    def _forward_with_faults(self, raw: bytes) -> None:
        try:
            packet = ip.parse(raw)
        except errors.PacketError:
            # Packets that are not TCP or UDP are ICMP messages to callers.
            self._sock.send(raw, self._callers)
            return
        loop = asyncio.get_running_loop()
        goes_to_service = (
            packets.get_service_address(packet.key) in self._service_addresses
        )
        if not goes_to_service and self._is_blackholed(raw):
            return
        is_opening = (
            goes_to_service
            and isinstance(packet, packets.Segment)
            and packets.is_opening(packet)
        )
        for delay_s in self._faults.draw_copy_delays(is_opening):
            if delay_s:
                loop.call_later(delay_s, self._forward, raw, goes_to_service)
            else:
                self._forward(raw, goes_to_service)

    def _is_blackholed(self, raw: bytes) -> bool:
        if not self.blackholed_flows:
            return False
        return ip.parse(raw, reply=True).key in self.blackholed_flows

    def _forward(self, raw: bytes, goes_to_service: bool) -> None:
        if not goes_to_service:
            self._sock.send(raw, self._callers)
        elif self._ready_entries:
            self._sock.send(raw, self._rng.choice(self._ready_entries))


async def _is_ready(page_address: Address) -> bool:
    try:
        status, _ = await pages.fetch_page(page_address, '/ready')
    except (OSError, TimeoutError, h11.RemoteProtocolError):
        return False
    return status == 200
