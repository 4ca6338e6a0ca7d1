"""Draw the faults of a run from its seed.

All faults of a phase and their times are drawn before the phase starts, so
that a seed always gives the same faults.
"""

import collections.abc
import dataclasses
import random

# The shortest and the longest duration of a fault.
DURATION_RANGE_S = (0.5, 3.0)
# The shortest and the longest time between the starts of two faults.
PAUSE_RANGE_S = (0.2, 1.5)
# The shortest and the longest delay that a proxy adds.
DELAY_RANGE_S = (0.02, 0.3)


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """A process is stopped with SIGTERM and then started again."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """An upstream drains for ``duration_s``.

    ``number`` is the index of the upstream.
    """

    number: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Processes are killed together and started after ``duration_s``."""

    instances: tuple[str, ...]
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """A process is suspended with SIGSTOP for ``duration_s``."""

    instance: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FullDisk:
    """No file of a control instance can grow for ``duration_s``."""

    instance: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Delay:
    """Bytes to and from a control instance are delayed for ``duration_s``.

    Each piece that the proxy reads is delayed by ``delay_s``. ``number`` is
    the index of the instance.
    """

    number: int
    delay_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class OneWay:
    """Bytes to or from a control instance are dropped for ``duration_s``.

    ``direction`` is ``to`` or ``from`` the instance, and ``number`` is its
    index.
    """

    number: int
    direction: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """Open connections to a control instance carry no more bytes.

    These connections stay open, and new connections carry bytes. ``number``
    is the index of the instance.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Open connections to a control instance are reset.

    ``number`` is the index of the instance.
    """

    number: int


PlannedOperation = Restart | Drain
UnplannedFault = Kill | Freeze | FullDisk | Delay | OneWay | Silence | Reset
# Planned operations are scheduled, injected and counted like faults.
Fault = PlannedOperation | UnplannedFault


@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
    """The instances into which faults may be injected, by role."""

    control: tuple[str, ...]
    entries: tuple[str, ...]
    agents: tuple[str, ...]

    @property
    def all(self) -> tuple[str, ...]:
        """Return the instances of all roles."""
        return self.control + self.entries + self.agents


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault and its start, in seconds after the start of its phase."""

    at_s: float
    fault: Fault


def draw_phase(
    rng: random.Random,
    targets: Targets,
    length_s: float,
    draw_fault: collections.abc.Callable[[random.Random, Targets], Fault],
) -> list[ScheduledFault]:
    """Return the faults of one phase in the order of their starts.

    ``length_s`` is the length of the phase; every fault starts within it.
    """
    drawn: list[ScheduledFault] = []
    at_s = rng.uniform(*PAUSE_RANGE_S)
    while at_s < length_s:
        drawn.append(ScheduledFault(at_s, draw_fault(rng, targets)))
        at_s += rng.uniform(*PAUSE_RANGE_S)
    return drawn


def draw_planned(rng: random.Random, targets: Targets) -> Fault:
    """Draw a planned operation: a restart or a drain."""
    if rng.random() < 0.2:
        number = rng.randrange(len(targets.agents))
        return Drain(number, rng.uniform(*DURATION_RANGE_S))
    return Restart(rng.choice(targets.all))


def draw_unplanned(rng: random.Random, targets: Targets) -> Fault:
    """Draw an unplanned fault."""
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
