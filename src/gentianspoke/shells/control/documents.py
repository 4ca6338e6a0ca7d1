"""Writes and reads of whole catalogue documents, for front ends."""

import asyncio
import dataclasses

from gentianspoke.codec import packing
from gentianspoke.config import units
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control import documents
from gentianspoke.decisions.control import former_pools
from gentianspoke import errors
from gentianspoke.shells.control import discovery
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import process


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The document, or a newer one, is durable on a majority of voters."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The newest document, as the result of a linearizable read.

    A majority confirmed the leader after the read began.
    """

    document: catalogue_records.Document


@dataclasses.dataclass(frozen=True, slots=True)
class AskLeader:
    """Another instance leads; ``host`` is the leader's IP address."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The request has no answer now; the client may send it again."""

    reason: str


NOT_CONFIRMED = (
    'no majority confirmed this leader in time; send the request again'
)
Outcome = Accepted | Found | AskLeader | Unavailable


class Documents:
    """Writes and reads whole catalogue documents at the leader.

    An instance that does not lead, or keeps no log, returns the address of
    the leader, or :class:`Unavailable` if it knows no leader.
    """

    def __init__(
        self,
        proc: process.Process,
        log: replicated_log.ReplicatedLog | None,
    ) -> None:
        """Answer from a log, which is ``None`` if this instance keeps none."""
        self._proc = proc
        self._log = log
        self._write_lock = asyncio.Lock()

    def find_redirect(self) -> AskLeader | Unavailable | None:
        """Return the outcome of all requests here, ``None`` if it leads."""
        return find_redirect(self._proc, self._log)

    async def put(self, document: catalogue_records.Document) -> Outcome:
        """Write a document; return the outcome once it is durable.

        A document is durable once a majority of voters has stored it. One
        that is not newer than the current one is accepted without a write,
        once a majority has confirmed this leader.
        """
        # Each document is stored as its changes to the one before it, so the
        # documents are written one after another.
        async with self._write_lock:
            return await self._put_next(document)

    async def read(self) -> Outcome:
        """Return the newest document once a majority confirms this leader."""
        if self._log is None or not self._log.is_leader:
            return redirect_to_leader(self._proc, self._log)
        if not await self._log.confirm_leadership():
            return Unavailable(NOT_CONFIRMED)
        current = self._log.catalogue.document
        if current is None:
            return Unavailable('no document was accepted yet; send one first')
        text = packing.unpack(current.text)
        return Found(catalogue_records.Document(current.version, text))

    async def expire_former_pools(self, expired_version: int) -> bool:
        """Remove former pools from the entries; return whether it is done.

        These are the pools that have got no new flows since
        ``expired_version`` or an earlier version. Only the leader removes
        them. If that fails, the reason is written as an event.
        """
        # A document is stored as its changes to the newest catalogue, so the
        # catalogue must not change while one is written.
        async with self._write_lock:
            if self._log is None or not self._log.is_leader:
                return False
            state = self._log.catalogue
            if not former_pools.expire_former_pools(
                state.entries.values(), expired_version, state.version
            ):
                return True
            request = catalogue_records.Request(
                f'expiry/{expired_version}',
                '',
                (),
                expire_former_pools=expired_version,
            )
            outcome = await submit(self._proc, self._log, request)
        match outcome:
            case catalogue_records.Answer(version=version):
                self._proc.events.write(
                    'former-pools-expired',
                    expired_version=expired_version,
                    version=version,
                )
                return True
            case Unavailable(reason=reason):
                self._proc.events.write('expiry-failed', reason=reason)
            case AskLeader():
                pass
        return False

    async def _put_next(self, document: catalogue_records.Document) -> Outcome:
        if self._log is None or not self._log.is_leader:
            return redirect_to_leader(self._proc, self._log)
        current = self._log.catalogue.document
        if current is not None and document.version <= current.version:
            return await accept_without_write(self._log, document.version)
        key = f'document/{document.version}'
        change = build_change(document, self._log.catalogue)
        request = catalogue_records.Request(key, '', (), change)
        match await submit(self._proc, self._log, request):
            case catalogue_records.Answer(accepted=True):
                return Accepted(document.version)
            case catalogue_records.Answer():
                return Unavailable(
                    'another change was accepted meanwhile; send the request'
                    ' again'
                )
            case outcome:
                return outcome


async def submit(
    proc: process.Process,
    log: replicated_log.ReplicatedLog,
    request: catalogue_records.Request,
) -> catalogue_records.Answer | AskLeader | Unavailable:
    """Return the answer to a request, or the outcome if there is none."""
    try:
        return await log.submit(request)
    except errors.NotLeaderError:
        return redirect_to_leader(proc, log)
    except errors.ControlError as exc:
        return Unavailable(str(exc))


async def accept_without_write(
    log: replicated_log.ReplicatedLog, version: int
) -> Accepted | Unavailable:
    """Return the outcome of a request that changes nothing.

    It is accepted at ``version`` once a majority has confirmed this leader.
    """
    if await log.confirm_leadership():
        return Accepted(version)
    return Unavailable(NOT_CONFIRMED)


def find_redirect(
    proc: process.Process, log: replicated_log.ReplicatedLog | None
) -> AskLeader | Unavailable | None:
    """Return the outcome of all requests here, ``None`` if it leads."""
    if log is None or not log.is_leader:
        return redirect_to_leader(proc, log)
    return None


def redirect_to_leader(
    proc: process.Process, log: replicated_log.ReplicatedLog | None
) -> AskLeader | Unavailable:
    """Return where to send a request, which this instance cannot answer."""
    leader = discovery.describe_group(proc, log).leader
    if not leader:
        return Unavailable('no leader is known; send the request again')
    host, _ = units.parse_address(leader)
    return AskLeader(host)


def build_change(
    document: catalogue_records.Document, state: catalogue.Catalogue
) -> catalogue_records.Document:
    """Return a document as its changes to the catalogue, text compressed.

    It stays a whole document if the catalogue is empty.
    """
    text = packing.pack(document.text)
    if state.version == 0:
        return dataclasses.replace(document, text=text)
    return catalogue_records.Document(
        version=document.version,
        text=text,
        entries=documents.find_changed_entries(
            state.entries, document.entries
        ),
        base_version=state.version,
        removed=documents.find_removed_names(state.entries, document.entries),
    )
