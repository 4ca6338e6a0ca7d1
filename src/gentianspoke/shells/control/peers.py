"""Tasks that send the replica's requests to the other members."""

import asyncio
import collections.abc
import contextlib
import typing

import grpclib.client

from gentianspoke.codec import packing
from gentianspoke.codec import peers as codec
from gentianspoke.codec import replica as replica_codec
from gentianspoke.config import units
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import roles
from gentianspoke import errors
from gentianspoke.generated import replica_grpc
from gentianspoke.generated import replica_pb2
from gentianspoke.shells import channel_auth
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import feed_client
from gentianspoke.shells import process

# How often a leader or candidate checks whether a request to a peer, such as a
# heartbeat, is due.
HEARTBEAT_CHECK_INTERVAL_S = 0.075
REPLY_TIMEOUT_S = 0.6
# Lowest rate at which a peer is expected to take requests.
MIN_BYTES_PER_S = 64 * 1024
RECONNECT_DELAY_S = 0.2
SNAPSHOT_PART_BYTES = 64 * 1024
# Errors that close the channel to a peer. A reply that cannot be decoded is a
# ControlError.
PEER_ERRORS = (
    *feed_client.CHANNEL_ERRORS,
    errors.ControlError,
)

# Exchanges requests with a member over a channel until an error is raised. The
# event is set after each step of the log with effects.
ExchangeAll = collections.abc.Callable[
    [grpclib.client.Channel, groups.Member, asyncio.Event],
    collections.abc.Coroutine[object, object, typing.Never],
]


async def exchange(
    channel: grpclib.client.Channel,
    request: replica_pb2.PeerRequest,
) -> replica_pb2.PeerReply:
    """Send one request and return the reply.

    The time limit grows with the size of the request. Raises one of
    ``PEER_ERRORS``.
    """
    stub = replica_grpc.ReplicaStub(channel)
    timeout_s = REPLY_TIMEOUT_S + request.ByteSize() / MIN_BYTES_PER_S
    return await stub.Exchange(request, timeout=timeout_s)


class Peers:
    """Runs two tasks for each other member of the group.

    One sends the requests of the log. The other one sends heartbeats over a
    connection of its own while a request is unanswered for long.
    """

    def __init__(
        self, proc: process.Process, log: replicated_log.ReplicatedLog
    ) -> None:
        """Send the requests of a log to the members of its group."""
        self._proc = proc
        self._log = log
        self._tasks: dict[groups.Member, list[asyncio.Task[None]]] = {}

    async def run(self) -> None:
        """Start and cancel tasks as the group changes, until cancelled."""
        async with asyncio.TaskGroup() as task_group:
            while True:
                self._log.group_changed.clear()
                self._update_tasks(task_group)
                await self._log.group_changed.wait()

    def _update_tasks(self, task_group: asyncio.TaskGroup) -> None:
        own_number = self._log.replica.state.number
        # A promotion from learner to voter must not restart the tasks, so the
        # members are compared without their ``voter`` flag.
        other_members = {
            groups.Member(
                member.number, member.instance, member.address, False
            )
            for member in self._log.group.get_others(own_number)
        }
        for member in self._tasks.keys() - other_members:
            for task in self._tasks.pop(member):
                task.cancel()
        for member in other_members - self._tasks.keys():
            self._tasks[member] = [
                task_group.create_task(
                    self._keep_connected(member, self._exchange_requests)
                ),
                task_group.create_task(
                    self._keep_connected(member, self._exchange_heartbeats)
                ),
            ]

    async def _keep_connected(
        self, member: groups.Member, exchange_all: ExchangeAll
    ) -> None:
        address = units.parse_address(member.address)
        while True:
            try:
                with self._log.notify() as wake_event:
                    async with channel_auth.open_channel(
                        address,
                        self._proc.get_current_ring,
                        self._proc.cfg.instance,
                    ) as channel:
                        await exchange_all(channel, member, wake_event)
            except PEER_ERRORS as exc:
                self._proc.events.write(
                    'peer-lost', peer=member.instance, reason=repr(exc)
                )
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _exchange_requests(
        self,
        channel: grpclib.client.Channel,
        member: groups.Member,
        wake_event: asyncio.Event,
    ) -> typing.Never:
        while True:
            wake_event.clear()
            request = await self._log.build_request(member.number)
            if request is None:
                await self._wait_for_work(wake_event)
                continue
            await self._exchange_one(channel, member, request)

    async def _exchange_heartbeats(
        self,
        channel: grpclib.client.Channel,
        member: groups.Member,
        wake_event: asyncio.Event,
    ) -> typing.Never:
        """Send heartbeats while another request is unanswered.

        They have a connection of their own, so that no large request delays
        them.
        """
        while True:
            wake_event.clear()
            request = await self._log.build_extra_heartbeat(member.number)
            if request is None:
                await self._wait_for_heartbeat(wake_event)
                continue
            await self._exchange_one(channel, member, request)

    async def _exchange_one(
        self,
        channel: grpclib.client.Channel,
        member: groups.Member,
        request: messages.Request,
    ) -> None:
        try:
            reply = await self._send(channel, request)
        except PEER_ERRORS:
            await self._log.step(messages.RequestFailed(request))
            raise
        await self._log.step(messages.ReplyReceived(request, reply))
        match reply:
            case messages.WrongFolder():
                raise errors.ControlError(
                    f'{member.instance} runs with another data folder than'
                    ' before; replace the member under a new name'
                )

    async def _wait_for_heartbeat(self, wake_event: asyncio.Event) -> None:
        if self._log.role == roles.LEADER:
            await asyncio.sleep(HEARTBEAT_CHECK_INTERVAL_S)
        else:
            await wake_event.wait()

    async def _wait_for_work(self, wake_event: asyncio.Event) -> None:
        if self._log.role == roles.FOLLOWER:
            # A follower sends nothing until its role changes, which wakes
            # this task.
            await wake_event.wait()
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_CHECK_INTERVAL_S):
                await wake_event.wait()

    async def _send(
        self, channel: grpclib.client.Channel, request: messages.Request
    ) -> messages.Reply:
        match request:
            case messages.InstallRequest():
                return await self._send_snapshot(channel, request)
            case _:
                message = codec.encode_request(request)
                reply = await exchange(channel, message)
                return codec.decode_reply(reply)

    async def _send_snapshot(
        self,
        channel: grpclib.client.Channel,
        request: messages.InstallRequest,
    ) -> messages.Reply:
        data = await asyncio.to_thread(_encode_snapshot, request)
        self._proc.events.write(
            'snapshot-sent', index=request.snapshot.index, bytes=len(data)
        )
        for offset in range(0, len(data), SNAPSHOT_PART_BYTES):
            part = replica_pb2.InstallRequest(
                sender=request.sender,
                to=request.to,
                term=request.term,
                snapshot_index=request.snapshot.index,
                offset=offset,
                total=len(data),
                data=data[offset : offset + SNAPSHOT_PART_BYTES],
            )
            message = replica_pb2.PeerRequest(install=part)
            reply = await exchange(channel, message)
            if reply.WhichOneof('content') != 'part_taken':
                return codec.decode_reply(reply)
        raise errors.ControlError(
            'a peer did not confirm the whole snapshot after its last part;'
            ' run the same version on all control instances'
        )


def _encode_snapshot(request: messages.InstallRequest) -> bytes:
    message = replica_codec.encode_snapshot(request.snapshot)
    return packing.pack(message.SerializeToString())
