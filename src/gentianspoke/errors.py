"""All errors that gentianspoke raises, as one tree.

Every message says what is wrong and what to do about it, because the
reader is an operator with a stalled service and no source code at hand.
"""


class GentianspokeError(Exception):
    """Base of all errors of this package."""


class SettingsError(GentianspokeError):
    """A settings file that cannot be used."""

    def __init__(self, file: str, key: str, remedy: str) -> None:
        """Keep the file, the key in it (empty for all) and the remedy."""
        self.file = file
        self.key = key
        self.remedy = remedy
        place = f'{file}: {key}' if key else file
        super().__init__(f'{place}: {remedy}')


class StartError(GentianspokeError):
    """A process that the system did not let start."""

    def __init__(self, file: str, reason: str) -> None:
        """Name the settings file and the system's reason."""
        self.file = file
        super().__init__(
            f'{file}: cannot start ({reason}); check that its addresses are'
            ' of this instance and unused, and that the folders of its files'
            ' exist and are writable'
        )


class CatalogueFileError(SettingsError):
    """A catalogue file whose entries are not valid."""


class KeyFileError(SettingsError):
    """A file of shared keys that cannot be used."""


class PacketError(GentianspokeError):
    """A packet or frame that is not processed; ``reason`` names why."""

    def __init__(self, reason: str) -> None:
        """Keep the reason, a short word that metrics use as a label."""
        self.reason = reason
        super().__init__(
            f'packet dropped ({reason}); see "packets dropped" in the'
            ' operators\' pages for the remedy of each reason'
        )


class ControlError(GentianspokeError):
    """A request that the control instances did not carry out."""


class ControlUnreachableError(ControlError):
    """No control instance answered."""

    def __init__(self, addresses: str) -> None:
        """Name the addresses that were tried."""
        super().__init__(
            f'no control instance answered at {addresses}; check that a'
            ' majority of them runs and that "feeds" lists their addresses'
        )


class NotLeaderError(ControlError):
    """A request that only the leader can carry out."""

    def __init__(self, leader: str) -> None:
        """Name the leader's address, empty where none is known."""
        self.leader = leader
        remedy = f'ask {leader}' if leader else 'ask again in a second'
        super().__init__(f'this control instance does not lead; {remedy}')


class OutcomeUnknownError(ControlError):
    """An edit that may or may not have been accepted."""

    def __init__(self, key: str = '') -> None:
        """Name the idempotency key of the edit, empty where unknown."""
        self.key = key
        again = f'--key {key}' if key else 'the same idempotency key'
        super().__init__(
            'no majority answered in time, so the edit may have been accepted;'
            f' send it again with {again}, which is carried out once'
        )


class BusyError(ControlError):
    """More requests wait for the log than it takes at a time."""

    def __init__(self) -> None:
        """Say that the request was not taken."""
        super().__init__(
            'too many requests wait for the catalogue log, so this one was'
            ' not taken; send it again in a second'
        )


class MemberChangeError(ControlError):
    """A change of control members that was refused."""


class IdentityError(GentianspokeError):
    """A control instance whose data folder is not that of its member."""


class EditRefusedError(ControlError):
    """An edit that was not accepted, with nothing of it applied."""


class NotInForceError(ControlError):
    """A version that is not in force everywhere within the time limit."""

    def __init__(
        self, version: int, in_force: int, consumers: int, lagging: str
    ) -> None:
        """Count the consumers and name those that lag."""
        self.version = version
        super().__init__(
            f'version {version} is accepted, but in force on {in_force} of'
            f' {consumers} consumers only; look at those that lag:'
            f' {lagging or "none is named"}'
        )


class ChannelError(GentianspokeError):
    """The other end of a channel did not show that it holds a key."""

    def __init__(self, reason: str) -> None:
        """Keep the reason, a few words for people to read."""
        self.reason = reason
        super().__init__(
            f'the other end is not authenticated ({reason}); check that both'
            ' have the key files of one deployment and that their clocks'
            ' agree'
        )


class StorageError(GentianspokeError):
    """Durable state that cannot be read or written."""


class FolderInUseError(StorageError):
    """A data folder that another process uses."""

    def __init__(self, path: str) -> None:
        """Name the folder."""
        super().__init__(
            f'{path}: another process uses this data folder; stop it first,'
            ' or give this instance a folder of its own'
        )


class DamageError(StorageError):
    """A journal file that is damaged before its end."""

    def __init__(self, file: str, offset: int) -> None:
        """Name the file and the byte at which the damage begins."""
        self.file = file
        self.offset = offset
        super().__init__(
            f'{file}: damaged at byte {offset}, with valid data after it,'
            ' so accepted changes may be missing; do not repair the file:'
            ' replace this control instance with "gentianspoke control-group'
            ' replace"'
        )


class WriteError(StorageError):
    """A write or sync of durable state that failed."""

    def __init__(self, file: str, reason: str) -> None:
        """Name the file and the system's reason."""
        super().__init__(
            f'{file}: cannot be made durable ({reason}); check space and'
            ' health of the disk, then start this instance again'
        )


class LogFileError(GentianspokeError):
    """A log file that the time line cannot read."""

    def __init__(self, file: str, reason: str) -> None:
        """Name the file and why it cannot be read."""
        self.file = file
        super().__init__(
            f'{file}: cannot be read ({reason}); check path and rights, or'
            ' copy the log to this instance'
        )
