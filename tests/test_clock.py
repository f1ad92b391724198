import time

from cyclamenridge import clock


def test_the_clock_counts_the_time_of_a_suspended_machine(monkeypatch):
    """CLOCK_MONOTONIC stands still meanwhile; leases would seem valid."""
    boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)

    def gettime_ns(number):
        suspended_ns = 7_000_000_000 if number == time.CLOCK_BOOTTIME else 0
        return boot_ns + suspended_ns

    monkeypatch.setattr(time, "clock_gettime_ns", gettime_ns)
    monkeypatch.setattr(time, "monotonic_ns", lambda: boot_ns)
    assert clock.MonotonicClock().now_ms() == boot_ns // 1_000_000 + 7000
