"""One process at a time uses a data folder, and reads what it wrote."""

import pytest

from gentianspoke import errors
from gentianspoke.storage import folder
from gentianspoke.storage import journal


def test_a_folder_in_use_is_refused(tmp_path):
    path = str(tmp_path / 'data')
    with folder.open_folder(path):
        with pytest.raises(errors.FolderInUseError, match='stop it first'):
            with folder.open_folder(path):
                pass
    with folder.open_folder(path):
        pass


def test_a_path_that_is_no_folder_is_refused(tmp_path):
    (tmp_path / 'file').write_text('')
    with pytest.raises(errors.StorageError, match='check path'):
        with folder.open_folder(str(tmp_path / 'file')):
            pass


def test_a_journal_on_disk_is_read_as_written(tmp_path):
    with folder.open_folder(str(tmp_path)) as opened:
        first = journal.Journal(opened)
        assert first.load() is None
        first.rewrite(b'head')
        first.append(b'one')
        first.rewrite(b'next')
        first.append(b'two')
    with folder.open_folder(str(tmp_path)) as opened:
        second = journal.Journal(opened)
        content = second.load()
        assert (content.head, content.entries) == (b'next', (b'two',))
        second.append(b'three')
        assert second.load().entries == (b'two', b'three')
        assert opened.names() == ['journal-000000000002', 'lock']
