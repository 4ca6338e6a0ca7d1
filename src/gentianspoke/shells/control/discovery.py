"""Spreads the addresses of the control group among control instances.

Entries, agents and joining control instances know only the control instances
in their settings, the seeds. A seed need not be a member of the control group:
it may keep no log, or may have lost its data folder. After a restart of all
processes, such a seed knows no member either. So each control instance
exchanges what it knows of the group with each of its own seeds that is not a
member, and refers callers to the members that it has learned.
"""

import asyncio

import grpclib.server

from gentianspoke.codec import known_groups as codec
from gentianspoke.config import units
from gentianspoke.core import known_groups
from gentianspoke import errors
from gentianspoke.generated import discovery_grpc
from gentianspoke.generated import discovery_pb2
from gentianspoke.shells import channel_auth
from gentianspoke.shells.control import calls
from gentianspoke.shells.control import catalogue_log
from gentianspoke.shells import feed_client
from gentianspoke.shells import process

# How often the seeds are compared with the members of the group.
SEED_CHECK_INTERVAL_S = 0.5
# Interval of the exchanges with a seed that has not confirmed what this
# instance knows. A client may ask the seed at any time.
EXCHANGE_INTERVAL_S = 1.0
# The interval once the seed has confirmed it. The seed may restart unnoticed
# and must know the group again soon.
CONFIRMED_EXCHANGE_INTERVAL_S = 3.0
EXCHANGE_TIMEOUT_S = 1.0


def describe_group(
    proc: process.Process, log: catalogue_log.CatalogueLog | None
) -> known_groups.KnownGroup:
    """Return the group as this instance knows it, from its log or by report.

    ``log`` is ``None`` if this instance keeps no log. A log that is older than
    a report is that of a former member.
    """
    reported = proc.sources.known_group
    if log is None:
        return reported
    own = log.describe_group()
    if log.knows_group and own.version >= reported.version:
        return own
    return reported


class DiscoveryService(discovery_grpc.DiscoveryBase):
    """Exchanges the known group with other control instances."""

    def __init__(
        self, proc: process.Process, log: catalogue_log.CatalogueLog | None
    ) -> None:
        """Answer from a log, which is ``None`` if this instance keeps none."""
        self._proc = proc
        self._log = log

    async def Exchange(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[discovery_pb2.KnownGroup,'
            ' discovery_pb2.KnownGroup]'
        ),
    ) -> None:
        """Store what the caller knows, and reply with what is known here."""
        message = await calls.receive_request(stream)
        try:
            store_reported(self._proc, message)
        except errors.ControlError as exc:
            raise grpclib.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT, str(exc)
            ) from exc
        group = describe_group(self._proc, self._log)
        await stream.send_message(codec.encode_known_group(group))


def store_reported(
    proc: process.Process, message: discovery_pb2.KnownGroup
) -> None:
    """Store a reported group, and write an event if its members are new.

    Raises :class:`gentianspoke.errors.ControlError` if an address is not
    valid.
    """
    reported = codec.decode_known_group(
        message.addresses, message.leader, message.version
    )
    earlier_addresses = proc.sources.known_group.addresses
    proc.sources.store_reported(reported)
    group = proc.sources.known_group
    if group.addresses != earlier_addresses:
        proc.events.write(
            'group-learned',
            members=' '.join(group.addresses),
            leader=group.leader,
            version=group.version,
        )


class SeedExchange:
    """Runs one task for each seed that is not a member of the group."""

    def __init__(
        self,
        proc: process.Process,
        log: catalogue_log.CatalogueLog | None,
        own_address: units.Address,
    ) -> None:
        """Start without tasks.

        ``log`` is ``None`` if this instance keeps no log. ``own_address`` is
        excluded from the seeds.
        """
        self._proc = proc
        self._log = log
        self._own_address = own_address
        self._tasks: dict[units.Address, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Start and cancel tasks as seeds and members change.

        Runs until cancelled.
        """
        async with asyncio.TaskGroup() as task_group:
            while True:
                # Most groups form or are found within the first interval, and
                # their seeds need no exchange then.
                await asyncio.sleep(SEED_CHECK_INTERVAL_S)
                self._update_tasks(task_group)

    def _update_tasks(self, task_group: asyncio.TaskGroup) -> None:
        group = describe_group(self._proc, self._log)
        members = set(map(units.parse_address, group.addresses))
        seeds = set(self._proc.sources.list_configured())
        seeds_to_ask = seeds - members - {self._own_address}
        for seed in self._tasks.keys() - seeds_to_ask:
            self._tasks.pop(seed).cancel()
        for seed in seeds_to_ask - self._tasks.keys():
            self._tasks[seed] = task_group.create_task(
                self._exchange_with(seed)
            )

    async def _exchange_with(self, seed: units.Address) -> None:
        while True:
            if await self._exchange_once(seed):
                await asyncio.sleep(CONFIRMED_EXCHANGE_INTERVAL_S)
            else:
                await asyncio.sleep(EXCHANGE_INTERVAL_S)

    async def _exchange_once(self, seed: units.Address) -> bool:
        """Exchange the known group with a seed.

        Return whether the seed now knows the same members.
        """
        group = describe_group(self._proc, self._log)
        message = codec.encode_known_group(group)
        try:
            async with channel_auth.open_channel(
                seed, self._proc.get_current_ring, self._proc.cfg.instance
            ) as channel:
                stub = discovery_grpc.DiscoveryStub(channel)
                reply = await stub.Exchange(
                    message, timeout=EXCHANGE_TIMEOUT_S
                )
            store_reported(self._proc, reply)
        except feed_client.CHANNEL_ERRORS as exc:
            self._proc.events.write(
                'seed-unanswered',
                source=units.format_address(seed),
                reason=repr(exc),
            )
            return False
        return bool(group.addresses) and reply.addresses == message.addresses
