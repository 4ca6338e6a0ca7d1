"""Open boards on each upstream, sampled while the callers work."""

import asyncio
import dataclasses

from demo import testbed as stages
from gentianspoke.core import packets

SAMPLE_S = 4.0


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
    stage: stages.Stage, begun: float, samples: list[Sample]
) -> None:
    """Add a sample every few seconds until cancelled."""
    while True:
        await asyncio.sleep(SAMPLE_S)
        seconds = asyncio.get_running_loop().time() - begun
        samples.append(Sample(seconds, _boards(stage)))


def _boards(stage: stages.Stage) -> tuple[int, ...]:
    port = stage.size.board.ports[0]
    first_pool = stage.ups[: stage.size.pools[0].endpoints]
    return tuple(
        sum(packets.service_port(key) == port for key in up.connections)
        for up in first_pool
        if up.joined and up.draining_since is None
    )
