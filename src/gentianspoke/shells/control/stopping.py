"""The planned stop of a control instance that votes."""

import asyncio

from gentianspoke.decisions.control.replica import lost_members
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import state as states
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import process

POLL_INTERVAL_S = 0.02
# Without a voter to spare, the group takes the vote of this instance only if a
# learner becomes a voter. One that runs needs less time than this.
MAX_LEARNER_WAIT_MS = 2_000


async def give_up_vote(
    proc: process.Process, log: replicated_log.ReplicatedLog
) -> None:
    """Return once the group does not count on this instance any more.

    A voter that ended first would still count for the majority, and the group
    could lose one member less. Return at once if the group has no voter to
    spare, and at the end of the grace period at the latest.
    """
    started_ms = proc.clock.now()
    await log.step(messages.StopPlanned())
    state = log.replica.state
    while not lost_members.may_end(state):
        waited_ms = proc.clock.now() - started_ms
        if waited_ms >= _get_max_wait_ms(state, proc.cfg.grace_ms):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    proc.events.write(
        'control-stops',
        voter=state.is_voter,
        waited_ms=proc.clock.now() - started_ms,
    )


def _get_max_wait_ms(state: states.State, grace_ms: int) -> int:
    """Return how long to wait for the group as it is now."""
    if lost_members.has_spare_voter(state):
        # The group may be without a leader for a while. Only a leader can take
        # the vote.
        return grace_ms
    return min(grace_ms, MAX_LEARNER_WAIT_MS)
