"""Define the command line as data classes that cappa parses."""

import dataclasses

import cappa

from gentianspoke.commands import catalogue
from gentianspoke.commands import config
from gentianspoke.commands import control_members
from gentianspoke.commands import explain
from gentianspoke.commands import processes
from gentianspoke.commands import timeline

Command = (
    processes.RunEntry
    | processes.RunAgent
    | processes.RunControl
    | config.Config
    | catalogue.Catalogue
    | control_members.ControlGroup
    | timeline.Timeline
    | explain.Explain
)


@cappa.command(name='gentianspoke')
@dataclasses.dataclass
class Gentianspoke:
    """A layer-4 load balancer: its processes and operator commands."""

    command: cappa.Subcommands[Command]
