"""Histograms of latencies that need no library at start."""

import bisect

# Upper bounds of the buckets in milliseconds; 200, 600 and 1400 are the
# times at which clients repeat an opening packet and give up.
BOUNDS_MS = (5, 10, 20, 50, 100, 150, 200, 300, 600, 1000, 1400, 2500, 5000)


class Latency:
    """Counts of values up to each bound, in the form of Prometheus.

    hdrhistogram takes a tenth of a second to import on a small machine,
    which the packets that wait meanwhile would pay for.
    """

    __slots__ = ("counts", "sum_ms")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0

    def record(self, value_ms: int) -> None:
        """Count a value."""
        self.counts[bisect.bisect_left(BOUNDS_MS, value_ms)] += 1
        self.sum_ms += value_ms
