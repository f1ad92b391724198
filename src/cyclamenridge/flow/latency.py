"""Latency histograms without a third-party library."""

import bisect

# Upper bounds of the buckets. Clients retransmit a SYN after 200 and 600 ms
# and give up after 1400 ms.
BUCKET_BOUNDS_MS = (
    5,
    10,
    20,
    50,
    100,
    150,
    200,
    300,
    600,
    1000,
    1400,
    2500,
    5000,
)


class LatencyHistogram:
    """Counts of values by bucket, as a Prometheus histogram needs them.

    Importing hdrhistogram takes 0.1 s on a small machine and would delay the
    packets that arrive during a start.
    """

    __slots__ = ("counts", "sum_ms")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)
        self.sum_ms = 0

    def record(self, value_ms: int) -> None:
        """Count a value in milliseconds."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_MS, value_ms)] += 1
        self.sum_ms += value_ms
