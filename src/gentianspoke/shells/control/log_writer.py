"""Writes what a replica's effects save, in a thread of its own."""

import asyncio
import concurrent.futures
import typing

from gentianspoke import clock
from gentianspoke.codec import replica as codec
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions.control.replica import state as states
from gentianspoke import errors
from gentianspoke.storage import replica_store
from gentianspoke.telemetry import logs

# How often a disk that refused a write is tried again.
WRITE_RETRY_INTERVAL_MS = 200


class LogWriter:
    """Saves effects, and tries a disk that refused a write again."""

    def __init__(
        self,
        store: replica_store.ReplicaStore,
        executor: concurrent.futures.Executor,
        process_clock: clock.Clock,
        events: logs.EventLog,
    ) -> None:
        """Write to ``store``; the writes run in ``executor``."""
        self._store = store
        self._executor = executor
        self._clock = process_clock
        self._events = events
        # When a write failed, and when the disk is tried again.
        self._unwritable_since_ms = process_clock.now()
        self._next_write_ms = 0

    async def save(self, new_effects: list[effects.Effect]) -> bool:
        """Save what the effects of one step save; return whether any does.

        Raises :class:`gentianspoke.errors.WriteError` if a write fails.
        """
        vote: effects.SaveVote | None = None
        new_records: tuple[records.Record, ...] = ()
        is_saved = False
        for effect in new_effects:
            match effect:
                case effects.SaveVote():
                    vote = effect
                case effects.SaveRecords(records=more_records):
                    new_records = (*new_records, *more_records)
                case effects.SaveAll(stored=stored):
                    # SaveAll includes all that the earlier effects of this
                    # step would save.
                    vote, new_records, is_saved = None, (), True
                    await self._run_in_executor(self._store.save_all, stored)
        if vote is None and not new_records:
            return is_saved
        await self._run_in_executor(
            self._store.save, codec.JournalEntry(vote, new_records)
        )
        return True

    def note_failure(self, exc: errors.WriteError) -> None:
        """Log a failed write, and set the time of the next attempt."""
        now = self._clock.now()
        self._unwritable_since_ms = now
        self._next_write_ms = now + WRITE_RETRY_INTERVAL_MS
        self._events.write('log-unwritable', reason=str(exc))

    async def try_again(self, state: states.State) -> bool:
        """Write the whole state if an attempt is due; return whether it was.

        The result is ``False`` if the disk still refuses writes.
        """
        if self._clock.now() < self._next_write_ms:
            return False
        try:
            # Encoding the state takes long, so try a small file first.
            await self._run_in_executor(self._store.check_space)
            await self._run_in_executor(
                self._store.save_all, state.build_stored()
            )
        except errors.WriteError:
            # ``note_failure`` has logged the failure that began this state.
            self._next_write_ms = self._clock.now() + WRITE_RETRY_INTERVAL_MS
            return False
        unwritable_ms = self._clock.now() - self._unwritable_since_ms
        self._events.write('log-writable', unwritable_ms=unwritable_ms)
        return True

    async def _run_in_executor(
        self, write: typing.Callable[..., None], *content: typing.Any
    ) -> None:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, write, *content)


def needs_write(effect: effects.Effect) -> bool:
    """Return whether an effect saves something, or promises what was saved."""
    match effect:
        case (
            effects.SaveVote()
            | effects.SaveRecords()
            | effects.SaveAll()
            | effects.Respond()
        ):
            return True
        case _:
            return False
