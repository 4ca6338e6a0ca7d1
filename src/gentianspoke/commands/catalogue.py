"""Define the group of subcommands that read and edit the catalogue."""

import dataclasses

import cappa

from gentianspoke.commands import catalogue_edits as edits
from gentianspoke.commands import catalogue_evacuation as evacuation
from gentianspoke.commands import catalogue_reads as reads


@cappa.command(name='catalogue')
@dataclasses.dataclass
class Catalogue:
    """Edit and read the catalogue."""

    command: cappa.Subcommands[
        edits.Apply
        | edits.Retire
        | evacuation.Evacuate
        | evacuation.Restore
        | reads.Get
        | reads.ListEntries
        | reads.Diff
        | reads.History
        | reads.Status
    ]
