"""Replicas on a simulated clock, connected by a network that can fail."""

import collections
import dataclasses
import heapq
import itertools
import random
import zlib

import builders
import faulty_folder

from gentianspoke import clock
from gentianspoke.codec import replica as codec
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import replica
from gentianspoke.decisions.control.replica import state as states
from gentianspoke import errors
from gentianspoke.storage import journal
from gentianspoke.storage import replica_store

STEP_MS = 10
REPLY_TIMEOUT_MS = 600
LEADER_TIMEOUT_MS = 20_000


def request(key, name=None, base_version=0):
    """Return a request with one edit that adds or replaces an entry.

    ``key`` identifies the request; the name of the entry is derived from it
    unless ``name`` is given. ``base_version`` is the version that the edit
    replaces, or 0 for a new entry.
    """
    name = name or f'service-{key}'
    entry = builders.service()
    # Each name gets a different address, since no two entries may share an
    # endpoint.
    address = zlib.crc32(name.encode()).to_bytes(4, 'big')
    entry = dataclasses.replace(entry, name=name, address=address)
    edit = catalogue_records.Edit(
        name, base_version, catalogue_records.Put(entry)
    )
    return catalogue_records.Request(key, 'operator', (edit,))


def member(number, voter=True):
    """Return a member of a replica group, a voter by default."""
    return groups.Member(number, f'control-{number}', f'h:{number}', voter)


def apply_effects(store, pending_effects):
    """Store what the effects save, in the same way as a control instance.

    The last vote and all new records are written together. A full save
    replaces the votes and records that come before it.
    """
    vote, unsaved_records = None, ()
    for effect in pending_effects:
        match effect:
            case effects.SaveVote():
                vote = effect
            case effects.SaveRecords(records=new_records):
                unsaved_records = (*unsaved_records, *new_records)
            case effects.SaveAll(stored=stored):
                vote, unsaved_records = None, ()
                store.save_all(stored)
    if vote or unsaved_records:
        store.save(codec.JournalEntry(vote, unsaved_records))


class Network:
    """A group of replicas and the simulated network between them.

    ``blocked_links`` holds pairs of sender and receiver between which every
    message is lost. ``loss`` is the probability that any other message is
    lost. ``clock_speeds`` maps a member to the speed of its clock in
    thousandths of the real speed, and a member that is not in the map has the
    speed 1000. ``answers_by_index`` maps the index of each committed record
    to its answer, and ``leaders_by_term`` maps each term to the leader that
    was elected in it.
    """

    def __init__(
        self,
        size=3,
        seed=1,
        limits=states.Limits(),
        step_ms=STEP_MS,
    ):
        """Form a group of the members 1 to ``size`` and start them."""
        self.step_ms = step_ms
        self.clock_speeds = {}
        self._clock_gain_us = collections.Counter()
        self.clock = clock.ManualClock(10_000)
        self.rng = random.Random(seed)
        self.limits = limits
        self.blocked_links = set()
        # Maps a member whose folder was emptied to the member that now runs
        # at the same address.
        self.replacements = {}
        self.loss = 0.0
        # How many writes the members' disks refused.
        self.disk_faults = 0
        # How long a request with records takes to its receiver.
        self.record_delay_ms = 0
        self.answers_by_index = {}
        self.leaders_by_term = {}
        self.stores = {}
        self.folders = {}
        self.replicas = {}
        self._scheduled_items = []
        self._sequence_numbers = itertools.count()
        self._pending_requests = {}
        self._pending_heartbeats = {}
        group = groups.Group(tuple(member(n + 1) for n in range(size)))
        for item in group.members:
            self.create(item.number, group)

    def create(self, number, group=groups.Group()):
        """Start a member with a new data folder, as a member of ``group``.

        With an empty group, the member waits to be added.
        """
        self.use_folder(number, faulty_folder.FaultyFolder())
        initial_stored = states.build_initial_stored(
            number, f'control-{number}', group
        )
        self.stores[number].save_all(initial_stored)
        self.start(number)

    def use_folder(self, number, folder):
        """Make a member store its files in ``folder``."""
        self.folders[number] = folder
        self.stores[number] = replica_store.ReplicaStore(
            journal.Journal(folder)
        )

    def start(self, number):
        """Start a member from the state in its store."""
        stored = self.stores[number].load().stored
        self.replicas[number] = replica.Replica(
            stored,
            states.Timing(),
            self.limits,
            random.Random(self.rng.random()),
            self.now(number),
        )
        try:
            self.stores[number].save_all(stored)
        except errors.WriteError:
            self.replicas[number].start_without_writes()

    def now(self, number):
        """Return the time of a member's own clock in milliseconds."""
        return self.clock.now() + self._clock_gain_us[number] // 1000

    def stop(self, number):
        """Stop a member at once, as a crash does; its folder stays."""
        del self.replicas[number]

    def restart_with_empty_folder(self, number, successor):
        """Stop a member, and start ``successor`` at the same address.

        The successor is a new member with an empty data folder, as if an
        operator had emptied the old one.
        """
        del self.replicas[number]
        self.create(successor)
        self.replacements[number] = successor

    def isolate(self, number):
        """Block all messages from and to a member."""
        for other in self.stores:
            self.blocked_links |= {(number, other), (other, number)}

    def run(self, duration_ms):
        """Advance the clock and deliver messages for ``duration_ms``.

        Raise ``AssertionError`` if two members lead at the same time.
        """
        end_ms = self.clock.now() + duration_ms
        while self.clock.now() < end_ms:
            self.clock.advance(self.step_ms)
            for number, speed in self.clock_speeds.items():
                self._clock_gain_us[number] += self.step_ms * (speed - 1000)
            self._deliver_due_items()
            for number in tuple(self.replicas):
                self._restore_writes(number)
                self.step(number, messages.Tick())
                self._send_requests(number)
            self._check_single_leader()

    def step(self, number, event):
        """Pass an event to a member; return all effects that follow.

        After each step the effects are stored and the member is told that its
        log is durable, until no more effects follow.

        Raise ``AssertionError`` if two members lead in one term, or if an
        index of the log is committed with two different answers.
        """
        member_replica = self.replicas[number]
        all_effects = []
        pending_effects = member_replica.handle(event, self.now(number))
        while pending_effects:
            try:
                apply_effects(self.stores[number], pending_effects)
            except errors.WriteError:
                self.disk_faults += 1
                all_effects += self._drop_unsaved(pending_effects)
                all_effects += member_replica.handle(
                    messages.WriteFailed(), self.now(number)
                )
                break
            all_effects += pending_effects
            synced = messages.Synced(member_replica.state.log.last_index)
            pending_effects = member_replica.handle(synced, self.now(number))
        for effect in all_effects:
            match effect:
                case effects.RoleChanged(role='leader', term=term):
                    assert (
                        self.leaders_by_term.setdefault(term, number) == number
                    )
                case effects.Committed(index=index, answer=answer):
                    assert (
                        self.answers_by_index.setdefault(index, answer)
                        == answer
                    )
        return all_effects

    def _drop_unsaved(self, pending_effects):
        """Return the effects that a control instance carries out unsaved."""
        unsaved = (
            effects.SaveVote,
            effects.SaveRecords,
            effects.SaveAll,
            effects.Respond,
        )
        return [
            effect
            for effect in pending_effects
            if not isinstance(effect, unsaved)
        ]

    def _restore_writes(self, number):
        """Write the whole state of a member whose writes failed."""
        member_replica = self.replicas[number]
        if member_replica.state.can_write:
            return
        try:
            stored = member_replica.state.build_stored()
            self.stores[number].save_all(stored)
        except errors.WriteError:
            return
        self.step(number, messages.WritesRestored())

    def leader(self):
        """Return the member that leads now, or ``None`` if none does."""
        for number, member_replica in self.replicas.items():
            if member_replica.state.leads(self.now(number)):
                return number
        return None

    def wait_for_leader(self, excluded=()):
        """Advance the clock until a member not in ``excluded`` leads.

        Return the number of that member. Raise ``AssertionError`` after
        ``LEADER_TIMEOUT_MS``.
        """
        for _ in range(0, LEADER_TIMEOUT_MS, self.step_ms):
            number = self.leader()
            if number is not None and number not in excluded:
                return number
            self.run(self.step_ms)
        raise AssertionError('no member became the leader in time')

    def propose(self, number, *requests):
        """Propose requests to a member; return all effects that follow."""
        return self.step(number, messages.Propose(requests))

    def confirmed_age_ms(self, number):
        """Return how many ms ago a majority confirmed a member's state."""
        state = self.replicas[number].state
        return state.get_confirmed_age_ms(self.now(number))

    def _check_single_leader(self):
        leading = [
            number
            for number, member_replica in self.replicas.items()
            if member_replica.state.leads(self.now(number))
        ]
        assert len(leading) <= 1

    def _send_requests(self, number):
        member_replica = self.replicas[number]
        for peer in member_replica.state.group.get_others(number):
            now = self.now(number)
            if (number, peer.number) not in self._pending_requests:
                self._send(
                    member_replica,
                    member_replica.build_request(peer.number, now),
                )
            if (number, peer.number) not in self._pending_heartbeats:
                self._send(
                    member_replica,
                    member_replica.build_extra_heartbeat(peer.number, now),
                )

    def _send(self, sender, sent_request):
        if sent_request is None:
            return
        pending, link = self._find_pending(sent_request)
        pending[link] = sent_request
        has_records = bool(getattr(sent_request, 'records', ()))
        delay_ms = self.record_delay_ms if has_records else 0
        self._schedule(
            delay_ms + self.step_ms // 2, 'request', sent_request, sender
        )
        self._schedule(
            delay_ms + REPLY_TIMEOUT_MS, 'expire', sent_request, sender
        )

    def _find_pending(self, sent_request):
        """Return the table of unanswered requests that holds the request.

        The result also names the link, which is its key in the table.
        """
        link = (sent_request.sender, sent_request.to)
        if getattr(sent_request, 'is_heartbeat_only', False):
            return self._pending_heartbeats, link
        return self._pending_requests, link

    def _schedule(self, delay_ms, kind, content, sender):
        due_ms = self.clock.now() + delay_ms
        item = (due_ms, next(self._sequence_numbers), kind, content, sender)
        heapq.heappush(self._scheduled_items, item)

    def _deliver_due_items(self):
        while (
            self._scheduled_items
            and self._scheduled_items[0][0] <= self.clock.now()
        ):
            _, _, kind, content, sender = heapq.heappop(self._scheduled_items)
            match kind:
                case 'request':
                    self._deliver_request(content, sender)
                case 'reply':
                    reply_received = messages.ReplyReceived(*content)
                    self._complete_request(content[0], sender, reply_received)
                case 'expire':
                    self._complete_request(
                        content, sender, messages.RequestFailed(content)
                    )

    def _deliver_request(self, sent_request, sender):
        receiver = self.replacements.get(sent_request.to, sent_request.to)
        target = self.replicas.get(receiver)
        if target is None or self._drops_message(
            sent_request.sender, sent_request.to
        ):
            return
        for effect in self.step(
            receiver, messages.RequestReceived(sent_request)
        ):
            match effect:
                case effects.Respond(reply=reply):
                    if not self._drops_message(
                        sent_request.to, sent_request.sender
                    ):
                        content = (sent_request, reply)
                        self._schedule(
                            self.step_ms // 2, 'reply', content, sender
                        )

    def _complete_request(self, sent_request, sender, event):
        pending, link = self._find_pending(sent_request)
        if pending.get(link) is not sent_request:
            return
        del pending[link]
        if self.replicas.get(sent_request.sender) is sender:
            self.step(sent_request.sender, event)

    def _drops_message(self, source, target):
        return (
            source,
            target,
        ) in self.blocked_links or self.rng.random() < self.loss
