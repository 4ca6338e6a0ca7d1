"""A crash at every operation of the storage loses nothing synced."""

import faulty_folder
import pytest

from gentianspoke import errors
from gentianspoke.storage import journal

HEAD, NEXT_HEAD = b'head', b'next head'
ENTRIES = [b'first entry', b'second entry', b'third entry']
# Two for each entry, four and six for the heads.
OPERATIONS = 16
STOPS = ('before', 'after', 'torn')


def write_all(folder):
    """Write heads and entries; yield what has to last after each."""
    own = journal.Journal(folder)
    yield None, ()
    own.rewrite(HEAD)
    yield HEAD, ()
    for count, entry in enumerate(ENTRIES[:2], 1):
        own.append(entry)
        yield HEAD, tuple(ENTRIES[:count])
    own.rewrite(NEXT_HEAD)
    yield NEXT_HEAD, ()
    own.append(ENTRIES[2])
    yield NEXT_HEAD, (ENTRIES[2],)


def states():
    """Return all states that a run without a fault goes through."""
    return list(write_all(faulty_folder.FaultyFolder()))


def run(folder):
    """Write until a fault; return what lasts and whether one came."""
    lasting = []
    try:
        for state in write_all(folder):
            lasting.append(state)
    except (faulty_folder.PowerFailureError, errors.WriteError) as exc:
        return lasting, exc
    return lasting, None


def load(folder):
    """Return head and entries as a restart reads them."""
    content = journal.Journal(folder).load()
    if content is None:
        return None, ()
    return content.head, content.entries


def test_the_table_covers_every_operation():
    folder = faulty_folder.FaultyFolder()
    run(folder)
    assert folder.operations == OPERATIONS


@pytest.mark.parametrize('keeps_written', [False, True])
@pytest.mark.parametrize('fault', STOPS)
@pytest.mark.parametrize('fail_at', range(1, OPERATIONS + 1))
def test_a_power_failure_leaves_the_last_synced_state_or_the_next(
    fail_at, fault, keeps_written
):
    folder = faulty_folder.FaultyFolder(fail_at, fault)
    lasting, exc = run(folder)
    assert type(exc) is faulty_folder.PowerFailureError
    possible = states()[len(lasting) - 1 : len(lasting) + 1]
    assert load(folder.after_power_failure(keeps_written)) in possible


@pytest.mark.parametrize('fault', ['error', 'full'])
@pytest.mark.parametrize('fail_at', range(1, OPERATIONS + 1))
def test_a_failed_write_or_sync_ends_all_writing(fail_at, fault):
    folder = faulty_folder.FaultyFolder(fail_at, fault)
    lasting, exc = run(folder)
    assert type(exc) is errors.WriteError
    assert 'start this instance again' in str(exc)
    possible = states()[len(lasting) - 1 : len(lasting) + 1]
    for keeps_written in (False, True):
        found = folder.after_power_failure(keeps_written)
        assert load(found) in possible


def test_nothing_is_written_after_a_failed_sync():
    folder = faulty_folder.FaultyFolder()
    own = journal.Journal(folder)
    own.rewrite(HEAD)
    folder.fail_at, folder.fault = folder.operations + 2, 'error'
    for _ in range(2):
        with pytest.raises(errors.WriteError):
            own.append(ENTRIES[0])
    assert folder.operations == folder.fail_at


@pytest.mark.parametrize('keeps_written', [False, True])
@pytest.mark.parametrize('fail_at', range(1, OPERATIONS + 1))
def test_writing_goes_on_after_a_restart(fail_at, keeps_written):
    folder = faulty_folder.FaultyFolder(fail_at, 'torn')
    run(folder)
    found = folder.after_power_failure(keeps_written)
    own = journal.Journal(found)
    content = own.load()
    head = content.head if content else b'new'
    own.rewrite(head)
    own.append(b'more')
    again = found.after_power_failure(False)
    assert load(again) == (head, (b'more',))
    assert [n for n in again.names() if n.startswith('journal')] == (
        again.names()
    )
