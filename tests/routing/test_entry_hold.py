"""Openings that an entry holds while it cannot route them.

Guards against openings that were dropped or refused although the entry could
have routed them some tens of milliseconds later, and against refusals and
copies that arrive after a later copy of the opening was accepted.
"""

import dataclasses

import builders
import pytest

from gentianspoke import clock
from gentianspoke.codec import frame
from gentianspoke.codec import keys
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import entry_hold
from gentianspoke.shells import entry as entry_shell
from gentianspoke.shells import feed_client
from gentianspoke.telemetry import metrics

HOLD_MS = 400
SENDER = ('10.0.0.9', 4_000)
KEY_RING = keys.KeyRing(1, {1: bytes(32)})
URGENT_PORT = 444
ENTRIES = [
    dataclasses.replace(
        builders.service(services.Booking(False)), handshake=True, priority=5
    ),
    dataclasses.replace(
        builders.service(services.Booking(False), number=2),
        handshake=True,
        priority=0,
        ports=(URGENT_PORT,),
    ),
]
SYN = builders.segment()
COPY = dataclasses.replace(SYN, retransmission=1)
DATA = builders.segment(packets.ACK)
LIVE = builders.member(1)
JOINING = builders.member(1, views.State.DRAINING)


class Codec:
    """Returns the packets of a test by their raw bytes."""

    def __init__(self):
        self.packets = {}

    def parse(self, raw):
        return self.packets[raw]

    def make_refusal(self, packet):
        return b'refusal'

    def find_next_hop(self, raw):
        return None


class Link:
    """Records the packets that were forwarded."""

    def __init__(self):
        self.forwarded = []

    def send(self, datagram):
        self.forwarded.append(frame.decode(datagram.data, KEY_RING).packet)
        return True

    def send_due(self):
        pass


class Socket:
    """Counts the refusals that were sent."""

    unsent_count = 0

    def __init__(self):
        self.refusal_count = 0

    def send(self, raw, address):
        self.refusal_count += 1


class Events:
    """Accepts events without writing them."""

    logical = 0

    def write(self, event, **fields):
        pass


class Life:
    """A process that serves."""

    state = 'serving'


class FakeProcess:
    """The parts of a process that an entry uses."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.metrics = metrics.Metrics('entry-1', 'entry')
        self.events = Events()
        self.life = Life()
        self.ring = KEY_RING


class Entry:
    """An entry with fakes around it."""

    def __init__(self, hold_ms=HOLD_MS):
        self.proc = FakeProcess()
        self.codec, self.link, self.socket = Codec(), Link(), Socket()
        self.shell = entry_shell.Entry(
            self.proc, self.socket, self.codec, self.link, hold_ms
        )

    def receive(self, packet, raw=b'raw'):
        packet = dataclasses.replace(packet, raw=raw)
        self.codec.packets[raw] = packet
        self.shell.handle_packet(raw, SENDER)

    def confirm(self):
        self.shell.apply_update(feed_client.CatalogueUpdate(True, 1, ENTRIES))
        self.shell.apply_update(feed_client.SourceConfirmation(0, 1))

    def show(self, *members, pool=1):
        self.shell.apply_update(views.View(pool, 1, members))

    def wait(self, duration_ms):
        self.proc.clock.advance(duration_ms)

    @property
    def outcome(self):
        return len(self.link.forwarded), self.socket.refusal_count


def confirm_late(entry, wait_ms):
    entry.show(LIVE)
    entry.wait(wait_ms)
    entry.confirm()


def join_late(entry, wait_ms):
    entry.confirm()
    entry.show(JOINING)
    entry.wait(wait_ms)
    entry.show(LIVE)


@pytest.mark.parametrize('prepare', [confirm_late, join_late])
@pytest.mark.parametrize(
    ('packet', 'hold_ms', 'wait_ms', 'forwarded'),
    [
        pytest.param(SYN, HOLD_MS, 100, 1, id='routed-a-moment-later'),
        pytest.param(SYN, HOLD_MS, 200, 0, id='next-copy-is-due'),
        pytest.param(COPY, HOLD_MS, 350, 1, id='copies-are-held-for-longer'),
        pytest.param(COPY, HOLD_MS, 400, 0, id='held-for-too-long'),
        pytest.param(DATA, HOLD_MS, 10, 0, id='not-an-opening'),
        pytest.param(SYN, 0, 10, 0, id='switched-off'),
    ],
)
def test_an_opening_is_held_until_it_can_be_routed(
    prepare, packet, hold_ms, wait_ms, forwarded
):
    entry = Entry(hold_ms)
    if prepare is join_late:
        entry.confirm()
    entry.receive(packet)
    prepare(entry, wait_ms)
    assert entry.outcome == (forwarded, 0)


@pytest.mark.parametrize(
    ('age_ms', 'refusals'),
    [
        pytest.param(0, 0, id='just-started'),
        pytest.param(entry_hold.START_PERIOD_MS, 1, id='running-for-long'),
    ],
)
def test_a_pool_without_upstreams_refuses_only_after_the_start(
    age_ms, refusals
):
    entry = Entry()
    entry.wait(age_ms)
    entry.confirm()
    entry.show()
    entry.receive(SYN)
    assert entry.socket.refusal_count == refusals


def test_no_held_opening_is_refused():
    # A later copy may have been accepted through another entry.
    entry = Entry()
    entry.receive(SYN)
    entry.show()
    entry.wait(100)
    entry.shell._hold.started_ms -= entry_hold.START_PERIOD_MS
    entry.confirm()
    assert entry.outcome == (0, 0)
    assert not entry.shell._hold.openings


def test_only_the_newest_copy_of_an_opening_is_routed():
    entry = Entry()
    entry.receive(SYN, b'first')
    entry.wait(150)
    entry.receive(COPY, b'copy')
    entry.show(LIVE)
    entry.confirm()
    assert entry.link.forwarded == [b'copy']


def test_the_most_urgent_openings_are_routed_first():
    entry = Entry()
    entry.show(LIVE)
    entry.show(LIVE, pool=2)
    entry.receive(SYN, b'less-urgent')
    urgent = dataclasses.replace(SYN, key=builders.flow_key(dport=URGENT_PORT))
    entry.receive(urgent, b'urgent')
    entry.confirm()
    assert entry.link.forwarded == [b'urgent', b'less-urgent']


def test_the_number_of_held_openings_is_bounded():
    entry = Entry()
    for sport in range(entry_hold.MAX_HELD_OPENINGS + 5):
        entry.receive(builders.segment(sport=sport), str(sport).encode())
    assert entry.proc.metrics.counts.holds['overflow'] == 5


def test_openings_that_have_expired_make_room_for_newer_ones():
    state = entry_hold.HoldState(HOLD_MS, 0)
    for number in range(entry_hold.MAX_HELD_OPENINGS):
        segment = builders.segment(sport=6_000 + number)
        opening = entry_hold.HeldOpening(segment, *SENDER, 0)
        assert entry_hold.hold(state, opening) is entry_hold.Result.HELD
    newer = [
        entry_hold.HeldOpening(SYN, *SENDER, since_ms)
        for since_ms in (
            entry_hold.MAX_FIRST_HOLD_MS - 1,
            entry_hold.MAX_FIRST_HOLD_MS,
        )
    ]
    results = [entry_hold.hold(state, opening) for opening in newer]
    assert results == [entry_hold.Result.OVERFLOW, entry_hold.Result.HELD]
