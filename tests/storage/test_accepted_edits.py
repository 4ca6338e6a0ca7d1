"""An accepted edit is there after a power failure at any operation."""

import faulty_folder
import pytest
import replica_network

from gentianspoke.decisions.control.replica import state as states

# Compacts within the edits, so that the table meets each kind of write.
SMALL = states.Limits(compact_records=4, kept_records=1)
EDITS = 8
OPERATIONS = 28


def write_edits(net, fail_at, fault):
    """Propose edits one by one until the power fails; return those left."""
    folder = net.folders[1]
    folder.fail_at, folder.fault = folder.operations + fail_at, fault
    keys = [f'k{position}' for position in range(EDITS)]
    try:
        for key in keys:
            net.propose(1, replica_network.request(key))
    except faulty_folder.PowerFailureError:
        return keys[keys.index(key) :]
    return []


def test_the_table_reaches_the_last_operation():
    net = replica_network.Network(1, limits=SMALL)
    net.wait_for_leader()
    before = net.folders[1].operations
    assert not write_edits(net, 0, '')
    assert net.folders[1].operations - before == OPERATIONS


@pytest.mark.parametrize('keeps_written', [False, True])
@pytest.mark.parametrize('fault', ['before', 'after', 'torn'])
@pytest.mark.parametrize('fail_at', range(1, OPERATIONS + 1))
def test_an_accepted_edit_outlives_a_power_failure(
    fail_at, fault, keeps_written
):
    net = replica_network.Network(1, limits=SMALL)
    net.wait_for_leader()
    left = write_edits(net, fail_at, fault)
    assert left
    accepted = len(net.answers) - 1
    found = net.folders[1].after_power_failure(keeps_written)
    net.use_folder(1, found)
    net.start(1)
    net.wait_for_leader()
    version = net.replicas[1].state.catalogue.version
    assert EDITS - len(left) <= version <= EDITS - len(left) + 1
    assert version >= accepted
    for key in left:
        net.propose(1, replica_network.request(key))
    assert net.replicas[1].state.catalogue.version == EDITS
