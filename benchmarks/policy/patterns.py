"""Load patterns of the replay, as validated YAML files."""

import dataclasses
import enum
import pathlib

import pydantic
import yaml

PATTERNS_FOLDER = pathlib.Path(__file__).parent / 'patterns'


# Factor by which the speed of an upstream with the fault ``slow`` falls.
SLOW_FACTOR = 0.2


class Fault(enum.Enum):
    """A fault of upstreams: none, slow, or answers at once without work."""

    NONE = 'none'
    SLOW = 'slow'
    FAILS_FAST = 'fails-fast'


@pydantic.dataclasses.dataclass(
    frozen=True, config=pydantic.ConfigDict(extra='forbid')
)
class Pattern:
    """One load pattern; shares and rates are relative to the pool.

    ``speeds`` are repeated over the upstreams in turn. ``utilisation`` is the
    mean share of the pool's capacity that the requests need. ``wave`` is the
    relative amplitude of the waves in demand, which reach the zones one after
    the other. ``long_share`` is the share of the requests on long flows, which
    carry ``requests_per_flow`` requests on average, ``pause_ms`` apart.
    ``report_age_ms`` is the time between two reports of a member to another
    one; 0 stands for the interval of the agents' shell. In a burst, the demand
    grows by ``burst_factor``. The first ``faulty`` upstreams have ``fault``
    from ``fault_at_ms`` on. ``wave_shift`` is how far the waves of the zones
    are apart: 1 spreads them over a wave, and with 0 they come together.
    """

    name: str
    upstreams: int
    speeds: list[float]
    utilisation: float
    slots: int = 2
    queue: int = 8
    zones: int = 4
    wave: float = 0.0
    wave_ms: int = 13_000
    wave_shift: float = 1.0
    long_share: float = 0.73
    requests_per_flow: float = 4.0
    pause_ms: float = 700.0
    long_work_ms: float = 62.7
    short_work_ms: float = 81.3
    objective_ms: int = 553
    zone_hop_ms: float = 0.9
    report_age_ms: int = 0
    duration_ms: int = 30_000
    burst_at_ms: int = 0
    burst_ms: int = 0
    burst_factor: float = 1.0
    fault: Fault = Fault.NONE
    fault_at_ms: int = 0
    faulty: int = 0

    def __post_init__(self) -> None:
        """Raise ``ValueError`` for values that describe no load."""
        if self.upstreams < 1 or not self.speeds or min(self.speeds) <= 0:
            raise ValueError('give upstreams and their speeds, above 0')
        if not 0 < self.utilisation or not 0 <= self.wave < 1:
            raise ValueError('give a utilisation above 0 and a wave below 1')
        if not 0 <= self.long_share <= 1 or self.requests_per_flow < 1:
            raise ValueError('give a long_share of 0 to 1, and 1 request')

    def has_fault(self, number: int, fault: Fault, now: float) -> bool:
        """Return whether an upstream has the fault at a time."""
        return (
            self.fault is fault
            and number <= self.faulty
            and now >= self.fault_at_ms
        )

    def get_speed(self, number: int) -> float:
        """Return the speed of an upstream without a fault."""
        return self.speeds[number % len(self.speeds)]

    def compute_capacity(self) -> float:
        """Return the work that the pool can do at a time, in slots."""
        numbers = range(1, self.upstreams + 1)
        return self.slots * sum(self.get_speed(number) for number in numbers)


def load(path: pathlib.Path) -> Pattern:
    """Return the pattern that a YAML file describes."""
    content = yaml.safe_load(path.read_text())
    return Pattern(**content)


def load_all() -> list[Pattern]:
    """Return the patterns of ``PATTERNS_FOLDER``, sorted by file name."""
    return [load(path) for path in sorted(PATTERNS_FOLDER.glob('*.yaml'))]


def with_report_age(pattern: Pattern, age_ms: int) -> Pattern:
    """Return the pattern with another interval of reports."""
    name = f'{pattern.name}, a report each {age_ms} ms'
    return dataclasses.replace(pattern, name=name, report_age_ms=age_ms)
