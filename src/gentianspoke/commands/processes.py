"""Define the subcommands that run the processes of the load balancer.

The module of a process is imported only by the subcommand that runs it, so
that the other subcommands do not load it.
"""

import asyncio
import collections.abc
import dataclasses

import cappa

from gentianspoke.config import settings
from gentianspoke.config import settings_file
from gentianspoke import errors

Run = collections.abc.Callable[
    [settings.Settings], collections.abc.Coroutine[object, object, int | None]
]


@cappa.command(name='entry')
@dataclasses.dataclass
class RunEntry:
    """Run an entry, which forwards the fabric's packets to the agents."""

    file: str

    def __call__(self) -> None:
        """Run until SIGTERM or SIGINT starts a planned stop, then exit."""
        from gentianspoke.shells import entry

        _run(self.file, entry.run)


@cappa.command(name='agent')
@dataclasses.dataclass
class RunAgent:
    """Run an agent beside an upstream."""

    file: str

    def __call__(self) -> None:
        """Run until SIGTERM or SIGINT starts a planned stop, then exit."""
        from gentianspoke.shells.agent import main

        _run(self.file, main.run)


@cappa.command(name='control')
@dataclasses.dataclass
class RunControl:
    """Run a control instance, which keeps a replica of the catalogue."""

    file: str

    def __call__(self) -> None:
        """Run until SIGTERM or SIGINT starts a planned stop, then exit."""
        from gentianspoke.shells.control import main

        _run(self.file, main.run)


def _run(file: str, run: Run) -> None:
    cfg = settings_file.load(file)
    try:
        status = asyncio.run(run(cfg))
    except OSError as exc:
        # Sockets and files are opened before the tasks are started, and the
        # errors of tasks arrive in an ExceptionGroup. An OSError outside a
        # group was therefore raised while the process started.
        raise errors.StartError(file, exc.strerror or str(exc)) from exc
    raise SystemExit(status)
