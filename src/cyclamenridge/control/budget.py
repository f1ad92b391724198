"""Limit of the bytes that a node sends for control."""

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

    DEMAND = 0
    MEMBERS = 1
    CHUNK = 2
    CONFIG = 3
    PROBE = 4


# A class may send while the bytes of all classes in the window stay under
# its ceiling. Probes keep the last 2 KB, since a missing answer to a probe
# makes a live node suspect.
CEILING_BYTES = {
    Priority.DEMAND: 32_000,
    Priority.MEMBERS: 34_000,
    Priority.CHUNK: 36_500,
    Priority.CONFIG: 38_000,
    Priority.PROBE: WINDOW_BYTES,
}

# Demands have a rate of their own, because a ceiling alone would let them
# use the window in a burst and then stay silent until it has passed.
DEMAND_BYTES_PER_S = 2_400
DEMAND_BURST_BYTES = 2_400


class Budget:
    """Counts the bytes of the last 10 s and decides what may be sent."""

    def __init__(self) -> None:
        self._buckets = [0] * _BUCKETS
        self._bucket = 0
        self._used = 0
        self._demand_tokens = float(DEMAND_BURST_BYTES)
        self._demand_ms = 0

    def used(self, now_ms: int) -> int:
        """Return the bytes sent within the window."""
        self._advance(now_ms)
        return self._used

    def take(self, now_ms: int, priority: Priority, size: int) -> bool:
        """Account for a datagram, or return False if it must not be sent.

        :param size: length of the datagram without IP and UDP headers
        """
        self._advance(now_ms)
        cost = size + DATAGRAM_OVERHEAD_BYTES
        if self._used + cost > CEILING_BYTES[priority]:
            return False
        if priority is Priority.DEMAND and not self._take_demand(now_ms, cost):
            return False
        self._buckets[self._bucket % _BUCKETS] += cost
        self._used += cost
        return True

    def _take_demand(self, now_ms: int, cost: int) -> bool:
        elapsed_ms = max(0, now_ms - self._demand_ms)
        self._demand_ms = now_ms
        self._demand_tokens = min(
            DEMAND_BURST_BYTES,
            self._demand_tokens + elapsed_ms * DEMAND_BYTES_PER_S / 1000,
        )
        if self._demand_tokens < cost:
            return False
        self._demand_tokens -= cost
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
