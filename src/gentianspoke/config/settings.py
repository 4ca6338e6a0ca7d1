"""Data classes for the settings of one process."""

import dataclasses
import enum

from gentianspoke.config import units


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry instance.

    ``listen`` receives the packets of the fabric. ``link_kbps`` is the
    capacity of the instance's network link in kbit/s. It is 0 if the capacity
    is unknown. Openings that cannot be routed yet are held for ``hold_ms``; 0
    means that they are decided at once.
    """

    listen: units.Address
    link_kbps: int = 0
    hold_ms: int = 0


class Placement(enum.Enum):
    """The measure of the load by which openings are placed."""

    OPEN_FLOWS = 'open-flows'
    CAPACITY = 'capacity'


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent, with durations in milliseconds.

    ``listen`` receives the frames of entries and other agents, and
    ``upstream_side`` the packets of the upstream. ``upstream`` is the address
    of the upstream, and ``status`` that of its status page, if it has one.
    Packets to callers are sent to ``fabric``, unless the codec returns another
    next hop. ``services`` names the services in the agent's heartbeats. The
    agent serves these services, unless ``pool`` is set. ``slots`` is the
    maximum number of requests that run at the upstream at a time, and
    ``connections`` the maximum number of open flows. ``ramp_ms`` is the time
    that a newly started upstream takes to reach its full share of flows, which
    is proportional to ``weight``. ``pool`` names the pool of the agent's
    upstream if services share pools. The agent then serves all services that
    name this pool. ``recovery_ms`` is the time for which a restarted agent
    adopts flows that it does not know. An upstream that reports its status
    gets no new flow once its last report is older than ``silent_ms``; 0
    disables this limit. ``link_kbps`` is the capacity of the instance's
    network link in kbit/s. It is 0 if the capacity is unknown. An upstream
    that reports that it has just started gets at most ``cold_openings_per_s``
    openings in any second; 0 disables this limit. If ``schedule_requests`` is
    true, complete requests wait beside the upstream while its slots are
    occupied. With ``inquire_flows``, agents ask each other about flows that
    none of them finds, and end those that no upstream has any more.
    ``placement`` is the measure of the load by which openings are placed.
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
    # Flows may last for hours.
    recovery_ms: int = 7_200_000
    silent_ms: int = 0
    link_kbps: int = 0
    cold_openings_per_s: int = 0
    schedule_requests: bool = False
    inquire_flows: bool = False
    placement: Placement = Placement.OPEN_FLOWS


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of a control instance, with durations in milliseconds.

    If ``data_folder`` is empty, the instance keeps no log and only refers
    clients to the members of the group and to its leader. ``members`` lists
    the names and addresses of the initial members of the group. If ``join``
    is true, an instance with a new folder waits until an operator adds it to
    the group.
    ``lease_ms`` is the duration of the lease that an accepted heartbeat
    grants. ``member`` is the instance's name in the group, by default the name
    of the instance. If ``tolerate`` is not 0, the group replaces lost members
    by itself, so that it can tolerate the loss of that many members. If an
    instance hears nothing from the leader for ``election_ms``, it considers
    the leader lost. The log is compacted after each ``compact_records``
    applied records. The newest ``kept_records`` records that the snapshot
    covers stay in the log. A silent member stays listed for ``retention_ms``,
    unless its upstream has left or restarted; with 0 it is removed once its
    lease has expired. ``flow_lifetime_ms`` is the greatest age of a flow, by
    which the catalogue forgets former pools; with 0 it keeps all.
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
    retention_ms: int = 0
    flow_lifetime_ms: int = 0


Role = EntrySettings | AgentSettings | ControlSettings


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process, whose kind follows from ``role``.

    The log goes to standard output if ``log_file`` is ``None``, and metrics
    are not served if ``metrics`` is ``None``. ``grace_ms`` is the longest
    time in ms that a planned stop waits for flows in progress. ``feeds``
    lists the addresses of control instances.
    """

    instance: str
    zone: str
    key_file: str
    log_file: str | None
    log_level: str
    metrics: units.Address | None
    grace_ms: int
    feeds: tuple[units.Address, ...]
    role: Role
