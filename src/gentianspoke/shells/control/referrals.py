"""The gRPC services of a control instance that keeps no log.

They refer each caller to the control group: a consumer of the feed gets the
addresses of the members, and every other caller that of the leader.
"""

import asyncio
import contextlib
import typing

import grpclib
import grpclib.server

from gentianspoke.core import known_groups
from gentianspoke.generated import catalogue_grpc
from gentianspoke.generated import catalogue_pb2
from gentianspoke.generated import feed_grpc
from gentianspoke.generated import feed_pb2
from gentianspoke.generated import replica_grpc
from gentianspoke.generated import replica_pb2
from gentianspoke.shells.control import calls
from gentianspoke.shells import feed_client
from gentianspoke.shells import process

KEEPS_NO_LOG = (
    'this control instance keeps no log; ask one with a data folder, or the'
    ' leader'
)
OBSERVER = 'observer'
# A consumer that was referred leaves at once. The call ends after this time if
# the consumer does not react.
REFERRAL_TIMEOUT_S = 1.0

FollowStream: typing.TypeAlias = (
    'grpclib.server.Stream[feed_pb2.FollowRequest, feed_pb2.FollowReply]'
)


async def refer_consumer(
    proc: process.Process,
    stream: FollowStream,
    group: known_groups.KnownGroup,
    reason: str,
) -> None:
    """Send a consumer the members of the group, and wait until it leaves.

    Raises ``grpclib.GRPCError`` with the status ``UNAVAILABLE`` and the reason
    if it does not leave in time.
    """
    confirmation = feed_pb2.Confirmation(
        # No majority confirms an instance without a log.
        age_ms=feed_client.UNCONFIRMED_AGE_MS,
        logical=proc.events.logical,
        sources=group.addresses,
        leader=group.leader,
        group_version=group.version,
        without_feed=True,
    )
    await stream.send_message(feed_pb2.FollowReply(confirmation=confirmation))
    # An error status would overtake the message at the consumer, so the
    # consumer ends the call.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(REFERRAL_TIMEOUT_S):
            if await stream.recv_message() is None:
                return
    raise grpclib.GRPCError(grpclib.const.Status.UNAVAILABLE, reason)


class ReferringFeed(feed_grpc.FeedBase):
    """Refers consumers to the members, and agents to the leader."""

    def __init__(self, proc: process.Process) -> None:
        """Answer from what the process has learned of the group."""
        self._proc = proc

    async def Announce(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[feed_pb2.Announcement,'
            ' feed_pb2.AnnouncementReply]'
        ),
    ) -> None:
        """Reply with the leader's address."""
        message = await calls.receive_request(stream)
        self._proc.events.observe(message.logical)
        await stream.send_message(
            feed_pb2.AnnouncementReply(
                leader=self._proc.sources.known_group.leader,
                reason=KEEPS_NO_LOG,
                logical=self._proc.events.logical,
            )
        )

    async def Follow(self, stream: FollowStream) -> None:  # noqa: N802
        """Reply with the addresses of the members."""
        await calls.receive_request(stream)
        group = self._proc.sources.known_group
        await refer_consumer(self._proc, stream, group, KEEPS_NO_LOG)


class ReferringMembers(replica_grpc.ControlMembersBase):
    """Refers operators and joining instances to the leader."""

    def __init__(self, proc: process.Process) -> None:
        """Answer from what the process has learned of the group."""
        self._proc = proc

    async def Members(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[replica_pb2.MembersRequest,'
            ' replica_pb2.MembersReply]'
        ),
    ) -> None:
        """Reply with the leader's address."""
        await calls.receive_request(stream)
        await stream.send_message(
            replica_pb2.MembersReply(
                leader=self._proc.sources.known_group.leader,
                confirmed_age_ms=feed_client.UNCONFIRMED_AGE_MS,
            )
        )

    async def Add(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[replica_pb2.AddMemberRequest,'
            ' replica_pb2.MemberChangeReply]'
        ),
    ) -> None:
        """Reply with the leader's address."""
        await self._refer_change(stream)

    async def Remove(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[replica_pb2.RemoveMemberRequest,'
            ' replica_pb2.MemberChangeReply]'
        ),
    ) -> None:
        """Reply with the leader's address."""
        await self._refer_change(stream)

    async def _refer_change(
        self,
        stream: (
            'grpclib.server.Stream[replica_pb2.AddMemberRequest,'
            ' replica_pb2.MemberChangeReply]'
            ' | grpclib.server.Stream[replica_pb2.RemoveMemberRequest,'
            ' replica_pb2.MemberChangeReply]'
        ),
    ) -> None:
        await calls.receive_request(stream)
        leader = self._proc.sources.known_group.leader
        await stream.send_message(replica_pb2.MemberChangeReply(leader=leader))


class ReferringCatalogue(catalogue_grpc.CatalogueBase):
    """Refers operators to the leader; it has no catalogue to read."""

    def __init__(self, proc: process.Process) -> None:
        """Answer from what the process has learned of the group."""
        self._proc = proc

    async def Apply(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[catalogue_pb2.ApplyRequest,'
            ' catalogue_pb2.ApplyReply]'
        ),
    ) -> None:
        """Reply with the leader's address."""
        await calls.receive_request(stream)
        leader = self._proc.sources.known_group.leader
        await stream.send_message(
            catalogue_pb2.ApplyReply(leader=leader, redirected=True)
        )

    async def List(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[catalogue_pb2.ListRequest,'
            ' catalogue_pb2.ListReply]'
        ),
    ) -> None:
        """Refuse the call, so that the client asks another instance."""
        await _refuse(stream)

    async def History(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[catalogue_pb2.HistoryRequest,'
            ' catalogue_pb2.HistoryReply]'
        ),
    ) -> None:
        """Refuse the call, so that the client asks another instance."""
        await _refuse(stream)

    async def Status(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[catalogue_pb2.StatusRequest,'
            ' catalogue_pb2.StatusReply]'
        ),
    ) -> None:
        """Reply with the leader's address and the role of an observer."""
        await calls.receive_request(stream)
        await stream.send_message(
            catalogue_pb2.StatusReply(
                leader=self._proc.sources.known_group.leader,
                role=OBSERVER,
                confirmed_age_ms=feed_client.UNCONFIRMED_AGE_MS,
            )
        )


async def _refuse(
    stream: (
        'grpclib.server.Stream[catalogue_pb2.ListRequest,'
        ' catalogue_pb2.ListReply]'
        ' | grpclib.server.Stream[catalogue_pb2.HistoryRequest,'
        ' catalogue_pb2.HistoryReply]'
    ),
) -> None:
    await calls.receive_request(stream)
    raise grpclib.GRPCError(grpclib.const.Status.UNAVAILABLE, KEEPS_NO_LOG)
