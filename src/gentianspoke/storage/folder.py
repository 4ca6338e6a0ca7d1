"""The file operations that the journal uses to store durable state.

Tests replace the folder with one that has the same methods and injects faults.
"""

import collections.abc
import contextlib
import fcntl
import os
import pathlib
import typing

from gentianspoke import errors

LOCK_FILE = 'lock'


class Folder(typing.Protocol):
    """A folder of files, accessed by their names.

    Changes are durable only after a sync. All methods raise ``OSError`` if
    the operating system reports an error.
    """

    path: str

    def list_names(self) -> list[str]:
        """Return the names of all files in the folder."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Append all of ``data`` to a file, which is created if missing."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, and replace any file that has the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_names(self) -> None:
        """Make all created, renamed and removed file names durable."""


class DiskFolder:
    """A folder of the file system.

    The file that was last appended to or synced is kept open.
    """

    def __init__(self, path: str) -> None:
        """Use the existing folder at ``path``."""
        self.path = path
        self._root = pathlib.Path(path)
        self._open_name = ''
        self._open_fd = -1

    def list_names(self) -> list[str]:
        """Return the names of all files in the folder."""
        return sorted(path.name for path in self._root.iterdir())

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self._root / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append all of ``data`` to a file, which is created if missing."""
        fd = self._ensure_open(name)
        remaining_data = memoryview(data)
        while remaining_data:
            remaining_data = remaining_data[os.write(fd, remaining_data) :]

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fsync(self._ensure_open(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, and replace any file that has the new name."""
        os.replace(self._root / old, self._root / new)
        if self._open_name == old:
            self._open_name = new

    def remove(self, name: str) -> None:
        """Remove a file."""
        if self._open_name == name:
            self.close()
        (self._root / name).unlink()

    def sync_names(self) -> None:
        """Make all created, renamed and removed file names durable."""
        _sync_folder(self._root)

    def close(self) -> None:
        """Close the file that is kept open."""
        if self._open_fd >= 0:
            os.close(self._open_fd)
        self._open_fd = -1
        self._open_name = ''

    def _ensure_open(self, name: str) -> int:
        if self._open_name != name:
            self.close()
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._open_fd = os.open(self._root / name, flags, 0o600)
            self._open_name = name
        return self._open_fd


@contextlib.contextmanager
def open_folder(path: str) -> collections.abc.Iterator[DiskFolder]:
    """Create a data folder if it is missing, lock it and yield it.

    Raises :class:`gentianspoke.errors.FolderInUseError` if another process
    has the folder open, and :class:`gentianspoke.errors.StorageError` if
    the folder cannot be used.
    """
    try:
        os.makedirs(path, exist_ok=True)
        # A new folder is durable only after its parent has been synced.
        _sync_folder(pathlib.Path(path).absolute().parent)
        lock_path = os.path.join(path, LOCK_FILE)
        lock_fd = os.open(lock_path, os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as exc:
        raise errors.StorageError(
            f'{path}: cannot be used as data folder ({exc.strerror}); check'
            ' path and rights'
        ) from exc
    try:
        # The operating system releases the lock when the process ends for
        # any reason, so a crash leaves no stale lock.
        fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as exc:
        os.close(lock_fd)
        raise errors.FolderInUseError(path) from exc
    folder = DiskFolder(path)
    try:
        yield folder
    finally:
        folder.close()
        os.close(lock_fd)


def _sync_folder(path: pathlib.Path) -> None:
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
