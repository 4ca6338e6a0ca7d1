"""Change the deployment while the callers generate load.

The planned changes come first, then the unplanned ones.
"""

import asyncio
import dataclasses

from demo import testbed as testbeds
from demo import upstreams
from gentianspoke.core import packets
from gentianspoke.decisions.timeline import events
from gentianspoke.telemetry import event_files

RESTART_PAUSE_S = 1.0
# The fabric drops the answers of one board on the upstream with this index.
# The agent of this upstream is neither restarted nor killed, so that nothing
# else interrupts the board.
UNDISTURBED_UPSTREAM_INDEX = 4


@dataclasses.dataclass(slots=True)
class RunLog:
    """The times of the run's phases and the exit statuses of its processes.

    Times are those of the event loop's clock. ``exit_statuses`` holds the last
    exit status of each instance that was stopped.
    """

    started_at: float
    first_unplanned_change_at: float = float('inf')
    exit_statuses: dict[str, int] = dataclasses.field(default_factory=dict)

    def print_step(self, text: str) -> None:
        """Print a step of the run with the seconds since its start."""
        now = asyncio.get_running_loop().time()
        print(f'{now - self.started_at:6.1f} s  {text}', flush=True)


async def make_changes(testbed: testbeds.Testbed, run_log: RunLog) -> None:
    """Make the planned and then the unplanned changes, with pauses."""
    await asyncio.sleep(5)
    await _make_planned_changes(testbed, run_log)
    run_log.first_unplanned_change_at = asyncio.get_running_loop().time()
    await _make_unplanned_changes(testbed, run_log)


async def _make_planned_changes(
    testbed: testbeds.Testbed, run_log: RunLog
) -> None:
    joining_agent = testbed.plan.agents[testbeds.JOINING_AGENT_INDEX].instance
    run_log.print_step('planned: upstream 0 drains')
    testbed.simulated_upstreams[0].drain()
    await asyncio.sleep(3)
    run_log.print_step(f'planned: the upstream of {joining_agent} joins')
    testbed.simulated_upstreams[testbeds.JOINING_AGENT_INDEX].has_joined = True
    await testbed.processes.start(joining_agent)
    await asyncio.sleep(3)
    await _restart(testbed, run_log, 'entry-1')
    await asyncio.sleep(2)
    await _restart(testbed, run_log, 'agent-2')
    await asyncio.sleep(2)
    leader = find_leader(testbed)
    if leader is not None:
        await _restart(testbed, run_log, leader)
        await asyncio.sleep(2)


async def _make_unplanned_changes(
    testbed: testbeds.Testbed, run_log: RunLog
) -> None:
    run_log.print_step('unplanned: the fabric drops all answers of one board')
    testbed.fabric.blackholed_flows.add(
        _find_board_connection(
            testbed.simulated_upstreams[UNDISTURBED_UPSTREAM_INDEX]
        )
    )
    for instance in ('entry-2', 'agent-3'):
        run_log.print_step(f'unplanned: {instance} is killed')
        await testbed.processes.kill(instance)
        await asyncio.sleep(RESTART_PAUSE_S)
        run_log.print_step(f'           {instance} starts again')
        await testbed.processes.start(instance)
        await asyncio.sleep(5)


def _find_board_connection(upstream: upstreams.Upstream) -> packets.FlowKey:
    # All boards are opened at the start of the run and stay open, while other
    # connections end within seconds. So the oldest connection is a board.
    return next(iter(upstream.connections))


async def _restart(
    testbed: testbeds.Testbed, run_log: RunLog, instance: str
) -> None:
    run_log.print_step(f'planned: {instance} restarts')
    run_log.exit_statuses[instance] = await testbed.processes.stop(instance)
    await testbed.processes.start(instance)


def find_leader(testbed: testbeds.Testbed) -> str | None:
    """Return the name of the control instance that was elected leader last.

    Return ``None`` if there is only one control instance, since a single
    instance elects no leader, or if no event of an election is found.
    """
    if len(testbed.plan.control) == 1:
        return None
    paths = [
        str(testbed.plan.folder / f'control-{index}.jsonl')
        for index in range(len(testbed.plan.control))
    ]
    latest: events.Event | None = None
    for stream in event_files.open_streams(paths, event_files.ReadCounts()):
        for event in stream:
            if event.kind == 'replica-leader' and (
                latest is None or event.wall_ms >= latest.wall_ms
            ):
                latest = event
    return latest.instance if latest is not None else None
