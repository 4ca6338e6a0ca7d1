"""Sample the number of board connections on each upstream over time."""

import asyncio
import dataclasses

from demo import testbed as testbeds
from gentianspoke.core import packets

SAMPLE_INTERVAL_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Board connections per upstream at one moment.

    ``seconds`` counts from the start of the run. ``board_counts`` has one
    number for each upstream of the first pool, except for upstreams that have
    not joined yet or that drain.
    """

    seconds: float
    board_counts: tuple[int, ...]

    @property
    def imbalance(self) -> float:
        """Return the maximum number of boards divided by the mean.

        Return 1.0 if there are no boards.
        """
        total = sum(self.board_counts)
        return (
            max(self.board_counts) * len(self.board_counts) / total
            if total
            else 1.0
        )


async def sample_boards(
    testbed: testbeds.Testbed, started_at: float, samples: list[Sample]
) -> None:
    """Append a sample every ``SAMPLE_INTERVAL_S`` until cancelled.

    ``started_at`` is the event loop's time at the start of the run.
    """
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        seconds = asyncio.get_running_loop().time() - started_at
        samples.append(Sample(seconds, _count_boards(testbed)))


def _count_boards(testbed: testbeds.Testbed) -> tuple[int, ...]:
    port = testbed.scenario.board.ports[0]
    first_pool = testbed.simulated_upstreams[
        : testbed.scenario.pools[0].upstream_count
    ]
    return tuple(
        sum(
            packets.get_service_port(key) == port
            for key in upstream.connections
        )
        for upstream in first_pool
        if upstream.has_joined and upstream.draining_since is None
    )
