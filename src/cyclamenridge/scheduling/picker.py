"""Selection of a server among candidates, for a request or a feed."""

import abc
from collections.abc import Iterable
from collections.abc import Mapping
import random

from cyclamenridge.scheduling import servers

Server = servers.Server

# An own slot that another balancer seems to use is skipped until at least
# this part of a slot is expected to be free.
MIN_OWN_FREE_SLOTS = 0.75
# The same for foreign slots: in ``benchmarks/balance.py``, only about one in
# three attempts that were expected to find less succeeded.
MIN_FOREIGN_FREE_SLOTS = 0.75


class SlotPicker(abc.ABC):
    """Selects the server that runs a request.

    :param residual_ms: how long a slot in use is expected to stay in use
    """

    @abc.abstractmethod
    def pick_own(
        self,
        now_ms: int,
        candidates: Iterable[Server],
        owned_by_server: Mapping[str, int],
        residual_ms: float,
    ) -> Server | None:
        """Return a server with an own slot that is not in use.

        :param owned_by_server: own slots by name of the server
        """

    @abc.abstractmethod
    def pick_foreign(
        self,
        now_ms: int,
        candidates: Iterable[Server],
        residual_ms: float,
        *,
        recent_only: bool = False,
    ) -> Server | None:
        """Return a server that probably has a slot free, own or foreign.

        :param recent_only: only servers that had a free slot a moment ago
        """


class FreeSlotPicker(SlotPicker):
    """Prefers the server with the most slots expected to be free."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick_own(
        self,
        now_ms: int,
        candidates: Iterable[Server],
        owned_by_server: Mapping[str, int],
        residual_ms: float,
    ) -> Server | None:
        """Return the server with the most free slots among the own ones.

        A server that seems full is tried again ``residual_ms`` after the
        last attempt, since load reports may be wrong.
        """
        best, best_rank = None, (0.0, 0.0)
        for server in candidates:
            if server.in_flight >= owned_by_server.get(server.name, 0):
                continue
            free = server.expected_free_slots(now_ms, residual_ms)
            if (
                free >= MIN_OWN_FREE_SLOTS
                or now_ms - server.last_attempt_ms >= residual_ms
            ):
                rank = (free, self._rng.random())
                if best is None or rank > best_rank:
                    best, best_rank = server, rank
        return best

    def pick_foreign(
        self,
        now_ms: int,
        candidates: Iterable[Server],
        residual_ms: float,
        *,
        recent_only: bool = False,
    ) -> Server | None:
        """Return the better of two random servers with a free slot.

        All balancers see similar reports, so the best server of all would
        be chosen by every balancer at once.
        """
        choices = []
        for server in candidates:
            recent = server.recently_free(now_ms)
            if recent or not recent_only:
                free = server.expected_free_slots(now_ms, residual_ms)
                if free >= MIN_FOREIGN_FREE_SLOTS:
                    choices.append((recent, free, server))
        if len(choices) > 2:
            choices = self._rng.sample(choices, 2)
        return max(
            choices, key=lambda item: item[:2], default=(False, 0, None)
        )[2]


def pick_for_feed(
    now_ms: int,
    candidates: Iterable[Server],
    *,
    slow_start_ms: int,
    rng: random.Random,
) -> Server | None:
    """Return the server for a feed.

    The server with the lowest ratio of this balancer's feeds to its limit of
    connections is chosen. Load reports only break ties, because they do not
    include the latest feeds and may be wrong.
    """
    below_limit = [
        server
        for server in candidates
        if max(server.feeds, server.reported_connections)
        < server.connections_limit
    ]
    # A server in slow start is left out at random, less often over time.
    selected = [
        server
        for server in below_limit
        if rng.random() < server.slow_start_factor(now_ms, slow_start_ms)
    ]
    return min(
        selected or below_limit,
        key=lambda server: (
            server.feeds / server.connections_limit,
            server.reported_connections / server.connections_limit,
            rng.random(),
        ),
        default=None,
    )
