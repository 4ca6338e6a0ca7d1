"""Clocks, which return the time in whole milliseconds.

Decision functions never read a clock: their callers pass the current time.
Processes use a :class:`Clock`, and tests use a :class:`ManualClock`.
"""

import time

MS_PER_S = 1000
NS_PER_MS = 1_000_000


class Clock:
    """The system's clocks, read in milliseconds.

    :meth:`now` never goes back, and it continues while the instance is
    suspended. A clock that stopped during a suspension would make a lease or
    a confirmation appear younger than it is.
    """

    def now(self) -> int:
        """Return the milliseconds since an arbitrary fixed time."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def get_wall_time_ms(self) -> int:
        """Return the milliseconds since 1970 (UTC).

        The result may go back when the system's clock is set. It is used in
        log lines and in the tokens that authenticate requests, which another
        instance checks. Timeouts use :meth:`now`.
        """
        return time.time_ns() // NS_PER_MS


class ManualClock(Clock):
    """A clock whose time changes only by :meth:`advance`."""

    def __init__(self, start: int = 0) -> None:
        """Set the time to ``start`` milliseconds."""
        self._now = start

    def now(self) -> int:
        """Return the time that was set, in milliseconds."""
        return self._now

    def get_wall_time_ms(self) -> int:
        """Return the same time as :meth:`now`."""
        return self._now

    def advance(self, duration_ms: int) -> int:
        """Move the clock forward and return the new time in milliseconds.

        Raises ``ValueError`` for a negative duration.
        """
        if duration_ms < 0:
            raise ValueError(
                f'duration_ms={duration_ms} is negative; a monotonic clock'
                ' moves forward only, so pass zero or more'
            )
        self._now += duration_ms
        return self._now
