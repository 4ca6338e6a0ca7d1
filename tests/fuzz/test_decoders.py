"""Decoders and decisions handle any input.

Decoders return a result or raise a ``PacketError`` for any bytes. Decisions
return actions for any packet, and keep the counts of an agent consistent.
"""

import builders
import dpkt
import fakes
import hypothesis
from hypothesis import strategies

from gentianspoke.codec import frame
from gentianspoke.codec import ip
from gentianspoke.codec import keys
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import records
from gentianspoke.decisions import routing
from gentianspoke import errors
from gentianspoke.generated import envelope_pb2

RING = keys.KeyRing(1, {1: bytes(32)})
SYN = ip.make_packet(
    builders.CALLER_ADDRESS,
    builders.SERVICE_ADDRESS,
    packets.TCP,
    dpkt.tcp.TCP(sport=5_000, dport=443, seq=7, flags=packets.SYN),
)
FRAME = frame.encode(fakes.forward(1, ip.parse(SYN)), RING)
ACTIONS = (
    actions.Deliver,
    actions.Answer,
    actions.SendFrame,
    actions.Refuse,
    actions.ResetCaller,
    actions.ResetUpstream,
    actions.Drop,
)
deterministic = hypothesis.settings(
    derandomize=True, max_examples=300, database=None, deadline=None
)
byte_changes = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 200), strategies.integers(0, 255)
    ),
    max_size=8,
)
cut_lengths = strategies.integers(0, 200)


def damage(data, changes, cut_length):
    """Return ``data`` with some bytes changed and its end cut off.

    ``changes`` lists positions and their new values.
    """
    damaged = bytearray(data)
    for position, value in changes:
        damaged[position % len(damaged)] = value
    return bytes(damaged[: max(1, len(data) - cut_length)])


def parse(raw, reply=False):
    """Return the parsed packet, or ``None`` if it is rejected."""
    try:
        return ip.parse(raw, reply=reply)
    except errors.PacketError as exc:
        assert exc.reason
        return None


@deterministic
@hypothesis.given(strategies.binary(max_size=120))
def test_any_bytes_are_parsed_as_a_packet_or_rejected(raw):
    parse(raw)


@deterministic
@hypothesis.given(byte_changes, cut_lengths, strategies.booleans())
def test_a_damaged_packet_can_be_refused_or_is_rejected(
    changes, cut_length, reply
):
    packet = parse(damage(SYN, changes, cut_length), reply)
    if packet is not None and not reply:
        assert ip.make_refusal(packet)


@deterministic
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_decoded_as_a_frame_or_rejected(data):
    try:
        frame.decode(data, RING)
    except errors.PacketError as exc:
        assert exc.reason


@deterministic
@hypothesis.given(byte_changes, cut_lengths)
def test_a_damaged_frame_is_rejected_or_decoded_unchanged(changes, cut_length):
    damaged_frame = damage(FRAME, changes, cut_length)
    try:
        decoded_frame = frame.decode(damaged_frame, RING)
    except errors.PacketError:
        return
    assert decoded_frame == frame.decode(FRAME, RING)


@deterministic
@hypothesis.given(strategies.binary(max_size=120))
def test_any_signed_body_is_decoded_as_a_frame_or_rejected(body):
    envelope = envelope_pb2.Envelope(
        version=1, key_id=1, tag=RING.compute_tag(body), body=body
    )
    try:
        frame.decode(envelope.SerializeToString(), RING)
    except errors.PacketError as exc:
        assert exc.reason


@deterministic
@hypothesis.given(byte_changes, cut_lengths)
def test_an_entry_returns_an_action_for_any_packet(changes, cut_length):
    table = routing.RouteTable()
    table.set_catalogue(1, [builders.service()])
    table.set_view(builders.view(builders.member(1)))
    packet = parse(damage(SYN, changes, cut_length))
    if packet is not None:
        assert isinstance(routing.route(table, packet), ACTIONS)


segments = strategies.builds(
    packets.Segment,
    strategies.sampled_from([builders.flow_key(n) for n in (1, 2, 3)]),
    strategies.integers(0, 255),
    strategies.integers(0, (1 << 32) - 1),
    strategies.integers(0, (1 << 32) - 1),
    # Two of three segments carry no payload.
    strategies.sampled_from([0, 0, 10]),
    strategies.just(b'raw'),
)
steps = strategies.lists(
    strategies.tuples(
        segments,
        strategies.sampled_from([*frames.Purpose]),
        strategies.lists(strategies.integers(0, 5), max_size=4),
        strategies.integers(0, 5),
        strategies.integers(0, 4_000),
        strategies.booleans(),
    ),
    max_size=20,
)


@deterministic
@hypothesis.given(steps, strategies.booleans(), strategies.booleans())
def test_agent_counts_stay_consistent_for_any_sequence_of_events(
    steps, non_idempotent, recovering
):
    entry = builders.service(
        services.Upload(not non_idempotent), slots=2, queue=2
    )
    view = builders.view(
        *(builders.member(n, recovering=recovering) for n in (1, 2, 3))
    )
    state = fakes.agent(1, entry, view, recovering=recovering)
    now = 0
    for segment, purpose, tried, sender, pause_ms, reply in steps:
        now += pause_ms
        if reply:
            decided_actions = core.on_reply(state, segment, now)
        else:
            forward = fakes.forward(1, segment, purpose, 500, sender=sender)
            forward.tried = tuple(tried)
            forward.decider = sender
            decided_actions = core.on_forward(state, forward, segment, now)
        decided_actions.extend(core.on_tick(state, now))
        assert all(isinstance(action, ACTIONS) for action in decided_actions)
        check_counts(state)


def check_counts(state):
    """Assert that the counts of an agent match its flows and queues."""
    flows = state.flows.values()
    phases = [flow.phase.value for flow in flows]
    running_count = sum(flow.holds_slot for flow in flows)
    queued_count = sum(len(queue) for queue in state.queues.values())
    open_count = phases.count('open') + phases.count('queued')
    assert state.total_open == open_count == state.counts[1].open_flows
    # A flow that already ran before the agent restarted holds a slot even
    # beyond the limit. All other flows keep to the limit of two slots.
    adopted_count = sum(
        flow.holds_slot and flow.isn == records.NO_OPENING for flow in flows
    )
    assert running_count - adopted_count <= 2
    assert state.total_running == running_count == state.counts[1].running
    assert (
        queued_count == phases.count('queued') == state.counts[1].queued <= 2
    )
    assert state.total_ended == len(state.flows) - open_count
    record_count = sum(state.record_counts.get(1, {}).values())
    assert record_count == len(state.flows) + len(state.diversions)
