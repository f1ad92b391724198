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
# Answer times, relative to the mean of all servers, between which a server
# counts as usual. Smaller differences come from queues: weighing them lowered
# the answers in the target latency from 0.85 to 0.83 at 95% of the capacity
# (33 balancers, 60 servers).
MAX_USUAL_SLOWNESS = 1.5
MIN_USUAL_SLOWNESS = 1 / MAX_USUAL_SLOWNESS
# Cost of a server that refuses all requests, in pending requests per slot.
# Servers refuse when they have five per slot.
REFUSAL_COST = 4.0
# Servers of the own failure domain that are compared, and of all domains.
# More found no better ones.
LOCAL_SAMPLE = 8
GLOBAL_SAMPLE = 4
# Random draws for each server of the own domain to be found.
DRAWS_PER_LOCAL = 4
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


class SampledLoadSelector(ServerSelector):
    """Selects the server with the shortest expected wait of a random sample.

    The load of a server is mostly known from old beacons. Balancers that
    compare different servers do not all select the same one.
    """

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng

    def select(
        self,
        now_ms: int,
        candidates: Sequence[directory.Server],
        server_stats: stats_lib.ServerStatsTable,
    ) -> directory.Server:
        """Return the server of the sample with the lowest cost."""
        rand = self._rng.random
        best = candidates[0]
        best_cost = float("inf")
        for server in self._sample(candidates):
            stats = server_stats.for_server(server.entry.name)
            # A random term breaks ties.
            cost = self._cost(now_ms, server, stats) + 0.1 * rand()
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def _sample(
        self, candidates: Sequence[directory.Server]
    ) -> Sequence[directory.Server]:
        count = len(candidates)
        if count <= LOCAL_SAMPLE + GLOBAL_SAMPLE:
            return candidates
        rand = self._rng.random
        sample = [
            candidates[int(rand() * count)] for _ in range(GLOBAL_SAMPLE)
        ]
        for _ in range(LOCAL_SAMPLE * DRAWS_PER_LOCAL):
            server = candidates[int(rand() * count)]
            if server.entry.failure_domain == self._failure_domain:
                sample.append(server)
                if len(sample) == LOCAL_SAMPLE + GLOBAL_SAMPLE:
                    break
        return sample

    def _cost(
        self,
        now_ms: int,
        server: directory.Server,
        stats: stats_lib.ServerStats,
    ) -> float:
        """Return the expected wait, in requests per slot of a usual server.

        Refusals and other domains only add to it: however many servers
        refuse, flows go there once the others have more work.
        """
        entry = server.entry
        cost = (
            1
            + stats.pending
            + stats.peer_pending
            + OPEN_FLOW_WEIGHT * stats.open_flows
        ) / entry.slots
        slowness = stats.slowness(now_ms)
        if not MIN_USUAL_SLOWNESS <= slowness <= MAX_USUAL_SLOWNESS:
            cost *= slowness
        if now_ms < server.warmup_end_ms:
            cost *= WARMUP_COST_FACTOR
        if stats.last_refusal_ms > now_ms - stats_lib.OUTCOME_TTL_MS:
            cost += REFUSAL_COST * stats.refused_part(now_ms)
        if entry.failure_domain != self._failure_domain:
            cost += OTHER_DOMAIN_PENALTY
        return cost
