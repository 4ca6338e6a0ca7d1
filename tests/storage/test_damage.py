"""An incomplete or corrupt last entry is dropped; other damage is an error."""

import faulty_folder
import pytest

from gentianspoke import errors
from gentianspoke.storage import frames
from gentianspoke.storage import journal

NAME = 'journal-000000000001'
ENTRIES = (b'first entry', b'second entry', b'third entry')


def make_written_folder():
    """Return a folder with a head and three entries."""
    folder = faulty_folder.FaultyFolder()
    writer = journal.Journal(folder)
    writer.rewrite(b'head')
    for entry in ENTRIES:
        writer.append(entry)
    return folder


def compute_frame_ends():
    """Return the end offsets of the head and of each entry in the file."""
    ends, end = [], 0
    for body in (b'head', *ENTRIES):
        end += len(frames.encode_frame(body))
        ends.append(end)
    return ends


LAST_ENTRY_BEGIN, LAST_ENTRY_END = compute_frame_ends()[-2:]


@pytest.mark.parametrize('size', range(LAST_ENTRY_BEGIN, LAST_ENTRY_END))
def test_a_torn_last_entry_is_dropped(size):
    folder = make_written_folder()
    folder.truncate(NAME, size)
    content = journal.Journal(folder).load()
    assert content.entries == ENTRIES[:2]
    assert content.cut_bytes == size - LAST_ENTRY_BEGIN


@pytest.mark.parametrize('offset', range(LAST_ENTRY_BEGIN, LAST_ENTRY_END))
def test_a_corrupt_last_entry_is_dropped(offset):
    folder = make_written_folder()
    folder.invert_byte(NAME, offset)
    assert journal.Journal(folder).load().entries == ENTRIES[:2]


@pytest.mark.parametrize('offset', range(LAST_ENTRY_BEGIN))
def test_damage_before_a_valid_entry_is_refused(offset):
    folder = make_written_folder()
    folder.invert_byte(NAME, offset)
    with pytest.raises(errors.DamageError, match='control-group replace'):
        journal.Journal(folder).load()


@pytest.mark.parametrize('size', range(compute_frame_ends()[0]))
def test_a_file_without_a_whole_head_is_refused(size):
    # A crash cannot cut off a part of the head, which is synced before the
    # file gets its final name.
    folder = make_written_folder()
    folder.truncate(NAME, size)
    with pytest.raises(errors.DamageError):
        journal.Journal(folder).load()


@pytest.mark.parametrize(
    'body', [b'', frames.MAGIC, frames.encode_frame(b'inner')[:-1]]
)
def test_a_frame_within_a_body_is_not_read_as_a_frame(body):
    data = frames.encode_frame(body) + frames.encode_frame(b'next')
    scan = frames.scan_frames(data)
    assert scan.bodies == (body, b'next')
    assert not scan.is_damaged
