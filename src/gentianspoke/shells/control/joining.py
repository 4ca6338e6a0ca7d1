"""Asks the group to add this instance while no majority confirms it."""

import asyncio

from gentianspoke import clock
from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke.generated import replica_grpc
from gentianspoke.generated import replica_pb2
from gentianspoke.shells import channel_auth
from gentianspoke.shells.control import peers
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import process

REQUEST_INTERVAL_S = 0.25
REQUEST_TIMEOUT_S = 1.0
# A member that no majority has confirmed for this long may have been removed
# from the group.
MAX_UNCONFIRMED_MS = 2_500


async def request_membership(
    proc: process.Process,
    log: replicated_log.ReplicatedLog,
    control_settings: settings.ControlSettings,
) -> None:
    """Ask the group to add this instance while no majority confirms it.

    The requests go to one instance after the other, until cancelled. Return
    if operators manage the members (the setting ``tolerate`` is 0).
    """
    own_address = units.format_address(control_settings.listen)
    if log.group.members:
        # Give a leader that knows this instance the time to contact it.
        await asyncio.sleep(MAX_UNCONFIRMED_MS / clock.MS_PER_S)
    while control_settings.tolerate:
        await asyncio.sleep(REQUEST_INTERVAL_S)
        member_addresses = [
            units.parse_address(text)
            for text in log.describe_group().addresses
        ]
        for address in dict.fromkeys(
            (*proc.sources.list_addresses(), *member_addresses)
        ):
            if address != control_settings.listen and _needs_request(
                log, control_settings
            ):
                await _request_addition(proc, address, own_address)
                await asyncio.sleep(REQUEST_INTERVAL_S)


def _needs_request(
    log: replicated_log.ReplicatedLog,
    control_settings: settings.ControlSettings,
) -> bool:
    if not log.group.members and not control_settings.join:
        # This is an initial member of a new group, which ``forming`` forms.
        return False
    return log.get_confirmed_age_ms() >= MAX_UNCONFIRMED_MS


async def _request_addition(
    proc: process.Process, address: units.Address, own_address: str
) -> None:
    tried_addresses: set[units.Address] = set()
    next_address: units.Address | None = address
    while next_address is not None and next_address not in tried_addresses:
        tried_addresses.add(next_address)
        next_address = await _send_add_request(proc, next_address, own_address)


async def _send_add_request(
    proc: process.Process, address: units.Address, own_address: str
) -> units.Address | None:
    """Ask an instance to add this one; return the leader that it names.

    Return ``None`` if it names no leader, does not answer or is the leader.
    """
    request = replica_pb2.AddMemberRequest(address=own_address)
    try:
        async with channel_auth.open_channel(
            address, proc.get_current_ring, proc.cfg.instance
        ) as channel:
            stub = replica_grpc.ControlMembersStub(channel)
            reply = await stub.Add(request, timeout=REQUEST_TIMEOUT_S)
    except peers.PEER_ERRORS as exc:
        proc.events.write(
            'join-unanswered',
            source=units.format_address(address),
            reason=repr(exc),
        )
        return None
    if reply.leader:
        return units.parse_address(reply.leader)
    proc.events.write(
        'join-answered',
        source=units.format_address(address),
        accepted=reply.accepted,
        reason=reply.reason,
    )
    return None
