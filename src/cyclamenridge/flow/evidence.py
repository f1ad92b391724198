"""Evidence for and against backend servers, from the packets of clients."""

from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import log as log_port
from cyclamenridge.flow import reachability as reachability_lib
from cyclamenridge.flow import server_stats as stats_lib
from cyclamenridge.flow import tracking


class ServerEvidence:
    """Records retransmissions and answers by server and failure domain."""

    def __init__(
        self,
        server_stats: stats_lib.ServerStatsTable,
        reachability: reachability_lib.DomainReachability,
        log: log_port.FlowLog,
    ) -> None:
        self._server_stats = server_stats
        self._reachability = reachability
        self._log = log

    def record_retransmission(
        self,
        now_ms: int,
        key: tracking.FlowKey,
        server: directory_lib.Server,
    ) -> None:
        """Record the retransmission of an unanswered packet."""
        name = server.entry.name
        self._reachability.record_retransmission(
            now_ms, server.entry.failure_domain, name
        )
        if self._server_stats.for_server(name).record_retransmission(
            now_ms, key
        ):
            self._log.server_event(now_ms, "server_silent", name)

    def record_loss(self, now_ms: int, server: directory_lib.Server) -> None:
        """Record the second retransmission of a packet on an open flow.

        A server that gets a packet and its retransmission acknowledges them
        at once. SYNs do not count: a server that is full ignores them.
        """
        self._reachability.record_loss(
            now_ms, server.entry.failure_domain, server.entry.name
        )

    def record_answer(self, now_ms: int, server: directory_lib.Server) -> None:
        """Record that a client acknowledged data of a server."""
        name = server.entry.name
        self._reachability.record_answer(now_ms, server.entry.failure_domain)
        if self._server_stats.for_server(name).record_answer(now_ms):
            self._log.server_event(now_ms, "server_heard", name)
