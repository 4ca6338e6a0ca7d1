"""Settings of one process as data classes."""

import dataclasses

from gentianspoke.config import units


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry.

    ``link_kbps`` is what the instance's link takes in kbit/s, 0 if unknown.
    """

    listen: units.Address
    link_kbps: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent; durations are milliseconds.

    ``pool`` names the pool of its upstream where services share pools;
    then it serves all services that name the pool. ``recovery_ms`` tells
    how long a restarted agent adopts flows that it does not know. An
    upstream that tells of itself and has not for ``silent_ms`` gets no new
    flow; 0 is no limit.
    """

    listen: units.Address
    upstream_side: units.Address
    upstream: units.Address
    status: units.Address | None
    fabric: units.Address
    services: tuple[str, ...]
    slots: int
    connections: int
    weight: int
    ramp_ms: int
    pool: str = ''
    recovery_ms: int = 7_200_000
    silent_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of a control instance; durations are milliseconds.

    Without a ``data_folder`` it keeps no log and names the leader only.
    ``member`` is its name in the group, else that of the instance. Where
    ``tolerate`` is not 0, the group replaces lost members by itself so
    that it can bear the loss of so many. A leader that is not heard for
    ``election_ms`` is missed.
    """

    listen: units.Address
    data_folder: str
    members: tuple[tuple[str, units.Address], ...]
    lease_ms: int
    join: bool = False
    member: str = ''
    tolerate: int = 0
    election_ms: int = 1_000
    compact_records: int = 1_000
    kept_records: int = 200


Role = EntrySettings | AgentSettings | ControlSettings


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process; ``role`` tells which one it is."""

    instance: str
    zone: str
    key_file: str
    log_file: str | None
    log_level: str
    metrics: units.Address | None
    grace_ms: int
    feeds: tuple[units.Address, ...]
    role: Role
