"""When an agent may say that its upstream does not have a flow.

Guards against a denial by an agent that has not seen all flows of its upstream
since the upstream's start, or that has lost the record of one of them.
"""

import dataclasses

import builders
import inquiry_pool
import pytest

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import views
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import flow_knowledge
from gentianspoke.decisions import hashing

MEMBER = 1
NOW = 20_000
OWNED = flow_knowledge.Knowledge.OWNED
ABSENT = flow_knowledge.Knowledge.ABSENT
UNSURE = flow_knowledge.Knowledge.UNSURE
SYN = inquiry_pool.make_segment(packets.SYN, 100, 0)
SYN_ACK = inquiry_pool.make_segment(packets.SYN | packets.ACK, 500, 101)
DATA = inquiry_pool.make_segment()
IDLE_MS = inquiry_pool.ENTRY.limits.idle_ms


def make_agent():
    view = inquiry_pool.make_view(builders.member(MEMBER))
    state = inquiry_pool.make_agent(MEMBER, view)
    state.recovery_ms = 2 * IDLE_MS
    return state


def send(state, segment, now):
    forward = frames.Forward(
        service=1,
        view=1,
        bucket=hashing.bucket_of(segment.key, 1),
        target=MEMBER,
        packet=segment.raw,
        hops_left=24,
        offers_left=2,
        pool=inquiry_pool.POOL,
    )
    return core.on_forward(state, forward, segment, now)


def open_flow(state):
    send(state, SYN, NOW)
    core.on_reply(state, SYN_ACK, NOW)
    send(state, DATA, NOW)


def open_half(state):
    send(state, SYN, NOW)
    core.on_reply(state, SYN_ACK, NOW)


def open_and_idle(state):
    open_flow(state)
    for now in range(NOW, NOW + 2 * IDLE_MS, 1_000_000):
        core.on_tick(state, now)


def open_unanswered_and_forget(state):
    send(state, SYN, NOW)
    for now in range(NOW, NOW + 10_000, 50):
        core.on_tick(state, now)


def open_unanswered_and_answer_late(state):
    open_unanswered_and_forget(state)
    core.on_reply(state, SYN_ACK, NOW + 10_000)


def open_half_while_upstream_restarts(state):
    # The new incarnation may have received the opening.
    open_half(state)
    core.on_incarnation(state, 99, NOW + 100)
    state.joining = False


def open_while_upstream_restarts(state):
    open_flow(state)
    core.on_incarnation(state, 99, NOW + 100)
    state.joining = False


def restart_agent(state):
    state.recovering = True


def restart_agent_soon_after_upstream(state):
    # The upstream counts as new, but an earlier run of the agent was live.
    state.joining = True
    member = builders.member(MEMBER, views.State.DRAINING, joined_view=1)
    core.on_view(state, inquiry_pool.make_view(member, number=2), NOW)
    state.joining = False


def join(state):
    state.joining = True
    member = builders.member(MEMBER, views.State.DRAINING, joined_view=0)
    core.on_view(state, inquiry_pool.make_view(member, number=2), NOW)


def join_and_become_live(state):
    join(state)
    state.joining = False
    core.on_view(
        state, inquiry_pool.make_view(builders.member(MEMBER), number=3), NOW
    )


def restart_agent_and_return_packet(state):
    restart_agent(state)
    send(state, DATA, NOW)
    core.on_returned(
        state, dataclasses.replace(DATA, is_returned=True), NOW + 1
    )


def restart_agent_beside_silent_upstream(state):
    restart_agent(state)
    send(state, DATA, NOW)
    core.on_tick(state, NOW + 200)


def restart_agent_beside_working_upstream(state):
    # The upstream answers another flow, which does not show this one.
    restart_agent(state)
    send(state, DATA, NOW)
    core.on_reply(state, inquiry_pool.make_segment(sport=5_001), NOW + 2)
    core.on_tick(state, NOW + 200)


def lose_too_many_records(state):
    for sport in range(flow_knowledge.MAX_DOUBTFUL_FLOWS + 1):
        key = builders.flow_key(sport, 1)
        flow_knowledge.note_doubtful(state, key, NOW)


@pytest.mark.parametrize(
    ('prepare', 'knowledge'),
    [
        pytest.param(open_flow, OWNED, id='open-here'),
        pytest.param(open_half, UNSURE, id='not-acknowledged'),
        pytest.param(lambda state: None, ABSENT, id='never-seen'),
        pytest.param(open_and_idle, UNSURE, id='removed-as-idle'),
        pytest.param(open_unanswered_and_forget, ABSENT, id='never-answered'),
        pytest.param(
            open_unanswered_and_answer_late, UNSURE, id='answered-late'
        ),
        pytest.param(
            open_half_while_upstream_restarts,
            UNSURE,
            id='opened-at-a-new-incarnation',
        ),
        pytest.param(
            open_while_upstream_restarts, ABSENT, id='lost-by-upstream'
        ),
        pytest.param(restart_agent, UNSURE, id='recovering'),
        pytest.param(
            restart_agent_soon_after_upstream, UNSURE, id='was-live-before'
        ),
        pytest.param(join, UNSURE, id='joining'),
        pytest.param(join_and_become_live, ABSENT, id='joined'),
        pytest.param(restart_agent_and_return_packet, ABSENT, id='returned'),
        pytest.param(
            restart_agent_beside_silent_upstream, UNSURE, id='silent-upstream'
        ),
        pytest.param(
            restart_agent_beside_working_upstream,
            UNSURE,
            id='upstream-answers-other-flows',
        ),
        pytest.param(
            lose_too_many_records, UNSURE, id='too-many-lost-records'
        ),
    ],
)
def test_an_agent_denies_a_flow_only_if_its_upstream_cannot_have_it(
    prepare, knowledge
):
    state = make_agent()
    prepare(state)
    found = flow_knowledge.assess_flow(state, DATA.key, NOW + 300)
    assert found is knowledge
