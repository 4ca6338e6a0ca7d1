"""Every process finds the control group through any control instance.

Guards against seeds that refer nobody: after a restart of all processes, a
control instance without a log, or with an emptied data folder, knew no member
of the group and opened no port, and nothing was served for good.
"""

import asyncio
import contextlib
import dataclasses

import control_fakes
import pytest
import replica_network

from gentianspoke.config import settings
from gentianspoke.shells import catalogue_client
from gentianspoke.shells.control import main
from gentianspoke.shells import feed_client
from gentianspoke.shells import process

TIMEOUT_S = 20.0
FIRST_PORT = 31_100
# MEMBER forms a group of its own. The observers keep no log. JOINING has an
# empty data folder and waits to be added to the group. Nothing listens at
# DEAD.
MEMBER, FIRST_OBSERVER, SECOND_OBSERVER, JOINING, DEAD = (
    (control_fakes.HOST, FIRST_PORT + offset) for offset in range(5)
)


@dataclasses.dataclass(frozen=True)
class Seeds:
    """The seeds in the settings of each process.

    ``exchanged`` replaces the member's seeds after the start. With ``late``,
    the member starts after all others.
    """

    member: tuple
    observers: tuple
    consumer: tuple
    exchanged: tuple = ()
    joining: tuple = (DEAD,)
    late: bool = False


ONLY_OBSERVERS = (FIRST_OBSERVER, SECOND_OBSERVER)
CASES = {
    'only with a log': Seeds((MEMBER,), (MEMBER,), (MEMBER,)),
    'only without a log': Seeds(
        ONLY_OBSERVERS, ONLY_OBSERVERS, ONLY_OBSERVERS
    ),
    'a single one without a log': Seeds(
        (FIRST_OBSERVER,), (FIRST_OBSERVER,), (FIRST_OBSERVER,)
    ),
    'one of each': Seeds(
        (MEMBER, FIRST_OBSERVER),
        (MEMBER, FIRST_OBSERVER),
        (MEMBER, FIRST_OBSERVER),
    ),
    'one does not run': Seeds(
        (DEAD, FIRST_OBSERVER), (DEAD, FIRST_OBSERVER), (DEAD, FIRST_OBSERVER)
    ),
    'the group comes back last': Seeds(
        ONLY_OBSERVERS, ONLY_OBSERVERS, ONLY_OBSERVERS, late=True
    ),
    'seeds were exchanged again': Seeds(
        (DEAD,), (DEAD,), ONLY_OBSERVERS, exchanged=ONLY_OBSERVERS
    ),
    'seeds differ, and the group knows the seed of a seed': Seeds(
        (FIRST_OBSERVER,), (FIRST_OBSERVER,), (SECOND_OBSERVER,)
    ),
    'a seed knows the group and its own seed does not': Seeds(
        (SECOND_OBSERVER,), (FIRST_OBSERVER,), (FIRST_OBSERVER,)
    ),
    'an emptied data folder': Seeds((JOINING,), (DEAD,), (JOINING,)),
    'an emptied data folder that asks an observer': Seeds(
        (FIRST_OBSERVER,), (DEAD,), (JOINING,), joining=(FIRST_OBSERVER,)
    ),
}


@pytest.fixture
def procs(monkeypatch):
    """Run control instances in the test's process; return them by address."""
    started = {}

    @contextlib.asynccontextmanager
    async def run_process(cfg, role):
        proc = control_fakes.make_process(cfg.instance, cfg.feeds, cfg.role)
        started[cfg.role.listen] = proc
        proc.life.advance('sync')
        yield proc

    monkeypatch.setattr(process, 'run_process', run_process)
    return started


def make_settings(address, seeds, folder='', **role):
    """Return the settings of the control instance at an address."""
    role_settings = settings.ControlSettings(
        address, folder, (), 1_000, tolerate=1, **role
    )
    proc = control_fakes.make_process(
        f'control-{address[1]}', seeds, role_settings
    )
    return proc.cfg


def list_settings(seeds, folder):
    """Return the settings of the control instances in starting order."""
    member = make_settings(MEMBER, seeds.member, str(folder / 'member'))
    others = [
        make_settings(FIRST_OBSERVER, seeds.observers),
        make_settings(SECOND_OBSERVER, seeds.observers),
        make_settings(
            JOINING, seeds.joining, str(folder / 'joining'), join=True
        ),
    ]
    return [*others, member] if seeds.late else [member, *others]


async def check_consumer(seeds):
    """Check that a consumer of the feed finds a confirmed source."""
    confirmations = []

    def handle_update(update):
        match update:
            case feed_client.SourceConfirmation():
                confirmations.append(update)
        return 0

    consumer = control_fakes.make_process('entry-1', seeds)
    async with process.run_tasks(
        feed_client.follow_feeds(consumer, 'entry', handle_update)
    ):
        await control_fakes.wait_until(lambda: confirmations, TIMEOUT_S)


async def check_operator(seeds):
    """Check that an operator's edit reaches the leader through the seeds."""
    client = catalogue_client.CatalogueClient(seeds, control_fakes.KEY_RING)
    request = replica_network.request('edit', name='a')
    result = await client.apply(request)
    assert result.answer.accepted


@pytest.mark.parametrize('seeds', CASES.values(), ids=CASES.keys())
async def test_the_group_is_found_through_any_seed(seeds, tmp_path, procs):
    async with asyncio.timeout(3 * TIMEOUT_S), asyncio.TaskGroup() as group:
        for cfg in list_settings(seeds, tmp_path):
            group.create_task(main.run(cfg))
            await control_fakes.wait_until(
                lambda address=cfg.role.listen: address in procs
            )
            if seeds.late:
                # A round of failed exchanges comes before the member.
                await asyncio.sleep(0.6)
        if seeds.exchanged:
            procs[MEMBER].sources.configure(seeds.exchanged)
        try:
            await check_consumer(seeds.consumer)
            await check_operator(seeds.consumer)
        finally:
            for proc in procs.values():
                proc.stop.set()
