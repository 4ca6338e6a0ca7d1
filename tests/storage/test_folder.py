"""Only one process at a time uses a data folder, and reads what is stored."""

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


def test_a_path_that_is_not_a_folder_is_refused(tmp_path):
    (tmp_path / 'file').write_text('')
    with pytest.raises(errors.StorageError, match='check path'):
        with folder.open_folder(str(tmp_path / 'file')):
            pass


def test_a_journal_on_disk_is_read_as_written(tmp_path):
    with folder.open_folder(str(tmp_path)) as data_folder:
        first_journal = journal.Journal(data_folder)
        assert first_journal.load() is None
        first_journal.rewrite(b'head')
        first_journal.append(b'one')
        first_journal.rewrite(b'next')
        first_journal.append(b'two')
    with folder.open_folder(str(tmp_path)) as data_folder:
        second_journal = journal.Journal(data_folder)
        content = second_journal.load()
        assert (content.head, content.entries) == (b'next', (b'two',))
        second_journal.append(b'three')
        assert second_journal.load().entries == (b'two', b'three')
        assert data_folder.list_names() == ['journal-000000000002', 'lock']
