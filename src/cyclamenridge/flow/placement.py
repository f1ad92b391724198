"""Placement of new flows: the backend servers that a SYN is sent to."""

from collections.abc import Sequence
import random

from cyclamenridge.flow import directory
from cyclamenridge.flow import reachability as reachability_lib
from cyclamenridge.flow import selection
from cyclamenridge.flow import server_stats as stats_lib

# Servers that are compared for a SYN. Comparing more would make the cost grow
# with the fleet and would rarely find a less loaded server.
MAX_CANDIDATES = 64
# A SYN also goes to a second server if the first has not answered anything
# for this long.
HEDGE_AFTER_MS = 400
# No server starts slowly if more than this part of the candidates would. Such
# a group has room for the flows that it gets, and the others lack its
# capacity: in a burst after the evacuation of a third, slow starts cost 1% of
# the answers in the target latency.
MAX_SLOW_STARTING_PART = 0.25


class Placement:
    """Selects servers by load, server health and reachability of domains."""

    def __init__(
        self,
        *,
        selector: selection.ServerSelector,
        server_stats: stats_lib.ServerStatsTable,
        reachability: reachability_lib.DomainReachability,
        rng: random.Random,
    ) -> None:
        self._selector = selector
        self._server_stats = server_stats
        self._reachability = reachability
        self._rng = rng
        # Servers that accept new flows, by service, as last seen. The
        # directory returns the same list until its servers change.
        self._ready: dict[str, list[directory.Server]] = {}
        self._slow_start_end_ms = 0

    def sample_candidates(
        self, ready: list[directory.Server]
    ) -> list[directory.Server]:
        """Return a random sample of at most ``MAX_CANDIDATES`` servers."""
        if len(ready) > MAX_CANDIDATES:
            return self._rng.sample(ready, MAX_CANDIDATES)
        return ready

    def begin_slow_starts(
        self, now_ms: int, service: str, ready: list[directory.Server]
    ) -> None:
        """Let servers that were away, or are new, start slowly.

        Each balancer sees them idle until beacons tell of their load. All
        balancers would place their flows there.

        :param ready: all servers of a service that accept new flows
        """
        previous = self._ready.get(service)
        if previous is ready:
            return
        self._ready[service] = ready
        if previous is None:
            return
        names = {server.entry.name for server in previous}
        for server in ready:
            if server.entry.name not in names:
                self._server_stats.for_server(
                    server.entry.name
                ).begin_slow_start(now_ms)
                self._slow_start_end_ms = now_ms + stats_lib.SLOW_START_MS

    def _without_slow_starts(
        self, now_ms: int, servers: Sequence[directory.Server]
    ) -> Sequence[directory.Server]:
        """Leave out servers in slow start for a part of the flows."""
        if now_ms >= self._slow_start_end_ms:
            return servers
        parts = [
            self._server_stats.for_server(server.entry.name).slow_start_part(
                now_ms
            )
            for server in servers
        ]
        starting = sum(part < 1 for part in parts)
        if starting > MAX_SLOW_STARTING_PART * len(servers):
            return servers
        return [
            server
            for server, part in zip(servers, parts, strict=True)
            if part >= 1 or self._rng.random() < part
        ]

    def select_servers(
        self,
        now_ms: int,
        servers: Sequence[directory.Server],
        tried: Sequence[directory.Server],
    ) -> list[directory.Server]:
        """Return the servers to send a SYN to, the selected one first.

        A second server hedges against a first one without a recent answer.
        From time to time a silent server is added as a probe.

        :param servers: candidates, not empty
        :param tried: servers that earlier transmissions were sent to
        """
        responsive = []
        avoided = []
        unreachable: dict[str, bool] = {}
        for server in servers:
            stats = self._server_stats.for_server(server.entry.name)
            domain = server.entry.failure_domain
            if domain not in unreachable:
                unreachable[domain] = self._reachability.is_unreachable(
                    now_ms, domain
                )
            is_avoided = unreachable[domain] or stats.is_silent(now_ms)
            (avoided if is_avoided else responsive).append(server)
        fresh: Sequence[directory.Server] = responsive
        if tried:
            fresh = [server for server in responsive if server not in tried]
        fresh = self._without_slow_starts(now_ms, fresh)
        first = self._least_loaded(now_ms, fresh or responsive or servers)
        selected = [first]
        stats = self._server_stats.for_server(first.entry.name)
        if now_ms - stats.last_answer_ms > HEDGE_AFTER_MS:
            alternatives = [server for server in fresh if server is not first]
            if alternatives:
                selected.append(self._least_loaded(now_ms, alternatives))
        for server in avoided:
            if server is first or server in tried:
                continue
            if self._server_stats.for_server(server.entry.name).claim_probe(
                now_ms
            ):
                selected.append(server)
                break
        return selected

    def _least_loaded(
        self, now_ms: int, servers: Sequence[directory.Server]
    ) -> directory.Server:
        return self._selector.select(now_ms, servers, self._server_stats)
