"""The interface between a front end and the processes of the system."""

import collections.abc
import contextlib
import dataclasses
import typing

from gentianspoke.codec import packet_codec
from gentianspoke.shells import process

Inner = typing.TypeVar('Inner')


@dataclasses.dataclass(frozen=True, slots=True)
class FrontEnd(typing.Generic[Inner]):
    """A codec for callers' packets and additional servers of a process.

    ``serve`` gets the process and the object that does its work (the entry,
    the agent or the operators' operations). It returns a context in which the
    additional servers run. ``reports_upstream_state`` is true if an agent
    gets the state of its upstream through these servers instead of from a
    status page.
    """

    codec: packet_codec.PacketCodec
    serve: collections.abc.Callable[
        [process.Process, Inner], contextlib.AbstractAsyncContextManager[None]
    ]
    reports_upstream_state: bool = False


def make_default_front_end() -> FrontEnd[typing.Any]:
    """Return the default front end: IP packets and no additional servers."""
    from gentianspoke.codec import ip

    return FrontEnd(typing.cast(packet_codec.PacketCodec, ip), _run_no_servers)


@contextlib.asynccontextmanager
async def _run_no_servers(
    proc: process.Process, inner: object
) -> collections.abc.AsyncIterator[None]:
    yield
