"""Agents of one pool that exchange inquiries over a network in memory."""

import dataclasses

import builders
import fakes

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import own_pools
from gentianspoke.decisions import hashing

POOL = 7
FORMER_POOL = 8
ENTRY = dataclasses.replace(
    builders.service(services.Booking(False)),
    handshake=True,
    shares=(services.Share(POOL, 1, 'pool'),),
    former=(services.FormerPool(FORMER_POOL, 'former'),),
)
OWN_POOLS = {
    POOL: own_pools.NamedPool('pool', POOL),
    FORMER_POOL: own_pools.NamedPool('former', FORMER_POOL),
}
HOME = 1
TICK_MS = 50
# Members that have run for long.
START_MS = 100_000


def make_segment(flags=packets.ACK, seq=101, ack=501, sport=5_000):
    return packets.Segment(
        builders.flow_key(sport), flags, seq, ack, 0, b'raw'
    )


def make_view(*members, number=1, pool=POOL):
    listed = sorted(members, key=lambda member: member.number)
    return views.View(pool, number, tuple(listed))


def make_agent(number, view, former_view=None, pool=POOL):
    """Return an agent whose record of its upstream's flows is complete."""
    state = fakes.agent(number, ENTRY, view, own_pool=OWN_POOLS[pool])
    if former_view is not None:
        state.set_view(former_view)
    state.inquiries.enabled = True
    return state


class Network:
    """Carries frames between agents; frames to or from ``cut`` are lost.

    ``resets`` holds the ports of the callers that were reset, ``inquiries``
    counts the frames with inquiries, and ``delivered`` lists the agents that
    delivered a caller's packet. ``lost_replies`` is the number of replies of
    each member that are lost, by member. The feed is confirmed at all agents
    but ``members_without_feed``.
    """

    def __init__(self, states, now=START_MS):
        self.states = {state.number: state for state in states}
        self.now = now
        self.cut = set()
        self.lost_replies = {}
        self.members_without_feed = set()
        self.resets = []
        self.delivered = []
        self.inquiries = 0
        self.replies = []

    def send(self, segment, target=HOME):
        forward = frames.Forward(
            service=ENTRY.number,
            view=1,
            bucket=hashing.bucket_of(segment.key, ENTRY.number),
            target=target,
            packet=segment.raw,
            hops_left=24,
            pool=POOL,
        )
        self._forward(forward, segment)

    def run(self, duration_ms):
        """Let time pass, with ticks and confirmations of the feed."""
        end_ms = self.now + duration_ms
        while self.now < end_ms:
            self.now += TICK_MS
            for state in tuple(self.states.values()):
                if state.number not in self.members_without_feed:
                    state.confirm_feed(self.now)
                self._carry_out(state, core.on_tick(state, self.now))

    def apply_view(self, view):
        for state in self.states.values():
            core.on_view(state, view, self.now)

    def deliver_reply(self, target, reply):
        state = self.states[target]
        decided = core.on_inquiry_reply(state, reply, self.now)
        self._carry_out(state, decided)

    def _forward(self, forward, segment):
        state = self.states.get(forward.target)
        if state is not None and forward.target not in self.cut:
            decided = core.on_forward(state, forward, segment, self.now)
            self._carry_out(state, decided, segment)

    def _carry_out(self, state, decided, segment=None):
        for action in decided:
            match action:
                case actions.SendInquiry(members=members, inquiry=inquiry):
                    self._inquire(members, inquiry)
                case actions.AnswerInquiry(member=member, reply=reply):
                    self._answer(state.number, member.number, reply)
                case actions.SendFrame(forward=forward):
                    self._forward(forward, segment or make_segment())
                case actions.Deliver():
                    self.delivered.append(state.number)
                case actions.ResetCaller(key=key):
                    self.resets.append(packets.get_caller_port(key))

    def _inquire(self, members, inquiry):
        for member in members:
            self.inquiries += 1
            state = self.states.get(member.number)
            if state is not None and member.number not in self.cut:
                decided = core.on_inquiry(state, inquiry, self.now)
                self._carry_out(state, decided)

    def _answer(self, sender, target, reply):
        self.replies.append(reply)
        if self.lost_replies.get(sender, 0):
            self.lost_replies[sender] -= 1
        elif target in self.states and target not in self.cut:
            self.deliver_reply(target, reply)
