"""Estimate of the demand that all balancers together have on a service."""

import collections
from collections.abc import Mapping

# Older samples of the peers' demand are dropped.
DEMAND_TTL_MS = 1200
# Age at which a sample counts half. Newer samples have to outweigh those from
# before a burst.
HALF_LIFE_MS = 200


class PeerDemand:
    """Requests in progress and waiting at other balancers, by service.

    Each balancer receives about twenty beacons a second at any size of the
    fleet. The mean of what recent ones tell, times the number of peers, is
    the demand of all, so no peer has to be heard often.
    """

    def __init__(self) -> None:
        # Time of receipt and demand by service, oldest first.
        self._samples: collections.deque[tuple[int, Mapping[str, float]]] = (
            collections.deque()
        )

    def record(self, now_ms: int, demand: Mapping[str, float]) -> None:
        """Record the demand that the beacon of a peer tells.

        :param demand: requests by service; a service that is left out has
            none
        """
        self._samples.append((now_ms, demand))

    def estimate(
        self, now_ms: int, service: str, *, peers: int
    ) -> float | None:
        """Return the requests of all peers, None if no beacon tells of them.

        :param peers: number of peers
        """
        if not peers:
            return 0.0
        while self._samples and now_ms - self._samples[0][0] > DEMAND_TTL_MS:
            self._samples.popleft()
        if not self._samples:
            return None
        total = 0.0
        weights = 0.0
        for received_ms, demand in self._samples:
            weight = 0.5 ** ((now_ms - received_ms) / HALF_LIFE_MS)
            weights += weight
            total += weight * demand.get(service, 0.0)
        return total / weights * peers
