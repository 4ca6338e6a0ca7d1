"""Operators' requests that have no answer yet."""

import asyncio
import collections
import dataclasses

from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control.replica import effects
from gentianspoke import errors

MAX_BATCH_REQUESTS = 64
MAX_PENDING_REQUESTS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request and the future of its answer.

    ``term`` is the term in which the request was proposed, 0 before that.
    """

    request: catalogue_records.Request
    future: asyncio.Future[catalogue_records.Answer]
    term: int = 0


class PendingRequests:
    """Holds queued requests, and proposed ones by their index in the log."""

    def __init__(self) -> None:
        """Start without requests."""
        self.request_queued = asyncio.Event()
        self._queued_requests: collections.deque[PendingRequest] = (
            collections.deque()
        )
        self._proposed_requests: dict[int, PendingRequest] = {}

    @property
    def has_requests(self) -> bool:
        """Whether any request is queued or proposed."""
        return bool(self._queued_requests or self._proposed_requests)

    def add(
        self, request: catalogue_records.Request
    ) -> asyncio.Future[catalogue_records.Answer]:
        """Queue a request; return the future of its answer.

        Raises :class:`gentianspoke.errors.BusyError` if too many requests
        are pending.
        """
        if (
            len(self._queued_requests) + len(self._proposed_requests)
            >= MAX_PENDING_REQUESTS
        ):
            raise errors.BusyError()
        loop = asyncio.get_running_loop()
        pending = PendingRequest(request, loop.create_future())
        self._queued_requests.append(pending)
        self.request_queued.set()
        return pending.future

    def get_next_batch(self) -> tuple[catalogue_records.Request, ...]:
        """Return the requests to propose next, which stay in the queue.

        If there are none, ``request_queued`` is cleared, so that a task that
        waits for it is woken only by the next request.
        """
        if not self._queued_requests:
            self.request_queued.clear()
        batch = list(self._queued_requests)[:MAX_BATCH_REQUESTS]
        return tuple(pending.request for pending in batch)

    def record_proposed(self, proposed: effects.Proposed) -> None:
        """Move the first queued request to the proposed ones."""
        pending = self._queued_requests.popleft()
        self._proposed_requests[proposed.index] = dataclasses.replace(
            pending, term=proposed.term
        )

    def answer(self, committed: effects.Committed) -> None:
        """Answer the request that was proposed at a committed index.

        If the record there has another term, it is not the one that was
        proposed. The request then fails with
        :class:`gentianspoke.errors.OutcomeUnknownError`.
        """
        pending = self._proposed_requests.pop(committed.index, None)
        if pending is None or pending.future.done():
            return
        if pending.term == committed.term and committed.answer is not None:
            pending.future.set_result(committed.answer)
        else:
            pending.future.set_exception(errors.OutcomeUnknownError())

    def fail_all(self, leader: str) -> None:
        """Fail all requests, since this instance no longer leads.

        The outcome of the proposed ones is unknown. The queued ones were not
        proposed, so they had no effect.
        """
        for pending in self._proposed_requests.values():
            if not pending.future.done():
                pending.future.set_exception(errors.OutcomeUnknownError())
        self._proposed_requests.clear()
        self.refuse(len(self._queued_requests), leader)

    def refuse(self, count: int, leader: str) -> None:
        """Refuse the first ``count`` queued requests, which had no effect."""
        for _ in range(min(count, len(self._queued_requests))):
            pending = self._queued_requests.popleft()
            if not pending.future.done():
                error = errors.NotLeaderError(leader)
                pending.future.set_exception(error)
