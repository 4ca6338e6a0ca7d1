"""A planned stop: announce it, finish what is in progress, say what is left.

The agent announces that it drains and waits until the feed shows it so:
then the others place nothing here. It stays until no flow holds a slot or
waits for one, or until its grace is over. Flows without a slot, such as
boards, go on at the upstream; the agent that is started next adopts them.
"""

import asyncio

from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.shells.agent import agent as agent_shell
from gentianspoke.shells import process

POLL_INTERVAL_S = 0.05
# Longest wait for control to take the announcement and show it.
MAX_ANNOUNCEMENT_WAIT_MS = 5_000
# Time for the entries to take the view in which the agent drains.
ENTRY_UPDATE_DELAY_MS = 500


async def finish(
    proc: process.Process, agent: agent_shell.Agent
) -> agent_state.UnfinishedFlows:
    """Drain and return what was left when the grace was over."""
    state = agent.state
    started_ms = proc.clock.now()
    grace_end_ms = started_ms + proc.cfg.grace_ms
    agent.drain()
    announce_end_ms = min(grace_end_ms, started_ms + MAX_ANNOUNCEMENT_WAIT_MS)
    while (
        not _is_drain_published(agent) and proc.clock.now() < announce_end_ms
    ):
        await asyncio.sleep(POLL_INTERVAL_S)
    published_ms = proc.clock.now()
    while proc.clock.now() < grace_end_ms:
        settled = proc.clock.now() - published_ms >= ENTRY_UPDATE_DELAY_MS
        if settled and not state.in_progress():
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    unfinished = state.unfinished_flows()
    proc.events.write(
        'stop-grace-over',
        running_left=unfinished.running,
        queued_left=unfinished.queued,
        open_left=unfinished.open_flows,
        announced=agent.heartbeat.drain_accepted.is_set(),
        took_ms=proc.clock.now() - started_ms,
    )
    return unfinished


def _is_drain_published(agent: agent_shell.Agent) -> bool:
    accepted = agent.heartbeat.drain_accepted.is_set()
    return accepted and agent.state.is_shown_not_live()
