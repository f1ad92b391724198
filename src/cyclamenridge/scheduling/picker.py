"""Choice of the server for a request or a feed."""

import abc
from collections.abc import Iterable
from collections.abc import Mapping
import random

from cyclamenridge.scheduling import servers

Server = servers.Server

# An own slot that another balancer seems to use is not tried, until this
# share of the slot is expected to be free.
MIN_OWN_FREE = 0.75
# The same for slots of others. In the balance experiment, tries that were
# expected to find less succeeded in about one of three cases.
MIN_FOREIGN_FREE = 0.75


class SlotPicker(abc.ABC):
    """Chooses the server that runs a request."""

    @abc.abstractmethod
    def own(
        self,
        now_ms: int,
        candidates: Iterable[Server],
        owned: Mapping[str, int],
        residual_ms: float,
    ) -> Server | None:
        """Return a server with an unused slot of this balancer."""

    @abc.abstractmethod
    def foreign(
        self,
        now_ms: int,
        candidates: Iterable[Server],
        residual_ms: float,
        *,
        sure: bool = False,
    ) -> Server | None:
        """Return a server that probably has a slot that others leave.

        :param sure: believe only what was heard just now
        """


class FreeSlotPicker(SlotPicker):
    """Prefers the server with the most slots expected to be free."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def own(
        self,
        now_ms: int,
        candidates: Iterable[Server],
        owned: Mapping[str, int],
        residual_ms: float,
    ) -> Server | None:
        """Return the own server with the most free slots.

        A slot that seems taken is tried again when the balancer has not
        heard of it for a while, since reports may be wrong.
        """
        best, best_rank = None, (0.0, 0.0)
        for server in candidates:
            if server.in_flight >= owned.get(server.name, 0):
                continue
            slots = server.free_slots(now_ms, residual_ms)
            if (
                slots >= MIN_OWN_FREE
                or now_ms - server.tried_ms >= residual_ms
            ):
                rank = (slots, self._rng.random())
                if best is None or rank > best_rank:
                    best, best_rank = server, rank
        return best

    def foreign(
        self,
        now_ms: int,
        candidates: Iterable[Server],
        residual_ms: float,
        *,
        sure: bool = False,
    ) -> Server | None:
        """Return the better one of two servers believed to be free.

        Two random ones, because all balancers see similar reports and the
        best one would be everybody's choice.
        """
        free = []
        for server in candidates:
            surely = server.surely_free(now_ms)
            if surely or not sure:
                slots = server.free_slots(now_ms, residual_ms)
                if slots >= MIN_FOREIGN_FREE:
                    free.append((surely, slots, server))
        if len(free) > 2:
            free = self._rng.sample(free, 2)
        return max(free, key=lambda item: item[:2], default=(False, 0, None))[
            2
        ]


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
