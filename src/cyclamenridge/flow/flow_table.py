"""Flows that this process tracks, and their pending requests."""

from cyclamenridge.flow import admission as admission_lib
from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import server_stats as stats_lib
from cyclamenridge.flow import service_window
from cyclamenridge.flow import tracking


class FlowTable:
    """Flow records; keeps load statistics and admission in step with them.

    :ivar records: flow records by key
    """

    def __init__(
        self,
        server_stats: stats_lib.ServerStatsTable,
        admission: admission_lib.AdmissionControl,
    ) -> None:
        self.records: dict[tracking.FlowKey, tracking.FlowRecord] = {}
        self._server_stats = server_stats
        self._admission = admission

    def set_pending(
        self,
        now_ms: int,
        rec: tracking.FlowRecord,
        server: directory_lib.Server,
        *,
        is_syn: bool = False,
    ) -> None:
        """Count a request or a SYN as pending at a server."""
        self.clear_pending(now_ms, rec)
        rec.pending_server = server
        rec.pending_since_ms = now_ms
        self._server_stats.for_server(server.entry.name).pending += 1
        rec.started = self._admission.window(
            server.entry.service
        ).record_start(
            now_ms,
            server=server.entry.name,
            is_syn=is_syn,
            aim_ms=1000 if rec.route is None else max(1, rec.route.aim_ms),
        )

    def clear_pending(
        self,
        now_ms: int,
        rec: tracking.FlowRecord,
        *,
        answer: service_window.Answer | None = None,
    ) -> None:
        """Count the pending request of a flow as ended.

        :param answer: what the server answered, None if it is not known
        """
        if rec.pending_server is None or rec.started is None:
            return
        entry = rec.pending_server.entry
        stats = self._server_stats.for_server(entry.name)
        stats.pending -= 1
        if answer is not None and not rec.started.is_syn:
            if answer.is_refusal:
                stats.record_refusal(now_ms)
            elif rec.route is not None:
                answer_ms = answer.elapsed_ms(now_ms - rec.started.started_ms)
                self._server_stats.record_answer_time(
                    now_ms,
                    entry.name,
                    route=rec.route.name,
                    answer_ms=answer_ms,
                )
                self._admission.work.record(rec.route.name, answer_ms)
        self._admission.window(entry.service).record_end(
            now_ms, rec.started, answer=answer
        )
        rec.pending_server = None
        rec.started = None

    def end(self, now_ms: int, rec: tracking.FlowRecord) -> None:
        """Take a flow out of the statistics."""
        self.clear_pending(now_ms, rec)
        if rec.waiting is not None:
            rec.waiting.is_cancelled = True
            rec.waiting = None
        if rec.server is not None:
            self._server_stats.for_server(
                rec.server.entry.name
            ).open_flows -= 1
            rec.server = None
