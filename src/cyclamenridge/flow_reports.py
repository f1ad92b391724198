"""Metrics and state dump of a process that forwards flows."""

import msgspec

from cyclamenridge.adapters import exposition
from cyclamenridge.adapters import http
from cyclamenridge.adapters import jsonlog
import cyclamenridge.clock as clock_lib
from cyclamenridge.flow import core as core_lib
from cyclamenridge.flow import peers as peers_lib


class MonitoringPages:
    """HTTP pages for monitoring and operators."""

    def __init__(
        self,
        core: core_lib.FlowCore,
        peers: peers_lib.Peers,
        log: jsonlog.JsonLog,
        clock: clock_lib.Clock,
    ) -> None:
        self._core = core
        self._peers = peers
        self._log = log
        self._clock = clock

    def page(self, target: str) -> http.Page:
        """Return the page of a path; /metrics and /dump exist."""
        if target == "/metrics":
            return http.Page(200, self._metrics(), exposition.CONTENT_TYPE)
        if target == "/dump":
            return http.Page(200, self._dump(), "application/json")
        return http.Page(404)

    def _metrics(self) -> bytes:
        core = self._core
        now_ms = self._clock.now_ms()
        routes = core.routes
        evacuations = core.directory.evacuations
        return exposition.render(
            counters={
                **core.counters,
                "evacuation_changes": evacuations.changes,
                "log_lines_left_out": self._log.lines_left_out,
            },
            domain_counters={
                "flows_opened_by_domain": core.server_stats.opened_by_domain
            },
            gauges={
                "domains_evacuated": len(evacuations.domains()),
                "flows": core.flow_count,
                "peers": len(self._peers),
                "servers": len(core.directory),
                "servers_silent": sum(
                    stats.is_silent(now_ms)
                    for _, stats in core.server_stats.items()
                ),
                "config_version": 0 if routes is None else routes.version,
                "store_revision": core.directory.position.revision,
                "store_epoch": core.directory.position.epoch,
                "store_age_seconds": (now_ms - core.last_store_answer_ms)
                / 1000,
            },
            latencies=core.latencies,
        )

    def _dump(self) -> bytes:
        core = self._core
        now_ms = self._clock.now_ms()
        routes = core.routes
        servers = {}
        for server in core.directory:
            entry = server.entry
            stats = core.server_stats.for_server(entry.name)
            servers[entry.name] = {
                "service": entry.service,
                "address": str(entry.address),
                "failure_domain": entry.failure_domain,
                "state": entry.state.value,
                "accepts_flows": core.directory.is_ready(server),
                "slots": entry.slots,
                "epoch": server.position.epoch,
                "revision": server.position.revision,
                "removed_ms_ago": (
                    None
                    if server.removed_ms is None
                    else now_ms - server.removed_ms
                ),
                "waiting": stats.pending,
                "waiting_elsewhere": stats.peer_pending,
                "flows": stats.open_flows,
                "answered_ms_ago": stats.answered_ms_ago(now_ms),
                "unanswered_flows": stats.unanswered_flows,
                "silent": stats.is_silent(now_ms),
                "slowness": round(stats.slowness(now_ms), 2),
                "refused_part": round(stats.refused_part(now_ms), 3),
                "slow_start_part": round(stats.slow_start_part(now_ms), 2),
                "warmup": core.warmup.report(now_ms, server),
            }
        return msgspec.json.encode(
            {
                "config_version": 0 if routes is None else routes.version,
                "routes": 0 if routes is None else len(routes.routes),
                "store_epoch": core.directory.position.epoch,
                "store_revision": core.directory.position.revision,
                "store_heard_ms_ago": now_ms - core.last_store_answer_ms,
                "flows": core.flow_count,
                "peers": self._peers.names(),
                "evacuations": self._evacuations(now_ms),
                "servers": servers,
            }
        )

    def _evacuations(self, now_ms: int) -> dict[str, dict[str, object]]:
        """Return the orders, with what is left in each failure domain."""
        core = self._core
        section = core.directory.evacuations.dump(now_ms)
        for domain, fields in section.items():
            servers = [
                server
                for server in core.directory
                if server.entry.failure_domain == domain
            ]
            stats = [
                core.server_stats.for_server(server.entry.name)
                for server in servers
            ]
            fields["servers"] = len(servers)
            fields["flows"] = sum(item.open_flows for item in stats)
            fields["waiting"] = sum(item.pending for item in stats)
            fields["waiting_elsewhere"] = round(
                sum(item.peer_pending for item in stats), 1
            )
            fields["flows_opened"] = core.server_stats.opened_by_domain[domain]
        return section
