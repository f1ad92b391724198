"""Schedule of a balancer's reads, watches and writes of the store."""

import collections
import random

from cyclamenridge.config import document as document_lib
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.routing import rendezvous

Document = document_lib.Document

WATCHERS_PER_DOMAIN = 3
# A new instance first waits this long for a document from its peers.
FIRST_READ_DELAY_MS = 700
# Spreads the first reads of a fleet whose nodes all start at once.
FIRST_READ_JITTER_MS = 1500
# Before this delay, a new instance knows too few members to tell whether it
# is one of the watchers of its domain.
ELECTION_DELAY_MS = 3000
ELECTION_JITTER_MS = 1000
# Watchers also read periodically, in case the watch lags or hangs.
WATCHER_READ_INTERVAL_MS = 1800
READ_TIMEOUT_MS = 3000
BACKOFF_BASE_MS = 500
BACKOFF_MAX_MS = 8000
# The few watchers retry sooner, so that a change applied after an outage is in
# force within 3 s.
WATCHER_BACKOFF_MAX_MS = 1500
# Jitter and minimum interval of the extra reads of a large document, which all
# nodes of a fleet may need at the same time.
EXTRA_READ_JITTER_MS = 1000
EXTRA_READ_INTERVAL_MS = 2000
WATCH_JITTER_MS = 500
# If the store has an older document, it is read again before it is
# overwritten, since the older document may come from a lagging watch.
CONFIRM_READ_DELAY_MS = 300
CONFIRM_READ_JITTER_MS = 1200


class StoreWatcher:
    """Decides when to read, watch and write the store."""

    def __init__(
        self,
        me: str,
        rng: random.Random,
        counters: collections.Counter[str],
    ) -> None:
        self._name = me
        self._rng = rng
        self._counters = counters
        self.watching = False
        self._election_ms = 0
        self._elected = False
        self._next_read_ms = 0
        self._read_sent_ms: int | None = None
        self._next_watch_ms: int | None = None
        self._watch_lost = False
        self._extra_read = False
        self._last_extra_read_ms = -EXTRA_READ_INTERVAL_MS
        self._failures = 0
        # Revision and mod_revision of the last read, if it returned an older
        # document than the one in force.
        self._older_read: tuple[int, int] | None = None

    def start(self, now_ms: int) -> None:
        """Schedule the first read and the start of the election."""
        self._next_read_ms = (
            now_ms
            + FIRST_READ_DELAY_MS
            + self._rng.randrange(FIRST_READ_JITTER_MS)
        )
        self._election_ms = (
            now_ms
            + ELECTION_DELAY_MS
            + self._rng.randrange(ELECTION_JITTER_MS)
        )

    def elect(self, domain: str, names: list[str]) -> None:
        """Elect the watchers of this node's failure domain.

        All members of the domain rank each other by rendezvous hashing, so
        they agree without messages if they know the same members.

        :param names: members of the domain, this node included
        """
        ranked = rendezvous.ranked(domain.encode(), names)
        self._elected = self._name in ranked[:WATCHERS_PER_DOMAIN]

    def can_elect(self, now_ms: int) -> bool:
        """Return whether the delay before the first election is over."""
        return now_ms >= self._election_ms

    def tick(
        self, now_ms: int, document: Document | None
    ) -> list[effects.Effect]:
        """Return the store calls that are due."""
        calls: list[effects.Effect] = []
        if self._elected != self.watching:
            self.watching = self._elected
            if self.watching:
                self._next_watch_ms = now_ms + self._rng.randrange(
                    WATCH_JITTER_MS
                )
                self._next_read_ms = min(
                    self._next_read_ms, now_ms + self._watcher_interval_ms()
                )
            else:
                self._next_watch_ms = None
                self._watch_lost = False
                calls.append(effects.WatchStore(active=False))
        if self._next_watch_ms is not None and now_ms >= self._next_watch_ms:
            self._next_watch_ms = None
            self._counters["store_watches"] += 1
            calls.append(effects.WatchStore(active=True))
        if (
            self._read_sent_ms is not None
            and now_ms - self._read_sent_ms > READ_TIMEOUT_MS
        ):
            self._counters["store_timeouts"] += 1
            self._read_sent_ms = None
            self._back_off(now_ms)
        read_wanted = self.watching or self._extra_read or document is None
        if (
            read_wanted
            and now_ms >= self._next_read_ms
            and self._read_sent_ms is None
        ):
            self._read_sent_ms = now_ms
            self._extra_read = False
            self._next_read_ms = now_ms + self._watcher_interval_ms()
            self._counters["store_reads"] += 1
            calls.append(effects.ReadStore())
        return calls

    def handle_read(
        self,
        now_ms: int,
        answer: events.StoreRead,
        document: Document | None,
        *,
        previous: Document | None = None,
    ) -> list[effects.Effect]:
        """Handle an answer of the store.

        :param document: document in force after the answer was applied
        :param previous: document in force before, if it is another one
        :return: a write if the store has an older document, or one whose
            revision it has given out twice
        """
        self._read_sent_ms = None
        if self._watch_lost:
            # The store is reachable again.
            self._watch_lost = False
            self._next_watch_ms = now_ms
        stored_revision = (
            0 if answer.document is None else answer.document.revision
        )
        if document is None and not self.watching:
            # The store has no document yet; only the watchers keep reading
            # at the regular interval.
            self._back_off(now_ms)
            return []
        self._failures = 0
        known = previous or document
        if (
            answer.document is not None
            and known is not None
            and document_lib.needs_renumbering(answer.document, known)
        ):
            # Not read again first: a document from a lagging watch fails the
            # comparison, and the file must be in force within 3 s.
            self._older_read = None
            self._counters["config_renumbered"] += 1
            renumbered = document_lib.renumbered(answer.document, known)
            return [
                effects.WriteStore(
                    renumbered, answer.mod_revision, answer.value
                )
            ]
        if document is None or stored_revision >= document.revision:
            self._older_read = None
            return []
        if not self.watching:
            return []
        versions = (stored_revision, answer.mod_revision)
        if self._older_read != versions:
            self._older_read = versions
            self._next_read_ms = (
                now_ms
                + CONFIRM_READ_DELAY_MS
                + self._rng.randrange(CONFIRM_READ_JITTER_MS)
            )
            return []
        self._older_read = None
        self._counters["store_writes"] += 1
        return [
            effects.WriteStore(document, answer.mod_revision, answer.value)
        ]

    def request_extra_read(self, now_ms: int) -> None:
        """Schedule one read, because a transfer from peers is slow."""
        if now_ms - self._last_extra_read_ms >= EXTRA_READ_INTERVAL_MS:
            self._last_extra_read_ms = now_ms
            self._extra_read = True
            self._next_read_ms = now_ms + self._rng.randrange(
                EXTRA_READ_JITTER_MS
            )

    def handle_failure(self, now_ms: int) -> None:
        """Back off after a call failed or the watch ended."""
        self._counters["store_failures"] += 1
        self._read_sent_ms = None
        self._older_read = None
        self._back_off(now_ms)
        self._watch_lost = self.watching
        self._next_watch_ms = None

    def _back_off(self, now_ms: int) -> None:
        max_ms = WATCHER_BACKOFF_MAX_MS if self.watching else BACKOFF_MAX_MS
        limit_ms = min(max_ms, BACKOFF_BASE_MS << self._failures)
        self._failures = min(self._failures + 1, 10)
        self._next_read_ms = now_ms + self._rng.randint(1, limit_ms)

    def _watcher_interval_ms(self) -> int:
        return self._rng.randint(
            WATCHER_READ_INTERVAL_MS * 3 // 4, WATCHER_READ_INTERVAL_MS
        )
