"""Leases and views while real control processes fail.

The agents run the production code in this process, without a data path. The
test counts, every 20 ms, the agents that may place openings of each bucket
(its deciders). A bucket must never have two deciders, and must have one again
within ``MAX_SETTLING_S`` after a fault.
"""

import asyncio
import contextlib

import control_group
import pytest
import replica_network

from benchmarks import control_daemons
from gentianspoke.config import key_file
from gentianspoke.decisions.agent import ownership
from gentianspoke.shells import process

BASE_PORT = 31_500
AGENT_COUNT = 6
SERVICE = 'booking'
BUCKETS = range(48)
CHECK_INTERVAL_S = 0.02
MAX_SETTLING_S = 30.0


class Fleet:
    """The agents of one service, and the counts of deciders per bucket.

    ``max_deciders`` is the greatest number of deciders that a bucket had at
    any time. ``undecided_bucket_count`` is the number of buckets that had no
    decider at the last count. ``gap_s`` is the total time, in seconds, during
    which at least one bucket had no decider.
    """

    def __init__(self, group):
        ring = key_file.load(group.key_path)
        addresses = tuple(group.addresses.values())
        self.daemons = [
            control_daemons.Daemon(
                f'agent-{number}', ring, addresses, (SERVICE,)
            )
            for number in range(AGENT_COUNT)
        ]
        self.entry = control_daemons.Daemon('entry', ring, addresses, ())
        self.max_deciders = 0
        self.undecided_bucket_count = len(BUCKETS)
        self.gap_s = 0.0

    async def run(self):
        async with process.run_tasks(
            *(daemon.run() for daemon in self.daemons), self.entry.run()
        ):
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                self.count_deciders()

    def count_deciders(self):
        counts = [
            sum(decides(daemon, bucket) for daemon in self.daemons)
            for bucket in BUCKETS
        ]
        self.max_deciders = max(self.max_deciders, *counts)
        self.undecided_bucket_count = counts.count(0)
        if self.undecided_bucket_count:
            self.gap_s += CHECK_INTERVAL_S

    async def wait_until_settled(self):
        """Wait until every bucket has a decider."""
        async with asyncio.timeout(MAX_SETTLING_S):
            while self.undecided_bucket_count:
                await asyncio.sleep(CHECK_INTERVAL_S)


def decides(daemon, bucket):
    state = daemon.agent.state
    for number, service in state.services_by_number.items():
        ranking = state.rankings.get(number)
        home = ranking.home(bucket) if ranking else None
        if home is not None and home.number == state.number:
            now = daemon.proc.clock.now()
            return ownership.may_place(state, service, ranking, bucket, now)
    return False


@contextlib.asynccontextmanager
async def run_fleet(tmp_path, offset, size=3):
    port = BASE_PORT + offset
    async with control_group.run_group(tmp_path, port, size) as group:
        await group.apply(replica_network.request('a', name=SERVICE))
        fleet = Fleet(group)
        async with process.run_tasks(fleet.run()):
            await fleet.wait_until_settled()
            fleet.gap_s = 0.0
            yield group, fleet
            await fleet.wait_until_settled()
        assert fleet.max_deciders == 1
        assert fleet.entry.version > 0


def find_oldest_term(fleet):
    """Return the oldest term of the agents' views."""
    # The upper 32 bits of a view's number are the term.
    return min(
        ranking.view.number >> 32
        for daemon in fleet.daemons
        for ranking in daemon.agent.state.rankings.values()
    )


async def wait_for_newer_term(fleet, term_before):
    async with asyncio.timeout(MAX_SETTLING_S):
        while find_oldest_term(fleet) <= term_before:
            await asyncio.sleep(CHECK_INTERVAL_S)


@pytest.mark.parametrize('fault', ['killed', 'frozen'])
async def test_the_loss_of_a_leader_never_leads_to_two_deciders(
    tmp_path, fault
):
    async with run_fleet(tmp_path, 0) as (group, fleet):
        term_before = find_oldest_term(fleet)
        leader = await group.wait_for_leader()
        if fault == 'killed':
            await group.kill(leader)
        else:
            group.freeze(leader)
        await wait_for_newer_term(fleet, term_before)
        await fleet.wait_until_settled()
        print(f'{fault}: buckets without a decider for {fleet.gap_s:.2f} s')
        if fault == 'frozen':
            group.thaw(leader)
            # Deciders are still counted while the old leader runs again.
            await asyncio.sleep(2)


async def test_entries_keep_their_views_while_all_control_instances_are_down(
    tmp_path,
):
    async with run_fleet(tmp_path, 10) as (group, fleet):
        term_before = find_oldest_term(fleet)
        view_count = len(fleet.entry.shell.table.rankings)
        for name in tuple(group.processes):
            await group.kill(name)
        await asyncio.sleep(5)
        assert len(fleet.entry.shell.table.rankings) == view_count
        await group.start()
        await wait_for_newer_term(fleet, term_before)


# A relay is a control instance that passes on the leader's views.
async def test_an_entry_leaves_a_frozen_relay_and_gets_the_new_catalogue(
    tmp_path,
):
    async with run_fleet(tmp_path, 20) as (group, fleet):
        leader = await group.wait_for_leader()
        relay = next(name for name in group.processes if name != leader)
        group.freeze(relay)
        # The entry leaves a source that has sent nothing for
        # ``feed_client.MAX_STALENESS_MS``, which is shorter than this wait.
        await asyncio.sleep(6)
        answer = await group.apply(replica_network.request('b', name='b'))
        async with asyncio.timeout(MAX_SETTLING_S):
            while fleet.entry.version < answer.version:
                await asyncio.sleep(CHECK_INTERVAL_S)
        group.thaw(relay)
