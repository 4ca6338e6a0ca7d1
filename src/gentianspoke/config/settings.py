"""Settings of one process as data classes."""

import dataclasses

from gentianspoke.config import units
from gentianspoke.generated import settings_model


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry."""

    listen: units.Address


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent; durations are milliseconds."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of a control instance; durations are milliseconds."""

    listen: units.Address
    data_folder: str
    members: tuple[tuple[str, units.Address], ...]
    lease_ms: int
    join: bool = False


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


def from_model(
    model: settings_model.Settings,
    role: (
        settings_model.EntrySettings
        | settings_model.AgentSettings
        | settings_model.ControlSettings
    ),
) -> Settings:
    """Return checked values as data classes; ``role`` is the one given."""
    return Settings(
        instance=model.instance,
        zone=model.zone,
        key_file=model.key_file,
        log_file=model.log_file,
        log_level=str(model.log_level),
        metrics=_optional_address(model.metrics),
        grace_ms=_duration(model.grace),
        feeds=tuple(units.host_port(item.root) for item in model.feeds or ()),
        role=_role(role),
    )


def _role(
    role: (
        settings_model.EntrySettings
        | settings_model.AgentSettings
        | settings_model.ControlSettings
    ),
) -> Role:
    match role:
        case settings_model.EntrySettings():
            return EntrySettings(units.host_port(role.listen.root))
        case settings_model.AgentSettings():
            return _agent(role)
        case settings_model.ControlSettings():
            return _control(role)


def _agent(role: settings_model.AgentSettings) -> AgentSettings:
    return AgentSettings(
        listen=units.host_port(role.listen.root),
        upstream_side=units.host_port(role.upstream_side.root),
        upstream=units.host_port(role.upstream.root),
        status=_optional_address(role.status),
        fabric=units.host_port(role.fabric.root),
        services=tuple(role.services),
        slots=role.slots,
        connections=role.connections,
        weight=role.weight,
        ramp_ms=_duration(role.ramp),
    )


def _control(role: settings_model.ControlSettings) -> ControlSettings:
    members = tuple(
        (member.instance, units.host_port(member.address.root))
        for member in role.members or ()
    )
    return ControlSettings(
        listen=units.host_port(role.listen.root),
        data_folder=role.data_folder,
        members=members,
        lease_ms=_duration(role.lease),
        join=bool(role.join),
    )


def _duration(value: settings_model.Duration | str) -> int:
    text = value if isinstance(value, str) else value.root
    return units.duration_ms(text)


def _optional_address(
    value: settings_model.HostPort | None,
) -> units.Address | None:
    return units.host_port(value.root) if value is not None else None
