"""Whole catalogues in and out of the log, for other front ends."""

import dataclasses

from gentianspoke.decisions.control import catalogue
from gentianspoke import errors
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import process


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A majority has synced the document or a newer one."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The newest document; a majority confirmed so after the question."""

    document: catalogue.Document


@dataclasses.dataclass(frozen=True, slots=True)
class AskLeader:
    """Another instance leads; ``host`` is its IP number."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """No answer can be given now; the question may be asked again."""

    reason: str


Outcome = Accepted | Found | AskLeader | Unavailable


class Documents:
    """Puts and reads whole catalogues; without a log it names the leader."""

    def __init__(
        self,
        proc: process.Process,
        log: replicated_log.ReplicatedLog | None,
    ) -> None:
        """Answer from a log, if this instance keeps one."""
        self._proc = proc
        self._log = log

    async def put(self, document: catalogue.Document) -> Outcome:
        """Return once a majority has synced the document."""
        if self._log is None or not self._log.is_leader:
            return self._ask_leader()
        current = self._log.catalogue.document
        if current is not None and document.version <= current.version:
            return await self._confirm_older(self._log, document)
        key = f'document/{document.version}'
        try:
            await self._log.submit(catalogue.Request(key, '', (), document))
        except errors.NotLeaderError:
            return self._ask_leader()
        except errors.ControlError as exc:
            return Unavailable(str(exc))
        return Accepted(document.version)

    async def read(self) -> Outcome:
        """Return the newest document once a majority confirms it."""
        if self._log is None or not self._log.is_leader:
            return self._ask_leader()
        if not await self._log.confirm():
            return Unavailable('no majority confirmed it in time')
        current = self._log.catalogue.document
        if current is None:
            return Unavailable('no document was accepted yet')
        return Found(current)

    async def _confirm_older(
        self,
        log: replicated_log.ReplicatedLog,
        document: catalogue.Document,
    ) -> Outcome:
        if await log.confirm():
            return Accepted(document.version)
        return Unavailable('no majority confirmed it in time')

    def _ask_leader(self) -> Outcome:
        leader = ''
        if self._log is not None:
            leader = self._log.leader.rpartition(':')[0]
        elif self._proc.sources.leader is not None:
            leader = self._proc.sources.leader[0]
        if not leader:
            return Unavailable('no leader is known')
        return AskLeader(leader)
