"""Client of the control instances for operators' commands.

The client finds the leader and sends edits to it.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from gentianspoke.codec import catalogue as codec
from gentianspoke.codec import catalogue_entries
from gentianspoke.codec import keys
from gentianspoke.config import units
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue_records
from gentianspoke import errors
from gentianspoke.generated import catalogue_grpc
from gentianspoke.generated import catalogue_pb2
from gentianspoke.shells import channel_auth
from gentianspoke.shells import feed_client

REQUEST_TIMEOUT_S = 5.0
# An edit is retried for this time. After that, its outcome counts as unknown.
APPLY_TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.3
STATUS_POLL_INTERVAL_S = 0.2
# A leader is confirmed when it exchanges messages with a majority. A follower
# that has applied all committed edits is confirmed by the messages of such a
# leader. A read from an instance whose last confirmation is older than this
# may lack accepted edits.
MAX_READ_STALENESS_MS = 3_000
OPERATOR = 'operator'

Reply = typing.TypeVar('Reply')
Call = collections.abc.Callable[
    [catalogue_grpc.CatalogueStub], collections.abc.Awaitable[Reply]
]


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """The answer to an edit.

    ``is_repeated`` is true if the edit was applied by an earlier transmission
    of the same request.
    """

    answer: catalogue_records.Answer
    is_repeated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The catalogue entries that one control instance knows.

    ``entries`` maps the name of an entry to the entry, ``version`` is the
    version of the catalogue, and ``confirmed_age_ms`` is the time since a
    majority last confirmed the instance.
    """

    entries: dict[str, services.Service]
    version: int
    confirmed_age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """The status that a control instance reports.

    ``confirmed_age_ms`` is the time since a majority last confirmed the
    instance. The fields from ``consumers`` on are known only to the leader.
    ``consumers`` is the number of consumers of the feed, ``in_force`` the
    number of consumers that run the requested catalogue version or a newer
    one, and ``laggards`` names some of the other consumers. While
    ``complete`` is false, a new leader may not yet know all consumers.
    ``evacuated_zones`` are those that the instance has applied.
    """

    address: units.Address
    role: str
    term: int
    version: int
    confirmed_age_ms: int
    leader: str
    consumers: int
    in_force: int
    laggards: tuple[str, ...]
    complete: bool
    evacuated_zones: tuple[str, ...] = ()

    @property
    def is_in_force_everywhere(self) -> bool:
        """Whether every consumer runs the requested version."""
        return self.complete and self.in_force >= self.consumers


class CatalogueClient:
    """Sends requests to control instances, each over a new connection.

    All methods that send a request raise
    :class:`gentianspoke.errors.ControlError` if an instance refuses the key
    or the content of the request.
    """

    def __init__(
        self, addresses: tuple[units.Address, ...], ring: keys.KeyRing
    ) -> None:
        """Try the instances at ``addresses`` in this order."""
        self._addresses = addresses
        self._ring = ring

    async def apply(self, request: catalogue_records.Request) -> ApplyResult:
        """Send a request to the leader and return the answer.

        If the answer is lost, the request is sent again with the same
        idempotency key, so that it takes effect only once. Raises
        :class:`gentianspoke.errors.OutcomeUnknownError` if no leader
        answers within ``APPLY_TIMEOUT_S``.
        """
        message = codec.encode_request(request)
        try:
            async with asyncio.timeout(APPLY_TIMEOUT_S):
                reply = await self._send_until_answered(message)
        except TimeoutError as exc:
            raise errors.OutcomeUnknownError(request.idempotency_key) from exc
        return ApplyResult(codec.decode_answer(reply), reply.repeated_answer)

    async def list_entries(self) -> Listing:
        """Return all entries, including retired ones.

        The result comes from the first instance that answers and that a
        majority confirmed less than ``MAX_READ_STALENESS_MS`` ago. If
        there is none, it comes from the instance with the most recent
        confirmation. Raises
        :class:`gentianspoke.errors.ControlUnreachableError` if no instance
        answers.
        """
        listings: list[Listing] = []
        for address in self._addresses:
            reply = await self._call_or_none(address, _call_list)
            if reply is None:
                continue
            entries = map(catalogue_entries.decode_entry, reply.entries)
            listing = Listing(
                {entry.name: entry for entry in entries},
                reply.version,
                reply.confirmed_age_ms,
            )
            if listing.confirmed_age_ms < MAX_READ_STALENESS_MS:
                return listing
            listings.append(listing)
        if not listings:
            raise self._make_unreachable_error()
        return min(listings, key=lambda item: item.confirmed_age_ms)

    async def fetch_history(
        self, name: str
    ) -> list[catalogue_records.HistoryItem]:
        """Return the accepted versions of an entry, oldest first.

        Raises :class:`gentianspoke.errors.ControlUnreachableError` if no
        instance answers.
        """
        request = catalogue_pb2.HistoryRequest(name=name)
        for address in self._addresses:
            reply = await self._call_or_none(
                address,
                lambda stub: stub.History(request, timeout=REQUEST_TIMEOUT_S),
            )
            if reply is not None:
                return [
                    codec.decode_history_item(item) for item in reply.items
                ]
        raise self._make_unreachable_error()

    async def fetch_statuses(self, version: int = 0) -> list[Status]:
        """Return the status of ``version`` from each instance that answers.

        With ``version`` 0, each instance reports on its current version.
        """
        statuses_or_none = [
            await self._fetch_status(address, version)
            for address in self._addresses
        ]
        return [status for status in statuses_or_none if status is not None]

    async def wait_in_force(
        self, version: int, timeout_s: float
    ) -> Status | None:
        """Wait until all consumers run a version, or until a timeout.

        Return the last status that a leader reported, or ``None`` if no
        leader answered.
        """
        status: Status | None = None
        try:
            async with asyncio.timeout(timeout_s):
                while status is None or not status.is_in_force_everywhere:
                    status = await self._fetch_leader_status(version) or status
                    await asyncio.sleep(STATUS_POLL_INTERVAL_S)
        except TimeoutError:
            return status
        return status

    async def _send_until_answered(
        self, message: catalogue_pb2.ApplyRequest
    ) -> catalogue_pb2.ApplyReply:
        while True:
            for address in self._addresses:
                reply = await self._send_to_leader(address, message)
                if reply is not None:
                    return reply
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _send_to_leader(
        self, address: units.Address, message: catalogue_pb2.ApplyRequest
    ) -> catalogue_pb2.ApplyReply | None:
        def send(
            stub: catalogue_grpc.CatalogueStub,
        ) -> collections.abc.Awaitable[catalogue_pb2.ApplyReply]:
            return stub.Apply(message, timeout=REQUEST_TIMEOUT_S)

        reply = await self._call_or_none(address, send)
        if reply is not None and reply.redirected and reply.leader:
            reply = await self._call_or_none(
                units.parse_address(reply.leader), send
            )
        return None if reply is None or reply.redirected else reply

    async def _fetch_leader_status(self, version: int) -> Status | None:
        for address in self._addresses:
            status = await self._fetch_status(address, version)
            if status is None:
                continue
            if status.role != 'leader' and status.leader:
                leader = units.parse_address(status.leader)
                status = await self._fetch_status(leader, version)
            if status is not None and status.role == 'leader':
                return status
        return None

    async def _fetch_status(
        self, address: units.Address, version: int
    ) -> Status | None:
        request = catalogue_pb2.StatusRequest(version=version)
        reply = await self._call_or_none(
            address,
            lambda stub: stub.Status(request, timeout=REQUEST_TIMEOUT_S),
        )
        if reply is None:
            return None
        return Status(
            address=address,
            role=reply.role,
            term=reply.term,
            version=reply.version,
            confirmed_age_ms=reply.confirmed_age_ms,
            leader=reply.leader,
            consumers=reply.consumers,
            in_force=reply.in_force,
            laggards=tuple(reply.laggards),
            complete=reply.complete,
            evacuated_zones=tuple(reply.evacuated_zones),
        )

    async def _call_or_none(
        self, address: units.Address, call: Call[Reply]
    ) -> Reply | None:
        try:
            async with channel_auth.open_channel(
                address, lambda: self._ring, OPERATOR
            ) as channel:
                return await call(catalogue_grpc.CatalogueStub(channel))
        except feed_client.CHANNEL_ERRORS as exc:
            channel_auth.raise_if_refused(exc)
            return None

    def _make_unreachable_error(self) -> errors.ControlUnreachableError:
        return errors.ControlUnreachableError(
            ','.join(map(units.format_address, self._addresses))
        )


def _call_list(
    stub: catalogue_grpc.CatalogueStub,
) -> collections.abc.Awaitable[catalogue_pb2.ListReply]:
    request = catalogue_pb2.ListRequest(include_retired=True)
    return stub.List(request, timeout=REQUEST_TIMEOUT_S)
