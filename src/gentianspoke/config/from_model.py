"""Conversion of validated settings models to data classes.

This module is separate from the data classes, so that a process whose
settings come from another source does not load the models.
"""

from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke.generated import settings_model


def convert_settings(
    model: settings_model.Settings,
    role: (
        settings_model.EntrySettings
        | settings_model.AgentSettings
        | settings_model.ControlSettings
    ),
) -> settings.Settings:
    """Return the data classes for a checked model.

    ``role`` holds the settings of the only role that the model contains.
    """
    return settings.Settings(
        instance=model.instance,
        zone=model.zone,
        key_file=model.key_file,
        log_file=model.log_file,
        log_level=str(model.log_level),
        metrics=_parse_optional_address(model.metrics),
        grace_ms=_parse_duration_ms(model.grace),
        feeds=tuple(
            units.parse_address(feed.root) for feed in model.feeds or ()
        ),
        role=_convert_role(role),
    )


def _convert_role(
    role: (
        settings_model.EntrySettings
        | settings_model.AgentSettings
        | settings_model.ControlSettings
    ),
) -> settings.Role:
    match role:
        case settings_model.EntrySettings():
            return settings.EntrySettings(
                units.parse_address(role.listen.root),
                role.link_kbps,
                role.hold_ms,
            )
        case settings_model.AgentSettings():
            return _convert_agent(role)
        case settings_model.ControlSettings():
            return _convert_control(role)


def _convert_agent(
    role: settings_model.AgentSettings,
) -> settings.AgentSettings:
    return settings.AgentSettings(
        listen=units.parse_address(role.listen.root),
        upstream_side=units.parse_address(role.upstream_side.root),
        upstream=units.parse_address(role.upstream.root),
        status=_parse_optional_address(role.status),
        fabric=units.parse_address(role.fabric.root),
        services=tuple(role.services),
        slots=role.slots,
        connections=role.connections,
        weight=role.weight,
        ramp_ms=_parse_duration_ms(role.ramp),
        link_kbps=role.link_kbps,
        cold_openings_per_s=role.cold_openings_per_s,
        schedule_requests=role.schedule_requests,
        inquire_flows=bool(role.inquire_flows),
        placement=settings.Placement(str(role.placement)),
    )


def _convert_control(
    role: settings_model.ControlSettings,
) -> settings.ControlSettings:
    members = tuple(
        (member.instance, units.parse_address(member.address.root))
        for member in role.members or ()
    )
    return settings.ControlSettings(
        listen=units.parse_address(role.listen.root),
        data_folder=role.data_folder,
        members=members,
        lease_ms=_parse_duration_ms(role.lease),
        join=bool(role.join),
        retention_ms=_parse_duration_ms(role.retention),
        flow_lifetime_ms=_parse_duration_ms(role.flow_lifetime),
    )


def _parse_duration_ms(value: settings_model.Duration | str) -> int:
    text = value if isinstance(value, str) else value.root
    return units.parse_duration_ms(text)


def _parse_optional_address(
    value: settings_model.HostPort | None,
) -> units.Address | None:
    return units.parse_address(value.root) if value is not None else None
