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


class ConflictError(ControlError):
    """An edit that was based on an older version of its entry."""

    def __init__(self, name: str, version: int) -> None:
        """Name the entry and its current version."""
        self.name = name
        self.version = version
        super().__init__(
            f'{name}: changed meanwhile, now at version {version}; read it'
            ' with "catalogue get", merge, and apply again'
        )


class NotLeaderError(ControlError):
    """A request that only the leader can carry out."""

    def __init__(self, leader: str) -> None:
        """Name the leader's address, empty where none is known."""
        self.leader = leader
        remedy = f'ask {leader}' if leader else 'ask again in a second'
        super().__init__(f'this control instance does not lead; {remedy}')


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


class LogFileError(GentianspokeError):
    """A log file that the time line cannot read."""

    def __init__(self, file: str, reason: str) -> None:
        """Name the file and why it cannot be read."""
        self.file = file
        super().__init__(
            f'{file}: cannot be read ({reason}); check path and rights, or'
            ' copy the log to this instance'
        )
