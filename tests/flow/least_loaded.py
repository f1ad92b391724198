"""Baseline of the tests of selection: the least loaded of all servers."""

from cyclamenridge.flow import selection


class LeastLoadedSelector(selection.ServerSelector):
    """Compares all servers by the requests that are known to be pending."""

    def __init__(self, failure_domain, rng):
        self._failure_domain = failure_domain
        self._rng = rng

    def select(self, now_ms, candidates, server_stats):
        """Return the least loaded server; a random term breaks ties."""

        def cost(server):
            entry = server.entry
            stats = server_stats.for_server(entry.name)
            load = 1 + stats.pending + stats.peer_pending
            value = (
                load + selection.OPEN_FLOW_WEIGHT * stats.open_flows
            ) / entry.slots
            if now_ms < server.warmup_end_ms:
                value *= selection.WARMUP_COST_FACTOR
            if entry.failure_domain != self._failure_domain:
                value += selection.OTHER_DOMAIN_PENALTY
            return value + self._rng.random() * 0.1

        return min(candidates, key=cost)
