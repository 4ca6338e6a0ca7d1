"""A control instance that stops waits until its vote is not counted on."""

import random
import types

import control_fakes
import pytest
import replica_network

from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import state as states
from gentianspoke.shells.control import stopping

GRACE_MS = 5_000
STEP_MS = 500
OWN_NUMBER = 1


class SteppingClock:
    """A clock that advances by one step each time it is read."""

    def __init__(self):
        self.now_ms = 0

    def now(self):
        """Return the time in ms after one more step."""
        self.now_ms += STEP_MS
        return self.now_ms


class FakeLog:
    """A log whose replica has a group that nobody changes."""

    def __init__(self, voters, learners, tolerate):
        members = [replica_network.member(number) for number in voters]
        members += [
            replica_network.member(number, voter=False) for number in learners
        ]
        stored = states.build_initial_stored(
            OWN_NUMBER, 'control-1', groups.Group(tuple(members))
        )
        state = states.State(
            stored,
            states.Timing(),
            states.Limits(tolerate=tolerate),
            random.Random(1),
            0,
        )
        self.replica = types.SimpleNamespace(state=state)
        self.events = []

    async def step(self, event):
        """Record an event."""
        self.events.append(event)


@pytest.mark.parametrize(
    ('voters', 'learners', 'tolerate', 'max_wait_ms'),
    [
        pytest.param((1, 2, 3), (), 1, 0, id='no voter to spare'),
        pytest.param(
            (1, 2, 3),
            (4,),
            1,
            stopping.MAX_LEARNER_WAIT_MS,
            id='a learner may become a voter',
        ),
        pytest.param((1, 2, 3, 4), (), 1, GRACE_MS, id='a voter to spare'),
        pytest.param((1, 2, 3, 4), (), 0, 0, id='operators manage members'),
    ],
)
async def test_a_stop_waits_for_a_leader_within_the_grace_period(
    monkeypatch, voters, learners, tolerate, max_wait_ms
):
    # Guards against the end of a voter while the group elects a leader, which
    # could have taken its vote within the grace period.
    monkeypatch.setattr(stopping, 'POLL_INTERVAL_S', 0)
    proc = control_fakes.make_process('control-1', grace_ms=GRACE_MS)
    proc.clock = SteppingClock()
    log = FakeLog(voters, learners, tolerate)
    await stopping.give_up_vote(proc, log)
    waited_ms = proc.clock.now_ms - 3 * STEP_MS
    assert max_wait_ms <= waited_ms + STEP_MS
    assert waited_ms <= max_wait_ms + STEP_MS
    assert log.events == [messages.StopPlanned()]
