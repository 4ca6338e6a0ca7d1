"""Checks on settings that a schema cannot express."""

import collections.abc
import dataclasses
import ipaddress

import pydantic

from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke import errors
from gentianspoke.generated import settings_model


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An address, the key that gives it, and its transport."""

    key: str
    transport: str
    address: units.Address


def check_values(
    path: str, model: pydantic.BaseModel, prefix: str = ''
) -> None:
    """Check all addresses and durations of a model.

    Raises :class:`gentianspoke.errors.SettingsError` that names the key.
    """
    for name, value in model:
        items = value if isinstance(value, list) else [value]
        for position, item in enumerate(items):
            key = f'{prefix}{name}'
            if isinstance(value, list):
                key += f'.{position}'
            _check_value(path, key, item)


def _check_value(path: str, key: str, item: object) -> None:
    try:
        match item:
            case settings_model.HostPort(root=text):
                units.host_port(text)
            case settings_model.Duration(root=text):
                units.duration_ms(text)
            case pydantic.BaseModel():
                check_values(path, item, f'{key}.')
    except ValueError as exc:
        raise errors.SettingsError(path, key, str(exc)) from exc


def check_whole(path: str, cfg: settings.Settings) -> None:
    """Check what must fit together in settings.

    Raises :class:`gentianspoke.errors.SettingsError` that names the key.
    """
    own = list(_own_places(cfg))
    _check_distinct(path, own)
    match cfg.role:
        case settings.AgentSettings() as role:
            _check_agent(path, role, own)
        case _:
            pass
    feeds = [
        Place(f'feeds.{position}', 'tcp', address)
        for position, address in enumerate(cfg.feeds)
    ]
    _check_distinct(path, feeds)


def _own_places(cfg: settings.Settings) -> collections.abc.Iterator[Place]:
    if cfg.metrics is not None:
        yield Place('metrics', 'tcp', cfg.metrics)
    match cfg.role:
        case settings.EntrySettings(listen=listen):
            yield Place('entry.listen', 'udp', listen)
        case settings.AgentSettings() as role:
            yield Place('agent.listen', 'udp', role.listen)
            yield Place('agent.upstream_side', 'udp', role.upstream_side)
        case settings.ControlSettings(listen=listen):
            yield Place('control.listen', 'tcp', listen)


def _check_agent(
    path: str, role: settings.AgentSettings, own: list[Place]
) -> None:
    for place in (
        Place('agent.upstream', 'udp', role.upstream),
        Place('agent.fabric', 'udp', role.fabric),
    ):
        # A packet sent to an own address would come back without end.
        _check_distinct(path, [*own, place])
    if ipaddress.ip_address(role.listen[0]).is_unspecified:
        raise errors.SettingsError(
            path,
            'agent.listen',
            'is announced to other instances; give an IP number of this'
            ' instance in place of the wildcard',
        )
    repeated = _first_repeated(role.services)
    if repeated is not None:
        raise errors.SettingsError(
            path, 'agent.services', f'names {repeated} twice; remove one'
        )


def _check_distinct(path: str, places: list[Place]) -> None:
    seen: dict[tuple[str, units.Address], str] = {}
    for place in places:
        first = seen.setdefault((place.transport, place.address), place.key)
        if first != place.key:
            text = units.format_address(place.address)
            raise errors.SettingsError(
                path,
                place.key,
                f'{text} is already the address of {first}; use another one',
            )


def _first_repeated(names: tuple[str, ...]) -> str | None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            return name
        seen.add(name)
    return None
