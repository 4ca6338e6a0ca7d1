"""Follows the feed of a control instance, and moves on when it is stale."""

import asyncio
import collections.abc
import dataclasses

import grpclib
import h2.exceptions

from gentianspoke.codec import catalogue
from gentianspoke.codec import feed
from gentianspoke.config import units
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.generated import feed_grpc
from gentianspoke.generated import feed_pb2
from gentianspoke.shells import channel_auth
from gentianspoke.shells import process

STALE_MS = 3_000
RETRY_PAUSE_S = 0.25
MS_PER_S = 1_000

CHANNEL_ERRORS = (
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    h2.exceptions.ProtocolError,
    OSError,
    TimeoutError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueUpdate:
    """Entries that replace all (``snapshot``) or some of the known ones."""

    snapshot: bool
    version: int
    entries: list[services.Service]


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """A majority confirmed the source ``age_ms`` milliseconds ago."""

    age_ms: int
    catalogue_version: int


Update = CatalogueUpdate | views.View | Confirmed
# Takes an update and returns the catalogue version now in force.
Take = collections.abc.Callable[[Update], int]


async def follow_feeds(proc: process.Process, role: str, take: Take) -> None:
    """Follow one source after the other, without end.

    A source that breaks, falls silent, or whose last confirmation by a
    majority is too old, is left for the next one, over a new connection.
    """
    version = 0
    while True:
        for address in proc.cfg.feeds:
            try:
                version = await _follow(proc, role, address, take, version)
            except CHANNEL_ERRORS as exc:
                proc.events.write(
                    'feed-lost',
                    source=units.format_address(address),
                    reason=repr(exc),
                )
            await asyncio.sleep(RETRY_PAUSE_S)


async def _follow(
    proc: process.Process,
    role: str,
    address: units.Address,
    take: Take,
    version: int,
) -> int:
    async with channel_auth.open_channel(
        address, proc.current_ring, proc.cfg.instance
    ) as channel:
        stub = feed_grpc.FeedStub(channel)
        async with stub.Follow.open() as stream:
            subscribe = feed_pb2.Subscribe(
                instance=proc.cfg.instance,
                role=role,
                zone=proc.cfg.zone,
                catalogue_version=version,
            )
            await stream.send_message(
                feed_pb2.FollowRequest(subscribe=subscribe)
            )
            while True:
                async with asyncio.timeout(STALE_MS / MS_PER_S):
                    reply = await stream.recv_message()
                update = _decode(reply) if reply is not None else None
                if update is None or _is_stale(update):
                    await stream.cancel()
                    return version
                in_force = take(update)
                if in_force != version:
                    version = in_force
                    await stream.send_message(_acknowledge(version))


def _is_stale(update: Update) -> bool:
    match update:
        case Confirmed(age_ms=age_ms):
            return age_ms >= STALE_MS
        case _:
            return False


def _acknowledge(version: int) -> feed_pb2.FollowRequest:
    acknowledge = feed_pb2.Acknowledge(catalogue_version=version)
    return feed_pb2.FollowRequest(acknowledge=acknowledge)


def _decode(reply: feed_pb2.FollowReply) -> Update | None:
    match reply.WhichOneof('content'):
        case 'catalogue':
            update = reply.catalogue
            entries = [catalogue.decode_entry(item) for item in update.entries]
            return CatalogueUpdate(update.snapshot, update.version, entries)
        case 'view':
            return feed.decode_view(reply.view)
        case 'confirmation':
            confirmation = reply.confirmation
            return Confirmed(
                confirmation.age_ms, confirmation.catalogue_version
            )
        case _:
            return None
