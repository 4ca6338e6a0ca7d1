"""The replicated catalogue log of one control instance.

One task handles all events in turn. It passes each event to the replica and
writes to disk what the replica's effects save. Only then does it answer
requests or let messages be sent.
"""

import asyncio
import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import typing

from gentianspoke import clock
from gentianspoke.core import known_groups
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import replica
from gentianspoke.decisions.control.replica import roles
from gentianspoke import errors
from gentianspoke.shells.control import log_writer
from gentianspoke.shells.control import pending
from gentianspoke.storage import replica_store
from gentianspoke.telemetry import logs

TICK_INTERVAL_S = 0.05
SUBMIT_TIMEOUT_S = 4.0
CONFIRM_TIMEOUT_S = 0.8
CONFIRM_POLL_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class BuildRequest:
    """Work that builds the request to send to a peer now, if any."""

    peer: int


@dataclasses.dataclass(frozen=True, slots=True)
class BuildExtraHeartbeat:
    """Work that builds the extra heartbeat to send to a peer, if any."""

    peer: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeQueued:
    """Work that proposes the next batch of the operators' requests."""


Work = messages.Event | BuildRequest | BuildExtraHeartbeat | ProposeQueued


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Work for the log's task, and the future of the work's result."""

    work: Work
    future: asyncio.Future[typing.Any]


class ReplicatedLog:
    """The catalogue log that the control group replicates.

    Implements ``catalogue_log.CatalogueLog``.
    """

    def __init__(
        self,
        own_replica: replica.Replica,
        store: replica_store.ReplicaStore,
        executor: concurrent.futures.Executor,
        process_clock: clock.Clock,
        events: logs.EventLog,
    ) -> None:
        """Apply a replica's effects; writes to disk run in ``executor``."""
        self.replica = own_replica
        self.catalogue = own_replica.state.catalogue
        self._writer = log_writer.LogWriter(
            store, executor, process_clock, events
        )
        self._clock = process_clock
        self._events = events
        self._jobs: asyncio.Queue[Job] = asyncio.Queue()
        self._pending = pending.PendingRequests()
        self._applied_condition = asyncio.Condition()
        self.group_changed = asyncio.Event()
        self.group_known = asyncio.Event()
        if self.group.members:
            self.group_known.set()
        # The events that the tasks of the peers wait for. All events are set
        # after each step with effects.
        self._wake_events: set[asyncio.Event] = set()

    @property
    def term(self) -> int:
        """The newest term that this instance knows."""
        return self.replica.state.term

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads and a majority confirms it now."""
        return self.replica.state.leads(self._clock.now())

    @property
    def role(self) -> str:
        """The name of the replica's role."""
        return self.replica.state.role.state

    @property
    def group(self) -> groups.Group:
        """The current group, with its voters and learners."""
        return self.replica.state.group

    @property
    def knows_group(self) -> bool:
        """Whether this instance knows the members of its group."""
        return bool(self.group.members)

    @property
    def is_settled(self) -> bool:
        """Whether no request is pending and all records are committed."""
        state = self.replica.state
        return (
            not self._pending.has_requests
            and state.commit_index >= state.log.last_index
        )

    @property
    def leader(self) -> str:
        """Address of the leader as "host:port", empty if none is known."""
        state = self.replica.state
        if state.leader == state.number and not self.is_leader:
            # This leader has lost contact with a majority, or has not yet
            # committed a record of its own term. If its own address were
            # returned, clients would send their requests here again, and
            # these could not be served until a majority replies.
            return ''
        member = self.group.find(state.leader)
        return member.address if member else ''

    def describe_group(self) -> known_groups.KnownGroup:
        """Return the addresses of the members and of the leader.

        The version counts committed records only, since another leader may
        replace the record of an uncommitted change.
        """
        state = self.replica.state
        return known_groups.KnownGroup(
            addresses=tuple(member.address for member in self.group.members),
            leader=self.leader,
            version=min(state.log.group_index, state.commit_index),
        )

    def get_confirmed_age_ms(self) -> int:
        """Return the ms since a majority last confirmed this instance."""
        return self.replica.state.get_confirmed_age_ms(self._clock.now())

    async def submit(
        self, request: catalogue_records.Request
    ) -> catalogue_records.Answer:
        """Return the answer to a request once it is durable on a majority.

        A request whose idempotency key is known gets its first answer again.

        Raises :class:`gentianspoke.errors.NotLeaderError` if this instance
        does not lead, :class:`gentianspoke.errors.BusyError` if too many
        requests are pending, and
        :class:`gentianspoke.errors.OutcomeUnknownError` if there is no
        answer in time or if this instance ceases to lead after it has
        proposed the request.
        """
        earlier_answer = self.catalogue.known_answer(request.idempotency_key)
        if earlier_answer is not None:
            return earlier_answer
        if not self.is_leader:
            raise errors.NotLeaderError(self.leader)
        answer_future = self._pending.add(request)
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_S):
                return await answer_future
        except TimeoutError as exc:
            raise errors.OutcomeUnknownError() from exc

    async def confirm_leadership(self) -> bool:
        """Return whether a majority confirms this leader before a timeout.

        Only a confirmation after the call began counts. If there is one, all
        requests that were accepted before the call have been applied.
        """
        started_ms = self._clock.now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                while self.is_leader:
                    state = self.replica.state
                    if state.get_majority_contact_ms(self._clock.now()) >= (
                        started_ms
                    ):
                        return True
                    await asyncio.sleep(CONFIRM_POLL_INTERVAL_S)
        return False

    async def wait_for_newer(self, version: int) -> None:
        """Return once the catalogue is newer than ``version``."""
        async with self._applied_condition:
            await self._applied_condition.wait_for(
                lambda: self.catalogue.version > version
            )

    async def step(self, event: messages.Event) -> list[effects.Effect]:
        """Pass an event to the replica; apply its effects and return them."""
        return await self._run_job(event)

    async def build_request(self, peer: int) -> messages.Request | None:
        """Return the request to send to a peer now, ``None`` if none is due.

        The calling code must send the request: a leader records it as sent.
        """
        return await self._run_job(BuildRequest(peer))

    async def build_extra_heartbeat(
        self, peer: int
    ) -> messages.AppendRequest | None:
        """Return a heartbeat to send beside an unanswered request.

        Return ``None`` if none is due. The calling code must send it.
        """
        return await self._run_job(BuildExtraHeartbeat(peer))

    @contextlib.contextmanager
    def notify(self) -> collections.abc.Iterator[asyncio.Event]:
        """Yield an event that is set after each step with effects."""
        wake_event = asyncio.Event()
        self._wake_events.add(wake_event)
        try:
            yield wake_event
        finally:
            self._wake_events.discard(wake_event)

    async def run(self) -> None:
        """Do all work in turn, until cancelled.

        If a write fails, the instance goes on without its vote until the disk
        takes writes again. Raises :class:`gentianspoke.errors.StorageError`
        if the data folder was changed; the instance must stop then.
        """
        while True:
            job = await self._jobs.get()
            result: typing.Any
            match job.work:
                case BuildRequest(peer=peer):
                    now = self._clock.now()
                    result = self.replica.build_request(peer, now)
                case BuildExtraHeartbeat(peer=peer):
                    now = self._clock.now()
                    result = self.replica.build_extra_heartbeat(peer, now)
                case ProposeQueued():
                    result = None
                    await self._propose_batch()
                case event:
                    await self._restore_writes_if_due()
                    result = await self._handle_event(event)
            if not job.future.done():
                job.future.set_result(result)

    async def tick(self) -> None:
        """Pass a tick to the replica periodically, until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            await self.step(messages.Tick())

    async def propose(self) -> None:
        """Propose the operators' requests in batches, until cancelled."""
        while True:
            await self._pending.request_queued.wait()
            await self._run_job(ProposeQueued())

    async def _run_job(self, work: Work) -> typing.Any:
        # The waiting task may be cancelled at any time. The log's task does
        # the work nevertheless, so that no write is interrupted.
        job = Job(work, _create_future())
        self._jobs.put_nowait(job)
        return await job.future

    async def _handle_event(
        self, event: messages.Event
    ) -> list[effects.Effect]:
        all_effects: list[effects.Effect] = []
        new_effects = self.replica.handle(event, self._clock.now())
        while new_effects:
            try:
                is_saved = await self._writer.save(new_effects)
            except errors.WriteError as exc:
                all_effects += self._handle_write_error(exc, new_effects)
                break
            for effect in new_effects:
                self._apply_effect(effect)
            all_effects += new_effects
            new_effects = []
            if is_saved:
                last_index = self.replica.state.log.last_index
                synced_event = messages.Synced(last_index)
                new_effects = self.replica.handle(
                    synced_event, self._clock.now()
                )
        if all_effects:
            await self._notify_waiters()
        return all_effects

    def _handle_write_error(
        self, exc: errors.WriteError, unsaved_effects: list[effects.Effect]
    ) -> list[effects.Effect]:
        """Carry out what needs no write; return the effects carried out.

        No reply is sent, because it could promise what was not saved.
        """
        self._writer.note_failure(exc)
        remaining_effects = [
            effect
            for effect in unsaved_effects
            if not log_writer.needs_write(effect)
        ]
        remaining_effects += self.replica.handle(
            messages.WriteFailed(), self._clock.now()
        )
        for effect in remaining_effects:
            self._apply_effect(effect)
        return remaining_effects

    async def _restore_writes_if_due(self) -> None:
        """Write the whole state if the disk takes writes again."""
        state = self.replica.state
        if not state.can_write and await self._writer.try_again(state):
            self.replica.handle(messages.WritesRestored(), self._clock.now())

    def _apply_effect(self, effect: effects.Effect) -> None:
        match effect:
            case effects.Proposed():
                self._pending.record_proposed(effect)
            case effects.Committed():
                self._pending.answer(effect)
            case effects.RoleChanged(role=role, term=term):
                self._events.write(f'replica-{role}', term=term)
                if role != roles.LEADER:
                    self._pending.fail_all(self.leader)
            case effects.GroupChanged():
                self._events.write(
                    'group-changed',
                    members=' '.join(
                        member.instance for member in self.group.members
                    ),
                    voters=len(self.group.voters),
                )
                self.group_changed.set()
                self.group_known.set()

    async def _propose_batch(self) -> None:
        batch = self._pending.get_next_batch()
        if not batch:
            return
        for effect in await self._handle_event(messages.Propose(batch)):
            match effect:
                case effects.Refused():
                    self._pending.refuse(len(batch), self.leader)

    async def _notify_waiters(self) -> None:
        for wake_event in self._wake_events:
            wake_event.set()
        async with self._applied_condition:
            self._applied_condition.notify_all()


def _create_future() -> asyncio.Future[typing.Any]:
    return asyncio.get_running_loop().create_future()
