"""Choice of the server for a request or a feed."""

import abc
from collections.abc import Iterable
from collections.abc import Mapping
import random

from cyclamenridge.scheduling import servers

Server = servers.Server

# A server outside the own slots is tried when at least this many slots are
# expected to be free.
MIN_FREE_SLOTS = 0.5


class SlotPicker(abc.ABC):
    """Chooses the server that runs a request."""

    @abc.abstractmethod
    def own(
        self,
        now_ms: int,
        candidates: Iterable[Server],
        owned: Mapping[str, int],
        work_ms: float,
    ) -> Server | None:
        """Return a server with an unused slot of this balancer."""

    @abc.abstractmethod
    def foreign(
        self, now_ms: int, candidates: Iterable[Server], work_ms: float
    ) -> Server | None:
        """Return a server that probably has a slot that others leave."""


class FreeSlotPicker(SlotPicker):
    """Prefers the server with the most slots expected to be free."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def own(
        self,
        now_ms: int,
        candidates: Iterable[Server],
        owned: Mapping[str, int],
        work_ms: float,
    ) -> Server | None:
        """Return the own server with the most free slots."""
        return max(
            (
                server
                for server in candidates
                if server.in_flight < owned.get(server.name, 0)
            ),
            key=lambda server: (
                server.free_slots(now_ms, work_ms),
                self._rng.random(),
            ),
            default=None,
        )

    def foreign(
        self, now_ms: int, candidates: Iterable[Server], work_ms: float
    ) -> Server | None:
        """Return the better one of two servers believed to be free.

        Two random ones, because all balancers see similar reports and the
        best one would be everybody's choice.
        """
        free = [
            (slots, server)
            for server in candidates
            if (slots := server.free_slots(now_ms, work_ms)) >= MIN_FREE_SLOTS
        ]
        if len(free) > 2:
            free = self._rng.sample(free, 2)
        return max(free, key=lambda item: item[0], default=(0, None))[1]


def pick_for_feed(
    now_ms: int,
    candidates: Iterable[Server],
    *,
    slow_start_ms: int,
    rng: random.Random,
) -> Server | None:
    """Return the server for a feed.

    The balancer evens out its own feeds, which it counts itself; reports
    only break ties, because they lag by many new feeds and may be wrong.
    """
    open_servers = [
        server
        for server in candidates
        if max(server.feeds, server.reported_connections)
        < server.connections_limit
    ]
    warm = [
        server
        for server in open_servers
        if rng.random() < server.warmth(now_ms, slow_start_ms)
    ]
    return min(
        warm or open_servers,
        key=lambda server: (
            server.feeds / server.connections_limit,
            server.reported_connections / server.connections_limit,
            rng.random(),
        ),
        default=None,
    )
