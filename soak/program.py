"""Run gentianspoke in a process whose wall clock jumps.

Usage: ``python -m soak.program SEED WITHOUT ROLE FILE``. ``WITHOUT`` is the
mechanism to disable, or ``-`` for none.
"""

import random
import sys
import time

from soak import mechanisms

NS_PER_S = 1_000_000_000
MAX_JUMP_S = 5.0
# The wall clock is wrong for one period, then right for one period, and so on.
SKEW_PERIOD_S = 4.0


def skew_wall_clock(rng: random.Random) -> None:
    """Make the wall clock of this process jump between two offsets.

    In every second period the clock is ahead or behind by a constant offset
    of at most ``MAX_JUMP_S``; otherwise it is right. ``rng`` determines the
    offset and the phase.
    """
    real_time_ns = time.time_ns
    jump_ns = int(rng.uniform(-MAX_JUMP_S, MAX_JUMP_S) * NS_PER_S)
    phase_s = rng.uniform(0, SKEW_PERIOD_S)

    def skewed_time_ns() -> int:
        period_index = int((time.monotonic() + phase_s) / SKEW_PERIOD_S)
        return real_time_ns() + (jump_ns if period_index % 2 else 0)

    time.time_ns = skewed_time_ns
    time.time = lambda: skewed_time_ns() / NS_PER_S


def main() -> int:
    """Skew the clock, disable the mechanism and run the program.

    The process exits with the status of the program.
    """
    seed, without, *arguments = sys.argv[1:]
    # The last argument is the instance's settings file, so the clocks of the
    # instances jump differently.
    skew_wall_clock(random.Random(f'{seed}/{arguments[-1]}'))
    if without != '-':
        mechanisms.disable(mechanisms.Mechanism(without))
    from gentianspoke import __main__ as program

    sys.argv[1:] = arguments
    return program.main()


if __name__ == '__main__':
    sys.exit(main())
