"""The real program in a process whose time of day jumps.

``python -m soak.program SEED WITHOUT ROLE FILE``; ``WITHOUT`` names a
mechanism to take out, or is ``-``.
"""

import random
import sys
import time

from soak import mechanisms

NS_PER_S = 1_000_000_000
MAX_JUMP_S = 5.0
# How long the time of day stays off, and how long it is right after that.
SKEW_PERIOD_S = 4.0


def skew_wall_clock(rng: random.Random) -> None:
    """Let the time of day of this process jump ahead or back, and return."""
    true_ns = time.time_ns
    jump_ns = int(rng.uniform(-MAX_JUMP_S, MAX_JUMP_S) * NS_PER_S)
    phase_s = rng.uniform(0, SKEW_PERIOD_S)

    def skewed_ns() -> int:
        period_index = int((time.monotonic() + phase_s) / SKEW_PERIOD_S)
        return true_ns() + (jump_ns if period_index % 2 else 0)

    time.time_ns = skewed_ns
    time.time = lambda: skewed_ns() / NS_PER_S


def main() -> int:
    """Run the program with the rest of the command line."""
    seed, without, *arguments = sys.argv[1:]
    skew_wall_clock(random.Random(f'{seed}/{arguments[-1]}'))
    if without != '-':
        mechanisms.disable(mechanisms.Mechanism(without))
    from gentianspoke import __main__ as program

    sys.argv[1:] = arguments
    return program.main()


if __name__ == '__main__':
    sys.exit(main())
