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
    """An upstream drains for ``duration_s``."""

    upstream_index: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Processes are killed together and started again ``duration_s`` later."""

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

    Each piece that the proxy reads is delayed by ``delay_s``.
    """

    control_index: int
    delay_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class OneWay:
    """Bytes to or from a control instance are dropped for ``duration_s``.

    ``direction`` is ``to`` or ``from`` the instance.
    """

    control_index: int
    direction: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """Open connections to a control instance carry no more bytes.

    These connections stay open, and new connections carry bytes.
    """

    control_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Open connections to a control instance are reset."""

    control_index: int


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
    """A fault that starts ``start_offset_s`` after the start of its phase."""

    start_offset_s: float
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
    scheduled_faults: list[ScheduledFault] = []
    start_offset_s = rng.uniform(*PAUSE_RANGE_S)
    while start_offset_s < length_s:
        scheduled_faults.append(
            ScheduledFault(start_offset_s, draw_fault(rng, targets))
        )
        start_offset_s += rng.uniform(*PAUSE_RANGE_S)
    return scheduled_faults


def draw_planned_operation(rng: random.Random, targets: Targets) -> Fault:
    """Draw a planned operation: a restart or a drain."""
    if rng.random() < 0.2:
        upstream_index = rng.randrange(len(targets.agents))
        return Drain(upstream_index, rng.uniform(*DURATION_RANGE_S))
    return Restart(rng.choice(targets.all))


def draw_unplanned_fault(rng: random.Random, targets: Targets) -> Fault:
    """Draw an unplanned fault."""
    duration_s = rng.uniform(*DURATION_RANGE_S)
    control_index = rng.randrange(len(targets.control))
    match rng.randrange(8):
        case 0:
            return Kill((rng.choice(targets.all),), duration_s)
        case 1:
            return Kill(targets.control, duration_s)
        case 2:
            return Freeze(rng.choice(targets.all), duration_s)
        case 3:
            return FullDisk(targets.control[control_index], duration_s)
        case 4:
            return Delay(
                control_index, rng.uniform(*DELAY_RANGE_S), duration_s
            )
        case 5:
            return OneWay(
                control_index, rng.choice(('to', 'from')), duration_s
            )
        case 6:
            return Silence(control_index)
        case _:
            return Reset(control_index)
