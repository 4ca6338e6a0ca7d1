"""Shorter tests with control instances as real processes.

``proof_control_group.py`` holds the longer tests, which ``make proof-control``
runs.
"""

import asyncio

import control_group
import pytest
import replica_network

BASE_PORT = 30_200
EDIT_COUNT = 60


async def apply_edits(group, answers):
    """Apply edits one after the other, and collect their answers."""
    for position in range(EDIT_COUNT):
        edit = replica_network.request(f'edit-{position}')
        answers[position] = await group.apply(edit)


@pytest.mark.parametrize('size', [3])
async def test_accepted_edits_survive_the_loss_of_a_leader(tmp_path, size):
    async with control_group.run_group(tmp_path, BASE_PORT, size) as group:
        leader = await group.wait_for_leader()
        answers = {}
        task = asyncio.create_task(apply_edits(group, answers))
        while len(answers) < EDIT_COUNT // 3:
            await asyncio.sleep(0.01)
        await group.kill(leader)
        await task
        new_leader = await group.wait_for_leader()
        assert all(answer.accepted for answer in answers.values())
        assert await group.read_version(new_leader) == EDIT_COUNT
        # Each edit is sent again with its key, including those that the
        # killed leader answered.
        for position, answer in answers.items():
            edit = replica_network.request(f'edit-{position}')
            assert await group.apply(edit) == answer
        assert await group.read_version(new_leader) == EDIT_COUNT


async def test_an_instance_with_an_old_name_and_a_wiped_folder_is_refused(
    tmp_path,
):
    base_port = BASE_PORT + 10
    async with control_group.run_group(tmp_path, base_port, 3) as group:
        leader = await group.wait_for_leader()
        follower = next(name for name in group.addresses if name != leader)
        await group.kill(follower)
        group.remove_data_folder(follower)
        await group.start(follower)
        status, line = await group.wait_for_exit(follower)
        assert status == 1
        assert 'never start it under the old name' in line
        assert (await group.apply(replica_network.request('a'))).accepted


async def test_a_data_folder_in_use_is_refused(tmp_path):
    base_port = BASE_PORT + 20
    async with control_group.run_group(tmp_path, base_port, 1) as group:
        await group.wait_for_leader()
        first_process = group.processes.pop('control-0')
        try:
            await group.start('control-0')
            status, line = await group.wait_for_exit('control-0')
        finally:
            group.processes['control-0'] = first_process
        assert status == 1
        assert 'another process uses this data folder' in line
