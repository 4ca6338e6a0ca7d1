"""Sends datagrams, paced to the rate of the link if it is slow."""

import asyncio

from gentianspoke import clock
from gentianspoke.decisions import pacing
from gentianspoke.net import datagrams

# Minimum sleep between two bursts, because a wake-up costs more than sending a
# datagram.
MIN_SLEEP_MS = 5


class Link:
    """Sends datagrams at once, or as the pacer permits if the link is slow."""

    def __init__(
        self,
        sock: datagrams.DatagramSocket,
        process_clock: clock.Clock,
        link_kbps: int,
    ) -> None:
        """Send through ``sock``.

        ``link_kbps`` is the rate of the link in kilobits per second, 0 if it
        is unknown. Datagrams are paced if ``pacing.needs_pacing`` returns
        true for this rate.
        """
        self._sock = sock
        self._clock = process_clock
        self._pacer: pacing.Pacer | None = None
        if pacing.needs_pacing(link_kbps):
            self._pacer = pacing.Pacer(link_kbps, process_clock.now())
        self._datagram_queued = asyncio.Event()

    def send(self, datagram: pacing.OutgoingDatagram) -> bool:
        """Send or queue a datagram; return ``False`` if it was dropped.

        Queued datagrams wait for the next call of :meth:`send_due`. Those
        that are not due then are sent by :meth:`send_queued`.
        """
        if self._pacer is None:
            self._sock.send(datagram.data, (datagram.host, datagram.port))
            return True
        return self._pacer.add(datagram)

    def send_due(self) -> None:
        """Send the queued datagrams that the pacer permits now."""
        if self._pacer is None:
            return
        for datagram in self._pacer.pop_due(self._clock.now()):
            self._sock.send(datagram.data, (datagram.host, datagram.port))
        if self._pacer.get_wait_ms() is not None:
            self._datagram_queued.set()

    async def send_queued(self) -> None:
        """Send queued datagrams at the link's rate until cancelled."""
        while True:
            await self._datagram_queued.wait()
            self._datagram_queued.clear()
            wait_ms = self._pacer.get_wait_ms() if self._pacer else None
            sleep_ms = max(MIN_SLEEP_MS, wait_ms or 0)
            await asyncio.sleep(sleep_ms / clock.MS_PER_S)
            self.send_due()
