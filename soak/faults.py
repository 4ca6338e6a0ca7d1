"""The faults of a run, drawn from its seed before it begins."""

import collections.abc
import dataclasses
import random

# Shortest and longest time of a fault that lasts, in seconds.
DURATION_RANGE_S = (0.5, 3.0)
# Shortest and longest pause between the beginnings of two faults.
PAUSE_RANGE_S = (0.2, 1.5)
DELAY_RANGE_S = (0.02, 0.3)


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """A planned stop of a process, and its start."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """An upstream drains for a while."""

    number: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Processes are killed at one moment, and started after a while."""

    instances: tuple[str, ...]
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """A process stands still for a while."""

    instance: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FullDisk:
    """A control instance's files cannot grow for a while."""

    instance: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Delay:
    """Bytes to and from a control instance come late for a while."""

    number: int
    delay_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class OneWay:
    """Bytes ``to`` or ``from`` a control instance are lost for a while."""

    number: int
    direction: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """Open connections to a control instance fall silent for good."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Open connections to a control instance are reset."""

    number: int


Planned = Restart | Drain
Unplanned = Kill | Freeze | FullDisk | Delay | OneWay | Silence | Reset
Fault = Planned | Unplanned


@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
    """What faults may strike."""

    control: tuple[str, ...]
    entries: tuple[str, ...]
    agents: tuple[str, ...]

    @property
    def all(self) -> tuple[str, ...]:
        """All instances."""
        return self.control + self.entries + self.agents


@dataclasses.dataclass(frozen=True, slots=True)
class Timed:
    """A fault, and when it begins after the beginning of its phase."""

    at_s: float
    fault: Fault


def draw_phase(
    rng: random.Random,
    targets: Targets,
    length_s: float,
    draw_fault: collections.abc.Callable[[random.Random, Targets], Fault],
) -> list[Timed]:
    """Return the faults of one phase in the order of their beginnings."""
    found: list[Timed] = []
    at_s = rng.uniform(*PAUSE_RANGE_S)
    while at_s < length_s:
        found.append(Timed(at_s, draw_fault(rng, targets)))
        at_s += rng.uniform(*PAUSE_RANGE_S)
    return found


def draw_planned(rng: random.Random, targets: Targets) -> Fault:
    """Return some planned work."""
    if rng.random() < 0.2:
        number = rng.randrange(len(targets.agents))
        return Drain(number, rng.uniform(*DURATION_RANGE_S))
    return Restart(rng.choice(targets.all))


def draw_unplanned(rng: random.Random, targets: Targets) -> Fault:
    """Return some fault that nobody planned."""
    duration_s = rng.uniform(*DURATION_RANGE_S)
    number = rng.randrange(len(targets.control))
    match rng.randrange(8):
        case 0:
            return Kill((rng.choice(targets.all),), duration_s)
        case 1:
            return Kill(targets.control, duration_s)
        case 2:
            return Freeze(rng.choice(targets.all), duration_s)
        case 3:
            return FullDisk(targets.control[number], duration_s)
        case 4:
            return Delay(number, rng.uniform(*DELAY_RANGE_S), duration_s)
        case 5:
            return OneWay(number, rng.choice(('to', 'from')), duration_s)
        case 6:
            return Silence(number)
        case _:
            return Reset(number)
