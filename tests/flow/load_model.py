"""Discrete-event model of clients, balancers and servers under load.

The balancers are real flow cores that exchange real beacons. Clients send the
packets of the platform's protocol: SYNs with two copies, one request for each
flow or many, and up to two more tries after a reset or a refusal.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from cyclamenridge.flow import effects
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import peers as peers_lib
from tests.flow import builders

CLIENT_DELAY_MS = 3
SERVER_DELAY_MS = 1
SYN_TIMES_MS = (0, 200, 600)
OPENING_TIMEOUT_MS = 1400
RETRANSMISSION_MS = 200
TICK_MS = 10
QUEUE_LENGTH = 8
MAX_TRIES = 3
CLIENTS = 300
ANSWER_BYTES = 2000
REFUSAL_BYTES = 146
PACKET_BYTES = 1200
# Clients acknowledge every second packet, and a single one after this time.
DELAYED_ACK_MS = 40


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of requests.

    :param port: port of its route in ``builders.CONFIG``
    :param per_s: requests a second
    :param keeps_flow: whether requests share long flows
    :param answer_bytes: size of an answer
    :param bursts: times of bursts, each with the factor on ``per_s``
    """

    name: str
    port: int
    per_s: float
    work_ms: float
    keeps_flow: bool
    answer_bytes: int = ANSWER_BYTES
    bursts: tuple[tuple[int, int, float], ...] = ()

    def rate_at(self, time_ms):
        """Return the requests a second at a time."""
        factor = 1.0
        for start_ms, end_ms, burst_factor in self.bursts:
            if start_ms <= time_ms < end_ms:
                factor *= burst_factor
        return self.per_s * factor


@dataclasses.dataclass
class Outcome:
    """What the callers of one kind got.

    :ivar refused: told at once, by a server or with resets
    :ivar unanswered: waited until the time budget was over
    :ivar refusal_ms: times until the last refusal
    """

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    unanswered: int = 0
    refusal_ms: list[int] = dataclasses.field(default_factory=list)


class _Server:
    """Backend server.

    :ivar refusing: part of the requests that it refuses without being full
    :ivar refused: requests that it refused
    """

    def __init__(self, model, entry, *, slowdown, refusing):
        self.model = model
        self.entry = entry
        self.slowdown = slowdown
        self.refusing = refusing
        self.queue = []
        self.busy = 0
        self.run = 0
        self.arrivals = 0
        self.refused = 0

    def arrive(self, flow):
        self.arrivals += 1
        if self.busy + len(self.queue) >= self.entry.slots + QUEUE_LENGTH or (
            self.refusing and self.model.rng.random() < self.refusing
        ):
            self.refused += 1
            self.model.after(
                SERVER_DELAY_MS + CLIENT_DELAY_MS, flow.on_refusal
            )
            return
        self.queue.append(flow)
        self.start_next()

    def start_next(self):
        while self.queue and self.busy < self.entry.slots:
            flow = self.queue.pop(0)
            self.busy += 1
            work_ms = flow.request.kind.work_ms * self.slowdown
            work_ms *= self.model.rng.uniform(0.5, 1.5)
            self.model.after(round(work_ms), lambda flow=flow: self.end(flow))

    def end(self, flow):
        self.busy -= 1
        self.run += 1
        self.model.after(SERVER_DELAY_MS + CLIENT_DELAY_MS, flow.on_answer)
        self.start_next()


class _Request:
    def __init__(self, model, kind):
        self.model = model
        self.kind = kind
        self.client = builders.CLIENT + model.rng.randrange(CLIENTS)
        self.domain = self.client % len(model.domains)
        self.route = builders.CONFIG.routes[builders.HOST, kind.port]
        self.asked_ms = model.now_ms
        self.tries = 0
        self.is_done = False
        model.outcomes[kind.name].asked += 1
        model.after(self.route.deadline_ms, self.on_deadline)

    def finish(self, field):
        self.is_done = True
        outcome = self.model.outcomes[self.kind.name]
        setattr(outcome, field, getattr(outcome, field) + 1)
        if field == "refused":
            outcome.refusal_ms.append(self.model.now_ms - self.asked_ms)

    def on_deadline(self):
        if not self.is_done:
            self.finish("unanswered")

    def send(self):
        self.tries += 1
        idle = self.model.idle_flows[self.kind.name, self.client]
        flow = idle.pop() if idle else _ClientFlow(self.model, self)
        flow.begin(self)

    def on_refused(self):
        if self.is_done:
            return
        if self.tries >= MAX_TRIES:
            self.finish("refused")
        else:
            self.send()


class _ClientFlow:
    """Client side of a flow; all its packets pass one balancer."""

    def __init__(self, model, request):
        self.model = model
        self.core = model.rng.choice(model.cores_by_domain[request.domain])
        self.client = request.client
        self.flow = builders.Flow(
            self.core,
            port=request.kind.port,
            client_port=next(model.ports),
        )
        self.server = None
        self.request = None
        self.is_sent = False
        self.is_dead = False

    def send(self, flags, *, seq=None, ack=None, length=0):
        flow = self.flow
        packet = packet_lib.Packet(
            self.client,
            flow.client_port,
            builders.HOST,
            flow.port,
            flags,
            flow.seq if seq is None else seq,
            flow.ack if ack is None else ack,
            length,
            flow.token,
        )
        self.model.flows[self.client, flow.client_port] = self
        self.model.after(
            CLIENT_DELAY_MS, lambda: self.model.deliver(self.core, packet)
        )

    def begin(self, request):
        self.request = request
        self.is_sent = False
        if self.server is not None:
            self.send_request(0)
            return
        for number, delay_ms in enumerate(SYN_TIMES_MS):
            self.model.after(delay_ms, lambda n=number: self.send_syn(n))

    def send_syn(self, number):
        if self.server is None and not self.is_dead:
            if self.request.is_done:
                self.is_dead = True
                return
            self.send(packet_lib.SYN, ack=number)

    def on_syn_ack(self, server):
        if self.server is not None or self.is_dead:
            return
        self.server = server
        self.flow.token = server.entry.ident
        self.flow.seq += 1
        self.flow.ack = 5000
        self.send(packet_lib.ACK)
        self.send_request(0)

    def send_request(self, repetition):
        request = self.request
        if request is None or request.is_done or self.is_dead:
            return
        if repetition and self.model.was_received(self):
            return
        self.send(packet_lib.ACK, length=200)
        self.model.after(
            RETRANSMISSION_MS * 2**repetition,
            lambda: (
                self.request is request and self.send_request(repetition + 1)
            ),
        )

    def on_server(self):
        if not self.is_sent and self.request is not None:
            self.is_sent = True
            self.server.arrive(self)

    def on_answer(self):
        request, self.request = self.request, None
        self.flow.seq += 200
        self.acknowledge(
            ANSWER_BYTES if request is None else request.kind.answer_bytes
        )
        if request is not None and not request.is_done:
            age_ms = self.model.now_ms - request.asked_ms
            is_timely = age_ms <= request.route.aim_ms
            request.finish("in_aim" if is_timely else "late")
        self.release(request)

    def on_refusal(self):
        request, self.request = self.request, None
        self.flow.seq += 200
        self.acknowledge(REFUSAL_BYTES)
        self.release(request)
        if request is not None:
            request.on_refused()

    def acknowledge(self, size):
        """Acknowledge an answer, late if it is a single packet."""
        self.flow.ack += size
        self.model.after(
            0 if size > PACKET_BYTES else DELAYED_ACK_MS,
            lambda: self.send(packet_lib.ACK),
        )

    def on_reset(self):
        assert self.server is None, "an open flow was reset"
        if not self.is_dead:
            self.is_dead = True
            self.request.on_refused()

    def release(self, request):
        if request is not None and request.kind.keeps_flow:
            self.model.idle_flows[request.kind.name, self.client].append(self)
        else:
            self.model.after(
                DELAYED_ACK_MS,
                lambda: self.send(packet_lib.FIN | packet_lib.ACK),
            )


class LoadModel:
    """Plays load on balancers and servers.

    Clients, balancers and servers are spread evenly over failure domains. The
    first servers are slow, or refuse a part of their requests.
    """

    def __init__(
        self,
        kinds,
        *,
        servers=7,
        balancers=5,
        domains=("bne",),
        slow=0,
        slowdown=1.0,
        refusing=0,
        refused_part=0.0,
        seed=1,
    ):
        self.domains = domains
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.kinds = kinds
        self.outcomes = {kind.name: Outcome() for kind in kinds}
        self.idle_flows = collections.defaultdict(list)
        self.flows = {}
        self.ports = itertools.count(1)
        self._events = []
        self._numbers = itertools.count()
        entries = [
            builders.server_entry(
                n + 1, failure_domain=domains[n % len(domains)]
            )
            for n in range(servers)
        ]
        self.servers = {
            entry.ident: _Server(
                self,
                entry,
                slowdown=slowdown if number < slow else 1.0,
                refusing=refused_part if number < refusing else 0.0,
            )
            for number, entry in enumerate(entries)
        }
        self.cores = [
            builders.make_core(
                *entries,
                seed=seed * 100 + number,
                failure_domain=domains[number % len(domains)],
            )
            for number in range(balancers)
        ]
        self.cores_by_domain = [
            self.cores[number :: len(domains)]
            for number in range(len(domains))
        ]
        self.peers = [
            peers_lib.Peers(
                core,
                name=f"b{number}",
                failure_domain=domains[number % len(domains)],
                host=f"10.0.0.{number}",
                seeds=(),
                lag_tolerance_ms=1000,
                rng=self.rng,
            )
            for number, core in enumerate(self.cores)
        ]

        self._peers_by_host = {
            f"10.0.0.{number}": peers
            for number, peers in enumerate(self.peers)
        }
        # The balancers know each other before the load begins.
        for _ in range(2):
            for host, sender in self._peers_by_host.items():
                sender.beacon_targets(self.now_ms)
                data = sender.encode_beacon()
                for peers in self.peers:
                    if peers is not sender:
                        peers.handle_beacon(self.now_ms, host, data)

    def after(self, delay_ms, action):
        heapq.heappush(
            self._events,
            (self.now_ms + delay_ms, next(self._numbers), action),
        )

    def run(self, duration_ms):
        """Play the load; return the requests that servers ran."""
        for kind in self.kinds:
            time_ms = 0.0
            while time_ms < duration_ms:
                time_ms += self.rng.expovariate(kind.rate_at(time_ms) / 1000)
                self.after(
                    round(time_ms),
                    lambda kind=kind: _Request(self, kind).send(),
                )
        for core in self.cores:
            self._every(TICK_MS, lambda core=core: self._release(core))
            self._every(500, lambda core=core: core.sweep(self.now_ms))
        for host, peers in self._peers_by_host.items():
            self._every(
                peers_lib.BEACON_INTERVAL_MS,
                lambda host=host, peers=peers: self._send_beacon(host, peers),
            )
        end_ms = duration_ms + 5000
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        return sum(server.run for server in self.servers.values())

    def refused_part(self):
        """Return the part of the arrivals that servers refused."""
        servers = self.servers.values()
        arrivals = sum(server.arrivals for server in servers)
        return sum(server.refused for server in servers) / max(1, arrivals)

    def imbalance(self):
        """Return highest over mean of the requests that servers ran."""
        runs = [server.run for server in self.servers.values()]
        return max(runs) * len(runs) / max(1, sum(runs))

    def _every(self, interval_ms, action):
        def repeat():
            action()
            self.after(interval_ms, repeat)

        self.after(self.rng.randrange(interval_ms), repeat)

    def _send_beacon(self, host, sender):
        targets = sender.beacon_targets(self.now_ms)
        data = sender.encode_beacon()
        for target in targets:
            self.after(
                SERVER_DELAY_MS,
                lambda target=target: self._peers_by_host[
                    target
                ].handle_beacon(self.now_ms, host, data),
            )

    def deliver(self, core, packet):
        self._carry_out(
            packet, core.handle_packet(self.now_ms, packet, b"data")
        )
        self._release(core)

    def _release(self, core):
        if core.admission.waiting_count:
            for item in core.release(self.now_ms):
                self._carry_out(item.packet, item.effects)

    def _carry_out(self, packet, out):
        flow = self.flows[packet.client, packet.client_port]
        for effect in out:
            if isinstance(effect, effects.Reset):
                self.after(CLIENT_DELAY_MS, flow.on_reset)
            elif isinstance(effect, effects.Forward):
                server = self.servers[effect.ident]
                if packet.flags & packet_lib.SYN:
                    self.after(
                        2 * SERVER_DELAY_MS + CLIENT_DELAY_MS,
                        lambda server=server: flow.on_syn_ack(server),
                    )
                elif packet.length:
                    self.after(SERVER_DELAY_MS, flow.on_server)

    def was_received(self, flow):
        """Return whether the server acknowledged the flow's request."""
        return flow.is_sent
