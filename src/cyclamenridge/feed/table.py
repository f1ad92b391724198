"""Table of the feeds of a node."""

import collections
from collections.abc import Iterator

from cyclamenridge import address as address_lib
from cyclamenridge.feed import state as state_lib
from cyclamenridge.node import events
from cyclamenridge.node import services as services_lib

Feed = state_lib.Feed
ServerRef = events.ServerRef
State = state_lib.State


class FeedTable:
    """Feeds by id and by server, ordered by last use.

    :ivar waiting: feeds that wait for an attach
    """

    def __init__(self, services: services_lib.ServiceRuntimes) -> None:
        self._services = services
        self._feeds: collections.OrderedDict[int, Feed] = (
            collections.OrderedDict()
        )
        # One object per server, shared by its feeds to save memory.
        self._interned_refs: dict[ServerRef, ServerRef] = {}
        self._by_server: dict[ServerRef, set[int]] = {}
        self.waiting: dict[int, Feed] = {}

    def __len__(self) -> int:
        return len(self._feeds)

    def __iter__(self) -> Iterator[int]:
        return iter(self._feeds)

    def __contains__(self, ident: int) -> bool:
        return ident in self._feeds

    def __getitem__(self, ident: int) -> Feed:
        return self._feeds[ident]

    def get(self, ident: int) -> Feed | None:
        """Return a feed."""
        return self._feeds.get(ident)

    def idents_at_server(self, ref: ServerRef) -> list[int]:
        """Return the ids of the feeds of a server."""
        return list(self._by_server.get(ref, ()))

    def find_idle(self, now_ms: int, limit_ms: int) -> Feed | None:
        """Return the least recently used feed if it is idle for the limit."""
        for feed in self._feeds.values():
            return feed if now_ms - feed.last_used_ms >= limit_ms else None
        return None

    def touch(
        self, now_ms: int, feed: Feed, source: address_lib.Address
    ) -> None:
        """Mark a feed as just used by its caller at ``source``."""
        feed.last_used_ms = now_ms
        feed.source = source
        self._feeds.move_to_end(feed.ident)

    def mark_waiting(self, now_ms: int, feed: Feed) -> None:
        """Mark a feed as waiting for its attach."""
        feed.state = State.WAITING
        if not feed.waiting_since_ms:
            feed.waiting_since_ms = now_ms
        self.waiting[feed.ident] = feed

    def add(
        self, feed: Feed, ref: ServerRef, runtime: services_lib.ServiceRuntime
    ) -> None:
        """Add a feed that is to be attached to a server."""
        feed.ref = ref = self._interned_refs.setdefault(ref, ref)
        feed.state = State.WAITING
        feed.waiting_since_ms = 0
        self._feeds[feed.ident] = feed
        self._by_server.setdefault(ref, set()).add(feed.ident)
        runtime.users += 1
        self._services.add_server_users(ref, 1)

    def remove(self, now_ms: int, feed: Feed) -> None:
        """Remove a feed."""
        del self._feeds[feed.ident]
        self.waiting.pop(feed.ident, None)
        idents = self._by_server[feed.ref]
        idents.discard(feed.ident)
        if not idents:
            del self._by_server[feed.ref]
        runtime = self._services.get(feed.ref.service)
        if runtime is not None:
            runtime.users -= 1
            if feed.counted_by_scheduler:
                runtime.scheduler.feed_detached(now_ms, feed.ref.server)
        feed.counted_by_scheduler = False
        self._services.add_server_users(feed.ref, -1)
