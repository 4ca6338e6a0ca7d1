"""A folder in memory whose power can fail at any operation."""

import errno


class PowerFailureError(Exception):
    """The machine stopped during an operation on a file."""


class FaultyFolder:
    """Keeps what is synced apart from what is only written.

    The operation with number ``fail_at`` (from 1) fails as ``fault`` says:
    ``before`` and ``after`` stop the machine around it, ``torn`` within a
    write, ``error`` and ``full`` are reported by the system.
    """

    def __init__(self, fail_at=0, fault='before'):
        """Begin empty."""
        self.path = 'folder'
        self.fail_at = fail_at
        self.fault = fault
        self.operations = 0
        self.files = {}
        self.synced_files = {}
        self.synced_names = {}
        self._content = {}
        self._next = 0

    def names(self):
        return sorted(self.files)

    def read(self, name):
        return bytes(self._content[self.files[name]])

    def append(self, name, data):
        if name not in self.files:
            self._next += 1
            self.files[name] = self._next
            self._content[self._next] = bytearray()
            self.synced_files[self._next] = b''
        content = self._content[self.files[name]]
        torn = self._begin()
        if torn:
            content += data[: len(data) // 2]
            self._stop(torn)
        content += data
        self._end()

    def sync(self, name):
        self._stop(self._begin())
        number = self.files[name]
        self.synced_files[number] = bytes(self._content[number])
        self._end()

    def rename(self, old, new):
        self._stop(self._begin())
        self.files[new] = self.files.pop(old)
        self._end()

    def remove(self, name):
        self._stop(self._begin())
        del self.files[name]
        self._end()

    def sync_names(self):
        self._stop(self._begin())
        self.synced_names = dict(self.files)
        self._end()

    def after_power_failure(self, keeps_written):
        """Return what a restart finds, with or without what was unsynced."""
        found = FaultyFolder()
        found._next = self._next
        found.files = dict(self.files if keeps_written else self.synced_names)
        content = self._content if keeps_written else self.synced_files
        for number in found.files.values():
            found._content[number] = bytearray(content[number])
            found.synced_files[number] = bytes(content[number])
        found.synced_names = dict(found.files)
        return found

    def damage(self, name, offset):
        """Change one byte of a file."""
        self._content[self.files[name]][offset] ^= 0xFF

    def cut(self, name, size):
        """Shorten a file to ``size`` bytes."""
        del self._content[self.files[name]][size:]

    def _begin(self):
        self.operations += 1
        if self.operations != self.fail_at:
            return ''
        return '' if self.fault == 'after' else self.fault

    def _end(self):
        if self.operations == self.fail_at and self.fault == 'after':
            raise PowerFailureError()

    def _stop(self, fault):
        match fault:
            case '':
                return
            case 'error':
                raise OSError(errno.EIO, 'input/output error')
            case 'full':
                raise OSError(errno.ENOSPC, 'no space left on device')
            case _:
                raise PowerFailureError()
