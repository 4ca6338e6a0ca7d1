"""A folder in memory that injects faults into file operations."""

import errno


class PowerFailureError(Exception):
    """Raised when the simulated machine loses power during an operation."""


class FaultyFolder:
    """Keeps synced data apart from data that is written but not synced.

    It is a ``storage.folder.Folder`` with methods for faults. The operation
    with number ``fail_at``, counted from 1, fails in the way that ``fault``
    names. The machine loses power just ``before`` or ``after`` the operation,
    or in the middle of a write (``torn``). With ``error`` and ``full``, the
    system reports an I/O error or a full disk.

    Each file has a number, like an inode, that does not change when the file
    is renamed. ``files`` and ``synced_names`` map the current and the synced
    names to the numbers, and ``synced_files`` maps the numbers to the synced
    content.
    """

    def __init__(self, fail_at=0, fault='before'):
        """Create an empty folder; no operation fails if ``fail_at`` is 0."""
        self.path = 'folder'
        self.fail_at = fail_at
        self.fault = fault
        self.operation_count = 0
        # While it is set, all writes fail as on a full disk.
        self.is_full = False
        self.files = {}
        self.synced_files = {}
        self.synced_names = {}
        self._content = {}
        self._last_number = 0

    def list_names(self):
        return sorted(self.files)

    def read(self, name):
        return bytes(self._content[self.files[name]])

    def append(self, name, data):
        if name not in self.files:
            self._last_number += 1
            self.files[name] = self._last_number
            self._content[self._last_number] = bytearray()
            self.synced_files[self._last_number] = b''
        content = self._content[self.files[name]]
        fault = self._begin_operation()
        if self.is_full and data:
            fault = 'full'
        if fault:
            content += data[: len(data) // 2]
            self._raise_fault(fault)
        content += data
        self._end_operation()

    def sync(self, name):
        self._raise_fault(self._begin_operation())
        number = self.files[name]
        self.synced_files[number] = bytes(self._content[number])
        self._end_operation()

    def rename(self, old, new):
        self._raise_fault(self._begin_operation())
        self.files[new] = self.files.pop(old)
        self._end_operation()

    def remove(self, name):
        self._raise_fault(self._begin_operation())
        del self.files[name]
        self._end_operation()

    def sync_names(self):
        self._raise_fault(self._begin_operation())
        self.synced_names = dict(self.files)
        self._end_operation()

    def copy_after_power_failure(self, keeps_unsynced):
        """Return the folder as it is after a power failure.

        ``keeps_unsynced`` says whether data and names that were not synced
        survive the failure.
        """
        folder = FaultyFolder()
        folder._last_number = self._last_number
        folder.files = dict(
            self.files if keeps_unsynced else self.synced_names
        )
        content = self._content if keeps_unsynced else self.synced_files
        for number in folder.files.values():
            folder._content[number] = bytearray(content[number])
            folder.synced_files[number] = bytes(content[number])
        folder.synced_names = dict(folder.files)
        return folder

    def invert_byte(self, name, offset):
        """Invert the bits of one byte of a file."""
        self._content[self.files[name]][offset] ^= 0xFF

    def truncate(self, name, size):
        """Shorten a file to ``size`` bytes."""
        del self._content[self.files[name]][size:]

    def _begin_operation(self):
        self.operation_count += 1
        if self.operation_count != self.fail_at:
            return ''
        return '' if self.fault == 'after' else self.fault

    def _end_operation(self):
        if self.operation_count == self.fail_at and self.fault == 'after':
            raise PowerFailureError()

    def _raise_fault(self, fault):
        match fault:
            case '':
                return
            case 'error':
                raise OSError(errno.EIO, 'input/output error')
            case 'full':
                raise OSError(errno.ENOSPC, 'no space left on device')
            case _:
                raise PowerFailureError()
