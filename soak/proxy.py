"""A loopback proxy before one address, whose connections it can harm."""

import asyncio
import collections.abc
import contextlib
import dataclasses

READ_BYTES = 65_536
Address = tuple[str, int]


@dataclasses.dataclass(slots=True, eq=False)
class Joined:
    """One connection through the proxy."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    silent: bool = False


class Proxy:
    """Passes connections on; both ends see nothing of it but its harm.

    ``lost`` names the direction whose bytes are dropped, ``to`` or
    ``from``; ``delay_s`` is how late bytes come.
    """

    def __init__(self, address: Address) -> None:
        """Listen on ``address`` once it is run."""
        self.address = address
        self.lost = ''
        self.delay_s = 0.0
        # Bytes that were passed on, dropped and late.
        self.passed = 0
        self.dropped = 0
        self.delayed = 0
        self._joined: set[Joined] = set()

    def silence(self) -> int:
        """Let all open connections carry nothing more; count them."""
        for item in self._joined:
            item.silent = True
        return len(self._joined)

    def reset(self) -> int:
        """Reset all open connections; count them."""
        for item in self._joined:
            item.near.transport.abort()
            item.far.transport.abort()
        return len(self._joined)

    @contextlib.asynccontextmanager
    async def run(
        self, target: Address
    ) -> collections.abc.AsyncIterator[None]:
        """Pass connections on to ``target`` until the end."""

        async def join(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                far_reader, far = await asyncio.open_connection(*target)
            except OSError:
                # Nobody listens there, which the caller is to see.
                writer.transport.abort()
                return
            item = Joined(writer, far)
            self._joined.add(item)
            try:
                await asyncio.gather(
                    self._pass(reader, far, 'to', item),
                    self._pass(far_reader, writer, 'from', item),
                )
            finally:
                self._joined.discard(item)

        server = await asyncio.start_server(join, *self.address)
        try:
            yield
        finally:
            server.close()
            self.reset()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: str,
        item: Joined,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if item.silent or self.lost == way:
                    self.dropped += len(data)
                    continue
                if self.delay_s:
                    self.delayed += len(data)
                    await asyncio.sleep(self.delay_s)
                self.passed += len(data)
                writer.write(data)
        if not item.silent:
            writer.close()
