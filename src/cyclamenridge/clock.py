"""Clocks in milliseconds."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic time."""

    @abc.abstractmethod
    def now_ms(self) -> int:
        """Return the monotonic time in milliseconds."""


class MonotonicClock(Clock):
    """Monotonic clock of the operating system.

    It includes the time during which the machine was suspended, so that
    leases and time budgets run out meanwhile.
    """

    def now_ms(self) -> int:
        """Return the monotonic time in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class ManualClock(Clock):
    """Clock that only moves when ``advance`` is called; for simulations."""

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the simulated time in milliseconds."""
        return self._now_ms

    def advance(self, delta_ms: int) -> int:
        """Advance the clock and return the new time."""
        self._now_ms += delta_ms
        return self._now_ms
