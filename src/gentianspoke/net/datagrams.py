"""UDP sockets for tasks that are written straight down."""

import asyncio
import collections.abc
import contextlib
import socket

from gentianspoke.config import units

LARGEST_DATAGRAM_BYTES = 65_535
BURST_PACKETS = 64
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024

Received = tuple[bytes, units.Address]


class DatagramSocket:
    """A UDP socket that one task reads in bursts."""

    def __init__(self, sock: socket.socket) -> None:
        """Own a bound, non-blocking socket."""
        self._sock = sock
        self.unsent = 0

    @property
    def address(self) -> units.Address:
        """The address that the socket is bound to."""
        name = self._sock.getsockname()
        return name[0], name[1]

    async def receive_burst(self) -> list[Received]:
        """Wait for a datagram; return it and those already queued.

        At most ``BURST_PACKETS`` are returned, so that other tasks run
        between bursts.
        """
        loop = asyncio.get_running_loop()
        first, sender = await loop.sock_recvfrom(
            self._sock, LARGEST_DATAGRAM_BYTES
        )
        burst = [(first, sender[:2])]
        receive = self._sock.recvfrom
        try:
            while len(burst) < BURST_PACKETS:
                data, sender = receive(LARGEST_DATAGRAM_BYTES)
                burst.append((data, sender[:2]))
        except (BlockingIOError, ConnectionRefusedError):
            pass
        return burst

    def send(self, data: bytes, address: units.Address) -> None:
        """Send a datagram; one that the system cannot take is counted."""
        try:
            self._sock.sendto(data, address)
        except OSError:
            # UDP may lose any packet; a full queue or a closed port is a
            # loss like any other, and the caller's TCP sends again.
            self.unsent += 1


@contextlib.contextmanager
def open_datagrams(
    address: units.Address,
) -> collections.abc.Iterator[DatagramSocket]:
    """Open a UDP socket bound to ``address`` and close it at the end."""
    host, port = address
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.bind((host, port))
        yield DatagramSocket(sock)
