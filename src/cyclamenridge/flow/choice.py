"""Choice of the backend server for a new flow."""

import abc
from collections.abc import Sequence
import random

from cyclamenridge.flow import directory
from cyclamenridge.flow import observed as observed_lib

# Requests per slot that a server of the own failure domain may be busier than
# another one before the other one is chosen.
NEAR_ADVANTAGE = 0.5
# A server that is warming up counts as this much busier.
COLD_FACTOR = 1.6
# Weight of an open flow against a request that waits.
FLOW_WEIGHT = 0.05


class Chooser(abc.ABC):
    """Chooses among the servers of a service."""

    @abc.abstractmethod
    def choose(
        self,
        now_ms: int,
        candidates: Sequence[directory.Known],
        observations: observed_lib.Observations,
    ) -> directory.Known:
        """Return a server; ``candidates`` is not empty."""


class LeastLoaded(Chooser):
    """Takes the server with the least expected wait."""

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng

    def choose(
        self,
        now_ms: int,
        candidates: Sequence[directory.Known],
        observations: observed_lib.Observations,
    ) -> directory.Known:
        """Return the least loaded server; ties are broken at random."""
        best = candidates[0]
        best_cost = float("inf")
        for known in candidates:
            seen = observations.of(known.listing.name)
            cost = (
                1 + seen.waiting + seen.foreign + FLOW_WEIGHT * seen.flows
            ) / known.listing.slots
            if now_ms < known.warm_ms:
                cost *= COLD_FACTOR
            if known.listing.failure_domain != self._failure_domain:
                cost += NEAR_ADVANTAGE
            cost += self._rng.random() * 0.1
            if cost < best_cost:
                best, best_cost = known, cost
        return best
