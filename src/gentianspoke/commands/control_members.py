"""Define the subcommands that list and change the control members."""

import asyncio
import dataclasses

import cappa

from gentianspoke.commands import catalogue_options as options
from gentianspoke.commands import members_client
from gentianspoke.generated import replica_pb2


@cappa.command(name='members')
@dataclasses.dataclass
class Members:
    """List the control members and how far each has copied the log."""

    control: options.Control
    key_file: options.KeyFile

    def __call__(self) -> None:
        """Print the state of the log, then one line for each member."""
        reply = asyncio.run(
            members_client.list_members(self.control, self.key_file)
        )
        print(f'term {reply.term}, committed {reply.commit_index}')
        for status in reply.members:
            print(_format_member_line(status))


@cappa.command(name='add')
@dataclasses.dataclass
class Add:
    """Add a control instance that was started with control.join: true."""

    address: str
    control: options.Control
    key_file: options.KeyFile

    def __call__(self) -> None:
        """Add the instance and wait until it has caught up and votes."""
        name = asyncio.run(
            members_client.add_member(
                self.control, self.key_file, self.address
            )
        )
        print(f'{name} votes')


@cappa.command(name='remove')
@dataclasses.dataclass
class Remove:
    """Remove a member, whose name and data folder must not be used again."""

    instance: str
    control: options.Control
    key_file: options.KeyFile

    def __call__(self) -> None:
        """Remove the member and wait until the removal is committed."""
        asyncio.run(
            members_client.remove_member(
                self.control, self.key_file, self.instance
            )
        )
        print(f'{self.instance} is removed')


@cappa.command(name='replace')
@dataclasses.dataclass
class Replace:
    """Add a new instance and, once it votes, remove an old one."""

    instance: str
    address: str
    control: options.Control
    key_file: options.KeyFile

    def __call__(self) -> None:
        """Replace the old instance and wait until its removal is committed."""
        name = asyncio.run(self._replace())
        print(f'{name} votes in place of {self.instance}')

    async def _replace(self) -> str:
        # The new instance votes before the old one is removed, so that the
        # number of copies of the committed records never drops.
        name = await members_client.add_member(
            self.control, self.key_file, self.address
        )
        await members_client.remove_member(
            self.control, self.key_file, self.instance
        )
        return name


@cappa.command(name='control-group')
@dataclasses.dataclass
class ControlGroup:
    """List, add, remove and replace control members."""

    command: cappa.Subcommands[Members | Add | Remove | Replace]


def _format_member_line(status: replica_pb2.MemberStatus) -> str:
    role = 'voter' if status.member.voter else 'learner'
    if status.leads:
        role = 'leader'
    return (
        f'{status.member.instance}\t{status.member.address}\t{role}\tindex'
        f' {status.match_index}\tanswered {status.answered_age_ms} ms ago'
    )
