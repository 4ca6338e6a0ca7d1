"""The planned stop of an agent, in which it drains its flows.

The agent announces that it drains, and waits until the feed lists it as
draining. From then on, the other members place no flows on it. The agent runs
until no flow holds a slot, waits for one or gets a bulk answer, or until its
grace period is over.
Flows without a slot, such as those of board services, continue at the
upstream, and the agent that is started next adopts them.
"""

import asyncio

from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.shells.agent import agent as agent_shell
from gentianspoke.shells import process

POLL_INTERVAL_S = 0.05
# Maximum wait for the control group to accept the announcement and publish it.
MAX_ANNOUNCEMENT_WAIT_MS = 5_000
# Time for the entry instances to receive the view in which the agent drains.
ENTRY_UPDATE_DELAY_MS = 500


async def drain_agent(
    proc: process.Process, agent: agent_shell.Agent
) -> agent_state.UnfinishedFlows:
    """Drain the agent and return how many flows did not finish.

    The drain ends when no flow is in progress any more, and at the latest at
    the end of the grace period.
    """
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
        is_update_delay_over = (
            proc.clock.now() - published_ms >= ENTRY_UPDATE_DELAY_MS
        )
        if is_update_delay_over and not state.has_flows_in_progress(
            proc.clock.now()
        ):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    unfinished_flows = state.count_unfinished_flows(proc.clock.now())
    proc.events.write(
        'stop-grace-over',
        running_left=unfinished_flows.running,
        queued_left=unfinished_flows.queued,
        answering_left=unfinished_flows.answering,
        open_left=unfinished_flows.open_flows,
        announced=agent.heartbeat.drain_accepted.is_set(),
        took_ms=proc.clock.now() - started_ms,
    )
    return unfinished_flows


def _is_drain_published(agent: agent_shell.Agent) -> bool:
    is_accepted = agent.heartbeat.drain_accepted.is_set()
    return is_accepted and agent.state.is_listed_as_not_live()
