"""The agent process, from its settings to its planned stop."""

import secrets

from gentianspoke.config import settings
from gentianspoke import errors
from gentianspoke.net import datagrams
from gentianspoke.shells.agent import agent as agent_shell
from gentianspoke.shells.agent import loads
from gentianspoke.shells.agent import status
from gentianspoke.shells.agent import stopping
from gentianspoke.shells import feed_client
from gentianspoke.shells import front_end
from gentianspoke.shells import process

# Exit status of a planned stop whose grace period ended while flows were
# still in progress.
EXIT_FLOWS_LEFT = 3


async def run(
    cfg: settings.Settings,
    own_front_end: front_end.FrontEnd[agent_shell.Agent] | None = None,
) -> int:
    """Run an agent until a planned stop; return its exit status.

    Raises :class:`gentianspoke.errors.SettingsError` if the settings are
    those of another role.
    """
    own_front_end = own_front_end or front_end.make_default_front_end()
    match cfg.role:
        case settings.AgentSettings() as agent_settings:
            pass
        case _:
            raise errors.SettingsError('settings', 'agent', 'missing; add it')
    incarnation, recovering = await _find_incarnation(
        agent_settings, own_front_end
    )
    async with process.run_process(cfg, 'agent') as proc:
        with (
            datagrams.open_datagrams(agent_settings.listen) as peer_socket,
            datagrams.open_datagrams(
                agent_settings.upstream_side
            ) as upstream_socket,
        ):
            agent = agent_shell.Agent(
                proc,
                agent_settings,
                own_front_end.codec,
                peer_socket,
                upstream_socket,
                incarnation,
                recovering,
            )
            async with (
                process.run_tasks(
                    agent.read_peers(),
                    agent.read_upstream(),
                    agent.link.send_queued(),
                    agent.tick(),
                    loads.report_load(proc, agent.state, peer_socket),
                    agent.heartbeat.run(),
                    agent.poll_status(),
                    feed_client.follow_feeds(
                        proc, 'agent', agent.apply_update
                    ),
                ),
                own_front_end.serve(proc, agent),
            ):
                await proc.stop.wait()
                proc.life.advance('stop')
                unfinished_flows = await stopping.drain_agent(proc, agent)
    return EXIT_FLOWS_LEFT if unfinished_flows.in_progress else 0


async def _find_incarnation(
    agent_settings: settings.AgentSettings,
    own_front_end: front_end.FrontEnd[agent_shell.Agent],
) -> tuple[str, bool]:
    """Return the upstream's incarnation, and whether the agent recovers.

    The incarnation is empty if the upstream reports it only later, to the
    front end. The agent recovers if the upstream may hold flows from before
    the agent's start.
    """
    if own_front_end.reports_upstream_state:
        return '', True
    upstream_status = await status.read_status(agent_settings)
    # Without a status page the agent cannot tell whether the upstream ran
    # before it. It assumes a new incarnation, so that the flows of an earlier
    # one count as lost.
    known_incarnation = (
        upstream_status.incarnation if upstream_status is not None else ''
    )
    return known_incarnation or secrets.token_hex(8), bool(known_incarnation)
