"""Replicas under the project's clock, joined by a network that fails."""

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
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import replica
from gentianspoke.decisions.control.replica import state as states
from gentianspoke.storage import journal
from gentianspoke.storage import replica_store

STEP_MS = 10
REPLY_TIMEOUT_MS = 600
LEADER_AT_MOST_MS = 20_000


def request(key, name=None, base=0):
    """Return an edit that adds an entry under the name of its key."""
    name = name or f'service-{key}'
    entry = builders.service()
    # An address of its own, so that no two names share an endpoint.
    address = zlib.crc32(name.encode()).to_bytes(4, 'big')
    entry = dataclasses.replace(entry, name=name, address=address)
    edit = catalogue.Edit(name, base, catalogue.Put(entry))
    return catalogue.Request(key, 'operator', (edit,))


def member(number, voter=True):
    """Return a member of a group."""
    return groups.Member(number, f'control-{number}', f'h:{number}', voter)


def apply_effects(store, found):
    """Make durable what the effects name, as the shell does."""
    vote, new = None, ()
    for effect in found:
        match effect:
            case effects.SaveVote():
                vote = effect
            case effects.SaveRecords(records=more):
                new = (*new, *more)
            case effects.SaveAll(stored=stored):
                vote, new = None, ()
                store.save_all(stored)
    if vote or new:
        store.save(codec.Entry(vote, new))


class Network:
    """Members 1 to ``size``; ``blocked_links`` holds directions that lose all."""

    def __init__(
        self,
        size=3,
        seed=1,
        limits=states.Limits(),
        step_ms=STEP_MS,
    ):
        """Form a group and start its members.

        ``clock_speeds`` are those of the members' clocks, in thousandths.
        """
        self.step_ms = step_ms
        self.clock_speeds = {}
        self._gained = collections.Counter()
        self.clock = clock.ManualClock(10_000)
        self.rng = random.Random(seed)
        self.limits = limits
        self.blocked_links = set()
        # Members with a new folder at the address of one that lost its own.
        self.in_place_of = {}
        self.loss = 0.0
        self.answers = {}
        self.leaders = {}
        self.stores = {}
        self.folders = {}
        self.replicas = {}
        self._heap = []
        self._order = itertools.count()
        self._busy = {}
        group = groups.Group(tuple(member(n + 1) for n in range(size)))
        for item in group.members:
            self.create(item.number, group)

    def create(self, number, group=groups.Group()):
        """Start a member with a new folder."""
        self.use_folder(number, faulty_folder.FaultyFolder())
        initial_stored = states.initial_stored(
            number, f'control-{number}', group
        )
        self.stores[number].save_all(initial_stored)
        self.start(number)

    def use_folder(self, number, folder):
        """Let a member keep its files in a folder."""
        self.folders[number] = folder
        self.stores[number] = replica_store.ReplicaStore(
            journal.Journal(folder)
        )

    def start(self, number):
        """Start a member, anew or after a stop, from what it stored."""
        self.replicas[number] = replica.Replica(
            self.stores[number].load().stored,
            states.Timing(),
            self.limits,
            random.Random(self.rng.random()),
            self.now(number),
        )

    def now(self, number):
        """Return the time of a member's own clock."""
        return self.clock.now() + self._gained[number] // 1000

    def stop(self, number):
        """Stop a member at once."""
        del self.replicas[number]

    def wipe(self, number, successor):
        """Let a member lose its folder and come back under a new number."""
        del self.replicas[number]
        self.create(successor)
        self.in_place_of[number] = successor

    def isolate(self, number):
        """Lose everything from and to a member."""
        for other in self.stores:
            self.blocked_links |= {(number, other), (other, number)}

    def run(self, duration_ms):
        """Let time pass."""
        end = self.clock.now() + duration_ms
        while self.clock.now() < end:
            self.clock.advance(self.step_ms)
            for number, speed in self.clock_speeds.items():
                self._gained[number] += self.step_ms * (speed - 1000)
            self._deliver()
            for number in tuple(self.replicas):
                self.step(number, messages.Tick())
                self._send(number)
            self._check_one_claim()

    def step(self, number, event):
        """Let a member take an event; return the effects."""
        own = self.replicas[number]
        done = []
        found = own.handle(event, self.now(number))
        while found:
            apply_effects(self.stores[number], found)
            done += found
            synced = messages.Synced(own.state.log.last_index)
            found = own.handle(synced, self.now(number))
        for effect in done:
            match effect:
                case effects.RoleChanged(role='leader', term=term):
                    assert self.leaders.setdefault(term, number) == number
                case effects.Committed(index=index, answer=answer):
                    assert self.answers.setdefault(index, answer) == answer
        return done

    def leader(self):
        """Return the member that leads now, ``None`` for none."""
        for number, own in self.replicas.items():
            if own.state.leads(self.now(number)):
                return number
        return None

    def wait_for_leader(self, excluded=()):
        """Let time pass until a member leads; return it."""
        for _ in range(0, LEADER_AT_MOST_MS, self.step_ms):
            number = self.leader()
            if number is not None and number not in excluded:
                return number
            self.run(self.step_ms)
        raise AssertionError('no leader')

    def propose(self, number, *requests):
        """Propose requests at a member; return the effects."""
        return self.step(number, messages.Propose(requests))

    def age_ms(self, number):
        """Return how old a member says its knowledge is."""
        state = self.replicas[number].state
        return state.confirmed_age_ms(self.now(number))

    def _check_one_claim(self):
        claims = [
            number
            for number, own in self.replicas.items()
            if own.state.leads(self.now(number))
        ]
        assert len(claims) <= 1

    def _send(self, number):
        own = self.replicas[number]
        for peer in own.state.group.others(number):
            if (number, peer.number) in self._busy:
                continue
            wanted = own.request_for(peer.number, self.now(number))
            if wanted is not None:
                self._busy[number, peer.number] = wanted
                self._post(self.step_ms // 2, 'ask', wanted, own)
                self._post(REPLY_TIMEOUT_MS, 'expire', wanted, own)

    def _post(self, delay_ms, kind, content, sender):
        due = self.clock.now() + delay_ms
        item = (due, next(self._order), kind, content, sender)
        heapq.heappush(self._heap, item)

    def _deliver(self):
        while self._heap and self._heap[0][0] <= self.clock.now():
            _, _, kind, content, sender = heapq.heappop(self._heap)
            match kind:
                case 'ask':
                    self._ask(content, sender)
                case 'reply':
                    answered = messages.ReplyReceived(*content)
                    self._finish(content[0], sender, answered)
                case 'expire':
                    self._finish(
                        content, sender, messages.RequestTimedOut(content)
                    )

    def _ask(self, wanted, sender):
        asked = self.in_place_of.get(wanted.to, wanted.to)
        target = self.replicas.get(asked)
        if target is None or self._loses(wanted.sender, wanted.to):
            return
        for effect in self.step(asked, messages.RequestReceived(wanted)):
            match effect:
                case effects.Respond(reply=reply):
                    if not self._loses(wanted.to, wanted.sender):
                        content = (wanted, reply)
                        self._post(self.step_ms // 2, 'reply', content, sender)

    def _finish(self, wanted, sender, event):
        pair = (wanted.sender, wanted.to)
        if self._busy.get(pair) is not wanted:
            return
        del self._busy[pair]
        if self.replicas.get(wanted.sender) is sender:
            self.step(wanted.sender, event)

    def _loses(self, source, target):
        return (
            source,
            target,
        ) in self.blocked_links or self.rng.random() < self.loss
