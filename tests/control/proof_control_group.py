"""Longer tests with control instances as real processes."""

import asyncio
import contextlib
import subprocess
import sys

import control_group
import pytest
import replica_network
import test_control_group

from gentianspoke.config import units
from gentianspoke.decisions.control.replica import state as states
from gentianspoke.shells import feed_client
from soak import proxy as soak_proxy

BASE_PORT = 30_300
BURST_EDIT_COUNT = 64


def run_group(tmp_path, size, offset, **options):
    """Run a group on ports from ``offset`` above the base port."""
    port = BASE_PORT + offset
    return control_group.run_group(tmp_path, port, size, **options)


async def test_accepted_edits_survive_the_loss_of_a_leader_of_five(tmp_path):
    await test_control_group.test_accepted_edits_survive_the_loss_of_a_leader(
        tmp_path, 5
    )


@pytest.mark.parametrize('size', [3, 5])
async def test_all_edits_are_kept_after_all_instances_were_killed(
    tmp_path, size
):
    async with run_group(tmp_path, size, 10) as group:
        answer = await group.apply(replica_network.request('a'))
        await asyncio.gather(
            *(group.kill(name) for name in tuple(group.processes))
        )
        await group.start()
        assert await group.apply(replica_network.request('a')) == answer
        assert await group.read_version(await group.wait_for_leader()) == 1


@pytest.mark.parametrize('kills_leader', [False, True])
@pytest.mark.parametrize('size', [3, 5])
async def test_only_one_of_two_concurrent_edits_is_accepted(
    tmp_path, size, kills_leader
):
    async with run_group(tmp_path, size, 20) as group:
        leader = await group.wait_for_leader()
        edits = [replica_network.request(key, name='same') for key in 'ab']
        tasks = [asyncio.create_task(group.apply(edit)) for edit in edits]
        if kills_leader:
            await asyncio.sleep(0.01)
            await group.kill(leader)
        answers = await asyncio.gather(*tasks)
        assert sorted(answer.accepted for answer in answers) == [False, True]
        rejected = next(answer for answer in answers if not answer.accepted)
        assert rejected.conflicts[0].current.version == 1
        assert await group.read_version(await group.wait_for_leader()) == 1


async def test_a_frozen_leader_neither_accepts_edits_nor_appears_current(
    tmp_path,
):
    async with run_group(tmp_path, 3, 30) as group:
        old_leader = await group.wait_for_leader()
        group.freeze(old_leader)
        new_leader = await group.wait_for_leader(excluded=(old_leader,))
        assert (await group.apply(replica_network.request('new'))).accepted
        group.thaw(old_leader)
        with contextlib.suppress(*feed_client.CHANNEL_ERRORS):
            reply = await group.read_members(old_leader)
            is_stale = (
                reply.confirmed_age_ms >= states.Timing().leader_lease_ms
            )
            assert is_stale or reply.term > 1
        # The old leader may accept an edit only if it has been elected again.
        # It then has the edit that the new leader accepted.
        late_answer = await group.apply_at(
            old_leader, replica_network.request('late')
        )
        assert late_answer is None or late_answer.version == 2
        assert await group.read_version(new_leader) == 1 + (
            late_answer is not None
        )
        assert (
            await group.wait_for_leader() != old_leader
            or late_answer is not None
        )


async def test_no_edit_is_lost_by_a_replacement_and_the_loss_of_the_leader(
    tmp_path,
):
    async with run_group(tmp_path, 3, 40) as group:
        leader = await group.wait_for_leader()
        lost_member, other_member = (
            name for name in group.addresses if name != leader
        )
        answers = [
            await group.apply(replica_network.request(f'k{position}'))
            for position in range(20)
        ]
        await group.kill(lost_member)
        group.write_settings('control-new', join=True)
        await group.start('control-new')
        new_address = units.format_address(group.addresses['control-new'])
        await run_command(group, 'replace', lost_member, new_address)
        assert lost_member not in await group.wait_for_voters(3, leader)
        await group.kill(leader)
        new_leader = await group.wait_for_leader()
        assert new_leader in (other_member, 'control-new')
        for position, answer in enumerate(answers):
            edit = replica_network.request(f'k{position}')
            assert await group.apply(edit) == answer
        assert await group.read_version(new_leader) == 20


async def test_a_member_that_missed_many_edits_catches_up(tmp_path):
    edit_count = states.Limits().compact_records + states.Limits().kept_records
    async with run_group(tmp_path, 3, 50) as group:
        leader = await group.wait_for_leader()
        follower = next(name for name in group.addresses if name != leader)
        await group.kill(follower)
        for begin in range(0, edit_count, BURST_EDIT_COUNT):
            requests = [
                replica_network.request(f'k{position}')
                for position in range(
                    begin, min(begin + BURST_EDIT_COUNT, edit_count)
                )
            ]
            await asyncio.gather(
                *(group.apply(request) for request in requests)
            )
        await group.start(follower)
        async with asyncio.timeout(control_group.WAIT_TIMEOUT_S):
            while await group.read_version_if_any(follower) != edit_count:
                await asyncio.sleep(0.1)
        snapshot_events = [
            event
            for event in group.read_events(leader)
            if event['event'] == 'snapshot-sent'
        ]
        assert snapshot_events


@pytest.mark.parametrize('direction', ['to', 'from'])
async def test_a_member_cut_off_in_one_direction_is_no_longer_confirmed(
    tmp_path, direction
):
    port = BASE_PORT + 60
    # The three instances use the ports up to ``port + 2``.
    proxy = soak_proxy.Proxy((control_group.HOST, port + 3))
    listed_addresses = {'control-0': proxy.address}
    async with (
        proxy.run((control_group.HOST, port)),
        run_group(tmp_path, 3, 60, listed_addresses=listed_addresses) as group,
    ):
        # Only the connections that others open to control-0 pass through the
        # proxy, so another instance has to lead.
        while await group.wait_for_leader() == 'control-0':
            await group.kill('control-0')
            await group.wait_for_leader()
            await group.start('control-0')
            await group.wait_until_confirmed('control-0')
        await group.wait_until_confirmed('control-0')
        proxy.lost_direction = direction
        await asyncio.sleep(feed_client.MAX_STALENESS_MS / 1000 + 0.5)
        cut_off_status = await group.read_members('control-0')
        assert cut_off_status.confirmed_age_ms >= feed_client.MAX_STALENESS_MS
        assert await group.wait_for_leader() != 'control-0'
        proxy.lost_direction = ''
        await group.wait_until_confirmed('control-0')


async def run_command(group, *arguments):
    """Run an operator's command on the group and return its output."""
    addresses = map(units.format_address, group.addresses.values())
    command = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'gentianspoke',
        'control-group',
        *arguments,
        '--control',
        ','.join(addresses),
        '--key-file',
        group.key_path,
        env=control_group.make_environment(),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    text, _ = await command.communicate()
    assert command.returncode == 0, text.decode()
    return text.decode()
