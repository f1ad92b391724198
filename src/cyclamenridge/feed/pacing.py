"""Attaches of many feeds, spread over time."""

import collections
from collections.abc import Callable

from cyclamenridge.feed import flow as flow_lib
from cyclamenridge.feed import table as table_lib

# Both limits keep the work of a tick near 20 ms.
MAX_ATTACHES_PER_TICK = 1000
MAX_PROBES_PER_TICK = 1000
PROBE_INTERVAL_MS = 1000

Attach = Callable[[int, flow_lib.Feed, int], None]


class AttachPacer:
    """Attaches feeds after a link came up and during a planned stop.

    :param attach: attaches a feed at an epoch
    """

    def __init__(self, table: table_lib.FeedTable, attach: Attach) -> None:
        self._table = table
        self._attach = attach
        self._waiting: collections.deque[int] = collections.deque()
        self._probes: collections.deque[int] = collections.deque()

    def add(self, ident: int) -> None:
        """Attach a feed soon."""
        self._waiting.append(ident)

    def step(self, now_ms: int) -> None:
        """Attach the next feeds."""
        for _ in range(min(MAX_ATTACHES_PER_TICK, len(self._waiting))):
            feed = self._table.get(self._waiting.popleft())
            if feed is not None and feed.state is not flow_lib.State.ATTACHED:
                self._attach(now_ms, feed, feed.epoch)

    def probe(self, now_ms: int) -> None:
        """Find out during a planned stop which feeds have moved.

        An attach with the present epoch is refused as soon as another
        balancer has attached the feed.
        """
        if not self._probes:
            self._probes.extend(self._table)
        for _ in range(min(MAX_PROBES_PER_TICK, len(self._probes))):
            feed = self._table.get(self._probes[0])
            if feed is not None:
                if now_ms - feed.attach_ms < PROBE_INTERVAL_MS:
                    return
                if feed.state is flow_lib.State.ATTACHED:
                    self._attach(now_ms, feed, feed.epoch)
            self._probes.popleft()
