"""Random faults on a simulated deployment.

Used by the long random run and by the stateful test.
"""

import random

from cyclamenridge.node import events
from cyclamenridge.wire import token as token_lib
from tests.node import callers
from tests.node import deployment as deployment_lib

ServerRef = events.ServerRef
MAX_OPEN_REQUESTS = 30
# Shorter than the idle timeout of a feed, so that no partition makes the
# owner of a feed assume that its caller is gone.
MAX_PARTITION_MS = 20_000
FEED_RECOVERY_MS = 25_000


class Chaos:
    """Random steps; each leaves at least one node running."""

    def __init__(self, seed, *, nodes=4):
        network = random.Random(seed)
        self.deployment = deployment_lib.Deployment(
            seed,
            nodes=nodes,
            caller_count=3,
            loss=network.choice((0.0, 0.03, 0.15)),
            duplication=network.choice((0.0, 0.05, 0.3)),
            long_delay=network.choice((0.0, 0.03, 0.2)),
        )
        self.fleet = self.deployment.fleet
        self.oracle = self.deployment.oracle
        self.rng = self.fleet.rng
        self.heal_at_ms = 0
        self.resume_at_ms = {}
        self.servers = dict(deployment_lib.SERVERS)
        self.draining = set()

    # Callers

    def pick_session(self):
        caller = self.rng.choice(self.deployment.callers)
        usable = [s for s in caller.sessions if s.token and not s.lost]
        caller.sessions = [s for s in caller.sessions if not s.lost]
        if len(usable) < 2 or self.rng.random() < 0.05:
            caller.sessions = caller.sessions[-8:]
            caller.open(self.rng.choice(("counter", "album")))
        return caller, (self.rng.choice(usable) if usable else None)

    def send_request(self):
        caller, session = self.pick_session()
        if session is None or len(caller.requests) > MAX_OPEN_REQUESTS:
            return
        kinds = [
            name
            for name, (service, mode, _, _) in deployment_lib.KINDS.items()
            if service == session.service and mode != "feed"
        ]
        kind = self.rng.choice(kinds)
        size = self.rng.randint(1, 20_000) if kind == "dump" else 60
        caller.call(session, kind, size)

    def reuse_seq(self):
        caller, session = self.pick_session()
        if session is not None and session.next_seq > 1:
            seq = self.rng.randrange(1, session.next_seq)
            kind = "change" if session.service == "counter" else "edit"
            caller.call(session, kind, 60, seq=seq)

    def cancel(self):
        caller = self.rng.choice(self.deployment.callers)
        if caller.requests:
            caller.cancel(self.rng.choice(caller.requests))

    def subscribe(self):
        caller, session = self.pick_session()
        if session is not None and len(caller.feeds) < 6:
            kind = "door" if session.service == "counter" else "proof"
            caller.subscribe(session, kind)

    def send_packet(self):
        caller = self.rng.choice(self.deployment.callers)
        caller.send_packet(self.rng.choice(("counter", "album")))

    # Faults

    def running_nodes(self):
        return [
            n
            for n in self.fleet.nodes.values()
            if n.core is not None
            and n.paused_events is None
            and n.core.state != "leaving"
        ]

    def kill_node(self):
        running_nodes = self.running_nodes()
        if len(running_nodes) > 2:
            self.fleet.kill_node(self.rng.choice(running_nodes).name)

    def stop_node(self):
        running_nodes = self.running_nodes()
        if len(running_nodes) > 2:
            self.fleet.stop_node(self.rng.choice(running_nodes).name, 10_000)

    def start_node(self):
        for node in self.fleet.nodes.values():
            if node.core is None:
                self.fleet.start_node(node.name)
                return

    def pause_node(self):
        running_nodes = self.running_nodes()
        if len(running_nodes) > 2:
            node = self.rng.choice(running_nodes)
            self.fleet.pause_node(node.name)
            self.resume_at_ms[node.name] = (
                self.fleet.now_ms + self.rng.randint(300, 6000)
            )

    def partition(self):
        names = [*self.fleet.nodes]
        names += [ref.server for ref in self.servers]
        names += [str(c.address) for c in self.deployment.callers]
        if not self.heal_at_ms:
            self.heal_at_ms = self.fleet.now_ms + self.rng.randint(
                500, MAX_PARTITION_MS
            )
        for _ in range(self.rng.randint(1, 6)):
            first, second = self.rng.sample(names, 2)
            self.fleet.block(first, second)
            if self.rng.random() < 0.6:
                self.fleet.block(second, first)

    def heal(self):
        self.heal_at_ms = 0
        self.fleet.heal()

    def kill_server(self):
        running = [
            r for r, s in self.fleet.servers.items() if s.model is not None
        ]
        if len(running) > 3:
            self.fleet.kill_server(self.rng.choice(running))

    def start_server(self):
        for ref, address in self.servers.items():
            server = self.fleet.servers.get(ref)
            if server is None or server.model is None:
                self.fleet.start_server(ref.service, ref.server, address)
                return

    def drain_server(self):
        self.fleet.drain_server(self.rng.choice(list(self.servers)))

    def swap_addresses(self):
        """Restart two servers of different services at swapped addresses.

        The configuration is updated only later, as it is in practice.
        """
        counter = ServerRef("counter", self.rng.choice(("c0", "c1", "c2")))
        album = ServerRef("album", self.rng.choice(("a0", "a1")))
        for ref in (counter, album):
            self.fleet.kill_server(ref)
        first, second = self.servers[counter], self.servers[album]
        self.servers[counter], self.servers[album] = second, first
        for ref in (counter, album):
            self.fleet.start_server(ref.service, ref.server, self.servers[ref])

    def change_config(self):
        refs = list(self.servers)
        self.draining = {r for r in refs if self.rng.random() < 0.15}
        removed = {r for r in refs if self.rng.random() < 0.05}
        kept = {r: a for r, a in self.servers.items() if r not in removed}
        if {r.service for r in kept} == {"counter", "album"}:
            size = self.rng.choice((2, 3, 3, 5))
            self.fleet.write_config(
                deployment_lib.config_text(
                    kept, draining=self.draining, home_set_size=size
                )
            )

    def apply_invalid_config(self):
        self.fleet.write_config("deployment: [\n")

    def advance(self, duration_ms):
        """Advance the time, end faults that are due and check packets."""
        self.fleet.run_for(duration_ms)
        for name, until_ms in list(self.resume_at_ms.items()):
            if self.fleet.now_ms >= until_ms:
                del self.resume_at_ms[name]
                self.fleet.resume_node(name)
        if self.heal_at_ms and self.fleet.now_ms >= self.heal_at_ms:
            self.heal()
        for ref, server in self.fleet.servers.items():
            if server.model is not None:
                for packet in server.model.datagrams:
                    self.oracle.check_packet(ref.service, packet.payload)
                server.model.datagrams.clear()
        self.oracle.verify()

    # Method names and their weights in the long random run.
    STEPS = (
        ("send_request", 40),
        ("reuse_seq", 2),
        ("cancel", 3),
        ("subscribe", 4),
        ("send_packet", 4),
        ("kill_node", 0.4),
        ("stop_node", 0.5),
        ("start_node", 2),
        ("pause_node", 0.8),
        ("partition", 0.6),
        ("kill_server", 0.4),
        ("start_server", 2),
        ("drain_server", 0.2),
        ("swap_addresses", 0.1),
        ("change_config", 0.5),
        ("apply_invalid_config", 0.1),
    )

    def step(self):
        names = [name for name, _ in self.STEPS]
        weights = [weight for _, weight in self.STEPS]
        name = self.rng.choices(names, weights)[0]
        getattr(self, name)()
        self.advance(self.rng.randint(1, 120))

    def settle(self):
        """End all faults and check that feeds with a live server continue."""
        self.heal()
        self.fleet.loss = self.fleet.long_delay = self.fleet.duplication = 0.0
        for name in list(self.resume_at_ms):
            del self.resume_at_ms[name]
            self.fleet.resume_node(name)
        for node in self.fleet.nodes.values():
            if node.core is None:
                self.fleet.start_node(node.name)
        self.fleet.write_config(deployment_lib.config_text(self.servers))
        self.advance(FEED_RECOVERY_MS)
        checkpoints = {}
        for caller in self.deployment.callers:
            for feed in caller.feeds:
                if feed.token is not None:
                    ref = self.deployment.server_of_feed(feed)
                    checkpoints[feed] = (ref, feed.last_seq)
        self.advance(5000)
        for feed, (ref, last_seq) in checkpoints.items():
            if feed.lost:
                continue
            if ref is None:
                self.check_feed_without_flow(feed)
            elif feed.last_seq <= last_seq:
                self.oracle.violations.append(
                    f"feed {feed.ident} of {ref} gets no events "
                    f"after {last_seq}"
                )
        self.oracle.verify()

    def check_feed_without_flow(self, feed):
        """Check that no balancer detached an open feed from its server.

        Only the server that the caller's token names counts. A server that
        was tried before it and lost its link during the first attach is
        told to detach the flow that it may have created.
        """
        server_hash = callers.TOKEN_CODEC.decode(feed.token).server
        for ref, server in self.fleet.servers.items():
            model = server.model
            if (
                model is not None
                and feed.ident in model.detached
                and token_lib.name_hash(ref.server) == server_hash
            ):
                self.oracle.violations.append(
                    f"feed {feed.ident} was detached by a balancer"
                )
