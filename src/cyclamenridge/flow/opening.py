"""Opening of flows: decides what to do with each SYN."""

import collections
import random

from cyclamenridge.flow import admission as admission_lib
from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import effects
from cyclamenridge.flow import evidence as evidence_lib
from cyclamenridge.flow import flow_table
from cyclamenridge.flow import log as log_port
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import placement as placement_lib
from cyclamenridge.flow import reachability as reachability_lib
from cyclamenridge.flow import route_drops
from cyclamenridge.flow import routes as routes_lib
from cyclamenridge.flow import server_stats as stats_lib
from cyclamenridge.flow import tracking
from cyclamenridge.flow import waiting
from cyclamenridge.flow import warmup as warmup_lib

# Clients retransmit a SYN for the first time after this.
SYN_RETRANSMISSION_MS = 200
# SYNs that arrive sooner than this after one that was forwarded were read
# late: the server had no time to answer.
MIN_RETRANSMISSION_MS = 150


def forward_to(server: directory_lib.Server) -> effects.Forward:
    """Return the effect that sends a packet to a server."""
    entry = server.entry
    return effects.Forward(entry.address, entry.ident, server.token)


class FlowOpener:
    """Places new flows, lets them wait, or refuses them.

    :ivar routes: routes in force, None before the first configuration
    :ivar warmup: limits new flows to cold servers
    """

    def __init__(
        self,
        *,
        directory: directory_lib.Directory,
        server_stats: stats_lib.ServerStatsTable,
        reachability: reachability_lib.DomainReachability,
        admission: admission_lib.AdmissionControl,
        placement: placement_lib.Placement,
        evidence: evidence_lib.ServerEvidence,
        table: flow_table.FlowTable,
        drops: route_drops.RouteDrops,
        counters: collections.Counter[str],
        rng: random.Random,
        log: log_port.FlowLog,
    ) -> None:
        self.routes: routes_lib.RouteTable | None = None
        self._preferred_routes: frozenset[tuple[int, int]] = frozenset()
        self._directory = directory
        self._server_stats = server_stats
        self._reachability = reachability
        self._admission = admission
        self._placement = placement
        self._evidence = evidence
        self._table = table
        self._drops = drops
        self._counters = counters
        self._rng = rng
        self._log = log
        self.warmup = warmup_lib.WarmupLimiter(directory=directory, log=log)
        admission.can_place = self.warmup.can_place
        admission.syn_wait.rng = rng
        # Entries that report the warm-up after an evacuation may be late.
        directory.evacuations.on_withdrawn = self.warmup.assume_cold

    def set_routes(self, table: routes_lib.RouteTable) -> None:
        """Apply the routes of a configuration."""
        self.routes = table
        self._preferred_routes = table.preferred_keys()
        self.warmup.set_routes(table)

    def start_waiting(
        self, now_ms: int, item: waiting.Waiting
    ) -> effects.Effects:
        """Return what to do with a SYN that has waited for a slot.

        The configuration may have changed meanwhile.
        """
        packet = item.packets[0][0]
        rec = item.record
        rec.waiting = None
        assert self.routes is not None
        route = self.routes.find(packet.host, packet.port)
        if route is None:
            return effects.RESET if rec.is_unsent() else effects.DROP
        service = item.service
        if all(target.service != service for target in route.targets):
            service = route.pick_service(self._rng)
        return self.place_flow(now_ms, packet, rec, service)

    def expire_waiting(
        self, now_ms: int, item: waiting.Waiting
    ) -> effects.Effects:
        """Return what to do with a SYN that must not wait any longer."""
        if not self._admission.can_refuse(item.service):
            return self.start_waiting(now_ms, item)
        if item.is_surplus:
            self._counters["openings_surplus"] += 1
        rec = item.record
        rec.waiting = None
        return self.refuse_opening(
            now_ms, item.packets[0][0], rec, item.service
        )

    def handle_syn(
        self, now_ms: int, packet: packet_lib.Packet, datagram: bytes
    ) -> effects.Effects:
        """Return what to do with a SYN."""
        assert self.routes is not None
        route = self.routes.find(packet.host, packet.port)
        if route is None:
            return self._refuse_without_route(now_ms, packet)
        key = tracking.flow_key(packet)
        rec = self._table.records.get(key)
        if rec is None or rec.syn_seq != packet.seq:
            if rec is not None:
                self._table.end(now_ms, rec)
            rec = tracking.FlowRecord(now_ms, route)
            rec.syn_seq = packet.seq
            rec.saw_first_syn = self.is_first_syn(now_ms, packet)
            rec.next_seq = (packet.seq + 1) & 0xFFFFFFFF
            self._table.records[key] = rec
            self._counters["flows_opened"] += 1
        rec.last_packet_ms = now_ms
        if rec.server is not None:
            # The handshake is complete; this retransmission arrived late.
            self._counters["late_copies"] += 1
            return effects.DROP
        if (
            rec.tried_servers
            and now_ms - rec.pending_since_ms < MIN_RETRANSMISSION_MS
        ):
            # After a pause of this process, a SYN and its retransmissions are
            # read at once: the server had no time to answer.
            self._counters["late_copies"] += 1
            return effects.DROP
        if rec.is_refused:
            return effects.RESET if rec.is_unsent() else effects.DROP
        for server in rec.tried_servers:
            self._evidence.record_retransmission(now_ms, key, server)
        if rec.waiting is not None:
            self._counters["late_copies"] += 1
            return effects.DROP
        service = (
            rec.tried_servers[0].entry.service
            if rec.tried_servers
            else route.pick_service(self._rng)
        )
        if not rec.tried_servers:
            self._admission.window(service).record_flow(is_foreign=False)
        if not self._directory.ready_servers(service):
            return self._refuse_without_server(now_ms, packet, rec, service)
        if not self.warmup.can_place(now_ms, service):
            self._counters["openings_held_for_warmup"] += 1
            if rec.tried_servers:
                return effects.DROP
            return self._queue_syn(now_ms, packet, datagram, rec, service)
        if self._reachability.is_resuming(now_ms):
            # A retransmission waits too: its domain may be evacuated by now.
            return self._queue_syn(now_ms, packet, datagram, rec, service)
        if self._admission.can_start(
            now_ms, service, None, is_preferred=self.is_preferred(route)
        ):
            return self.place_flow(now_ms, packet, rec, service)
        if rec.tried_servers:
            if not self._admission.has_waiting(service):
                return self.place_flow(now_ms, packet, rec, service)
            # Another server is not worth a slot that a first SYN waits for.
            self._counters["openings_held"] += 1
            return effects.DROP
        return self._queue_syn(now_ms, packet, datagram, rec, service)

    def is_first_syn(self, now_ms: int, packet: packet_lib.Packet) -> bool:
        """Return whether a client has certainly sent no SYN before.

        Other balancers may have forwarded retransmissions of a SYN that is
        read late here.
        """
        return packet.ack == 0 and not self._reachability.may_read_late(now_ms)

    def _refuse_without_route(
        self, now_ms: int, packet: packet_lib.Packet
    ) -> effects.Effects:
        """Reset a SYN without a route.

        A retransmission is dropped: another balancer, which already knows the
        route, may have opened the flow.
        """
        assert self.routes is not None
        rec = self._table.records.get(tracking.flow_key(packet))
        is_dropped = (
            rec is not None
            and rec.syn_seq == packet.seq
            and self._drops.is_dropped(rec)
        )
        is_refused = is_dropped or self.is_first_syn(now_ms, packet)
        if is_refused:
            self._counters["flows_without_route"] += 1
        else:
            self._counters["retransmissions_without_route"] += 1
        self._log.flow_event(
            now_ms,
            "no_route",
            packet,
            config=self.routes.version,
            reset=is_refused,
        )
        return effects.RESET if is_refused else effects.DROP

    def _queue_syn(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        datagram: bytes,
        rec: tracking.FlowRecord,
        service: str,
    ) -> effects.Effects:
        assert rec.route is not None
        rec.waiting = self._admission.enqueue(
            now_ms,
            service=service,
            route=rec.route,
            record=rec,
            server=None,
            is_preferred=self.is_preferred(rec.route),
        )
        if rec.waiting is None:
            return self.refuse_opening(now_ms, packet, rec, service)
        rec.waiting.packets.append((packet, datagram))
        self._counters["openings_queued"] += 1
        return effects.DROP

    def is_preferred(self, route: routes_lib.Route) -> bool:
        """Return whether another route of its service ranks lower."""
        return (route.host, route.port) in self._preferred_routes

    def _refuse_without_server(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        service: str,
    ) -> effects.Effects:
        self._counters["flows_without_server"] += 1
        self._log.flow_event(
            now_ms,
            "no_server",
            packet,
            service=service,
            store_revision=self._directory.position.revision,
        )
        # Another balancer may have forwarded a retransmission meanwhile.
        if (
            not rec.is_unsent()
            or now_ms - rec.opened_ms >= SYN_RETRANSMISSION_MS
        ):
            return effects.DROP
        # A copy of this SYN must not open the flow after the reset.
        rec.is_refused = True
        return effects.RESET

    def refuse_opening(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        service: str,
    ) -> effects.Effects:
        """Reset a SYN that cannot be served in time.

        A SYN that another balancer may have forwarded goes to a server, since
        a reset could reach the client after the handshake. That is possible
        once the client has sent a retransmission.
        """
        if (
            not rec.is_unsent()
            or now_ms - rec.opened_ms >= SYN_RETRANSMISSION_MS
        ):
            if self._reachability.is_resuming(now_ms):
                # The queue is full. The changes made during the pause may
                # forbid every server that is known here.
                return effects.DROP
            return self.place_flow(now_ms, packet, rec, service)
        return self._reset_syn(now_ms, packet, rec, service)

    def _reset_syn(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        service: str,
    ) -> effects.Effects:
        self._counters["openings_refused"] += 1
        self._log.flow_event(
            now_ms,
            "opening_refused",
            packet,
            service=service,
            waited_ms=now_ms - rec.opened_ms,
            only_cold_servers=not self.warmup.can_place(now_ms, service),
        )
        # A copy of this SYN must not open the flow after the reset.
        rec.is_refused = True
        return effects.RESET

    def _refuse_for_warmup(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        service: str,
    ) -> effects.Effects:
        """Refuse a SYN while only cold servers without allowance are left.

        It is dropped if another balancer may have forwarded it: its client
        sends it again, or gives up.
        """
        self._counters["openings_held_for_warmup"] += 1
        if rec.is_unsent() and now_ms - rec.opened_ms < SYN_RETRANSMISSION_MS:
            return self._reset_syn(now_ms, packet, rec, service)
        return effects.DROP

    def place_flow(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        service: str,
    ) -> effects.Effects:
        """Send a SYN to the selected servers."""
        ready = self._directory.ready_servers(service)
        if not ready:
            return self._refuse_without_server(now_ms, packet, rec, service)
        self._placement.begin_slow_starts(now_ms, service, ready)
        sample = self._placement.sample_candidates(ready)
        servers = self.warmup.allowed(now_ms, sample)
        if not servers and len(sample) < len(ready):
            servers = self._placement.sample_candidates(
                self.warmup.allowed(now_ms, ready)
            )
        if not servers:
            return self._refuse_for_warmup(now_ms, packet, rec, service)
        chosen = self._placement.select_servers(
            now_ms, servers, rec.tried_servers
        )
        self._table.set_pending(now_ms, rec, chosen[0], is_syn=True)
        rec.is_admitted = True
        out: effects.Effects = ()
        for server in chosen:
            rec.tried_servers.append(server)
            self._server_stats.opened_by_domain[
                server.entry.failure_domain
            ] += 1
            self.warmup.record(now_ms, server)
            self._log.flow_opening(
                now_ms,
                packet,
                server,
                self._server_stats.for_server(server.entry.name),
                0 if self.routes is None else self.routes.version,
            )
            out += (forward_to(server),)
        return out
