"""The exception classes of gentianspoke, which have one base class.

Every message states the problem and its remedy, because operators read it
during an outage and without access to the source code.
"""


class GentianspokeError(Exception):
    """Base class of all errors of this package."""


class SettingsError(GentianspokeError):
    """A settings file is not valid or cannot be read."""

    def __init__(self, file: str, key: str, remedy: str) -> None:
        """Store the file, the key in it and the remedy.

        ``key`` is empty if the problem concerns the whole file. ``remedy``
        says what is wrong and how to correct it.
        """
        self.file = file
        self.key = key
        self.remedy = remedy
        location = f'{file}: {key}' if key else file
        super().__init__(f'{location}: {remedy}')


class StartError(GentianspokeError):
    """The operating system did not allow a process to start."""

    def __init__(self, file: str, reason: str) -> None:
        """Store the settings file; the message adds the system's reason."""
        self.file = file
        super().__init__(
            f'{file}: cannot start ({reason}); check that its addresses'
            ' belong to this instance and are not in use, and that the folders'
            ' of its files exist and are writable'
        )


class CatalogueFileError(SettingsError):
    """A catalogue file has entries that are not valid."""


class KeyFileError(SettingsError):
    """A file of shared keys is not valid or cannot be read."""


class PacketError(GentianspokeError):
    """A packet or frame was dropped; ``reason`` states why."""

    def __init__(self, reason: str) -> None:
        """Store the reason, a short word that metrics use as a label."""
        self.reason = reason
        super().__init__(
            f'packet dropped ({reason}); see "packets dropped" in the'
            ' operators\' pages for the remedy of each reason'
        )


class ControlError(GentianspokeError):
    """A request to the control instances failed or has an unknown outcome."""


class ControlUnreachableError(ControlError):
    """No control instance answered."""

    def __init__(self, addresses: str) -> None:
        """Build the message with the addresses that were tried."""
        super().__init__(
            f'no control instance answered at {addresses}; check that a'
            ' majority of them runs and that "feeds" lists their addresses'
        )


class NotLeaderError(ControlError):
    """A request for the leader reached another control instance."""

    def __init__(self, leader: str) -> None:
        """Store the leader's address, empty if no leader is known."""
        self.leader = leader
        remedy = f'ask {leader}' if leader else 'ask again in a second'
        super().__init__(f'this control instance does not lead; {remedy}')


class OutcomeUnknownError(ControlError):
    """It is unknown whether an edit was accepted."""

    def __init__(self, key: str = '') -> None:
        """Store the idempotency key of the edit, empty if unknown."""
        self.key = key
        key_option = f'--key {key}' if key else 'the same idempotency key'
        super().__init__(
            'no majority answered in time, so the edit may have been accepted;'
            f' send it again with {key_option}, so that it is applied only'
            ' once'
        )


class BusyError(ControlError):
    """The queue of requests for the catalogue log is full."""

    def __init__(self) -> None:
        """Build the message, which has no parameters."""
        super().__init__(
            'too many requests wait for the catalogue log, so this one was'
            ' not taken; send it again in a second'
        )


class MemberChangeError(ControlError):
    """A change of the control group's members was refused or took too long."""


class IdentityError(GentianspokeError):
    """A control instance does not match its data folder or its group."""


class EditRefusedError(ControlError):
    """An edit was refused, and no part of it was applied."""


class NotInForceError(ControlError):
    """A catalogue version did not come into force everywhere in time."""

    def __init__(
        self, version: int, in_force: int, consumers: int, lagging: str
    ) -> None:
        """Store the version and build the message.

        ``in_force`` is the number of consumers that use the version, and
        ``consumers`` the number of all consumers. ``lagging`` names those
        that do not use it, or says why the state is unknown. It is empty if
        the control instances named no consumer.
        """
        self.version = version
        super().__init__(
            f'version {version} is accepted, but in force on {in_force} of'
            f' {consumers} consumers only; check the consumers that lag:'
            f' {lagging or "none is named"}'
        )


class ChannelError(GentianspokeError):
    """The peer of a channel did not prove that it has a shared key."""

    def __init__(self, reason: str) -> None:
        """Store the reason, a short text for display."""
        self.reason = reason
        super().__init__(
            f'the other end is not authenticated ({reason}); check that both'
            ' ends have key files of the same deployment and that their'
            ' clocks agree'
        )


class StorageError(GentianspokeError):
    """Durable state cannot be read or written."""


class FolderInUseError(StorageError):
    """Another process uses the data folder."""

    def __init__(self, path: str) -> None:
        """Build the message with the path of the folder."""
        super().__init__(
            f'{path}: another process uses this data folder; stop it first,'
            ' or give this instance a folder of its own'
        )


class DamageError(StorageError):
    """A journal file is damaged before its end."""

    def __init__(self, file: str, offset: int) -> None:
        """Store the file and the byte offset at which the damage begins."""
        self.file = file
        self.offset = offset
        super().__init__(
            f'{file}: damaged at byte {offset}, with valid data after it,'
            ' so accepted changes may be missing; do not repair the file:'
            ' replace this control instance with "gentianspoke control-group'
            ' replace"'
        )


class WriteError(StorageError):
    """A write or sync of durable state failed."""

    def __init__(self, file: str, reason: str) -> None:
        """Build the message with the file and the system's reason."""
        super().__init__(
            f'{file}: cannot be made durable ({reason}); check the free space'
            ' and the health of the disk. The instance goes on without its'
            ' vote until the disk takes writes again'
        )


class LogFileError(GentianspokeError):
    """The command ``timeline`` cannot read a log file."""

    def __init__(self, file: str, reason: str) -> None:
        """Store the file; the message adds why it cannot be read."""
        self.file = file
        super().__init__(
            f'{file}: cannot be read ({reason}); check path and rights, or'
            ' copy the log to this instance'
        )
