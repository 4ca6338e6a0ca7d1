"""gRPC connections that send all writes of one event loop iteration at once.

grpclib writes the headers, the message and the trailers of a call one by one.
Each write is a system call and a TCP segment, which wakes the receiver. Sent
together, they cost both sides a third.
"""

import asyncio
import typing

import grpclib.client
import grpclib.protocol
import grpclib.server

# Larger amounts are passed on at once, so that the flow control of the
# connection takes effect.
MAX_BATCH_BYTES = 65_536


class BatchingTransport:
    """Collects writes and passes them on in the next event loop iteration."""

    def __init__(self, transport: asyncio.Transport) -> None:
        """Pass the data on to ``transport``."""
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._batch = bytearray()

    def write(self, data: bytes) -> None:
        """Add data to the batch."""
        if not self._batch:
            self._loop.call_soon(self._send_batch)
        self._batch += data
        if len(self._batch) >= MAX_BATCH_BYTES:
            self._send_batch()

    def close(self) -> None:
        """Send the batch and close the connection."""
        self._send_batch()
        self._transport.close()

    def is_closing(self) -> bool:
        """Return whether the connection is closed or closing."""
        return self._transport.is_closing()

    def get_extra_info(self, name: str) -> typing.Any:
        """Return information about the connection, such as ``peername``."""
        return self._transport.get_extra_info(name)

    def _send_batch(self) -> None:
        if self._batch:
            self._transport.write(bytes(self._batch))
            self._batch.clear()


class BatchingProtocol(grpclib.protocol.H2Protocol):
    """An HTTP/2 connection whose writes are batched."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write to the connection through a :class:`BatchingTransport`."""
        batching_transport = BatchingTransport(
            typing.cast(asyncio.Transport, transport)
        )
        super().connection_made(
            typing.cast(asyncio.BaseTransport, batching_transport)
        )


class Channel(grpclib.client.Channel):
    """A client's connection whose writes are batched."""

    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        return _batch_writes(super()._protocol_factory())


class Server(grpclib.server.Server):
    """A server on whose connections writes are batched."""

    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        return _batch_writes(super()._protocol_factory())


def _batch_writes(
    protocol: grpclib.protocol.H2Protocol,
) -> grpclib.protocol.H2Protocol:
    return BatchingProtocol(
        protocol.handler, protocol.config, protocol.h2_config
    )
