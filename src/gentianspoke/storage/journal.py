"""A journal that stores state as a head and the entries that change it.

Each file holds one head, which is the whole state, and the entries that
follow it. A new head is written to a new file, which is synced and only then
renamed to the next number. The file with the greatest number therefore always
begins with a complete head.
"""

import collections.abc
import contextlib
import dataclasses

from gentianspoke import errors
from gentianspoke.storage import folder as folders
from gentianspoke.storage import frames

FILE_PREFIX = 'journal-'
UNFINISHED_FILE = 'unfinished'
NUMBER_DIGITS = 12
# Size of the file that is written to see whether the disk takes writes.
PROBE_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class JournalContent:
    """The head and the entries that were read from a journal.

    ``cut_bytes`` is the size in bytes of the incomplete or corrupt last entry,
    which was ignored, or 0 if there is none.
    """

    head: bytes
    entries: tuple[bytes, ...]
    cut_bytes: int


class Journal:
    """The journal in a folder, whose writes are durable on return."""

    def __init__(self, folder: folders.Folder) -> None:
        """Use the journal file with the greatest number in the folder.

        Raises ``OSError`` if the folder cannot be listed.
        """
        self._folder = folder
        self._has_failed = False
        self._number = max(self._list_numbers(), default=0)

    @property
    def current_path(self) -> str:
        """Return the path of the current file, for error messages."""
        return f'{self._folder.path}/{_format_file_name(self._number)}'

    def load(self) -> JournalContent | None:
        """Return the content of the journal, or ``None`` if it has no file.

        Raises :class:`gentianspoke.errors.DamageError` if anything but the
        last entry is incomplete or corrupt, and
        :class:`gentianspoke.errors.StorageError` if the file cannot be read.
        """
        if self._number == 0:
            return None
        try:
            data = self._folder.read(_format_file_name(self._number))
        except OSError as exc:
            raise errors.StorageError(
                f'{self.current_path}: cannot be read ({exc.strerror}); check'
                ' disk and rights'
            ) from exc
        scan = frames.scan_frames(data)
        if scan.is_damaged or not scan.bodies:
            raise errors.DamageError(self.current_path, scan.end)
        cut_bytes = len(data) - scan.end
        return JournalContent(scan.bodies[0], scan.bodies[1:], cut_bytes)

    def append(self, entry: bytes) -> None:
        """Append an entry to the current file.

        Raises :class:`gentianspoke.errors.WriteError` if this or an earlier
        write or sync failed.
        """
        name = _format_file_name(self._number)
        with self._convert_errors(name):
            self._folder.append(name, frames.encode_frame(entry))
            self._folder.sync(name)

    def check_space(self) -> None:
        """Write and sync a small file, to see whether the disk takes writes.

        Raises :class:`gentianspoke.errors.WriteError` if it does not.
        """
        with self._convert_errors(UNFINISHED_FILE, is_new_file=True):
            self._remove_unfinished_file()
            self._folder.append(UNFINISHED_FILE, bytes(PROBE_BYTES))
            self._folder.sync(UNFINISHED_FILE)

    def rewrite(self, head: bytes) -> None:
        """Write ``head`` to a new file, and then remove the older files.

        After a failed write, entries can be appended again once this call
        has succeeded.

        Raises :class:`gentianspoke.errors.WriteError` if a write or sync
        failed.
        """
        with self._convert_errors(UNFINISHED_FILE, is_new_file=True):
            self._remove_unfinished_file()
            self._folder.append(UNFINISHED_FILE, frames.encode_frame(head))
            self._folder.sync(UNFINISHED_FILE)
            self._folder.rename(
                UNFINISHED_FILE, _format_file_name(self._number + 1)
            )
            self._folder.sync_names()
            self._number += 1
            self._remove_older_files()
        self._has_failed = False

    def _remove_unfinished_file(self) -> None:
        # A crash or a failed write can leave this file behind.
        if UNFINISHED_FILE in self._folder.list_names():
            self._folder.remove(UNFINISHED_FILE)

    def _remove_older_files(self) -> None:
        older_numbers = [
            number for number in self._list_numbers() if number < self._number
        ]
        for number in older_numbers:
            self._folder.remove(_format_file_name(number))
        if older_numbers:
            self._folder.sync_names()

    def _list_numbers(self) -> list[int]:
        return [
            int(name.removeprefix(FILE_PREFIX))
            for name in self._folder.list_names()
            if name.startswith(FILE_PREFIX)
        ]

    @contextlib.contextmanager
    def _convert_errors(
        self, name: str, *, is_new_file: bool = False
    ) -> collections.abc.Iterator[None]:
        """Raise ``WriteError`` if this or an earlier write has failed.

        An earlier failure does not matter if a new file is written.
        """
        # After a failed sync, the operating system may discard the written
        # data and report the next sync as successful. A file is therefore not
        # written any more after a failure, and the whole state is written to
        # a new file.
        path = f'{self._folder.path}/{name}'
        if self._has_failed and not is_new_file:
            raise errors.WriteError(path, 'an earlier write failed')
        try:
            yield
        except OSError as exc:
            self._has_failed = True
            raise errors.WriteError(path, exc.strerror or str(exc)) from exc


def _format_file_name(number: int) -> str:
    return f'{FILE_PREFIX}{number:0{NUMBER_DIGITS}}'
