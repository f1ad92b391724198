"""Fleet of node cores on an in-memory network, driven by hand."""

import collections
import hashlib
import heapq
import itertools
import random

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge.config import document as document_lib
from cyclamenridge.node import core as core_lib
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.routing import homes
from cyclamenridge.wire import backend
from cyclamenridge.wire import rpc
from tests.standins import server_model

Address = address_lib.Address
ServerRef = events.ServerRef
KEYS = (b"test key",)
TICK_MS = 50


class Conn:
    """One TCP connection; both directions keep their order."""

    def __init__(self, ident, node, effect, server):
        self.ident = ident
        self.node = node
        self.core = node.core
        self.ref = effect.server
        self.link_id = effect.link_id
        self.server = server
        self.incarnation = server.model.incarnation
        self.open = True  # as the node sees it
        self.last_ms = {"up": 0, "down": 0}
        self.held = {"up": [], "down": []}


class Node:
    def __init__(self, name, index):
        self.name = name
        self.peer = Address(f"127.0.0.{index}", 7000)
        self.incarnation = 0
        self.core = None
        self.paused = None
        self.watching = False
        self.exit_code = None


class Server:
    def __init__(self, service, name, address):
        self.service = service
        self.name = name
        self.address = address
        self.model = None
        self.incarnation = 0


class Fleet:
    """Nodes, servers, store and network.

    :param loss: probability that a datagram is lost
    :param copies: probability that a datagram arrives twice
    """

    def __init__(
        self,
        seed,
        *,
        nodes=3,
        loss=0.0,
        copies=0.0,
        slow=0.0,
        event_interval_ms=700,
        one_domain=False,
        work_ms=40,
    ):
        self.rng = random.Random(seed)
        self.now_ms = 1000
        self.loss = loss
        self.copies = copies
        self.slow = slow
        self.one_domain = one_domain
        self.nodes = {}
        self.servers = {}
        self.callers = {}
        self.records = []
        self.blocked = set()
        self.document = None
        self.mod_revision = 0
        self.leaving = set()
        self._due = []
        self._order = itertools.count()
        self._conns = {}
        self._profile = server_model.Profile(
            slots=2,
            default_ms=work_ms,
            event_interval_ms=event_interval_ms,
            queue_limit=1,
        )
        for index in range(nodes):
            node = Node(f"n{index}", 10 + index)
            self.nodes[node.name] = node
        self.totals = collections.Counter()

    # Time

    def at(self, delay_ms, action, *args):
        heapq.heappush(
            self._due,
            (self.now_ms + delay_ms, next(self._order), action, args),
        )

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self._due and self._due[0][0] <= end_ms:
            due_ms, _, action, args = heapq.heappop(self._due)
            self.now_ms = max(self.now_ms, due_ms)
            action(*args)
        self.now_ms = end_ms

    def until(self, condition, limit_ms=10_000):
        end_ms = self.now_ms + limit_ms
        while not condition():
            assert self.now_ms < end_ms, "condition not met in time"
            self.run(10)

    # Nodes

    def start_node(self, name):
        node = self.nodes[name]
        node.incarnation += 1
        node.exit_code = None
        node.paused = None
        me = homes.Balancer(
            name, self.domain(node), node.peer, node.incarnation
        )
        seeds = tuple(n.peer for n in self.nodes.values() if n is not node)
        node.core = core_lib.NodeCore(
            me,
            keys=KEYS,
            seeds=seeds,
            rng=random.Random(self.rng.getrandbits(64)),
        )
        self._execute(node, node.core.start(self.now_ms))
        self.at(self.rng.randint(0, TICK_MS), self._tick, node, node.core)
        self.at(50, self._list, node, node.core)

    def kill_node(self, name):
        node = self.nodes[name]
        if node.core is None:
            return
        self.totals.update(node.core.counters)
        node.core = None
        node.paused = None
        node.watching = False
        for conn in list(self._conns.values()):
            if conn.node is node:
                self._close(conn)

    def pause_node(self, name):
        node = self.nodes[name]
        if node.core is not None and node.paused is None:
            node.paused = []

    def resume_node(self, name):
        node = self.nodes[name]
        waiting, node.paused = node.paused or [], None
        for event in waiting:
            self.feed(node, node.core, event)

    def feed(self, node, core, event):
        if node.core is not core or core is None:
            return
        if node.paused is not None:
            node.paused.append(event)
            return
        self._execute(node, core.handle(self.now_ms, event))

    def stop_node(self, name, within_ms=30_000):
        node = self.nodes[name]
        if node.core is not None and node.paused is None:
            event = events.StopRequested(self.now_ms + within_ms)
            self.feed(node, node.core, event)

    def _tick(self, node, core):
        if node.core is core:
            if node.paused is None:
                self.feed(node, core, events.Tick())
            self.at(TICK_MS, self._tick, node, core)

    def _list(self, node, core):
        if node.core is core:
            if node.watching:
                listed = events.InstancesListed(self._instances())
                self.feed(node, core, listed)
            self.at(1000, self._list, node, core)

    def domain(self, node):
        return "d10" if self.one_domain else f"d{node.peer.host[-2:]}"

    def _instances(self):
        listed = [
            events.ListedInstance(n.name, "balancer", n.peer, self.domain(n))
            for n in self.nodes.values()
            if n.core is not None
        ]
        for ref, server in self.servers.items():
            if server.model is not None:
                state = (
                    events.InstanceState.LEAVING
                    if ref in self.leaving
                    else events.InstanceState.LIVE
                )
                listed.append(
                    events.ListedInstance(
                        ref.server, ref.service, server.address, "d0", state
                    )
                )
        return tuple(listed)

    def _execute(self, node, out):
        for effect in out:
            match effect:
                case effects.SendCaller(dest, data):
                    self.send(node.name, str(dest), data, self._to_caller)
                case effects.SendPeer(dest, data):
                    self.send(
                        node.name, dest.host, data, self._to_peer, node.peer
                    )
                case effects.OpenLink():
                    self._open(node, effect)
                case effects.SendLink(server, link_id, data):
                    conn = self._conn(node, server, link_id)
                    if conn is not None:
                        self._tcp(conn, "up", data)
                case effects.CloseLink(server, link_id):
                    conn = self._conn(node, server, link_id)
                    if conn is not None:
                        self._close(conn)
                case effects.ReadStore():
                    self.at(5, self._store_answer, node, node.core)
                case effects.WatchStore(active):
                    node.watching = active
                    if active:
                        self.at(5, self._store_answer, node, node.core)
                case effects.WriteStore(document, mod_revision):
                    if mod_revision == self.mod_revision:
                        self._store(document)
                case effects.Stopped(exit_code):
                    node.exit_code = exit_code
                    self.at(0, self.kill_node, node.name)
                case effects.StateChanged():
                    pass

    # Store

    def apply(self, body):
        revision = self.document.revision + 1 if self.document else 1
        self._store(
            document_lib.Document(
                revision=revision,
                digest=_digest(body),
                apply_id=f"apply-{revision}",
                history=(),
                body=body,
            )
        )

    def _store(self, document):
        self.document = document
        self.mod_revision += 1
        for node in self.nodes.values():
            if node.core is not None and node.watching:
                self.at(5, self._store_answer, node, node.core)

    def _store_answer(self, node, core):
        read = events.StoreRead(self.document, self.mod_revision)
        self.feed(node, core, read)

    # Servers

    def start_server(self, service, name, address):
        ref = ServerRef(service, name)
        known = self.servers.get(ref)
        server = known or Server(service, name, Address.parse(address))
        server.address = Address.parse(address)
        server.incarnation += 1
        server.model = server_model.ServerModel(
            service,
            name,
            incarnation=server.incarnation,
            profile=self._profile,
            rng=random.Random(self.rng.getrandbits(64)),
            started_ms=self.now_ms,
        )
        server.model.records = self.records
        self.servers[ref] = server
        self.leaving.discard(ref)
        self.at(10, self._tick_server, server, server.model)

    def kill_server(self, ref):
        server = self.servers[ref]
        if server.model is None:
            return
        server.model.crash(self.now_ms)
        server.model = None
        for conn in list(self._conns.values()):
            if conn.server is server:
                self._reset(conn)

    def reset_links(self, ref):
        """Break all connections of a server; what they held is lost."""
        server = self.servers[ref]
        for conn in list(self._conns.values()):
            if conn.server is server:
                server.model.disconnected(self.now_ms, conn.ident)
                conn.held["up"].clear()
                self._reset(conn)

    def drain_server(self, ref):
        server = self.servers[ref]
        if server.model is not None:
            self._outgoing(server.model.drain(self.now_ms))

    def emit(self, ref, flow_id):
        """Produce one event of a flow."""
        self._outgoing(self.servers[ref].model.emit(flow_id))

    def _tick_server(self, server, model):
        if server.model is model:
            self._outgoing(model.tick(self.now_ms))
            self.at(10, self._tick_server, server, model)

    # Network

    def is_blocked(self, one, other):
        return (one, other) in self.blocked

    def block(self, one, other):
        self.blocked.add((one, other))

    def heal(self):
        self.blocked.clear()
        for conn in list(self._conns.values()):
            for direction in ("up", "down"):
                held, conn.held[direction] = conn.held[direction], []
                for data in held:
                    self._tcp(conn, direction, data)

    def delay(self):
        if self.rng.random() < self.slow:
            return self.rng.randint(50, 3000)
        return self.rng.randint(1, 8)

    def send(self, source, dest, data, deliver, *args):
        """Send a datagram; ``dest`` is a host or a caller's address."""
        if self.is_blocked(source, self._name(dest)):
            return
        for _ in range(1 + (self.rng.random() < self.copies)):
            if self.rng.random() >= self.loss:
                self.at(self.delay(), deliver, dest, data, *args)

    def from_caller(self, caller, data, node_name):
        if self.is_blocked(str(caller), node_name):
            return
        for _ in range(1 + (self.rng.random() < self.copies)):
            if self.rng.random() >= self.loss:
                event = events.CallerDatagram(caller, data)
                self.at(self.delay(), self._to_node, node_name, event)

    def _to_node(self, name, event):
        node = self.nodes[name]
        self.feed(node, node.core, event)

    def _to_peer(self, host, data, source):
        for node in self.nodes.values():
            if node.peer.host == host:
                event = events.PeerDatagram(source, data)
                self.feed(node, node.core, event)

    def _to_caller(self, dest, data):
        caller = self.callers.get(dest)
        if caller is not None:
            caller.receive(data)

    def _name(self, host):
        for node in self.nodes.values():
            if node.peer.host == host:
                return node.name
        return host

    # Connections

    def _conn(self, node, server, link_id):
        for conn in self._conns.values():
            if (
                conn.open
                and conn.core is node.core
                and conn.ref == server
                and conn.link_id == link_id
            ):
                return conn
        return None

    def _open(self, node, effect):
        def connect(core):
            if node.core is not core:
                return
            server = next(
                (
                    s
                    for s in self.servers.values()
                    if s.model is not None and s.address == effect.address
                ),
                None,
            )
            if server is None or self.is_blocked(node.name, server.name):
                down = events.LinkDown(
                    effect.server, effect.link_id, "refused"
                )
                self.feed(node, core, down)
                return
            conn = Conn(next(self._order), node, effect, server)
            self._conns[conn.ident] = conn
            server.model.connected(self.now_ms, conn.ident)
            ref = effect.server
            hello = backend.Hello(ref.service, ref.server, node.name)
            self._tcp(conn, "up", rpc.request(0, "hello", hello))

        self.at(self.rng.randint(1, 5), connect, node.core)

    def _tcp(self, conn, direction, data):
        ends = (conn.node.name, conn.server.name)
        if self.is_blocked(*(ends if direction == "up" else ends[::-1])):
            conn.held[direction].append(data)
            return
        due_ms = max(
            conn.last_ms[direction], self.now_ms + self.rng.randint(1, 6)
        )
        conn.last_ms[direction] = due_ms
        action = self._at_server if direction == "up" else self._at_node
        self.at(due_ms - self.now_ms, action, conn, data)

    def _at_server(self, conn, data):
        model = conn.server.model
        if model is None or model.incarnation != conn.incarnation:
            if not conn.open:
                self._conns.pop(conn.ident, None)
            return
        if data is None:
            model.disconnected(self.now_ms, conn.ident)
            self._conns.pop(conn.ident, None)
        elif conn.ident in model.connections:
            message = rpc.decode(data)
            self._outgoing(model.message(self.now_ms, conn.ident, message))

    def _at_node(self, conn, data):
        if not conn.open:
            return
        if data is None:
            conn.open = False
            self._conns.pop(conn.ident, None)
            down = events.LinkDown(conn.ref, conn.link_id, "closed")
            self.feed(conn.node, conn.core, down)
            return
        message = rpc.decode(data)
        if isinstance(message, rpc.Response) and message.msgid == 0:
            identity = _decode(message.result)
            event = events.LinkUp(conn.ref, conn.link_id, identity)
        else:
            event = events.LinkMessage(conn.ref, conn.link_id, message)
        self.feed(conn.node, conn.core, event)

    def _outgoing(self, messages):
        for message in messages:
            conn = self._conns.get(message.conn)
            if conn is not None:
                self._tcp(conn, "down", message.data)

    def _close(self, conn):
        """The node closes; what it sent before may still arrive."""
        conn.open = False
        self._tcp(conn, "up", None)

    def _reset(self, conn):
        """The server process is gone."""
        self._tcp(conn, "down", None)


def _digest(body):
    return hashlib.blake2b(body.encode(), digest_size=16).hexdigest()


def _decode(raw):
    return msgspec.msgpack.decode(raw, type=backend.Identity)
