"""What a process that forwards flows tells on its metrics address."""

import msgspec

from cyclamenridge.adapters import exposition
from cyclamenridge.adapters import http
from cyclamenridge.adapters import jsonlog
import cyclamenridge.clock as clock_lib
from cyclamenridge.flow import core as core_lib
from cyclamenridge.flow import peers as peers_lib


class Reports:
    """Pages for monitoring and for operators."""

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
        """Return the page of a path: /metrics or /dump."""
        if target == "/metrics":
            return http.Page(200, self._metrics(), exposition.CONTENT_TYPE)
        if target == "/dump":
            return http.Page(200, self._dump(), "application/json")
        return http.Page(404)

    def _metrics(self) -> bytes:
        core = self._core
        now_ms = self._clock.now_ms()
        routes = core.routes
        return exposition.render(
            counters={
                **core.counters,
                "log_lines_left_out": self._log.lines_left_out,
            },
            gauges={
                "flows": core.flows,
                "peers": len(self._peers),
                "servers": len(core.directory),
                "servers_silent": sum(
                    seen.is_silent(now_ms)
                    for _, seen in core.observations.items()
                ),
                "config_version": 0 if routes is None else routes.version,
                "store_revision": core.directory.revision,
                "store_age_seconds": (now_ms - core.store_heard_ms) / 1000,
            },
            latencies=core.latencies,
        )

    def _dump(self) -> bytes:
        core = self._core
        now_ms = self._clock.now_ms()
        routes = core.routes
        servers = {}
        for known in core.directory:
            listing = known.listing
            seen = core.observations.of(listing.name)
            servers[listing.name] = {
                "service": listing.service,
                "address": str(listing.address),
                "failure_domain": listing.failure_domain,
                "state": listing.state.value,
                "slots": listing.slots,
                "revision": known.revision,
                "removed_ms_ago": (
                    None
                    if known.removed_ms is None
                    else now_ms - known.removed_ms
                ),
                "waiting": seen.waiting,
                "waiting_elsewhere": seen.foreign,
                "flows": seen.flows,
                "answered_ms_ago": seen.answered_ms_ago(now_ms),
                "unanswered_flows": seen.unanswered,
                "silent": seen.is_silent(now_ms),
            }
        return msgspec.json.encode(
            {
                "config_version": 0 if routes is None else routes.version,
                "routes": 0 if routes is None else len(routes.routes),
                "store_revision": core.directory.revision,
                "store_heard_ms_ago": now_ms - core.store_heard_ms,
                "flows": core.flows,
                "peers": self._peers.names(),
                "servers": servers,
            }
        )
