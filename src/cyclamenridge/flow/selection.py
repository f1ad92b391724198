"""Selection of the backend server for a new flow."""

import abc
from collections.abc import Sequence
import random

from cyclamenridge.flow import directory
from cyclamenridge.flow import server_stats as stats_lib

# Cost of leaving the own failure domain, in pending requests per slot: a local
# server is preferred until it is this much busier than a remote one.
OTHER_DOMAIN_PENALTY = 0.5
# Factor on the cost of a server that is still warming up.
WARMUP_COST_FACTOR = 1.6
# Cost of an open flow, in pending requests.
OPEN_FLOW_WEIGHT = 0.05


class ServerSelector(abc.ABC):
    """Policy that selects one of the servers of a service."""

    @abc.abstractmethod
    def select(
        self,
        now_ms: int,
        candidates: Sequence[directory.Server],
        server_stats: stats_lib.ServerStatsTable,
    ) -> directory.Server:
        """Return a server; ``candidates`` is not empty."""


class LeastLoadedSelector(ServerSelector):
    """Selects the server with the shortest expected wait."""

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng

    def select(
        self,
        now_ms: int,
        candidates: Sequence[directory.Server],
        server_stats: stats_lib.ServerStatsTable,
    ) -> directory.Server:
        """Return the least loaded server; a random term breaks ties."""
        best = candidates[0]
        best_cost = float("inf")
        for server in candidates:
            stats = server_stats.for_server(server.entry.name)
            cost = (
                1
                + stats.pending
                + stats.peer_pending
                + OPEN_FLOW_WEIGHT * stats.open_flows
            ) / server.entry.slots
            if now_ms < server.warmup_end_ms:
                cost *= WARMUP_COST_FACTOR
            if server.entry.failure_domain != self._failure_domain:
                cost += OTHER_DOMAIN_PENALTY
            cost += self._rng.random() * 0.1
            if cost < best_cost:
                best, best_cost = server, cost
        return best
