"""Load the scenario of each user from the settings in ``examples``."""

import dataclasses
import pathlib

from gentianspoke.config import catalogue_file
from gentianspoke.config import settings
from gentianspoke.config import settings_file
from gentianspoke.core import services

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / 'examples'
# The pools of each user: the name of the agents' settings file, without
# "agent-", and the number of upstreams.
POOLS = {
    'aromas-del-plata': (('pricing', 7), ('inspection', 3)),
    'tirnica': (('siding', 7), ('manifest', 3)),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A group of upstreams that serve the same services.

    ``agent_settings`` are the example settings of an agent of the pool.
    """

    upstream_count: int
    agent_settings: settings.AgentSettings


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """The services and upstreams of one user.

    There is one service for each traffic class.
    """

    user: str
    catalogue: pathlib.Path
    board: services.Service
    booking: services.Service
    upload: services.Service
    pools: tuple[Pool, ...]

    @property
    def services(self) -> tuple[services.Service, ...]:
        """Return the services of all traffic classes."""
        return self.board, self.booking, self.upload


def load(user: str) -> Scenario:
    """Return the scenario of a user.

    Raises ``SystemExit`` if the user has no scenario.
    """
    if user not in POOLS:
        raise SystemExit(f'{user}: no such user; use {" or ".join(POOLS)}')
    folder = EXAMPLES / user
    catalogue = folder / 'catalogue.yaml'
    services_by_class: dict[str, services.Service] = {}
    for entry in catalogue_file.load(str(catalogue)):
        match entry.service.traffic:
            case services.Board():
                services_by_class['board'] = entry.service
            case services.Booking():
                services_by_class['booking'] = entry.service
            case services.Upload():
                services_by_class['upload'] = entry.service
    pools = tuple(
        Pool(
            upstream_count, _load_agent_settings(folder / f'agent-{name}.yaml')
        )
        for name, upstream_count in POOLS[user]
    )
    return Scenario(user, catalogue, pools=pools, **services_by_class)


def _load_agent_settings(path: pathlib.Path) -> settings.AgentSettings:
    role = settings_file.load(str(path)).role
    assert isinstance(role, settings.AgentSettings)
    return role
