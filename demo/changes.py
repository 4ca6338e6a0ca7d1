"""The changes made while the callers work, planned ones first."""

import asyncio
import dataclasses

from demo import testbed as stages
from demo import upstreams
from gentianspoke.core import packets
from gentianspoke.decisions.timeline import events
from gentianspoke.telemetry import event_files

RESTART_PAUSE_S = 1.0
# An upstream whose agent stays as it is.
UNTOUCHED = 4


@dataclasses.dataclass(slots=True)
class Diary:
    """What the demonstration did when, by the loop's clock."""

    begun: float
    first_unplanned: float = float('inf')
    statuses: dict[str, int] = dataclasses.field(default_factory=dict)

    def note(self, text: str) -> None:
        """Print what is done, with the seconds since the beginning."""
        now = asyncio.get_running_loop().time()
        print(f'{now - self.begun:6.1f} s  {text}', flush=True)


async def make_changes(stage: stages.Stage, diary: Diary) -> None:
    """Make all changes, one after the other, with time to settle."""
    await asyncio.sleep(5)
    await _make_planned(stage, diary)
    diary.first_unplanned = asyncio.get_running_loop().time()
    await _make_unplanned(stage, diary)


async def _make_planned(stage: stages.Stage, diary: Diary) -> None:
    joiner = stage.plan.agents[stages.JOINER].instance
    diary.note('planned: upstream 0 drains')
    stage.ups[0].drain()
    await asyncio.sleep(3)
    diary.note(f'planned: the upstream beside {joiner} joins')
    stage.ups[stages.JOINER].joined = True
    await stage.processes.start(joiner)
    await asyncio.sleep(3)
    await _restart(stage, diary, 'entry-1')
    await asyncio.sleep(2)
    await _restart(stage, diary, 'agent-2')
    await asyncio.sleep(2)
    leader = find_leader(stage)
    if leader is not None:
        await _restart(stage, diary, leader)
        await asyncio.sleep(2)


async def _make_unplanned(stage: stages.Stage, diary: Diary) -> None:
    diary.note('unplanned: the fabric loses track of one board')
    stage.fabric.forgotten.add(_board_at(stage.ups[UNTOUCHED]))
    for victim in ('entry-2', 'agent-3'):
        diary.note(f'unplanned: {victim} is killed')
        await stage.processes.kill(victim)
        await asyncio.sleep(RESTART_PAUSE_S)
        diary.note(f'           {victim} starts again')
        await stage.processes.start(victim)
        await asyncio.sleep(5)


def _board_at(up: upstreams.Upstream) -> packets.FlowKey:
    # Boards are opened first, so the oldest connection is one.
    return next(iter(up.connections))


async def _restart(stage: stages.Stage, diary: Diary, name: str) -> None:
    diary.note(f'planned: {name} restarts')
    diary.statuses[name] = await stage.processes.stop(name)
    await stage.processes.start(name)


def find_leader(stage: stages.Stage) -> str | None:
    """Return the control instance that last began to lead.

    ``None`` where a single instance runs, which has no other to lead.
    """
    if len(stage.plan.control) == 1:
        return None
    paths = [
        str(stage.plan.folder / f'control-{number}.jsonl')
        for number in range(len(stage.plan.control))
    ]
    latest: events.Event | None = None
    for stream in event_files.open_streams(paths, event_files.ReadCounts()):
        for event in stream:
            if event.kind == 'replica-leader' and (
                latest is None or event.wall_ms >= latest.wall_ms
            ):
                latest = event
    return latest.instance if latest is not None else None
