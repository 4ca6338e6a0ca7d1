"""Assign addresses to all processes of the demonstration."""

import collections.abc
import dataclasses
import pathlib

from demo import loopback
from demo import scenarios

Address = tuple[str, int]
ZONES = ('zone-a', 'zone-b', 'zone-c')
MAX_PORTS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class AgentPlan:
    """The addresses and limits of one agent and of its upstream.

    ``slots`` is the maximum number of requests that run at a time, and
    ``connections`` the maximum number of open flows. The agent receives the
    frames of entries and other agents at ``listen``, and the packets of its
    upstream at ``upstream_side``. ``upstream`` is the address of the upstream
    itself, ``status`` that of the upstream's status page, and ``metrics``
    that of the agent's metrics page.
    """

    instance: str
    zone: str
    services: tuple[str, ...]
    slots: int
    connections: int
    listen: Address
    upstream_side: Address
    upstream: Address
    status: Address
    metrics: Address


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Addresses of the whole deployment.

    ``entries`` maps the listening address of each entry to the address of
    the entry's readiness and metrics page.

    The control instances listen on the addresses in ``control``. If there
    are proxies in front of them, other processes reach them at the addresses
    in ``control_proxies``.
    """

    folder: pathlib.Path
    fabric: Address
    callers: Address
    control: tuple[Address, ...]
    entries: dict[Address, Address]
    agents: tuple[AgentPlan, ...]
    control_proxies: tuple[Address, ...] = ()

    @property
    def advertised_control(self) -> tuple[Address, ...]:
        """Return the addresses at which processes reach control instances."""
        return self.control_proxies or self.control

    @property
    def control_argument(self) -> str:
        """Return the control addresses as an argument of ``--control``."""
        return ','.join(
            format_address(address) for address in self.advertised_control
        )

    @property
    def key_path(self) -> pathlib.Path:
        """Return the path of the key file of the deployment."""
        return self.folder / 'keys.yaml'


def make_plan(
    folder: pathlib.Path,
    base_port: int,
    pools: tuple[scenarios.Pool, ...],
    control_count: int,
) -> Plan:
    """Return a plan with addresses on loopback.

    ``control_count`` is the number of control instances. Ports are assigned
    from ``base_port`` on, at most ``MAX_PORTS`` of them.
    """
    ports = iter(range(base_port, base_port + MAX_PORTS))
    addresses = ((loopback.HOST, port) for port in ports)
    agents = [
        _plan_agent(index, pool, addresses)
        for index, pool in enumerate(
            pool for pool in pools for _ in range(pool.upstream_count)
        )
    ]
    return Plan(
        folder=folder,
        fabric=next(addresses),
        callers=next(addresses),
        control=tuple(next(addresses) for _ in range(control_count)),
        entries={next(addresses): next(addresses) for _ in ZONES},
        agents=tuple(agents),
    )


def format_address(address: Address) -> str:
    """Return an address as ``HOST:PORT``, the form that settings use."""
    return f'{address[0]}:{address[1]}'


def _plan_agent(
    index: int,
    pool: scenarios.Pool,
    addresses: collections.abc.Iterator[Address],
) -> AgentPlan:
    return AgentPlan(
        instance=f'agent-{index}',
        zone=ZONES[index % len(ZONES)],
        services=pool.agent_settings.services,
        slots=pool.agent_settings.slots,
        connections=pool.agent_settings.connections,
        listen=next(addresses),
        upstream_side=next(addresses),
        upstream=next(addresses),
        status=next(addresses),
        metrics=next(addresses),
    )
