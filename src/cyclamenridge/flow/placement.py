"""Which backend servers an opening packet is sent to."""

from collections.abc import Sequence
import random

from cyclamenridge.flow import choice
from cyclamenridge.flow import directory
from cyclamenridge.flow import observed
from cyclamenridge.flow import reach as reach_lib

# Servers that are compared for an opening packet; more would cost more
# processor time with the fleet and hardly find a freer one.
CONSIDERED_SERVERS = 64
# Requests that wait for each slot of every server of a service when copies of
# opening packets are held: twice the work of an unloaded request is the least
# that makes answers late on today's installations.
CROWDED_PER_SLOT = 2
# The same for first packets, and for copies of routes that go before others: a
# server with so many would refuse the request.
FULL_PER_SLOT = 4
# A server that was not heard for this long is tried together with another.
UNHEARD_MS = 400


class Placement:
    """Chooses by load, and by what was heard of servers and domains."""

    def __init__(
        self,
        *,
        chooser: choice.Chooser,
        observations: observed.Observations,
        reach: reach_lib.Reach,
        rng: random.Random,
    ) -> None:
        self._chooser = chooser
        self._observations = observations
        self._reach = reach
        self._rng = rng

    def consider(self, ready: list[directory.Known]) -> list[directory.Known]:
        """Return as many servers as are compared, at random."""
        if len(ready) > CONSIDERED_SERVERS:
            return self._rng.sample(ready, CONSIDERED_SERVERS)
        return ready

    def is_crowded(
        self,
        servers: Sequence[directory.Known],
        *,
        preferred: bool,
        copy: bool,
    ) -> bool:
        """Return whether an opening packet has to wait for its next copy.

        A client that sends a copy has waited longer than an answer in time
        takes, so that requests that can still be in time go first. First
        packets of a preferred route never wait. Others do when all servers
        are full: they would be refused there, or take a place from preferred
        work.

        :param preferred: whether the route goes before others of its service
        """
        if preferred and not copy:
            return False
        limit = FULL_PER_SLOT if preferred or not copy else CROWDED_PER_SLOT
        for known in servers:
            seen = self._observations.of(known.listing.name)
            if seen.waiting + seen.foreign < limit * known.listing.slots:
                return False
        return True

    def choose(
        self,
        now_ms: int,
        servers: Sequence[directory.Known],
        tried: Sequence[directory.Known],
    ) -> list[directory.Known]:
        """Return the servers to send to, the preferred one first.

        A server that was not heard lately is joined by another one. A silent
        one is tried beside them now and then.

        :param servers: candidates, not empty
        :param tried: servers that earlier copies were sent to
        """
        heard = []
        silent = []
        for known in servers:
            seen = self._observations.of(known.listing.name)
            avoid = seen.is_silent(now_ms) or self._reach.is_cut(
                now_ms, known.listing.failure_domain
            )
            (silent if avoid else heard).append(known)
        fresh = [known for known in heard if known not in tried]
        first = self._least_loaded(now_ms, fresh or heard or servers)
        chosen = [first]
        rest = [known for known in fresh if known is not first]
        seen = self._observations.of(first.listing.name)
        if rest and now_ms - seen.answered_ms > UNHEARD_MS:
            chosen.append(self._least_loaded(now_ms, rest))
        for known in silent:
            if known is first or known in tried:
                continue
            if self._observations.of(known.listing.name).try_again(now_ms):
                chosen.append(known)
                break
        return chosen

    def _least_loaded(
        self, now_ms: int, servers: Sequence[directory.Known]
    ) -> directory.Known:
        return self._chooser.choose(now_ms, servers, self._observations)
