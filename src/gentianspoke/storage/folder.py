"""The few operations on files that durable state is built from.

Tests put a faulty stand-in under the journal; it has the same methods.
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
    """Files by name. Nothing lasts before it is synced.

    All methods raise ``OSError`` where the system refuses.
    """

    path: str

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Write all of ``data`` at the end of a file, new or not."""

    def sync(self, name: str) -> None:
        """Make the content of a file last."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_names(self) -> None:
        """Make the names of files last."""


class DiskFolder:
    """A folder of the file system, one file of which is kept open."""

    def __init__(self, path: str) -> None:
        """Use the folder at ``path``, which exists."""
        self.path = path
        self._root = pathlib.Path(path)
        self._open_name = ''
        self._open_fd = -1

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(item.name for item in self._root.iterdir())

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self._root / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Write all of ``data`` at the end of a file, new or not."""
        fd = self._fd(name)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(fd, remaining) :]

    def sync(self, name: str) -> None:
        """Make the content of a file last."""
        os.fsync(self._fd(name))

    def rename(self, old: str, new: str) -> None:
        """Give a file another name."""
        os.replace(self._root / old, self._root / new)
        if self._open_name == old:
            self._open_name = new

    def remove(self, name: str) -> None:
        """Remove a file."""
        (self._root / name).unlink()

    def sync_names(self) -> None:
        """Make the names of files last."""
        _sync_folder(self._root)

    def close(self) -> None:
        """Close the file that is kept open."""
        if self._open_fd >= 0:
            os.close(self._open_fd)
        self._open_fd = -1
        self._open_name = ''

    def _fd(self, name: str) -> int:
        if self._open_name != name:
            self.close()
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._open_fd = os.open(self._root / name, flags, 0o600)
            self._open_name = name
        return self._open_fd


@contextlib.contextmanager
def open_folder(path: str) -> collections.abc.Iterator[DiskFolder]:
    """Use a data folder, made where it is missing, and lock it.

    Raises :class:`gentianspoke.errors.StorageError`, of which
    :class:`gentianspoke.errors.FolderInUseError` while another process
    has the folder open.
    """
    try:
        os.makedirs(path, exist_ok=True)
        # A new folder lasts only once its name in its parent does.
        _sync_folder(pathlib.Path(path).absolute().parent)
        lock_path = os.path.join(path, LOCK_FILE)
        lock = os.open(lock_path, os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as exc:
        raise errors.StorageError(
            f'{path}: cannot be used as data folder ({exc.strerror}); check'
            ' path and rights'
        ) from exc
    try:
        # The system drops the lock with the process, however it ends.
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as exc:
        os.close(lock)
        raise errors.FolderInUseError(path) from exc
    folder = DiskFolder(path)
    try:
        yield folder
    finally:
        folder.close()
        os.close(lock)


def _sync_folder(path: pathlib.Path) -> None:
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
