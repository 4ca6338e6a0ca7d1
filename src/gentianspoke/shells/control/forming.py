"""Forms the control group from the initial members in the settings."""

import asyncio

from gentianspoke.codec import replica as replica_codec
from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke.decisions.control.replica import formation
from gentianspoke.decisions.control.replica import messages
from gentianspoke import errors
from gentianspoke.generated import replica_pb2
from gentianspoke.shells import channel_auth
from gentianspoke.shells.control import peers
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import process

RETRY_INTERVAL_S = 0.2


async def fetch_identity(
    proc: process.Process, address: units.Address
) -> formation.Identity:
    """Return the identity of the control instance at an address.

    Raises one of ``peers.PEER_ERRORS``.
    """
    request = replica_pb2.PeerRequest(identify=replica_pb2.IdentifyRequest())
    async with channel_auth.open_channel(
        address, proc.get_current_ring, proc.cfg.instance
    ) as channel:
        reply = await peers.exchange(channel, request)
    if reply.WhichOneof('content') != 'identify':
        raise errors.ControlError(
            f'{units.format_address(address)} did not identify itself; run'
            ' the same version there'
        )
    identity = reply.identify
    group = replica_codec.decode_group(identity.group)
    return formation.Identity(identity.number, identity.instance, group)


async def form_group(
    proc: process.Process,
    log: replicated_log.ReplicatedLog,
    control_settings: settings.ControlSettings,
) -> None:
    """Form the group with the other initial members; return once it exists.

    Return at once if the log already has a group, or if this instance is to
    be added to one (the setting ``join``). Raises
    :class:`gentianspoke.errors.IdentityError` if this instance must not be
    part of the group.
    """
    if log.group.members or control_settings.join:
        return
    initial_members = _list_initial_members(proc, control_settings)
    while not log.group.members:
        match await _decide_start(proc, log, initial_members):
            case formation.Begin(group=group):
                await log.step(messages.FormGroup(group))
            case formation.Refuse(reason=reason):
                raise errors.IdentityError(f'{proc.cfg.instance}: {reason}')
            case formation.Wait(missing=missing):
                proc.events.write('group-waits', missing=' '.join(missing))
                await asyncio.sleep(RETRY_INTERVAL_S)


async def _decide_start(
    proc: process.Process,
    log: replicated_log.ReplicatedLog,
    initial_members: tuple[formation.InitialMember, ...],
) -> formation.Decision:
    state = log.replica.state
    own_identity = formation.Identity(state.number, state.instance)
    replies: dict[str, formation.Identity] = {}
    for member in initial_members:
        if member.instance == own_identity.instance:
            continue
        try:
            address = units.parse_address(member.address)
            replies[member.instance] = await fetch_identity(proc, address)
        except peers.PEER_ERRORS:
            continue
    return formation.decide_start(own_identity, initial_members, replies)


def _list_initial_members(
    proc: process.Process, control_settings: settings.ControlSettings
) -> tuple[formation.InitialMember, ...]:
    if not control_settings.members:
        address = units.format_address(control_settings.listen)
        name = control_settings.member or proc.cfg.instance
        return (formation.InitialMember(name, address),)
    return tuple(
        formation.InitialMember(instance, units.format_address(address))
        for instance, address in control_settings.members
    )
