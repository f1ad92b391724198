"""Forwarding decision for each packet that a client sends."""

import collections
import random

from cyclamenridge.flow import admission as admission_lib
from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import effects
from cyclamenridge.flow import evidence
from cyclamenridge.flow import flow_resets
from cyclamenridge.flow import flow_table
from cyclamenridge.flow import latency
from cyclamenridge.flow import liveness
from cyclamenridge.flow import log as log_port
from cyclamenridge.flow import opening
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import placement
from cyclamenridge.flow import reachability as reachability_lib
from cyclamenridge.flow import refusals
from cyclamenridge.flow import route_drops
from cyclamenridge.flow import routes as routes_lib
from cyclamenridge.flow import selection
from cyclamenridge.flow import server_stats as stats_lib
from cyclamenridge.flow import service_window
from cyclamenridge.flow import tracking
from cyclamenridge.flow import waiting

SYN = packet_lib.SYN
FIN = packet_lib.FIN
RST = packet_lib.RST

# Clients give up opening a flow after 1.4 s.
OPENING_TIMEOUT_MS = 1500
SWEEP_INTERVAL_MS = 500
RELEASE_INTERVAL_MS = 10


class FlowCore:
    """Forwards the packets of flows.

    Does no I/O: callers pass in the time, the random generator and the log,
    and carry out the returned effects.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        longest_flow_ms: int,
        report_interval_ms: int,
        selector: selection.ServerSelector,
        rng: random.Random,
        log: log_port.FlowLog,
    ) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.latencies = {
            "handshake": latency.LatencyHistogram(),
            "first_answer": latency.LatencyHistogram(),
        }
        self.directory = directory_lib.Directory(
            longest_flow_ms,
            report_interval_ms=report_interval_ms,
            log_event=log.process_event,
        )
        self.server_stats = stats_lib.ServerStatsTable()
        self.reachability = reachability_lib.DomainReachability(failure_domain)
        self.routes: routes_lib.RouteTable | None = None
        self.admission = admission_lib.AdmissionControl(
            self.directory, self.server_stats
        )
        self._liveness = liveness.ServerLiveness(
            self.directory, self.server_stats
        )
        # Monotonic time of the last answer of the store.
        self.last_store_answer_ms = 0
        # Whether the last call to the store failed.
        self.store_lost = False
        self._log = log
        self._table = flow_table.FlowTable(self.server_stats, self.admission)
        self._refusals = refusals.RefusalDetector()
        self._drops = route_drops.RouteDrops()
        self._resets = flow_resets.FlowResets(
            directory=self.directory,
            server_stats=self.server_stats,
            reachability=self.reachability,
            liveness=self._liveness,
            table=self._table,
            counters=self.counters,
            log=log,
        )
        self._evidence = evidence.ServerEvidence(
            self.server_stats, self.reachability, log
        )
        self._opener = opening.FlowOpener(
            directory=self.directory,
            server_stats=self.server_stats,
            reachability=self.reachability,
            admission=self.admission,
            placement=placement.Placement(
                selector=selector,
                server_stats=self.server_stats,
                reachability=self.reachability,
                rng=rng,
            ),
            evidence=self._evidence,
            table=self._table,
            drops=self._drops,
            counters=self.counters,
            rng=rng,
            log=log,
        )
        self.warmup = self._opener.warmup

    @property
    def flow_count(self) -> int:
        """Number of flows that this process tracks."""
        return len(self._table.records)

    @property
    def can_place_flows(self) -> bool:
        """Return whether new flows can be placed."""
        return self.routes is not None and len(self.directory) > 0

    def configure(
        self, table: routes_lib.RouteTable, *, is_current: bool = True
    ) -> bool:
        """Apply a configuration; return False unless it is newer.

        The store may lose a version that was not confirmed to the operator,
        who then writes another one with the same number.

        :param is_current: whether the store returned it as the newest one; a
            peer or a stale read may be behind
        """
        if self.routes is not None and (table.version, table.epoch) <= (
            self.routes.version,
            self.routes.epoch,
        ):
            return False
        self.routes = table
        self._drops.record_configuration(is_current=is_current)
        self._opener.set_routes(table)
        return True

    def confirm_configuration(self, asked_ms: int) -> None:
        """Record that the store has none newer than the one in force.

        :param asked_ms: when the store was asked
        """
        if self.routes is not None:
            self._drops.record_confirmation(asked_ms)

    def record_store_answer(self, now_ms: int) -> bool:
        """Record an answer of the store; return whether it was lost before."""
        self.last_store_answer_ms = now_ms
        was_lost, self.store_lost = self.store_lost, False
        if was_lost:
            self._liveness.store_returned_ms = now_ms
            self.directory.restart_holds(now_ms)
        return was_lost

    def record_store_failure(self) -> bool:
        """Record a failed call; return whether it is the first in a row."""
        is_first, self.store_lost = not self.store_lost, True
        return is_first

    def handle_packet(
        self, now_ms: int, packet: packet_lib.Packet, datagram: bytes = b""
    ) -> effects.Effects:
        """Track a client's packet and return what to do with it.

        :param datagram: returned by ``release`` if the packet has to wait
        """
        self.reachability.record_activity(now_ms)
        if packet.flags & SYN:
            if self.routes is None:
                return self._refuse_without_routes(now_ms, packet)
            return self._opener.handle_syn(now_ms, packet, datagram)
        return self._handle_established(now_ms, packet, datagram)

    def _refuse_without_routes(
        self, now_ms: int, packet: packet_lib.Packet
    ) -> effects.Effects:
        """Reset a SYN while neither the store nor a peer answers.

        Another balancer may have forwarded a SYN that its client may have
        retransmitted.
        """
        self.counters["packets_before_configuration"] += 1
        if self.store_lost and self._opener.is_first_syn(now_ms, packet):
            return effects.RESET
        return effects.DROP

    def release(self, now_ms: int) -> list[effects.Release]:
        """Return the packets that have waited and what to do with them.

        To be called after each packet, and every ``RELEASE_INTERVAL_MS``,
        while ``admission.waiting_count`` is not 0.
        """
        released: list[effects.Release] = []
        self.reachability.record_activity(now_ms)
        if self.reachability.is_resuming(now_ms):
            return released
        for item in self.admission.pop_expired(now_ms):
            released += self._expire_waiting(now_ms, item)
        while (item := self.admission.pop(now_ms)) is not None:
            released += self._start_waiting(now_ms, item)
        return released

    def release_all(self, now_ms: int) -> list[effects.Release]:
        """Return all packets that wait, before the process ends."""
        released: list[effects.Release] = []
        for item in self.admission.pop_all():
            released += self._start_waiting(now_ms, item)
        return released

    def _start_waiting(
        self, now_ms: int, item: waiting.Waiting
    ) -> list[effects.Release]:
        if item.server is None:
            packet, datagram = item.packets[0]
            out = self._opener.start_waiting(now_ms, item)
            return [effects.Release(packet, datagram, out)]
        rec = item.record
        rec.waiting = None
        if now_ms - item.arrived_ms >= item.route.deadline_ms:
            # The client gave up while this process was paused.
            self.counters["requests_dropped"] += 1
            return []
        self._table.set_pending(now_ms, rec, item.server)
        rec.newest_data_ms = now_ms
        return [
            effects.Release(
                packet, datagram, (opening.forward_to(item.server),)
            )
            for packet, datagram in item.packets
        ]

    def _expire_waiting(
        self, now_ms: int, item: waiting.Waiting
    ) -> list[effects.Release]:
        if item.server is not None:
            self.counters["requests_expired"] += 1
            return self._start_waiting(now_ms, item)
        packet, datagram = item.packets[0]
        out = self._opener.expire_waiting(now_ms, item)
        return [effects.Release(packet, datagram, out)]

    def _handle_established(
        self, now_ms: int, packet: packet_lib.Packet, datagram: bytes
    ) -> effects.Effects:
        server = self.directory.by_token(packet.token)
        if server is None:
            self.counters["tokens_unknown"] += 1
            self._log.flow_event(
                now_ms,
                "unknown_token",
                packet,
                token=packet.token,
                store_revision=self.directory.position.revision,
            )
            return effects.DROP
        route = None
        if self.routes is not None:
            route = self.routes.find(packet.host, packet.port)
            if route is None and self._is_route_dropped(now_ms, packet):
                return effects.RESET
        rec = self._track_packet(now_ms, packet, server, route)
        if rec is not None and self._resets.should_reset(
            now_ms, packet, rec, server, store_lost=self.store_lost
        ):
            return self._resets.reset(now_ms, packet, rec, server)
        if (
            rec is not None
            and rec.waiting is not None
            and (packet.length or packet.flags & FIN)
        ):
            if not rec.is_repeated:
                rec.waiting.packets.append((packet, datagram))
            return effects.DROP
        return (opening.forward_to(server),)

    def _is_route_dropped(
        self, now_ms: int, packet: packet_lib.Packet
    ) -> bool:
        """Return whether the missing route of an open flow was dropped.

        Otherwise another balancer, which is ahead, has opened the flow. Its
        token is enough to forward its packets.
        """
        assert self.routes is not None
        rec = self._table.records.get(tracking.flow_key(packet))
        is_dropped = rec is not None and self._drops.is_dropped(rec)
        event = "route_dropped" if is_dropped else "route_unknown"
        if is_dropped or rec is None:
            self.counters[event] += 1
            self._log.flow_event(
                now_ms,
                event,
                packet,
                config=self.routes.version,
                tracked_ms=None if rec is None else now_ms - rec.opened_ms,
                had_route=rec is not None and rec.route is not None,
            )
        return is_dropped

    def _track_packet(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        server: directory_lib.Server,
        route: routes_lib.Route | None,
    ) -> tracking.FlowRecord | None:
        """Update the flow's record and the statistics of its server.

        Returns None when the packet ends the flow.
        """
        key = tracking.flow_key(packet)
        name = server.entry.name
        rec = self._table.records.get(key)
        if rec is None:
            rec = tracking.FlowRecord(now_ms, route)
            self._table.records[key] = rec
            self.admission.window(server.entry.service).record_flow(
                is_foreign=True
            )
        elif rec.route is None:
            rec.route = route
        rec.last_packet_ms = now_ms
        if rec.server is not None and rec.server is not server:
            self._change_server(rec, server)
        if rec.server is None:
            rec.server = server
            self.server_stats.for_server(name).open_flows += 1
            self._table.clear_pending(
                now_ms, rec, answer=service_window.Answer()
            )
            if rec.tried_servers:
                # This process forwarded the SYN of this handshake.
                self.latencies["handshake"].record(now_ms - rec.opened_ms)
                self._evidence.record_answer(now_ms, server)
        if packet.flags & RST:
            self._table.end(now_ms, rec)
            del self._table.records[key]
            return None
        if rec.acked is None:
            rec.acked = packet.ack
        elif tracking.is_seq_after(packet.ack, rec.acked):
            acked_bytes = (packet.ack - rec.acked) & 0xFFFFFFFF
            rec.acked = packet.ack
            rec.retransmissions = 0
            rec.retransmitted_seq = None
            self._evidence.record_answer(now_ms, server)
            if rec.pending_server is not None:
                self._end_request(now_ms, rec, acked_bytes)
        if packet.length:
            self._track_data(now_ms, key, packet, rec, server)
        if packet.flags & FIN:
            self._table.clear_pending(now_ms, rec)
        return rec

    def _end_request(
        self, now_ms: int, rec: tracking.FlowRecord, acked_bytes: int
    ) -> None:
        assert rec.pending_server is not None
        answer = service_window.Answer(
            is_refusal=rec.route is not None
            and self._refusals.record(rec.route.name, acked_bytes),
            is_single_packet=acked_bytes <= packet_lib.MAX_DATA_BYTES,
        )
        if answer.is_refusal:
            self.counters["refusals"] += 1
        else:
            self.latencies["first_answer"].record(
                now_ms - rec.pending_since_ms
            )
        self._table.clear_pending(now_ms, rec, answer=answer)

    def _change_server(
        self, rec: tracking.FlowRecord, server: directory_lib.Server
    ) -> None:
        """Move a flow to the server that its token now identifies.

        A newer entry of the same server only replaces the reference.
        """
        assert rec.server is not None
        if rec.server.entry.name != server.entry.name:
            self.counters["flow_tokens_changed"] += 1
            self.server_stats.for_server(rec.server.entry.name).open_flows -= 1
            self.server_stats.for_server(server.entry.name).open_flows += 1
        rec.server = server

    def _track_data(
        self,
        now_ms: int,
        key: tracking.FlowKey,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        server: directory_lib.Server,
    ) -> None:
        end = (packet.seq + packet.length) & 0xFFFFFFFF
        if rec.next_seq is None or tracking.is_seq_after(end, rec.next_seq):
            rec.next_seq = end
            rec.newest_data_ms = now_ms
            rec.is_repeated = False
            if rec.pending_server is None and rec.waiting is None:
                self._begin_request(now_ms, rec, server)
            return
        rec.is_repeated = True
        if rec.waiting is not None:
            self.counters["late_copies"] += 1
            return
        if now_ms - rec.newest_data_ms < tracking.MIN_RETRANSMISSION_MS:
            self.counters["packets_reordered"] += 1
            return
        rec.retransmissions += 1
        self.counters["packets_repeated"] += 1
        self._evidence.record_retransmission(now_ms, key, server)
        if rec.is_retransmitted_again(now_ms, packet.seq):
            self.counters["packets_lost"] += 1
            self._evidence.record_loss(now_ms, server)

    def _begin_request(
        self,
        now_ms: int,
        rec: tracking.FlowRecord,
        server: directory_lib.Server,
    ) -> None:
        """Count a new request as pending, or let it wait for a slot.

        The first request of a flow starts at once if its SYN had to wait.
        """
        is_admitted, rec.is_admitted = rec.is_admitted, False
        self.warmup.record_request(now_ms, server, rec, is_first=is_admitted)
        if (
            not is_admitted
            and rec.route is not None
            and self.directory.is_ready(server)
            and not self.admission.can_start(
                now_ms,
                server.entry.service,
                server,
                is_preferred=self._opener.is_preferred(rec.route),
            )
        ):
            rec.waiting = self.admission.enqueue(
                now_ms,
                service=server.entry.service,
                route=rec.route,
                record=rec,
                server=server,
                is_preferred=self._opener.is_preferred(rec.route),
            )
        if rec.waiting is None:
            self._table.set_pending(now_ms, rec, server)
        else:
            self.counters["requests_queued"] += 1

    def sweep(self, now_ms: int) -> list[effects.Release]:
        """Drop expired flows, overdue requests and servers removed long ago.

        To be called every ``SWEEP_INTERVAL_MS``. Returns resets of flows that
        wait for a server that is gone.
        """
        self.reachability.record_activity(now_ms)
        idle_ms = 15_000 if self.routes is None else self.routes.idle_ms
        expired = []
        for key, rec in self._table.records.items():
            if rec.pending_server is not None:
                deadline_ms = (
                    5000 if rec.route is None else rec.route.deadline_ms
                )
                if now_ms - rec.pending_since_ms > deadline_ms:
                    self._table.clear_pending(now_ms, rec)
            limit_ms = OPENING_TIMEOUT_MS if rec.server is None else idle_ms
            if now_ms - rec.last_packet_ms > limit_ms:
                expired.append(key)
        for key in expired:
            self._table.end(now_ms, self._table.records.pop(key))
        for name in self.directory.evict_removed(now_ms):
            self.server_stats.discard(name)
        return self._resets.reset_at_gone_servers(
            now_ms, store_lost=self.store_lost
        )
