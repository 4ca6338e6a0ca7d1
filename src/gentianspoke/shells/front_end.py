"""What another front end brings to the processes of the system."""

import collections.abc
import contextlib
import dataclasses
import typing

from gentianspoke.codec import wire
from gentianspoke.shells import process

Inner = typing.TypeVar('Inner')


@dataclasses.dataclass(frozen=True, slots=True)
class FrontEnd(typing.Generic[Inner]):
    """An encoding of callers' packets, and services of the process.

    ``serve`` opens the services around what the process does, and closes
    them at the end of the context. ``reports_upstream_state`` says that the
    upstream's state comes through them rather than from a status page.
    """

    codec: wire.Wire
    serve: collections.abc.Callable[
        [process.Process, Inner], contextlib.AbstractAsyncContextManager[None]
    ]
    reports_upstream_state: bool = False


def default_front_end() -> FrontEnd[typing.Any]:
    """Return the project's own front end: IP packets, no further service."""
    from gentianspoke.codec import ip

    return FrontEnd(typing.cast(wire.Wire, ip), _no_services)


@contextlib.asynccontextmanager
async def _no_services(
    proc: process.Process, inner: object
) -> collections.abc.AsyncIterator[None]:
    yield
