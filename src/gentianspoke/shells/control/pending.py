"""Operators' requests between their arrival and their answer."""

import asyncio
import collections
import dataclasses

from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control.replica import effects
from gentianspoke import errors

BATCH_REQUESTS = 64
WAITING_AT_MOST = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request whose answer is awaited; ``term`` once it is proposed."""

    request: catalogue.Request
    done: asyncio.Future[catalogue.Answer]
    term: int = 0


class PendingRequests:
    """Requests that are queued, and those that have a place in the log."""

    def __init__(self) -> None:
        """Begin with none."""
        self.filled = asyncio.Event()
        self._queued: collections.deque[Waiting] = collections.deque()
        self._proposed: dict[int, Waiting] = {}

    def add(
        self, request: catalogue.Request
    ) -> asyncio.Future[catalogue.Answer]:
        """Queue a request; return the future of its answer.

        Raises :class:`gentianspoke.errors.BusyError`.
        """
        if len(self._queued) + len(self._proposed) >= WAITING_AT_MOST:
            raise errors.BusyError()
        loop = asyncio.get_running_loop()
        waiting = Waiting(request, loop.create_future())
        self._queued.append(waiting)
        self.filled.set()
        return waiting.done

    def next_batch(self) -> tuple[catalogue.Request, ...]:
        """Return the requests to propose now; they stay queued."""
        if not self._queued:
            self.filled.clear()
        first = list(self._queued)[:BATCH_REQUESTS]
        return tuple(item.request for item in first)

    def propose_first(self, proposed: effects.Proposed) -> None:
        """Note the place of the request that is first in the queue."""
        waiting = self._queued.popleft()
        self._proposed[proposed.index] = dataclasses.replace(
            waiting, term=proposed.term
        )

    def answer(self, committed: effects.Committed) -> None:
        """Answer the request at a place of the log, if it is the same."""
        waiting = self._proposed.pop(committed.index, None)
        if waiting is None or waiting.done.done():
            return
        if waiting.term == committed.term and committed.answer is not None:
            waiting.done.set_result(committed.answer)
        else:
            waiting.done.set_exception(errors.OutcomeUnknownError())

    def give_up(self, leader: str) -> None:
        """End all requests, since this instance does not lead any more."""
        for waiting in self._proposed.values():
            if not waiting.done.done():
                waiting.done.set_exception(errors.OutcomeUnknownError())
        self._proposed.clear()
        self.refuse(len(self._queued), leader)

    def refuse(self, count: int, leader: str) -> None:
        """Refuse the first ``count`` of the queue, which were not run."""
        for _ in range(min(count, len(self._queued))):
            waiting = self._queued.popleft()
            if not waiting.done.done():
                error = errors.NotLeaderError(leader)
                waiting.done.set_exception(error)
