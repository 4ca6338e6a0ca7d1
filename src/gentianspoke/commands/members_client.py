"""Asking the leader of the control instances about their group."""

import asyncio
import collections.abc
import contextlib
import typing

from gentianspoke.config import key_file
from gentianspoke.config import units
from gentianspoke import errors
from gentianspoke.generated import replica_grpc
from gentianspoke.generated import replica_pb2
from gentianspoke.shells import catalogue_client
from gentianspoke.shells import channel_auth
from gentianspoke.shells import feed_client

REQUEST_TIMEOUT_S = 5.0
POLL_S = 0.2
WAIT_AT_MOST_S = 60.0

Reply = typing.TypeVar(
    'Reply', replica_pb2.MembersReply, replica_pb2.MemberChangeReply
)
Call = collections.abc.Callable[
    [replica_grpc.ControlMembersStub], collections.abc.Awaitable[Reply]
]


async def ask_leader(control: str, key_path: str, call: Call[Reply]) -> Reply:
    """Return the leader's reply, asking the given instances for it.

    Raises :class:`gentianspoke.errors.ControlUnreachableError`.
    """
    ring = key_file.load(key_path)
    to_ask = control.split(',')
    asked: set[str] = set()
    while to_ask:
        text = to_ask.pop(0)
        if text in asked:
            continue
        asked.add(text)
        with contextlib.suppress(*feed_client.CHANNEL_ERRORS):
            async with channel_auth.open_channel(
                _address(text), lambda: ring, catalogue_client.OPERATOR
            ) as channel:
                reply = await call(replica_grpc.ControlMembersStub(channel))
            if not reply.leader and _is_of_leader(reply):
                return reply
            if reply.leader:
                to_ask.insert(0, reply.leader)
    raise errors.ControlUnreachableError(control)


async def change(
    control: str,
    key_path: str,
    call: Call[replica_pb2.MemberChangeReply],
) -> None:
    """Make one change of members.

    Raises :class:`gentianspoke.errors.MemberChangeError` where the leader
    refuses it.
    """
    reply = await ask_leader(control, key_path, call)
    if not reply.accepted:
        raise errors.MemberChangeError(reply.reason)


async def members(control: str, key_path: str) -> replica_pb2.MembersReply:
    """Return the members as the leader knows them."""
    return await ask_leader(
        control,
        key_path,
        lambda stub: stub.Members(
            replica_pb2.MembersRequest(), timeout=REQUEST_TIMEOUT_S
        ),
    )


async def add(control: str, key_path: str, address: str) -> str:
    """Add the instance at an address; return its name once it votes."""
    _address(address)
    request = replica_pb2.AddMemberRequest(address=address)
    await change(
        control,
        key_path,
        lambda stub: stub.Add(request, timeout=REQUEST_TIMEOUT_S),
    )

    def votes(found: replica_pb2.GroupMember) -> bool:
        return found.address == address and found.voter

    reply = await _settled(
        control, key_path, lambda reply: any(map(votes, _listed(reply)))
    )
    return next(item.instance for item in _listed(reply) if votes(item))


async def remove(control: str, key_path: str, instance: str) -> None:
    """Remove a member; return once that is committed."""
    request = replica_pb2.RemoveMemberRequest(instance=instance)
    await change(
        control,
        key_path,
        lambda stub: stub.Remove(request, timeout=REQUEST_TIMEOUT_S),
    )
    await _settled(
        control,
        key_path,
        lambda reply: all(i.instance != instance for i in _listed(reply)),
    )


async def _settled(
    control: str,
    key_path: str,
    is_reached: collections.abc.Callable[[replica_pb2.MembersReply], bool],
) -> replica_pb2.MembersReply:
    """Wait until members are as wanted and the change is committed."""
    try:
        async with asyncio.timeout(WAIT_AT_MOST_S):
            while True:
                # A leader that was removed is followed by an election.
                with contextlib.suppress(errors.ControlUnreachableError):
                    reply = await members(control, key_path)
                    if is_reached(reply) and not reply.change_pending:
                        return reply
                await asyncio.sleep(POLL_S)
    except TimeoutError as exc:
        raise errors.MemberChangeError(
            'the change is not committed yet; see "gentianspoke'
            ' control-group members", then give the command again'
        ) from exc


def _listed(
    reply: replica_pb2.MembersReply,
) -> list[replica_pb2.GroupMember]:
    return [item.member for item in reply.members]


def _is_of_leader(
    reply: replica_pb2.MembersReply | replica_pb2.MemberChangeReply,
) -> bool:
    match reply:
        case replica_pb2.MembersReply():
            return any(item.leads for item in reply.members)
        case _:
            return reply.accepted or bool(reply.reason)


def _address(text: str) -> units.Address:
    try:
        return units.host_port(text)
    except ValueError as exc:
        raise errors.SettingsError('command line', text, str(exc)) from exc
