"""Compare what callers get with and without the agent's request queue.

Command: ``make bench-requests``. The classes are those of two deployments in
``docs/load-and-recovery.md``, each at one upstream with twice the mean load of
its pool. One of the callers sends much more than the others.
"""

import collections
import dataclasses
import statistics

from benchmarks.policy import request_replay
from benchmarks import tables
from gentianspoke.core import services

SECONDS = 20
# Time in which the upstream ends what has arrived.
END_SECONDS = 5
SEEDS = range(3)
# Load of the upstream relative to the mean of its pool.
LOAD = 2.0
CALLERS = 20
# Share of all requests that one of the callers sends.
AGGRESSIVE_SHARE = 0.3
STREAM = request_replay.RequestClass(
    'stream', services.Board(), 0, 22, 361, 2_164
)
LOOKUP = request_replay.RequestClass(
    'lookup', services.Booking(False), 1, 29, 358, 2_866
)
UPLOAD = request_replay.RequestClass(
    'upload', services.Upload(False), 0, 5, 1_102, 8_267
)
BALANCE = request_replay.RequestClass(
    'balance', services.Board(), 0, 62.7, 553, 6_020
)
DECISION = request_replay.RequestClass(
    'decision', services.Booking(False), 1, 81.3, 568, 7_152
)
DOWNLOAD = request_replay.RequestClass(
    'download', services.Download(), 0, 5.6, 1_061, 13_173
)

Burst = dict[request_replay.RequestClass, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The requests a second of a pool, its upstreams and their slots."""

    name: str
    rates: dict[request_replay.RequestClass, float]
    upstreams: int
    slots: int


SEARCH = Deployment('search', {STREAM: 569, LOOKUP: 162, UPLOAD: 48.8}, 48, 1)
LENDING = Deployment(
    'lending', {BALANCE: 578, DECISION: 165, DOWNLOAD: 49.5}, 56, 2
)


def play(
    deployment: Deployment, burst: Burst, is_enabled: bool
) -> list[request_replay.Request]:
    """Return the requests of all seeds; ``burst`` multiplies their rates."""
    rates = {
        item: rate / deployment.upstreams * LOAD * burst.get(item, 1)
        for item, rate in deployment.rates.items()
    }
    requests: list[request_replay.Request] = []
    for seed in SEEDS:
        arrivals = request_replay.make_arrivals(
            rates, SECONDS, seed, CALLERS, AGGRESSIVE_SHARE
        )
        replay = request_replay.Replay(
            list(rates), deployment.slots, is_enabled
        )
        requests += replay.run(arrivals, (SECONDS + END_SECONDS) * 1_000)
    return requests


def list_bursts(deployment: Deployment) -> dict[str, Burst]:
    """Return the bursts of a deployment, by their description."""
    _, second, third = deployment.rates
    return {
        'none': {},
        f'{third.name} 2.6': {third: 2.6},
        f'{second.name} 1.7': {second: 1.7},
        'all 1.7': dict.fromkeys(deployment.rates, 1.7),
    }


def share_in_time(requests: list[request_replay.Request]) -> float:
    """Return the share of requests that were answered in time."""
    if not requests:
        return 1.0
    return sum(item.is_in_time() for item in requests) / len(requests)


def share_by_class(requests: list[request_replay.Request]) -> dict[str, float]:
    """Return the share in time of each class, by its name."""
    by_class: dict[str, list[request_replay.Request]] = (
        collections.defaultdict(list)
    )
    for request in requests:
        by_class[request.request_class.name].append(request)
    return {name: share_in_time(items) for name, items in by_class.items()}


def compare_callers(
    requests: list[request_replay.Request],
) -> tuple[float, float]:
    """Return the share in time of the worst caller and of the median one."""
    by_caller: dict[int, list[request_replay.Request]] = (
        collections.defaultdict(list)
    )
    for request in requests:
        by_caller[request.caller].append(request)
    shares = sorted(share_in_time(items) for items in by_caller.values())
    return shares[0], statistics.median(shares)


def main() -> None:
    """Write and print a table of the shares answered in time."""
    rows: list[list[str]] = []
    for deployment in (SEARCH, LENDING):
        for description, burst in list_bursts(deployment).items():
            for is_enabled in (False, True):
                requests = play(deployment, burst, is_enabled)
                by_class = share_by_class(requests)
                worst, median = compare_callers(requests)
                rows.append(
                    [
                        deployment.name,
                        description,
                        'yes' if is_enabled else 'no',
                        *(f'{by_class[c.name]:.3f}' for c in deployment.rates),
                        f'{share_in_time(requests):.3f}',
                        f'{worst:.3f}',
                        f'{median:.3f}',
                    ]
                )
    tables.write(
        'requests',
        'Requests answered in time, with and without the request queue',
        'make bench-requests',
        [
            'deployment',
            'burst',
            'queue',
            'first class',
            'second',
            'third',
            'all',
            'worst caller',
            'median caller',
        ],
        rows,
    )


if __name__ == '__main__':
    main()
