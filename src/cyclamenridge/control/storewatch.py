"""When a balancer reads, watches and writes the store."""

import collections
import random

from cyclamenridge.config import document as document_lib
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.routing import rendezvous

Document = document_lib.Document

WATCHERS_PER_DOMAIN = 3
# A fresh instance gives its peers this long before it reads the store.
PEERS_FIRST_MS = 700
# Spreads the first reads of a fleet that starts at once.
FIRST_READ_JITTER_MS = 1500
# Until then a fresh instance knows too few members to tell whether it is
# among the watchers of its domain.
WATCH_GRACE_MS = 3000
WATCH_GRACE_JITTER_MS = 1000
# A watch that lags or hangs is caught by reads in between.
WATCHER_READ_MS = 1800
READ_TIMEOUT_MS = 3000
BACKOFF_BASE_MS = 500
BACKOFF_MAX_MS = 8000
# The few watchers try again sooner, so that a change which is applied after
# an outage is in force within 3 s.
WATCHER_BACKOFF_MAX_MS = 1500
# Spreads the reads of a fleet that all want a large document, and bounds
# them for each node.
SOON_JITTER_MS = 1000
SOON_INTERVAL_MS = 2000
WATCH_JITTER_MS = 500
# An older document is read again before it is overwritten, since it may come
# from a lagging watch.
CONFIRM_MS = 300
CONFIRM_JITTER_MS = 1200


class StoreWatcher:
    """Decides on calls to the store."""

    def __init__(
        self,
        me: str,
        rng: random.Random,
        counters: collections.Counter[str],
    ) -> None:
        self._me = me
        self._rng = rng
        self._counters = counters
        self.watching = False
        self._elect_ms = 0
        self._elected = False
        self._read_ms = 0
        self._read_sent_ms: int | None = None
        self._watch_ms: int | None = None
        self._watch_lost = False
        self._soon = False
        self._soon_ms = -SOON_INTERVAL_MS
        self._failures = 0
        self._behind: tuple[int, int] | None = None

    def start(self, now_ms: int) -> None:
        """Plan the first read."""
        self._read_ms = (
            now_ms + PEERS_FIRST_MS + self._rng.randrange(FIRST_READ_JITTER_MS)
        )
        self._elect_ms = (
            now_ms
            + WATCH_GRACE_MS
            + self._rng.randrange(WATCH_GRACE_JITTER_MS)
        )

    def elect(self, domain: str, names: list[str]) -> None:
        """Choose the watchers of this node's domain.

        :param names: members of the domain, this node included
        """
        ranked = rendezvous.ranked(domain.encode(), names)
        self._elected = self._me in ranked[:WATCHERS_PER_DOMAIN]

    def electing(self, now_ms: int) -> bool:
        """Return whether enough members can be known to elect."""
        return now_ms >= self._elect_ms

    def tick(
        self, now_ms: int, document: Document | None
    ) -> list[effects.Effect]:
        """Return the calls to make now."""
        out: list[effects.Effect] = []
        if self._elected != self.watching:
            self.watching = self._elected
            if self.watching:
                self._watch_ms = now_ms + self._rng.randrange(WATCH_JITTER_MS)
                self._read_ms = min(
                    self._read_ms, now_ms + self._interval_ms()
                )
            else:
                self._watch_ms = None
                self._watch_lost = False
                out.append(effects.WatchStore(active=False))
        if self._watch_ms is not None and now_ms >= self._watch_ms:
            self._watch_ms = None
            self._counters["store_watches"] += 1
            out.append(effects.WatchStore(active=True))
        if (
            self._read_sent_ms is not None
            and now_ms - self._read_sent_ms > READ_TIMEOUT_MS
        ):
            self._counters["store_timeouts"] += 1
            self._read_sent_ms = None
            self._back_off(now_ms)
        wanted = self.watching or self._soon or document is None
        if wanted and now_ms >= self._read_ms and self._read_sent_ms is None:
            self._read_sent_ms = now_ms
            self._soon = False
            self._read_ms = now_ms + self._interval_ms()
            self._counters["store_reads"] += 1
            out.append(effects.ReadStore())
        return out

    def read(
        self,
        now_ms: int,
        read: events.StoreRead,
        document: Document | None,
    ) -> list[effects.Effect]:
        """Take an answer; ``document`` is in force after it was applied."""
        self._read_sent_ms = None
        if self._watch_lost:
            # The store answers again.
            self._watch_lost = False
            self._watch_ms = now_ms
        stored = 0 if read.document is None else read.document.revision
        if document is None and not self.watching:
            # The store has no document yet; the watchers wait for it.
            self._back_off(now_ms)
            return []
        self._failures = 0
        if document is None or stored >= document.revision:
            self._behind = None
            return []
        if not self.watching:
            return []
        seen = (stored, read.mod_revision)
        if self._behind != seen:
            self._behind = seen
            self._read_ms = (
                now_ms + CONFIRM_MS + self._rng.randrange(CONFIRM_JITTER_MS)
            )
            return []
        self._behind = None
        self._counters["store_writes"] += 1
        return [effects.WriteStore(document, read.mod_revision)]

    def read_soon(self, now_ms: int) -> None:
        """Read once, because the peers need long for a document."""
        if now_ms - self._soon_ms >= SOON_INTERVAL_MS:
            self._soon_ms = now_ms
            self._soon = True
            self._read_ms = now_ms + self._rng.randrange(SOON_JITTER_MS)

    def failed(self, now_ms: int) -> None:
        """Try again later after a call failed or the watch ended."""
        self._counters["store_failures"] += 1
        self._read_sent_ms = None
        self._behind = None
        self._back_off(now_ms)
        self._watch_lost = self.watching
        self._watch_ms = None

    def _back_off(self, now_ms: int) -> None:
        longest_ms = (
            WATCHER_BACKOFF_MAX_MS if self.watching else BACKOFF_MAX_MS
        )
        limit_ms = min(longest_ms, BACKOFF_BASE_MS << self._failures)
        self._failures = min(self._failures + 1, 10)
        self._read_ms = now_ms + self._rng.randint(1, limit_ms)

    def _interval_ms(self) -> int:
        return self._rng.randint(WATCHER_READ_MS * 3 // 4, WATCHER_READ_MS)
