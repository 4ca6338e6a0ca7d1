"""Addresses of all processes of the demonstration."""

import collections.abc
import dataclasses
import pathlib

from demo import scenarios as sizes

Address = tuple[str, int]
ZONES = ('zone-a', 'zone-b', 'zone-c')
# Outgoing connections on loopback come from 127.0.0.1, so that none of
# them can hold a port here that a process listens on.
HOST = '127.0.1.1'
PORTS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class AgentPlan:
    """Addresses of one agent and of the upstream beside it."""

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
    """Addresses of the whole deployment; entries map to their pages.

    ``listed`` are the addresses by which others find control, where these
    are not its own.
    """

    folder: pathlib.Path
    fabric: Address
    callers: Address
    control: tuple[Address, ...]
    entries: dict[Address, Address]
    agents: tuple[AgentPlan, ...]
    listed: tuple[Address, ...] = ()

    @property
    def reached(self) -> tuple[Address, ...]:
        """Where control is reached."""
        return self.listed or self.control

    @property
    def control_text(self) -> str:
        """The control addresses as operators' commands take them."""
        return ','.join(text(address) for address in self.reached)

    @property
    def keys(self) -> pathlib.Path:
        """The deployment's key file."""
        return self.folder / 'keys.yaml'


def make_plan(
    folder: pathlib.Path,
    base_port: int,
    pools: tuple[sizes.Pool, ...],
    control: int,
) -> Plan:
    """Return a plan on loopback with ``control`` control instances."""
    ports = iter(range(base_port, base_port + PORTS))
    addresses = ((HOST, port) for port in ports)
    agents = [
        _agent(position, pool, addresses)
        for position, pool in enumerate(
            pool for pool in pools for _ in range(pool.endpoints)
        )
    ]
    return Plan(
        folder=folder,
        fabric=next(addresses),
        callers=next(addresses),
        control=tuple(next(addresses) for _ in range(control)),
        entries={next(addresses): next(addresses) for _ in ZONES},
        agents=tuple(agents),
    )


def text(address: Address) -> str:
    """Return an address as settings write it."""
    return f'{address[0]}:{address[1]}'


def _agent(
    position: int,
    pool: sizes.Pool,
    addresses: collections.abc.Iterator[Address],
) -> AgentPlan:
    return AgentPlan(
        instance=f'agent-{position}',
        zone=ZONES[position % len(ZONES)],
        services=pool.example.services,
        slots=pool.example.slots,
        connections=pool.example.connections,
        listen=next(addresses),
        upstream_side=next(addresses),
        upstream=next(addresses),
        status=next(addresses),
        metrics=next(addresses),
    )
