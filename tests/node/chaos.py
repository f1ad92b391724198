"""Random faults for long runs; the state machine uses the same steps."""

import random

from cyclamenridge.node import events
from cyclamenridge.wire import token as token_lib
from tests.node import callers
from tests.node import world as world_lib

ServerRef = events.ServerRef
MAX_OPEN_REQUESTS = 30
# Shorter than the idle time of a feed, so that no cut makes its owner
# believe that the caller is gone.
MAX_CUT_MS = 20_000
FEED_LIMIT_MS = 25_000


class Chaos:
    """Steps on a world; each leaves at least one node alive."""

    def __init__(self, seed, *, nodes=4):
        network = random.Random(seed)
        self.world = world_lib.World(
            seed,
            nodes=nodes,
            callers_count=3,
            loss=network.choice((0.0, 0.03, 0.15)),
            copies=network.choice((0.0, 0.05, 0.3)),
            slow=network.choice((0.0, 0.03, 0.2)),
        )
        self.fleet = self.world.fleet
        self.oracle = self.world.oracle
        self.rng = self.fleet.rng
        self.cut_ms = 0
        self.paused_ms = {}
        self.servers = dict(world_lib.SERVERS)
        self.draining = set()

    # Callers

    def session(self):
        caller = self.rng.choice(self.world.callers)
        usable = [s for s in caller.sessions if s.token and not s.lost]
        caller.sessions = [s for s in caller.sessions if not s.lost]
        if len(usable) < 2 or self.rng.random() < 0.05:
            caller.sessions = caller.sessions[-8:]
            caller.open(self.rng.choice(("counter", "album")))
        return caller, (self.rng.choice(usable) if usable else None)

    def request(self):
        caller, session = self.session()
        if session is None or len(caller.requests) > MAX_OPEN_REQUESTS:
            return
        kinds = [
            name
            for name, (service, mode, _, _) in world_lib.KINDS.items()
            if service == session.service and mode != "feed"
        ]
        kind = self.rng.choice(kinds)
        size = self.rng.randint(1, 20_000) if kind == "dump" else 60
        caller.call(session, kind, size)

    def reuse_seq(self):
        caller, session = self.session()
        if session is not None and session.next_seq > 1:
            seq = self.rng.randrange(1, session.next_seq)
            kind = "change" if session.service == "counter" else "edit"
            caller.call(session, kind, 60, seq=seq)

    def cancel(self):
        caller = self.rng.choice(self.world.callers)
        if caller.requests:
            caller.cancel(self.rng.choice(caller.requests))

    def subscribe(self):
        caller, session = self.session()
        if session is not None and len(caller.feeds) < 6:
            kind = "door" if session.service == "counter" else "proof"
            caller.subscribe(session, kind)

    def packet(self):
        caller = self.rng.choice(self.world.callers)
        caller.packet(self.rng.choice(("counter", "album")))

    # Faults

    def live(self):
        return [
            n
            for n in self.fleet.nodes.values()
            if n.core is not None
            and n.paused is None
            and n.core.state != "leaving"
        ]

    def kill_node(self):
        live = self.live()
        if len(live) > 2:
            self.fleet.kill_node(self.rng.choice(live).name)

    def stop_node(self):
        live = self.live()
        if len(live) > 2:
            self.fleet.stop_node(self.rng.choice(live).name, 10_000)

    def start_node(self):
        for node in self.fleet.nodes.values():
            if node.core is None:
                self.fleet.start_node(node.name)
                return

    def pause_node(self):
        live = self.live()
        if len(live) > 2:
            node = self.rng.choice(live)
            self.fleet.pause_node(node.name)
            self.paused_ms[node.name] = self.fleet.now_ms + self.rng.randint(
                300, 6000
            )

    def cut(self):
        names = [*self.fleet.nodes]
        names += [ref.server for ref in self.servers]
        names += [str(c.address) for c in self.world.callers]
        if not self.cut_ms:
            self.cut_ms = self.fleet.now_ms + self.rng.randint(500, MAX_CUT_MS)
        for _ in range(self.rng.randint(1, 6)):
            one, other = self.rng.sample(names, 2)
            self.fleet.block(one, other)
            if self.rng.random() < 0.6:
                self.fleet.block(other, one)

    def heal(self):
        self.cut_ms = 0
        self.fleet.heal()

    def kill_server(self):
        up = [r for r, s in self.fleet.servers.items() if s.model is not None]
        if len(up) > 3:
            self.fleet.kill_server(self.rng.choice(up))

    def start_server(self):
        for ref, address in self.servers.items():
            server = self.fleet.servers.get(ref)
            if server is None or server.model is None:
                self.fleet.start_server(ref.service, ref.server, address)
                return

    def drain_server(self):
        self.fleet.drain_server(self.rng.choice(list(self.servers)))

    def swap_addresses(self):
        """Restart two servers of different services swapped.

        The configuration follows only later, as it does in practice.
        """
        one = ServerRef("counter", self.rng.choice(("c0", "c1", "c2")))
        other = ServerRef("album", self.rng.choice(("a0", "a1")))
        for ref in (one, other):
            self.fleet.kill_server(ref)
        first, second = self.servers[one], self.servers[other]
        self.servers[one], self.servers[other] = second, first
        for ref in (one, other):
            self.fleet.start_server(ref.service, ref.server, self.servers[ref])

    def configure(self):
        refs = list(self.servers)
        self.draining = {r for r in refs if self.rng.random() < 0.15}
        removed = {r for r in refs if self.rng.random() < 0.05}
        kept = {r: a for r, a in self.servers.items() if r not in removed}
        if {r.service for r in kept} == {"counter", "album"}:
            size = self.rng.choice((2, 3, 3, 5))
            self.fleet.apply(
                world_lib.body(
                    kept, draining=self.draining, home_set_size=size
                )
            )

    def bad_config(self):
        self.fleet.apply("deployment: [\n")

    def advance(self, duration_ms):
        """Let time pass and end faults that are due."""
        self.fleet.run(duration_ms)
        for name, until_ms in list(self.paused_ms.items()):
            if self.fleet.now_ms >= until_ms:
                del self.paused_ms[name]
                self.fleet.resume_node(name)
        if self.cut_ms and self.fleet.now_ms >= self.cut_ms:
            self.heal()
        for ref, server in self.fleet.servers.items():
            if server.model is not None:
                for packet in server.model.datagrams:
                    self.oracle.packet(ref.service, packet.payload)
                server.model.datagrams.clear()
        self.oracle.verify()

    STEPS = (
        ("request", 40),
        ("reuse_seq", 2),
        ("cancel", 3),
        ("subscribe", 4),
        ("packet", 4),
        ("kill_node", 0.4),
        ("stop_node", 0.5),
        ("start_node", 2),
        ("pause_node", 0.8),
        ("cut", 0.6),
        ("kill_server", 0.4),
        ("start_server", 2),
        ("drain_server", 0.2),
        ("swap_addresses", 0.1),
        ("configure", 0.5),
        ("bad_config", 0.1),
    )

    def step(self):
        names = [name for name, _ in self.STEPS]
        weights = [weight for _, weight in self.STEPS]
        name = self.rng.choices(names, weights)[0]
        getattr(self, name)()
        self.advance(self.rng.randint(1, 120))

    def settle(self):
        """Heal everything; each feed whose server lives must go on."""
        self.heal()
        self.fleet.loss = self.fleet.slow = self.fleet.copies = 0.0
        for name in list(self.paused_ms):
            del self.paused_ms[name]
            self.fleet.resume_node(name)
        for node in self.fleet.nodes.values():
            if node.core is None:
                self.fleet.start_node(node.name)
        self.fleet.apply(world_lib.body(self.servers))
        self.advance(FEED_LIMIT_MS)
        marks = {}
        for caller in self.world.callers:
            for feed in caller.feeds:
                if feed.token is not None:
                    ref = self.world.server_of(feed)
                    marks[feed] = (ref, feed.last_seq)
        self.advance(5000)
        for feed, (ref, last_seq) in marks.items():
            if feed.lost:
                continue
            if ref is None:
                self.feed_without_flow(feed)
            elif feed.last_seq <= last_seq:
                self.oracle.violations.append(
                    f"feed {feed.ident} of {ref} gets no events "
                    f"after {last_seq}"
                )
        self.oracle.verify()

    def feed_without_flow(self, feed):
        """A feed ends without its server's death only when it is closed.

        Only the server that the caller's token names counts: one that was
        tried before, when its link broke during the first attach, is told
        to drop what it may have created.
        """
        named = callers.CODEC.decode(feed.token).server
        for ref, server in self.fleet.servers.items():
            model = server.model
            if (
                model is not None
                and feed.ident in model.detached
                and token_lib.name_hash(ref.server) == named
            ):
                self.oracle.violations.append(
                    f"feed {feed.ident} was detached by a balancer"
                )
