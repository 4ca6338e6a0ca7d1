"""Inject network faults into the TCP connections to one address."""

import asyncio
import collections.abc
import contextlib
import dataclasses

READ_BYTES = 65_536
Address = tuple[str, int]


@dataclasses.dataclass(slots=True, eq=False)
class ProxiedConnection:
    """One connection through the proxy.

    ``client_writer`` sends to the client that connected to the proxy, and
    ``target_writer`` to the proxied address. The bytes of a connection with
    ``is_silent`` are dropped in both directions.
    """

    client_writer: asyncio.StreamWriter
    target_writer: asyncio.StreamWriter
    is_silent: bool = False


class Proxy:
    """A TCP proxy that can drop and delay bytes and reset connections.

    ``lost_direction`` is the direction in which bytes are dropped: ``to``
    or ``from`` the target, or empty for none. ``delay_s`` is the delay of
    bytes in both directions, in seconds.
    """

    def __init__(self, address: Address) -> None:
        """Store the address on which :meth:`run` will listen."""
        self.address = address
        self.lost_direction = ''
        self.delay_s = 0.0
        self.forwarded_bytes = 0
        self.dropped_bytes = 0
        self.delayed_bytes = 0
        self._connections: set[ProxiedConnection] = set()

    def silence(self) -> int:
        """Drop all further bytes of the connections that are open now.

        Return the number of these connections.
        """
        for connection in self._connections:
            connection.is_silent = True
        return len(self._connections)

    def reset(self) -> int:
        """Abort all open connections and return their number."""
        for connection in self._connections:
            connection.client_writer.transport.abort()
            connection.target_writer.transport.abort()
        return len(self._connections)

    @contextlib.asynccontextmanager
    async def run(
        self, target: Address
    ) -> collections.abc.AsyncIterator[None]:
        """Relay connections to ``target`` during the context."""

        async def relay_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.closing(writer):
                try:
                    target_reader, target_writer = (
                        await asyncio.open_connection(*target)
                    )
                except OSError:
                    # Nothing listens at the target. A reset shows this to the
                    # client, which would otherwise wait for an answer.
                    writer.transport.abort()
                    return
                with contextlib.closing(target_writer):
                    connection = ProxiedConnection(writer, target_writer)
                    await self._relay_both_directions(
                        reader, target_reader, connection
                    )

        server = await asyncio.start_server(relay_connection, *self.address)
        try:
            yield
        finally:
            server.close()
            self.reset()

    async def _relay_both_directions(
        self,
        reader: asyncio.StreamReader,
        target_reader: asyncio.StreamReader,
        connection: ProxiedConnection,
    ) -> None:
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._relay(
                    reader, connection.target_writer, 'to', connection
                ),
                self._relay(
                    target_reader, connection.client_writer, 'from', connection
                ),
            )
        finally:
            self._connections.discard(connection)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
        connection: ProxiedConnection,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(READ_BYTES):
                if connection.is_silent or self.lost_direction == direction:
                    self.dropped_bytes += len(chunk)
                    continue
                if self.delay_s:
                    self.delayed_bytes += len(chunk)
                    await asyncio.sleep(self.delay_s)
                self.forwarded_bytes += len(chunk)
                writer.write(chunk)
        # A silent connection must not carry the FIN that closing sends.
        if not connection.is_silent:
            writer.close()
