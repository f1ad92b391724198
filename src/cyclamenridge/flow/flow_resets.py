"""Resets of open flows whose requests cannot be answered any more."""

import collections

from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import effects
from cyclamenridge.flow import flow_table
from cyclamenridge.flow import liveness as liveness_lib
from cyclamenridge.flow import log as log_port
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import reachability as reachability_lib
from cyclamenridge.flow import server_stats as stats_lib
from cyclamenridge.flow import tracking


class FlowResets:
    """Decides which open flows are reset, and takes them out of the load."""

    def __init__(
        self,
        *,
        directory: directory_lib.Directory,
        server_stats: stats_lib.ServerStatsTable,
        reachability: reachability_lib.DomainReachability,
        liveness: liveness_lib.ServerLiveness,
        table: flow_table.FlowTable,
        counters: collections.Counter[str],
        log: log_port.FlowLog,
    ) -> None:
        self._directory = directory
        self._server_stats = server_stats
        self._reachability = reachability
        self._liveness = liveness
        self._table = table
        self._counters = counters
        self._log = log

    def should_reset(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        server: directory_lib.Server,
        *,
        store_lost: bool,
    ) -> bool:
        """Return whether a packet of an open flow is answered with a reset.

        :param store_lost: whether the last call to the store failed
        """
        return self._is_at_gone_server(
            now_ms, packet, rec, server, store_lost=store_lost
        ) or self._is_in_unreachable_domain(now_ms, packet, rec, server)

    def reset(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        server: directory_lib.Server,
    ) -> effects.Effects:
        """Count and log a reset, and return it."""
        self._counters["flows_given_up"] += 1
        stats = self._server_stats.for_server(server.entry.name)
        self._log.flow_event(
            now_ms,
            "flow_given_up",
            packet,
            server=server.entry.name,
            failure_domain=server.entry.failure_domain,
            answered_ms_ago=stats.answered_ms_ago(now_ms),
            removed=server.removed_ms is not None,
        )
        self._table.clear_pending(now_ms, rec)
        return effects.RESET

    def _is_at_gone_server(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        server: directory_lib.Server,
        *,
        store_lost: bool,
    ) -> bool:
        """Return whether a request waits for a server that is gone.

        Its client learns of the failure now and not at its deadline. A
        request that must not run twice is not repeated by its client.
        """
        return packet.length > 0 and self._liveness.is_gone(
            now_ms,
            server,
            store_lost=store_lost,
            retransmissions=rec.retransmissions,
        )

    def _is_in_unreachable_domain(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        server: directory_lib.Server,
    ) -> bool:
        """Return whether a reset lets the client recover sooner.

        Only idempotent requests gain from a reset: the client does not repeat
        others on a new flow. The server's whole failure domain has to be
        unreachable, because a single unresponsive server may be alive behind
        a saturated link. Recent losses in other domains point to such a link,
        or to a network fault of this machine, so they rule out a reset.
        """
        if not packet.length or rec.route is None or not rec.route.idempotent:
            return False
        if not rec.retransmissions:
            # The reachability state may be stale; this packet may be answered.
            return False
        domain = server.entry.failure_domain
        return (
            self._reachability.is_cut_off(now_ms, domain)
            and self._has_other_responsive_server(now_ms, server)
            and not any(
                other.entry.failure_domain != domain
                and self._server_stats.for_server(
                    other.entry.name
                ).has_recent_losses(now_ms)
                for other in self._directory
            )
        )

    def _has_other_responsive_server(
        self, now_ms: int, server: directory_lib.Server
    ) -> bool:
        """Return whether another server of the service answered recently."""
        return any(
            now_ms
            - self._server_stats.for_server(other.entry.name).last_answer_ms
            < liveness_lib.RECENT_ANSWER_MS
            for other in self._directory.ready_servers(server.entry.service)
            if other is not server
        )

    def reset_at_gone_servers(
        self, now_ms: int, *, store_lost: bool
    ) -> list[effects.Release]:
        """Reset the pending flows whose next retransmission may be far off."""
        resets = []
        for key, rec in list(self._table.records.items()):
            server = rec.pending_server
            if (
                server is None
                or server is not rec.server
                or server.removed_ms is None
                or not self._liveness.is_gone(
                    now_ms,
                    server,
                    store_lost=store_lost,
                    retransmissions=rec.retransmissions,
                )
            ):
                continue
            client, client_port, host, port = key
            packet = packet_lib.Packet(
                client,
                client_port,
                host,
                port,
                packet_lib.ACK,
                rec.next_seq or 0,
                rec.acked or 0,
                0,
                server.token,
            )
            out = self.reset(now_ms, packet, rec, server)
            resets.append(effects.Release(packet, b"", out))
        return resets
