"""Decides where each packet of a client goes."""

import collections
import random

from cyclamenridge.flow import choice
from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import effects
from cyclamenridge.flow import latency
from cyclamenridge.flow import log as log_port
from cyclamenridge.flow import observed as observed_lib
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import placement
from cyclamenridge.flow import reach as reach_lib
from cyclamenridge.flow import routes as routes_lib
from cyclamenridge.flow import tracking

SYN = packet_lib.SYN
FIN = packet_lib.FIN
RST = packet_lib.RST

# A client gives up opening a flow after 1.4 s, and sends no copy of the
# opening packet after this one.
OPENING_MS = 1500
LAST_COPY = 2
SWEEP_MS = 500
# Clients repeat data after 200 ms without an acknowledgement; older data that
# comes sooner after newer data was overtaken on its way.
REPEAT_MS = 150
# A server that answered within this time is reached from here.
ALIVE_MS = 600


class FlowCore:
    """Routing of packets; time, randomness and logs are handed in."""

    def __init__(
        self,
        *,
        failure_domain: str,
        longest_flow_ms: int,
        chooser: choice.Chooser,
        rng: random.Random,
        log: log_port.FlowLog,
    ) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.latencies = {
            "handshake": latency.Latency(),
            "first_answer": latency.Latency(),
        }
        self.directory = directory_lib.Directory(longest_flow_ms)
        self.observations = observed_lib.Observations()
        self.reach = reach_lib.Reach(failure_domain)
        self.routes: routes_lib.RouteTable | None = None
        self._preferred: frozenset[tuple[int, int]] = frozenset()
        # When the store was heard last, on the monotonic clock.
        self.store_heard_ms = 0
        # Whether the last call to the store failed.
        self.store_lost = False
        self._placement = placement.Placement(
            chooser=chooser,
            observations=self.observations,
            reach=self.reach,
            rng=rng,
        )
        self._rng = rng
        self._log = log
        self._flows: dict[tracking.FlowKey, tracking.FlowRecord] = {}

    @property
    def flows(self) -> int:
        """Number of flows that this process keeps records of."""
        return len(self._flows)

    @property
    def serving(self) -> bool:
        """Return whether new flows can be placed."""
        return self.routes is not None and len(self.directory) > 0

    def configure(self, table: routes_lib.RouteTable) -> bool:
        """Put a configuration in force unless it is older."""
        if self.routes is not None and table.version <= self.routes.version:
            return False
        self.routes = table
        self._preferred = table.preferred()
        return True

    def packet(
        self, now_ms: int, packet: packet_lib.Packet
    ) -> effects.Effects:
        """Return what to do with a client's packet."""
        self.reach.running(now_ms)
        if packet.flags & SYN:
            return self._opening(now_ms, packet)
        return self._later(now_ms, packet)

    def _opening(
        self, now_ms: int, packet: packet_lib.Packet
    ) -> effects.Effects:
        if self.routes is None:
            self.counters["packets_before_configuration"] += 1
            return effects.DROP
        route = self.routes.find(packet.host, packet.port)
        if route is None:
            self.counters["flows_without_route"] += 1
            self._log.flow(
                now_ms, "no_route", packet, config=self.routes.version
            )
            return effects.RESET
        key = tracking.key_of(packet)
        rec = self._flows.get(key)
        if rec is None or rec.seq != packet.seq:
            if rec is not None:
                self._end(rec)
            rec = tracking.FlowRecord(now_ms, route)
            rec.seq = packet.seq
            rec.high = (packet.seq + 1) & 0xFFFFFFFF
            self._flows[key] = rec
            self.counters["flows_opened"] += 1
        rec.last_ms = now_ms
        if rec.server is not None:
            # The flow is open: the copy was overtaken by the handshake.
            self.counters["late_copies"] += 1
            return effects.DROP
        if rec.tried and now_ms - rec.waiting_ms < REPEAT_MS:
            # Read together after a pause: the server had no time to answer.
            self.counters["late_copies"] += 1
            return effects.DROP
        for known in rec.tried:
            self._repeated(now_ms, key, known)
        service = (
            rec.tried[0].listing.service
            if rec.tried
            else route.pick_service(self._rng)
        )
        servers = self._placement.consider(self.directory.ready_of(service))
        if not servers:
            self.counters["flows_without_server"] += 1
            self._log.flow(
                now_ms,
                "no_server",
                packet,
                service=service,
                store_revision=self.directory.revision,
            )
            return effects.RESET
        # A flow is offered to a server at least once.
        is_due = packet.ack >= LAST_COPY and not rec.tried
        if not is_due and self._placement.is_crowded(
            servers,
            preferred=(route.host, route.port) in self._preferred,
            copy=packet.ack > 0,
        ):
            self.counters["openings_held"] += 1
            self._log.flow(
                now_ms,
                "opening_held",
                packet,
                copy=packet.ack,
                servers=len(servers),
            )
            return effects.DROP
        return self._place(now_ms, packet, rec, servers)

    def _place(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        servers: list[directory_lib.Known],
    ) -> effects.Effects:
        chosen = self._placement.choose(now_ms, servers, rec.tried)
        self._wait(now_ms, rec, chosen[0].listing.name)
        out: effects.Effects = ()
        for known in chosen:
            rec.tried.append(known)
            self._log.opening(
                now_ms,
                packet,
                known,
                self.observations.of(known.listing.name),
                0 if self.routes is None else self.routes.version,
            )
            out += self._forward(known)
        return out

    def _repeated(
        self,
        now_ms: int,
        key: tracking.FlowKey,
        known: directory_lib.Known,
    ) -> None:
        """Note a packet that a server has not answered."""
        name = known.listing.name
        self.reach.repeated(now_ms, known.listing.failure_domain, name)
        if self.observations.of(name).repeated(now_ms, key):
            self._log.server(now_ms, "server_silent", name)

    def _answered(self, now_ms: int, known: directory_lib.Known) -> None:
        name = known.listing.name
        self.reach.answered(now_ms, known.listing.failure_domain)
        if self.observations.of(name).answered(now_ms):
            self._log.server(now_ms, "server_heard", name)

    def _later(
        self, now_ms: int, packet: packet_lib.Packet
    ) -> effects.Effects:
        known = self.directory.by_token(packet.token)
        if known is None:
            self.counters["tokens_unknown"] += 1
            self._log.flow(
                now_ms,
                "unknown_token",
                packet,
                token=packet.token,
                store_revision=self.directory.revision,
            )
            return effects.DROP
        if self.routes is not None and (
            self.routes.find(packet.host, packet.port) is None
        ):
            self.counters["route_dropped"] += 1
            self._log.flow(
                now_ms, "route_dropped", packet, config=self.routes.version
            )
            return effects.RESET
        rec = self._observe(now_ms, packet, known)
        if rec is not None and self._is_stuck(now_ms, packet, rec, known):
            self.counters["flows_given_up"] += 1
            seen = self.observations.of(known.listing.name)
            self._log.flow(
                now_ms,
                "flow_given_up",
                packet,
                server=known.listing.name,
                failure_domain=known.listing.failure_domain,
                answered_ms_ago=seen.answered_ms_ago(now_ms),
            )
            return effects.RESET
        return self._forward(known)

    def _is_stuck(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        known: directory_lib.Known,
    ) -> bool:
        """Return whether a reset lets the client go on sooner.

        Only requests that may run again are worth a reset: the client does
        not repeat others on a new flow. Only a cut of the server's failure
        domain is evidence enough; a single silent server may be alive behind
        a full link. Losses outside of the domain show such a link, or a cut
        of this machine.
        """
        if not packet.length or rec.route is None or not rec.route.idempotent:
            return False
        if not rec.silent:
            # What is believed may be old; this packet may be answered.
            return False
        domain = known.listing.failure_domain
        return (
            self.reach.is_cut(now_ms, domain)
            and self._others_answer(now_ms, known)
            and not any(
                other.listing.failure_domain != domain
                and self.observations.of(other.listing.name).has_losses(now_ms)
                for other in self.directory
            )
        )

    def _others_answer(self, now_ms: int, known: directory_lib.Known) -> bool:
        """Return whether another server of the service answered just now."""
        return any(
            now_ms - self.observations.of(other.listing.name).answered_ms
            < ALIVE_MS
            for other in self.directory.ready_of(known.listing.service)
            if other is not known
        )

    def _observe(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        known: directory_lib.Known,
    ) -> tracking.FlowRecord | None:
        """Learn from a packet what its server did; None when it ends."""
        key = tracking.key_of(packet)
        name = known.listing.name
        rec = self._flows.get(key)
        if rec is None:
            route = None
            if self.routes is not None:
                route = self.routes.find(packet.host, packet.port)
            rec = tracking.FlowRecord(now_ms, route)
            self._flows[key] = rec
        rec.last_ms = now_ms
        if rec.server is not None and rec.server is not known:
            self._change_server(rec, known)
        if rec.server is None:
            rec.server = known
            self.observations.of(name).flows += 1
            self._stop_waiting(rec)
            if rec.tried:
                # The client completes a handshake that began here.
                self.latencies["handshake"].record(now_ms - rec.opened_ms)
                self._answered(now_ms, known)
        if packet.flags & RST:
            self._end(rec)
            del self._flows[key]
            return None
        if rec.acked is None:
            rec.acked = packet.ack
        elif tracking.is_after(packet.ack, rec.acked):
            rec.acked = packet.ack
            rec.silent = 0
            self._answered(now_ms, known)
            if rec.waiting is not None:
                self.latencies["first_answer"].record(now_ms - rec.waiting_ms)
                self._stop_waiting(rec)
        if packet.length:
            self._observe_data(now_ms, key, packet, rec, known)
        if packet.flags & FIN:
            self._stop_waiting(rec)
        return rec

    def _change_server(
        self, rec: tracking.FlowRecord, known: directory_lib.Known
    ) -> None:
        """Take over the token of a flow when it names another server.

        A newer entry of the same server is no change for the flow.
        """
        assert rec.server is not None
        if rec.server.listing.name != known.listing.name:
            self.counters["flow_tokens_changed"] += 1
            self.observations.of(rec.server.listing.name).flows -= 1
            self.observations.of(known.listing.name).flows += 1
        rec.server = known

    def _observe_data(
        self,
        now_ms: int,
        key: tracking.FlowKey,
        packet: packet_lib.Packet,
        rec: tracking.FlowRecord,
        known: directory_lib.Known,
    ) -> None:
        end = (packet.seq + packet.length) & 0xFFFFFFFF
        if rec.high is None or tracking.is_after(end, rec.high):
            rec.high = end
            rec.high_ms = now_ms
            if rec.waiting is None:
                self._wait(now_ms, rec, known.listing.name)
            return
        if now_ms - rec.high_ms < REPEAT_MS:
            self.counters["packets_reordered"] += 1
            return
        rec.silent += 1
        self.counters["packets_repeated"] += 1
        self._repeated(now_ms, key, known)

    def _wait(self, now_ms: int, rec: tracking.FlowRecord, name: str) -> None:
        self._stop_waiting(rec)
        rec.waiting = name
        rec.waiting_ms = now_ms
        self.observations.of(name).waiting += 1

    def _stop_waiting(self, rec: tracking.FlowRecord) -> None:
        if rec.waiting is not None:
            self.observations.of(rec.waiting).waiting -= 1
            rec.waiting = None

    def _end(self, rec: tracking.FlowRecord) -> None:
        self._stop_waiting(rec)
        if rec.server is not None:
            self.observations.of(rec.server.listing.name).flows -= 1
            rec.server = None

    def sweep(self, now_ms: int) -> None:
        """Forget flows that have ended or gone idle."""
        self.reach.running(now_ms)
        idle_ms = 15_000 if self.routes is None else self.routes.idle_ms
        old = []
        for key, rec in self._flows.items():
            if rec.waiting is not None:
                limit = 5000 if rec.route is None else rec.route.deadline_ms
                if now_ms - rec.waiting_ms > limit:
                    self._stop_waiting(rec)
            longest = OPENING_MS if rec.server is None else idle_ms
            if now_ms - rec.last_ms > longest:
                old.append(key)
        for key in old:
            self._end(self._flows.pop(key))
        for name in self.directory.forget(now_ms):
            self.observations.forget(name)

    @staticmethod
    def _forward(known: directory_lib.Known) -> effects.Effects:
        listing = known.listing
        return (effects.Forward(listing.address, listing.ident, known.token),)
