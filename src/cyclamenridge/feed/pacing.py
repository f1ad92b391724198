"""Rate limiting of attaches when many feeds need one at once."""

import collections
from collections.abc import Callable

from cyclamenridge.feed import state as state_lib
from cyclamenridge.feed import table as table_lib

# Either limit keeps the work of one tick near 20 ms.
MAX_ATTACHES_PER_TICK = 1000
MAX_PROBES_PER_TICK = 1000
PROBE_INTERVAL_MS = 1000

Attach = Callable[[int, state_lib.Feed, int], None]


class AttachPacer:
    """Attaches feeds in batches after a link comes up and in a planned stop.

    :param attach: attaches a feed with an epoch
    """

    def __init__(self, table: table_lib.FeedTable, attach: Attach) -> None:
        self._table = table
        self._attach = attach
        self._queue: collections.deque[int] = collections.deque()
        self._probe_queue: collections.deque[int] = collections.deque()

    def enqueue(self, ident: int) -> None:
        """Queue a feed to be attached."""
        self._queue.append(ident)

    def attach_queued(self, now_ms: int) -> None:
        """Attach the next batch of queued feeds."""
        for _ in range(min(MAX_ATTACHES_PER_TICK, len(self._queue))):
            feed = self._table.get(self._queue.popleft())
            if feed is not None and feed.state is not state_lib.State.ATTACHED:
                self._attach(now_ms, feed, feed.epoch)

    def probe_moved_feeds(self, now_ms: int) -> None:
        """Detect during a planned stop which feeds have moved.

        The server refuses an attach with the current epoch once another
        balancer has attached the feed.
        """
        if not self._probe_queue:
            self._probe_queue.extend(self._table)
        for _ in range(min(MAX_PROBES_PER_TICK, len(self._probe_queue))):
            feed = self._table.get(self._probe_queue[0])
            if feed is not None:
                if now_ms - feed.last_attach_ms < PROBE_INTERVAL_MS:
                    return
                if feed.state is state_lib.State.ATTACHED:
                    self._attach(now_ms, feed, feed.epoch)
            self._probe_queue.popleft()
