"""UDP sockets from which a task receives datagrams with ``await``."""

import asyncio
import collections.abc
import contextlib
import socket

from gentianspoke.config import units

MAX_DATAGRAM_BYTES = 65_535
MAX_BURST_DATAGRAMS = 64
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024

ReceivedDatagram = tuple[bytes, units.Address]


class DatagramSocket:
    """A UDP socket from which one task receives datagrams in bursts.

    ``unsent_count`` is the number of datagrams that the operating system
    refused to send.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Use a bound, non-blocking socket."""
        self._sock = sock
        self._readable_future: asyncio.Future[None] | None = None
        self._is_registered = False
        self.unsent_count = 0

    @property
    def address(self) -> units.Address:
        """Return the address to which the socket is bound."""
        name = self._sock.getsockname()
        return name[0], name[1]

    async def receive_burst(self) -> list[ReceivedDatagram]:
        """Wait for a datagram and return it with all others that are queued.

        The burst is limited to ``MAX_BURST_DATAGRAMS``, so that other tasks
        can run between bursts.
        """
        burst: list[ReceivedDatagram] = []
        while not burst:
            await self._wait_readable()
            self._receive_queued(burst)
        return burst

    async def _wait_readable(self) -> None:
        # The event loop's ``sock_recvfrom`` would register and unregister
        # the socket for each burst, which costs three more system calls.
        loop = asyncio.get_running_loop()
        if not self._is_registered:
            loop.add_reader(self._sock, self._on_readable)
            self._is_registered = True
        self._readable_future = loop.create_future()
        try:
            await self._readable_future
        except asyncio.CancelledError:
            # If no task reads the socket, a queued datagram would wake the
            # event loop again and again.
            loop.remove_reader(self._sock)
            self._is_registered = False
            raise

    def _on_readable(self) -> None:
        if (
            self._readable_future is not None
            and not self._readable_future.done()
        ):
            self._readable_future.set_result(None)

    def _receive_queued(self, burst: list[ReceivedDatagram]) -> None:
        receive = self._sock.recvfrom
        try:
            while len(burst) < MAX_BURST_DATAGRAMS:
                data, sender = receive(MAX_DATAGRAM_BYTES)
                burst.append((data, sender[:2]))
        except (BlockingIOError, ConnectionRefusedError):
            # Either no more datagrams are queued, or an earlier datagram
            # was sent to a closed port. The latter is an ordinary loss.
            return

    def send(self, data: bytes, address: units.Address) -> None:
        """Send a datagram, or count it as unsent if the system refuses it."""
        try:
            self._sock.sendto(data, address)
        except (OSError, OverflowError, ValueError):
            # The address may be one that does not exist. Apart from that,
            # UDP may lose any packet, and a full queue or a closed port is
            # one more cause of loss. If the datagram carries a TCP segment,
            # its sender retransmits it.
            self.unsent_count += 1


@contextlib.contextmanager
def open_datagrams(
    address: units.Address,
) -> collections.abc.Iterator[DatagramSocket]:
    """Yield a UDP socket bound to ``address`` and close it afterwards.

    Raises ``OSError`` if the address cannot be used.
    """
    host, port = address
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.bind((host, port))
        yield DatagramSocket(sock)
