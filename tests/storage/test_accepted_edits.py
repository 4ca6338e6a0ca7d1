"""An accepted edit survives a power failure at any file operation."""

import faulty_folder
import pytest
import replica_network

from gentianspoke.decisions.control.replica import state as states

# The log is compacted while the edits are written, so that power fails
# during each kind of write.
SMALL_LIMITS = states.Limits(compact_records=4, kept_records=1)
EDIT_COUNT = 8
OPERATION_COUNT = 28


def write_edits(net, fail_at, fault):
    """Propose edits until the power fails; return the remaining keys.

    The first remaining key is that of the edit during which the power failed.
    ``fail_at`` is the number of the file operation, counted from the call, at
    which the power fails. The power does not fail if it is 0. ``fault`` is the
    kind of failure, as in ``faulty_folder.FaultyFolder``.
    """
    folder = net.folders[1]
    folder.fail_at, folder.fault = folder.operation_count + fail_at, fault
    keys = [f'k{position}' for position in range(EDIT_COUNT)]
    try:
        for key in keys:
            net.propose(1, replica_network.request(key))
    except faulty_folder.PowerFailureError:
        return keys[keys.index(key) :]
    return []


def test_operation_count_includes_every_file_operation():
    net = replica_network.Network(1, limits=SMALL_LIMITS)
    net.wait_for_leader()
    count_before = net.folders[1].operation_count
    assert not write_edits(net, 0, '')
    assert net.folders[1].operation_count - count_before == OPERATION_COUNT


@pytest.mark.parametrize('keeps_unsynced', [False, True])
@pytest.mark.parametrize('fault', ['before', 'after', 'torn'])
@pytest.mark.parametrize('fail_at', range(1, OPERATION_COUNT + 1))
def test_an_accepted_edit_survives_a_power_failure(
    fail_at, fault, keeps_unsynced
):
    net = replica_network.Network(1, limits=SMALL_LIMITS)
    net.wait_for_leader()
    remaining_keys = write_edits(net, fail_at, fault)
    assert remaining_keys
    # The first committed record is the group, not an edit.
    accepted_count = len(net.answers_by_index) - 1
    folder_after_failure = net.folders[1].copy_after_power_failure(
        keeps_unsynced
    )
    net.use_folder(1, folder_after_failure)
    net.start(1)
    net.wait_for_leader()
    version = net.replicas[1].state.catalogue.version
    assert (
        EDIT_COUNT - len(remaining_keys)
        <= version
        <= EDIT_COUNT - len(remaining_keys) + 1
    )
    assert version >= accepted_count
    for key in remaining_keys:
        net.propose(1, replica_network.request(key))
    assert net.replicas[1].state.catalogue.version == EDIT_COUNT
