"""Open boards on each upstream, sampled while the callers work."""

import asyncio
import dataclasses

from demo import testbed as testbeds
from gentianspoke.core import packets

SAMPLE_INTERVAL_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Boards at one moment; only upstreams that take new ones."""

    seconds: float
    boards: tuple[int, ...]

    @property
    def imbalance(self) -> float:
        """The greatest number of boards relative to the mean."""
        total = sum(self.boards)
        return max(self.boards) * len(self.boards) / total if total else 1.0


async def sample_boards(
    testbed: testbeds.Testbed, started_at: float, samples: list[Sample]
) -> None:
    """Add a sample every few seconds until cancelled."""
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        seconds = asyncio.get_running_loop().time() - started_at
        samples.append(Sample(seconds, _boards(testbed)))


def _boards(testbed: testbeds.Testbed) -> tuple[int, ...]:
    port = testbed.scenario.board.ports[0]
    first_pool = testbed.simulated_upstreams[
        : testbed.scenario.pools[0].upstream_count
    ]
    return tuple(
        sum(packets.service_port(key) == port for key in upstream.connections)
        for upstream in first_pool
        if upstream.joined and upstream.draining_since is None
    )
