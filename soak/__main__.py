"""Run soak tests with faults that are drawn from seeds.

Example: ``python -m soak --seed 7 --seconds 60``.
"""

import asyncio
import dataclasses
import pathlib
import sys
import tempfile

import cappa

from soak import environment as environments
from soak import mechanisms
from soak import running

MAX_SHOWN_VIOLATIONS = 20


@cappa.command(name='soak', default_long=True)
@dataclasses.dataclass
class Soak:
    """Run soak tests and print the injected faults and the checks made.

    There is one run for each of ``seeds`` consecutive seeds from ``seed`` on.
    Faults are injected into each run for ``seconds``. The files of the runs
    are kept in ``folder``, or in a temporary folder if it is empty.
    ``without`` names a mechanism of the product that is disabled, so that a
    check has to fail. The exit status is 1 if a check failed.
    """

    seed: int = 1
    seeds: int = 1
    seconds: float = 60.0
    base_port: int = 26_000
    folder: str = ''
    without: mechanisms.Mechanism | None = None

    def __call__(self) -> int:
        """Run one soak test for each seed and return the exit status."""
        failed_seeds = [
            seed
            for seed in range(self.seed, self.seed + self.seeds)
            if not self._run_seed(seed)
        ]
        print(f'{self.seeds} runs, failed seeds: {failed_seeds or "none"}')
        return 1 if failed_seeds else 0

    def _run_seed(self, seed: int) -> bool:
        without = self.without.value if self.without else '-'
        with tempfile.TemporaryDirectory() as temporary_folder:
            folder = (
                pathlib.Path(self.folder or temporary_folder) / f'seed-{seed}'
            )
            options = running.Options(
                seed, self.seconds, self.base_port, folder, without
            )
            run_record = asyncio.run(running.run(options))
        print_summary(seed, run_record)
        return not run_record.violations


def print_summary(seed: int, run_record: environments.RunRecord) -> None:
    """Print the faults, the checks and the violations of one run."""
    print(f'seed {seed}')
    for name, count in sorted(run_record.faults.items()):
        print(f'  fault   {name:52}{count:>8}')
    for name, count in sorted(run_record.checks.items()):
        print(f'  checked {name:52}{count:>8}')
    for violation in run_record.violations[:MAX_SHOWN_VIOLATIONS]:
        print(f'  VIOLATED {violation}', flush=True)


if __name__ == '__main__':
    sys.exit(cappa.invoke(Soak))
