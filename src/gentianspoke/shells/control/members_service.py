"""The gRPC service for the members of the group of control instances."""

import grpclib.server

from gentianspoke.codec import replica as codec
from gentianspoke.config import units
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import formation
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import messages
from gentianspoke.generated import replica_grpc
from gentianspoke.generated import replica_pb2
from gentianspoke.shells.control import calls
from gentianspoke.shells.control import discovery
from gentianspoke.shells.control import forming
from gentianspoke.shells.control import peers
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import process


class MembersService(replica_grpc.ControlMembersBase):
    """Lists, adds and removes members of the control group."""

    def __init__(
        self, proc: process.Process, log: replicated_log.ReplicatedLog
    ) -> None:
        """Answer from a log."""
        self._proc = proc
        self._log = log

    async def Members(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[replica_pb2.MembersRequest,'
            ' replica_pb2.MembersReply]'
        ),
    ) -> None:
        """Reply with the members and, if known, their newest synced index."""
        await calls.receive_request(stream)
        state = self._log.replica.state
        await stream.send_message(
            replica_pb2.MembersReply(
                leader='' if self._log.is_leader else self._find_leader(),
                term=state.term,
                commit_index=state.commit_index,
                members=[
                    self._build_member_status(member)
                    for member in state.group.members
                ],
                confirmed_age_ms=self._log.get_confirmed_age_ms(),
                change_pending=state.log.group_index > state.commit_index,
            )
        )

    async def Add(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[replica_pb2.AddMemberRequest,'
            ' replica_pb2.MemberChangeReply]'
        ),
    ) -> None:
        """Add the instance at an address to the group, as a learner.

        The instance must already run and wait to be added.
        """
        request = await calls.receive_request(stream)
        try:
            address = units.parse_address(request.address)
            identity = await forming.fetch_identity(self._proc, address)
        except (ValueError, *peers.PEER_ERRORS) as exc:
            reason = (
                f'{request.address}: no control instance answered there'
                f' ({exc!r}); start it with control.join: true'
            )
            await stream.send_message(
                replica_pb2.MemberChangeReply(accepted=False, reason=reason)
            )
            return
        member = groups.Member(
            identity.number, identity.instance, request.address, False
        )
        has_other_group = self._is_of_another_group(identity)
        await self._change_group(
            stream, messages.AddLearner(member, has_other_group)
        )

    async def Remove(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[replica_pb2.RemoveMemberRequest,'
            ' replica_pb2.MemberChangeReply]'
        ),
    ) -> None:
        """Remove a member from the group."""
        request = await calls.receive_request(stream)
        await self._change_group(
            stream, messages.RemoveMember(request.instance)
        )

    def _find_leader(self) -> str:
        return discovery.describe_group(self._proc, self._log).leader

    def _is_of_another_group(self, identity: formation.Identity) -> bool:
        # A member that was removed while it was not running still has its
        # old group, which shares members with this one. Such a member may
        # be added again.
        own_numbers = {member.number for member in self._log.group.members}
        other_numbers = {member.number for member in identity.group.members}
        return bool(other_numbers) and not own_numbers & other_numbers

    async def _change_group(
        self,
        stream: (
            'grpclib.server.Stream[replica_pb2.AddMemberRequest,'
            ' replica_pb2.MemberChangeReply]'
            ' | grpclib.server.Stream[replica_pb2.RemoveMemberRequest,'
            ' replica_pb2.MemberChangeReply]'
        ),
        event: messages.AddLearner | messages.RemoveMember,
    ) -> None:
        reply = replica_pb2.MemberChangeReply(accepted=True)
        if not self._log.is_leader:
            reply = replica_pb2.MemberChangeReply(leader=self._find_leader())
        else:
            for effect in await self._log.step(event):
                match effect:
                    case effects.Refused(reason=reason):
                        reply = replica_pb2.MemberChangeReply(reason=reason)
        await stream.send_message(reply)

    def _build_member_status(
        self, member: groups.Member
    ) -> replica_pb2.MemberStatus:
        state = self._log.replica.state
        progress = state.progress.get(member.number)
        is_own = member.number == state.number
        leads = member.number == state.leader
        message = replica_pb2.MemberStatus(
            member=codec.encode_member(member),
            leads=self._log.is_leader if is_own else leads,
        )
        if is_own:
            message.match_index = state.synced_index
        elif progress is not None:
            age_ms = self._proc.clock.now() - progress.last_contact_ms
            message.match_index = progress.match_index
            message.answered_age_ms = age_ms
        return message
