"""Call the leader of the control group to list and change its members."""

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
POLL_INTERVAL_S = 0.2
CHANGE_TIMEOUT_S = 60.0

Reply = typing.TypeVar(
    'Reply', replica_pb2.MembersReply, replica_pb2.MemberChangeReply
)
Call = collections.abc.Callable[
    [replica_grpc.ControlMembersStub], collections.abc.Awaitable[Reply]
]


async def call_leader(control: str, key_path: str, call: Call[Reply]) -> Reply:
    """Send a request to the leader and return the leader's reply.

    ``call`` sends the request through the stub that it is given. The
    instances at the addresses in ``control``, separated by commas, are
    called in order until the leader answers. If one of them names the
    leader, the leader's address is called next.

    Raises :class:`gentianspoke.errors.ControlUnreachableError` if no leader
    answers, and :class:`gentianspoke.errors.SettingsError` if an address or
    the key file is not valid.
    """
    key_ring = key_file.load(key_path)
    pending_addresses = control.split(',')
    called_addresses: set[str] = set()
    while pending_addresses:
        address = pending_addresses.pop(0)
        if address in called_addresses:
            continue
        called_addresses.add(address)
        with contextlib.suppress(*feed_client.CHANNEL_ERRORS):
            async with channel_auth.open_channel(
                _parse_address(address),
                lambda: key_ring,
                catalogue_client.OPERATOR,
            ) as channel:
                reply = await call(replica_grpc.ControlMembersStub(channel))
            # An instance that knows no leader also replies without the
            # leader's address.
            if not reply.leader and _is_leader_reply(reply):
                return reply
            if reply.leader:
                pending_addresses.insert(0, reply.leader)
    raise errors.ControlUnreachableError(control)


async def _request_change(
    control: str,
    key_path: str,
    call: Call[replica_pb2.MemberChangeReply],
) -> None:
    """Request one change of the members from the leader.

    Raises :class:`gentianspoke.errors.MemberChangeError` if the leader
    refuses it.
    """
    reply = await call_leader(control, key_path, call)
    if not reply.accepted:
        raise errors.MemberChangeError(reply.reason)


async def list_members(
    control: str, key_path: str
) -> replica_pb2.MembersReply:
    """Return the leader's list of the members and their state.

    Raises the errors of :func:`call_leader`.
    """
    return await call_leader(
        control,
        key_path,
        lambda stub: stub.Members(
            replica_pb2.MembersRequest(), timeout=REQUEST_TIMEOUT_S
        ),
    )


async def add_member(control: str, key_path: str, address: str) -> str:
    """Add the instance at ``address`` and return its name once it votes.

    Raises :class:`gentianspoke.errors.MemberChangeError` if the leader
    refuses the change or the instance does not vote in time, and the errors
    of :func:`call_leader`.
    """
    _parse_address(address)
    request = replica_pb2.AddMemberRequest(address=address)
    await _request_change(
        control,
        key_path,
        lambda stub: stub.Add(request, timeout=REQUEST_TIMEOUT_S),
    )

    def is_added_voter(member: replica_pb2.GroupMember) -> bool:
        return member.address == address and member.voter

    reply = await _wait_for_members(
        control,
        key_path,
        lambda reply: any(map(is_added_voter, _extract_members(reply))),
    )
    return next(
        member.instance
        for member in _extract_members(reply)
        if is_added_voter(member)
    )


async def remove_member(control: str, key_path: str, instance: str) -> None:
    """Remove a member and wait until the removal is committed.

    ``instance`` is the name of the member.

    Raises :class:`gentianspoke.errors.MemberChangeError` if the leader
    refuses the change or does not commit it in time, and the errors of
    :func:`call_leader`.
    """
    request = replica_pb2.RemoveMemberRequest(instance=instance)
    await _request_change(
        control,
        key_path,
        lambda stub: stub.Remove(request, timeout=REQUEST_TIMEOUT_S),
    )
    await _wait_for_members(
        control,
        key_path,
        lambda reply: all(
            member.instance != instance for member in _extract_members(reply)
        ),
    )


async def _wait_for_members(
    control: str,
    key_path: str,
    is_wanted: collections.abc.Callable[[replica_pb2.MembersReply], bool],
) -> replica_pb2.MembersReply:
    """Poll the leader until ``is_wanted`` accepts its reply; return the reply.

    The newest change of the members must also be committed.

    Raises :class:`gentianspoke.errors.MemberChangeError` if this takes longer
    than ``CHANGE_TIMEOUT_S``.
    """
    try:
        async with asyncio.timeout(CHANGE_TIMEOUT_S):
            while True:
                # The removal of the leader causes an election. No leader
                # answers until it ends.
                with contextlib.suppress(errors.ControlUnreachableError):
                    reply = await list_members(control, key_path)
                    if is_wanted(reply) and not reply.change_pending:
                        return reply
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError as exc:
        raise errors.MemberChangeError(
            'the change is not committed yet; see "gentianspoke'
            ' control-group members", then run the command again'
        ) from exc


def _extract_members(
    reply: replica_pb2.MembersReply,
) -> list[replica_pb2.GroupMember]:
    return [status.member for status in reply.members]


def _is_leader_reply(
    reply: replica_pb2.MembersReply | replica_pb2.MemberChangeReply,
) -> bool:
    match reply:
        case replica_pb2.MembersReply():
            return any(status.leads for status in reply.members)
        case _:
            return reply.accepted or bool(reply.reason)


def _parse_address(text: str) -> units.Address:
    try:
        return units.parse_address(text)
    except ValueError as exc:
        raise errors.SettingsError('command line', text, str(exc)) from exc
