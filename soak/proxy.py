"""A loopback proxy before one address, whose connections it can harm."""

import asyncio
import collections.abc
import contextlib
import dataclasses

READ_BYTES = 65_536
Address = tuple[str, int]


@dataclasses.dataclass(slots=True, eq=False)
class ProxiedConnection:
    """One connection through the proxy."""

    client_writer: asyncio.StreamWriter
    target_writer: asyncio.StreamWriter
    silent: bool = False


class Proxy:
    """Passes connections on; both ends see nothing of it but its harm.

    ``lost_direction`` names the direction whose bytes are dropped, ``to`` or
    ``from``; ``delay_s`` is how late bytes come.
    """

    def __init__(self, address: Address) -> None:
        """Listen on ``address`` once it is run."""
        self.address = address
        self.lost_direction = ''
        self.delay_s = 0.0
        # Bytes that were passed on, dropped and late.
        self.forwarded_bytes = 0
        self.dropped_bytes = 0
        self.delayed_bytes = 0
        self._connections: set[ProxiedConnection] = set()

    def silence(self) -> int:
        """Let all open connections carry nothing more; count them."""
        for item in self._connections:
            item.silent = True
        return len(self._connections)

    def reset(self) -> int:
        """Reset all open connections; count them."""
        for item in self._connections:
            item.client_writer.transport.abort()
            item.target_writer.transport.abort()
        return len(self._connections)

    @contextlib.asynccontextmanager
    async def run(
        self, target: Address
    ) -> collections.abc.AsyncIterator[None]:
        """Pass connections on to ``target`` until the end."""

        async def relay_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                target_reader, target_writer = await asyncio.open_connection(
                    *target
                )
            except OSError:
                # Nobody listens there, which the caller is to see.
                writer.transport.abort()
                return
            item = ProxiedConnection(writer, target_writer)
            self._connections.add(item)
            try:
                await asyncio.gather(
                    self._relay(reader, target_writer, 'to', item),
                    self._relay(target_reader, writer, 'from', item),
                )
            finally:
                self._connections.discard(item)

        server = await asyncio.start_server(relay_connection, *self.address)
        try:
            yield
        finally:
            server.close()
            self.reset()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
        item: ProxiedConnection,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if item.silent or self.lost_direction == direction:
                    self.dropped_bytes += len(data)
                    continue
                if self.delay_s:
                    self.delayed_bytes += len(data)
                    await asyncio.sleep(self.delay_s)
                self.forwarded_bytes += len(data)
                writer.write(data)
        if not item.silent:
            writer.close()
