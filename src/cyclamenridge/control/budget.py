"""Rate limit of the control traffic that a node sends."""

import dataclasses
import enum

WINDOW_MS = 10_000
# 4 KB/s averaged over 10 s.
WINDOW_BYTES = 40_000
# IPv4 and UDP headers.
DATAGRAM_OVERHEAD_BYTES = 28
_BUCKET_MS = 100
# One bucket more than the window has, because the oldest bucket is only
# partly outside of the window.
_BUCKET_COUNT = WINDOW_MS // _BUCKET_MS + 1


class Priority(enum.IntEnum):
    """Traffic class of a datagram; the lowest value is dropped first."""

    FILTER = 0
    DEMAND = 1
    MEMBERS = 2
    CHUNK = 3
    CONFIG = 4
    ACK = 5
    PROBE = 6


# A class may send while the bytes of all classes in the window stay under
# its ceiling. The last 1.5 KB are reserved for the node's own probes, so that
# a node which answers many requests still probes and is not declared dead.
CEILING_BYTES = {
    Priority.FILTER: 30_000,
    Priority.DEMAND: 34_000,
    Priority.MEMBERS: 35_000,
    Priority.CHUNK: 36_500,
    Priority.CONFIG: 37_500,
    Priority.ACK: 38_500,
    Priority.PROBE: WINDOW_BYTES,
}


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    """Token bucket of one traffic class."""

    rate_bytes_per_s: int
    burst_bytes: int
    tokens: float
    refilled_ms: int = 0

    def available(self, now_ms: int) -> float:
        elapsed_ms = max(0, now_ms - self.refilled_ms)
        self.refilled_ms = now_ms
        self.tokens = min(
            self.burst_bytes,
            self.tokens + elapsed_ms * self.rate_bytes_per_s / 1000,
        )
        return self.tokens

    def try_consume(self, now_ms: int, cost: int) -> bool:
        if self.available(now_ms) < cost:
            return False
        self.tokens -= cost
        return True


# Rate and burst in bytes. With a ceiling alone, a class could use up the
# window in one burst and then send nothing until the window has passed. The
# burst of MEMBERS is large because all nodes of a starting fleet request the
# member list from the seeds at once.
_CLASS_RATE_AND_BURST = {
    Priority.FILTER: (2_000, 2_000),
    Priority.DEMAND: (2_600, 2_600),
    Priority.MEMBERS: (1_500, 12_000),
}


class Budget:
    """Counts the bytes sent in the last 10 s and limits further ones."""

    def __init__(self) -> None:
        self._buckets = [0] * _BUCKET_COUNT
        self._last_bucket = 0
        self._used_bytes = 0
        self._class_limiters = {
            priority: _TokenBucket(rate, burst, burst)
            for priority, (rate, burst) in _CLASS_RATE_AND_BURST.items()
        }

    def used_bytes(self, now_ms: int) -> int:
        """Return the bytes sent within the window."""
        self._advance_window(now_ms)
        return self._used_bytes

    def can_send(self, now_ms: int, priority: Priority, size: int) -> bool:
        """Return whether the budget allows a datagram of ``size`` bytes.

        :param size: length of the datagram without IP and UDP headers
        """
        self._advance_window(now_ms)
        cost = size + DATAGRAM_OVERHEAD_BYTES
        limiter = self._class_limiters.get(priority)
        return self._used_bytes + cost <= CEILING_BYTES[priority] and (
            limiter is None or limiter.available(now_ms) >= cost
        )

    def try_consume(self, now_ms: int, priority: Priority, size: int) -> bool:
        """Account for a datagram; return False if it exceeds the budget.

        :param size: length of the datagram without IP and UDP headers
        """
        self._advance_window(now_ms)
        cost = size + DATAGRAM_OVERHEAD_BYTES
        if self._used_bytes + cost > CEILING_BYTES[priority]:
            return False
        limiter = self._class_limiters.get(priority)
        if limiter is not None and not limiter.try_consume(now_ms, cost):
            return False
        self._buckets[self._last_bucket % _BUCKET_COUNT] += cost
        self._used_bytes += cost
        return True

    def _advance_window(self, now_ms: int) -> None:
        bucket = now_ms // _BUCKET_MS
        if bucket - self._last_bucket >= _BUCKET_COUNT:
            self._buckets = [0] * _BUCKET_COUNT
            self._used_bytes = 0
            self._last_bucket = bucket
        while self._last_bucket < bucket:
            self._last_bucket += 1
            index = self._last_bucket % _BUCKET_COUNT
            self._used_bytes -= self._buckets[index]
            self._buckets[index] = 0
