"""A failure of any operation of the storage loses no synced data."""

import faulty_folder
import pytest

from gentianspoke import errors
from gentianspoke.storage import journal

HEAD, NEXT_HEAD = b'head', b'next head'
ENTRIES = [b'first entry', b'second entry', b'third entry']
# Each of the three entries takes two operations, the first head four and the
# second head six.
OPERATION_COUNT = 16
POWER_FAULTS = ('before', 'after', 'torn')


def write_with(writer):
    """Write heads and entries with a journal."""
    for _ in write_steps(writer):
        pass


def write_all(folder):
    """Write heads and entries, and yield the durable state after each."""
    yield from write_steps(journal.Journal(folder))


def write_steps(writer):
    """Write with a journal, and yield the durable state after each write."""
    yield None, ()
    writer.rewrite(HEAD)
    yield HEAD, ()
    for count, entry in enumerate(ENTRIES[:2], 1):
        writer.append(entry)
        yield HEAD, tuple(ENTRIES[:count])
    writer.rewrite(NEXT_HEAD)
    yield NEXT_HEAD, ()
    writer.append(ENTRIES[2])
    yield NEXT_HEAD, (ENTRIES[2],)


def list_fault_free_states():
    """Return all durable states of a run without a fault."""
    return list(write_all(faulty_folder.FaultyFolder()))


def write_until_fault(folder):
    """Write until a fault; return the durable states and the exception.

    The exception is ``None`` if there was no fault.
    """
    durable_states = []
    try:
        for state in write_all(folder):
            durable_states.append(state)
    except (faulty_folder.PowerFailureError, errors.WriteError) as exc:
        return durable_states, exc
    return durable_states, None


def load(folder):
    """Return the head and the entries that a restarted process reads."""
    content = journal.Journal(folder).load()
    if content is None:
        return None, ()
    return content.head, content.entries


def test_operation_count_includes_every_file_operation():
    folder = faulty_folder.FaultyFolder()
    write_until_fault(folder)
    assert folder.operation_count == OPERATION_COUNT


@pytest.mark.parametrize('keeps_unsynced', [False, True])
@pytest.mark.parametrize('fault', POWER_FAULTS)
@pytest.mark.parametrize('fail_at', range(1, OPERATION_COUNT + 1))
def test_a_power_failure_leaves_the_last_synced_state_or_the_next(
    fail_at, fault, keeps_unsynced
):
    folder = faulty_folder.FaultyFolder(fail_at, fault)
    durable_states, exc = write_until_fault(folder)
    assert type(exc) is faulty_folder.PowerFailureError
    allowed_states = list_fault_free_states()[
        len(durable_states) - 1 : len(durable_states) + 1
    ]
    assert (
        load(folder.copy_after_power_failure(keeps_unsynced)) in allowed_states
    )


@pytest.mark.parametrize('fault', ['error', 'full'])
@pytest.mark.parametrize('fail_at', range(1, OPERATION_COUNT + 1))
def test_a_failed_operation_leaves_the_last_synced_state_or_the_next(
    fail_at, fault
):
    folder = faulty_folder.FaultyFolder(fail_at, fault)
    durable_states, exc = write_until_fault(folder)
    assert type(exc) is errors.WriteError
    assert 'check the free space' in str(exc)
    allowed_states = list_fault_free_states()[
        len(durable_states) - 1 : len(durable_states) + 1
    ]
    for keeps_unsynced in (False, True):
        folder_after_failure = folder.copy_after_power_failure(keeps_unsynced)
        assert load(folder_after_failure) in allowed_states


@pytest.mark.parametrize('fault', ['error', 'full'])
@pytest.mark.parametrize('fail_at', range(1, OPERATION_COUNT + 1))
def test_the_whole_state_in_a_new_file_ends_a_failure(fail_at, fault):
    folder = faulty_folder.FaultyFolder(fail_at, fault)
    writer = journal.Journal(folder)
    with pytest.raises(errors.WriteError):
        write_with(writer)
    writer.check_space()
    writer.rewrite(b'whole state')
    writer.append(b'more')
    reopened_folder = folder.copy_after_power_failure(False)
    assert load(reopened_folder) == (b'whole state', (b'more',))


def test_a_full_disk_refuses_each_attempt_until_there_is_room():
    folder = faulty_folder.FaultyFolder()
    writer = journal.Journal(folder)
    writer.rewrite(HEAD)
    folder.is_full = True
    for write in (
        lambda: writer.append(ENTRIES[0]),
        writer.check_space,
        lambda: writer.rewrite(NEXT_HEAD),
        writer.check_space,
    ):
        with pytest.raises(errors.WriteError):
            write()
        for keeps_unsynced in (False, True):
            copy = folder.copy_after_power_failure(keeps_unsynced)
            assert load(copy) == (HEAD, ())
    folder.is_full = False
    writer.check_space()
    with pytest.raises(errors.WriteError):
        writer.append(ENTRIES[0])
    writer.rewrite(NEXT_HEAD)
    writer.append(ENTRIES[0])
    assert load(folder) == (NEXT_HEAD, (ENTRIES[0],))


def test_nothing_is_written_after_a_failed_sync():
    folder = faulty_folder.FaultyFolder()
    writer = journal.Journal(folder)
    writer.rewrite(HEAD)
    folder.fail_at, folder.fault = folder.operation_count + 2, 'error'
    for _ in range(2):
        with pytest.raises(errors.WriteError):
            writer.append(ENTRIES[0])
    assert folder.operation_count == folder.fail_at


@pytest.mark.parametrize('keeps_unsynced', [False, True])
@pytest.mark.parametrize('fail_at', range(1, OPERATION_COUNT + 1))
def test_a_restarted_process_can_write_to_the_journal(fail_at, keeps_unsynced):
    folder = faulty_folder.FaultyFolder(fail_at, 'torn')
    write_until_fault(folder)
    folder_after_failure = folder.copy_after_power_failure(keeps_unsynced)
    writer = journal.Journal(folder_after_failure)
    content = writer.load()
    head = content.head if content else b'new'
    writer.rewrite(head)
    writer.append(b'more')
    reopened_folder = folder_after_failure.copy_after_power_failure(False)
    assert load(reopened_folder) == (head, (b'more',))
    assert [
        name
        for name in reopened_folder.list_names()
        if name.startswith('journal')
    ] == reopened_folder.list_names()
