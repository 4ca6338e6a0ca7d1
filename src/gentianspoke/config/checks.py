"""Checks of settings that a schema cannot express."""

import collections.abc
import dataclasses
import ipaddress

import pydantic

from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke import errors
from gentianspoke.generated import settings_model


@dataclasses.dataclass(frozen=True, slots=True)
class ConfiguredAddress:
    """An address in the settings, with its key and its transport."""

    key: str
    transport: str
    address: units.Address


def check_values(
    path: str, model: pydantic.BaseModel, prefix: str = ''
) -> None:
    """Raise an error for an invalid address or duration in a model.

    Raises :class:`gentianspoke.errors.SettingsError`, which names the key.
    ``prefix`` is the dotted key of the model, with a final dot. It is empty
    for the whole settings.
    """
    for name, content in model:
        values = content if isinstance(content, list) else [content]
        for position, value in enumerate(values):
            key = f'{prefix}{name}'
            if isinstance(content, list):
                key += f'.{position}'
            _check_value(path, key, value)


def _check_value(path: str, key: str, value: object) -> None:
    try:
        match value:
            case settings_model.HostPort(root=text):
                units.parse_address(text)
            case settings_model.Duration(root=text):
                units.parse_duration_ms(text)
            case pydantic.BaseModel():
                check_values(path, value, f'{key}.')
    except ValueError as exc:
        raise errors.SettingsError(path, key, str(exc)) from exc


def check_consistency(path: str, cfg: settings.Settings) -> None:
    """Raise an error for settings that contradict one another.

    Raises :class:`gentianspoke.errors.SettingsError`, which names the key.
    """
    local_addresses = list(_find_local_addresses(cfg))
    _check_distinct(path, local_addresses)
    match cfg.role:
        case settings.AgentSettings() as role:
            _check_agent(path, role, local_addresses)
        case _:
            pass
    feed_addresses = [
        ConfiguredAddress(f'feeds.{position}', 'tcp', address)
        for position, address in enumerate(cfg.feeds)
    ]
    _check_distinct(path, feed_addresses)


def _find_local_addresses(
    cfg: settings.Settings,
) -> collections.abc.Iterator[ConfiguredAddress]:
    if cfg.metrics is not None:
        yield ConfiguredAddress('metrics', 'tcp', cfg.metrics)
    match cfg.role:
        case settings.EntrySettings(listen=listen):
            yield ConfiguredAddress('entry.listen', 'udp', listen)
        case settings.AgentSettings() as role:
            yield ConfiguredAddress('agent.listen', 'udp', role.listen)
            yield ConfiguredAddress(
                'agent.upstream_side', 'udp', role.upstream_side
            )
        case settings.ControlSettings(listen=listen):
            yield ConfiguredAddress('control.listen', 'tcp', listen)


def _check_agent(
    path: str,
    role: settings.AgentSettings,
    local_addresses: list[ConfiguredAddress],
) -> None:
    for configured_address in (
        ConfiguredAddress('agent.upstream', 'udp', role.upstream),
        ConfiguredAddress('agent.fabric', 'udp', role.fabric),
    ):
        # An agent that sends packets to one of its own addresses would
        # receive and send them again without end.
        _check_distinct(path, [*local_addresses, configured_address])
    if ipaddress.ip_address(role.listen[0]).is_unspecified:
        raise errors.SettingsError(
            path,
            'agent.listen',
            'is announced to other instances; give an IP address of this'
            ' instance in place of the wildcard',
        )
    if role.cold_openings_per_s and role.status is None:
        raise errors.SettingsError(
            path,
            'agent.cold_openings_per_s',
            'needs the status page, which reports for how long the upstream'
            ' is cold; set agent.status, or remove the limit',
        )
    repeated_name = _find_repeated_name(role.services)
    if repeated_name is not None:
        raise errors.SettingsError(
            path, 'agent.services', f'names {repeated_name} twice; remove one'
        )


def _check_distinct(path: str, addresses: list[ConfiguredAddress]) -> None:
    keys_by_address: dict[tuple[str, units.Address], str] = {}
    for configured_address in addresses:
        first_key = keys_by_address.setdefault(
            (configured_address.transport, configured_address.address),
            configured_address.key,
        )
        if first_key != configured_address.key:
            text = units.format_address(configured_address.address)
            raise errors.SettingsError(
                path,
                configured_address.key,
                f'{text} is already the address of {first_key}; use another'
                ' one',
            )


def _find_repeated_name(names: tuple[str, ...]) -> str | None:
    seen_names: set[str] = set()
    for name in names:
        if name in seen_names:
            return name
        seen_names.add(name)
    return None
