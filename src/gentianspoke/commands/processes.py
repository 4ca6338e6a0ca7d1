"""Subcommands that run a process of the system."""

import asyncio
import dataclasses

import cappa

from gentianspoke.config import settings


@cappa.command(name='entry')
@dataclasses.dataclass
class RunEntry:
    """Run an entry: forward the fabric's packets to the agents."""

    file: str

    def __call__(self) -> None:
        """Run until a planned stop."""
        from gentianspoke.shells import entry

        asyncio.run(entry.run(settings.load(self.file)))


@cappa.command(name='agent')
@dataclasses.dataclass
class RunAgent:
    """Run an agent beside an upstream."""

    file: str

    def __call__(self) -> None:
        """Run until a planned stop."""
        from gentianspoke.shells.agent import main

        raise SystemExit(asyncio.run(main.run(settings.load(self.file))))


@cappa.command(name='control')
@dataclasses.dataclass
class RunControl:
    """Run a control instance: a replica of the catalogue."""

    file: str

    def __call__(self) -> None:
        """Run until a planned stop."""
        from gentianspoke.shells.control import main

        asyncio.run(main.run(settings.load(self.file)))
