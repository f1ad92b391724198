"""Limit of the bytes that a node sends for control."""

import dataclasses
import enum

WINDOW_MS = 10_000
# 4 KB/s averaged over 10 s.
WINDOW_BYTES = 40_000
# IPv4 and UDP headers.
DATAGRAM_OVERHEAD_BYTES = 28
_BUCKET_MS = 100
# One bucket more than the window, because the oldest bucket is only partly
# outside of it.
_BUCKETS = WINDOW_MS // _BUCKET_MS + 1


class Priority(enum.IntEnum):
    """What a datagram is for; the lowest value gives way first."""

    FILTER = 0
    DEMAND = 1
    MEMBERS = 2
    CHUNK = 3
    CONFIG = 4
    ACK = 5
    PROBE = 6


# A class may send while the bytes of all classes in the window stay under
# its ceiling. The node's own probes have the last 1.5 KB, so that a node which
# is asked by many others is still heard and not taken for dead.
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
class _Bucket:
    """Token bucket of one class."""

    bytes_per_s: int
    burst_bytes: int
    tokens: float
    filled_ms: int = 0

    def available(self, now_ms: int) -> float:
        elapsed_ms = max(0, now_ms - self.filled_ms)
        self.filled_ms = now_ms
        self.tokens = min(
            self.burst_bytes,
            self.tokens + elapsed_ms * self.bytes_per_s / 1000,
        )
        return self.tokens

    def take(self, now_ms: int, cost: int) -> bool:
        if self.available(now_ms) < cost:
            return False
        self.tokens -= cost
        return True


# Rates of their own, because a ceiling alone would let a class use up the
# window in one burst and then stay silent until it has passed. Members ask
# the seeds for the member list all at once when a fleet starts.
_CLASS_RATES = {
    Priority.FILTER: (2_000, 2_000),
    Priority.DEMAND: (2_600, 2_600),
    Priority.MEMBERS: (1_500, 12_000),
}


class Budget:
    """Counts the bytes of the last 10 s and decides what may be sent."""

    def __init__(self) -> None:
        self._buckets = [0] * _BUCKETS
        self._bucket = 0
        self._used = 0
        self._rates = {
            priority: _Bucket(rate, burst, burst)
            for priority, (rate, burst) in _CLASS_RATES.items()
        }

    def used(self, now_ms: int) -> int:
        """Return the bytes sent within the window."""
        self._advance(now_ms)
        return self._used

    def has_room(self, now_ms: int, priority: Priority, size: int) -> bool:
        """Return whether a datagram of this size could be sent now."""
        self._advance(now_ms)
        cost = size + DATAGRAM_OVERHEAD_BYTES
        rate = self._rates.get(priority)
        return self._used + cost <= CEILING_BYTES[priority] and (
            rate is None or rate.available(now_ms) >= cost
        )

    def take(self, now_ms: int, priority: Priority, size: int) -> bool:
        """Account for a datagram, or return False if it must not be sent.

        :param size: length of the datagram without IP and UDP headers
        """
        self._advance(now_ms)
        cost = size + DATAGRAM_OVERHEAD_BYTES
        if self._used + cost > CEILING_BYTES[priority]:
            return False
        rate = self._rates.get(priority)
        if rate is not None and not rate.take(now_ms, cost):
            return False
        self._buckets[self._bucket % _BUCKETS] += cost
        self._used += cost
        return True

    def _advance(self, now_ms: int) -> None:
        bucket = now_ms // _BUCKET_MS
        if bucket - self._bucket >= _BUCKETS:
            self._buckets = [0] * _BUCKETS
            self._used = 0
            self._bucket = bucket
        while self._bucket < bucket:
            self._bucket += 1
            place = self._bucket % _BUCKETS
            self._used -= self._buckets[place]
            self._buckets[place] = 0
