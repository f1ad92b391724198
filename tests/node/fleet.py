"""Simulated fleet of node cores on an in-memory network.

Time advances only by ``run`` and ``until``, and all random choices come
from one seed, so a run can be repeated exactly.
"""

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
from cyclamenridge.routing import home_sets
from cyclamenridge.wire import backend
from cyclamenridge.wire import rpc
from tests.standins import server_model

Address = address_lib.Address
ServerRef = events.ServerRef
KEYS = (b"test key",)
TICK_MS = 50


class Conn:
    """A TCP connection from a node to a server; both directions are FIFO.

    Directions are "up", to the server, and "down", to the node.

    :ivar last_ms: arrival time of the last message, by direction
    :ivar delayed: messages that wait while the network is partitioned
    """

    def __init__(self, ident, node, effect, server):
        self.ident = ident
        self.node = node
        self.core = node.core
        self.ref = effect.server
        self.link_id = effect.link_id
        self.server = server
        self.incarnation = server.model.incarnation
        self.open = True  # from the node's side
        self.last_ms = {"up": 0, "down": 0}
        self.delayed = {"up": [], "down": []}


class Node:
    """A balancer process.

    :ivar core: None while the process is not running
    :ivar paused_events: events held back while the process is paused, None
        while it is not paused
    :ivar watching: the node watches the store and the instance list
    """

    def __init__(self, name, index):
        self.name = name
        self.peer = Address(f"127.0.0.{index}", 7000)
        self.incarnation = 0
        self.core = None
        self.paused_events = None
        self.watching = False
        self.exit_code = None


class Server:
    """A backend server process; ``model`` is None while it is down."""

    def __init__(self, service, name, address):
        self.service = service
        self.name = name
        self.address = address
        self.model = None
        self.incarnation = 0


class Fleet:
    """Nodes, servers, store and network.

    :param loss: probability that a datagram is lost
    :param duplication: probability that a datagram is sent twice
    :param long_delay: probability that a datagram is delayed by 50 to 3000
        ms and so reordered
    :param event_interval_ms: interval of the events of each flow
    :param single_domain: all nodes are in one failure domain
    :param work_ms: run time of a request
    """

    def __init__(
        self,
        seed,
        *,
        nodes=3,
        loss=0.0,
        duplication=0.0,
        long_delay=0.0,
        event_interval_ms=700,
        single_domain=False,
        work_ms=40,
    ):
        self.rng = random.Random(seed)
        self.now_ms = 1000
        self.loss = loss
        self.duplication = duplication
        self.long_delay = long_delay
        self.single_domain = single_domain
        self.nodes = {}
        self.servers = {}
        self.callers = {}
        self.records = []
        self.blocked = set()
        self.document = None
        self.mod_revision = 0
        self.leaving_servers = set()
        self._timers = []
        self._sequence = itertools.count()
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

    def call_later(self, delay_ms, action, *args):
        """Schedule a call after a delay."""
        heapq.heappush(
            self._timers,
            (self.now_ms + delay_ms, next(self._sequence), action, args),
        )

    def run_for(self, duration_ms):
        """Advance the time and execute the calls that are due."""
        end_ms = self.now_ms + duration_ms
        while self._timers and self._timers[0][0] <= end_ms:
            due_ms, _, action, args = heapq.heappop(self._timers)
            self.now_ms = max(self.now_ms, due_ms)
            action(*args)
        self.now_ms = end_ms

    def run_until(self, condition, limit_ms=10_000):
        """Run until a condition holds; fail after ``limit_ms``."""
        end_ms = self.now_ms + limit_ms
        while not condition():
            assert self.now_ms < end_ms, "condition not met in time"
            self.run_for(10)

    # Nodes

    def start_node(self, name):
        node = self.nodes[name]
        node.incarnation += 1
        node.exit_code = None
        node.paused_events = None
        me = home_sets.Balancer(
            name, self.domain(node), node.peer, node.incarnation
        )
        seeds = tuple(n.peer for n in self.nodes.values() if n is not node)
        node.core = core_lib.NodeCore(
            me,
            keys=KEYS,
            seeds=seeds,
            rng=random.Random(self.rng.getrandbits(64)),
        )
        self._execute_effects(node, node.core.start(self.now_ms))
        self.call_later(
            self.rng.randint(0, TICK_MS), self._tick, node, node.core
        )
        self.call_later(50, self._list_instances, node, node.core)

    def kill_node(self, name):
        """End the process of a node without a planned stop."""
        node = self.nodes[name]
        if node.core is None:
            return
        self.totals.update(node.core.counters)
        node.core = None
        node.paused_events = None
        node.watching = False
        for conn in list(self._conns.values()):
            if conn.node is node:
                self._close_from_node(conn)

    def pause_node(self, name):
        """Pause a process; its events are queued until it resumes."""
        node = self.nodes[name]
        if node.core is not None and node.paused_events is None:
            node.paused_events = []

    def resume_node(self, name):
        node = self.nodes[name]
        paused_events, node.paused_events = node.paused_events or [], None
        for event in paused_events:
            self.deliver(node, node.core, event)

    def deliver(self, node, core, event):
        """Pass an event to a core unless its process has been replaced."""
        if node.core is not core or core is None:
            return
        if node.paused_events is not None:
            node.paused_events.append(event)
            return
        self._execute_effects(node, core.handle(self.now_ms, event))

    def stop_node(self, name, within_ms=30_000):
        """Request a planned stop."""
        node = self.nodes[name]
        if node.core is not None and node.paused_events is None:
            event = events.StopRequested(self.now_ms + within_ms)
            self.deliver(node, node.core, event)

    def _tick(self, node, core):
        if node.core is core:
            if node.paused_events is None:
                self.deliver(node, core, events.Tick())
            self.call_later(TICK_MS, self._tick, node, core)

    def _list_instances(self, node, core):
        if node.core is core:
            if node.watching:
                listed = events.InstancesListed(self._instance_list())
                self.deliver(node, core, listed)
            self.call_later(1000, self._list_instances, node, core)

    def domain(self, node):
        return "d10" if self.single_domain else f"d{node.peer.host[-2:]}"

    def _instance_list(self):
        listed = [
            events.ListedInstance(n.name, "balancer", n.peer, self.domain(n))
            for n in self.nodes.values()
            if n.core is not None
        ]
        for ref, server in self.servers.items():
            if server.model is not None:
                state = (
                    events.InstanceState.LEAVING
                    if ref in self.leaving_servers
                    else events.InstanceState.LIVE
                )
                listed.append(
                    events.ListedInstance(
                        ref.server, ref.service, server.address, "d0", state
                    )
                )
        return tuple(listed)

    def _execute_effects(self, node, out):
        for effect in out:
            match effect:
                case effects.SendCaller(dest, data):
                    self.send(node.name, str(dest), data, self._to_caller)
                case effects.SendPeer(dest, data):
                    self.send(
                        node.name, dest.host, data, self._to_peer, node.peer
                    )
                case effects.OpenLink():
                    self._open_conn(node, effect)
                case effects.SendLink(server, link_id, data):
                    conn = self._find_conn(node, server, link_id)
                    if conn is not None:
                        self._send_tcp(conn, "up", data)
                case effects.CloseLink(server, link_id):
                    conn = self._find_conn(node, server, link_id)
                    if conn is not None:
                        self._close_from_node(conn)
                case effects.ReadStore():
                    self.call_later(5, self._deliver_document, node, node.core)
                case effects.WatchStore(active):
                    node.watching = active
                    if active:
                        self.call_later(
                            5, self._deliver_document, node, node.core
                        )
                case effects.WriteStore(document, mod_revision):
                    if mod_revision == self.mod_revision:
                        self._put_document(document)
                case effects.Stopped(exit_code):
                    node.exit_code = exit_code
                    self.call_later(0, self.kill_node, node.name)
                case effects.StateChanged():
                    pass

    # Store

    def write_config(self, body):
        """Write a new configuration to the store."""
        revision = self.document.revision + 1 if self.document else 1
        self._put_document(
            document_lib.Document(
                revision=revision,
                digest=_digest(body),
                apply_id=f"apply-{revision}",
                history=(),
                body=body,
            )
        )

    def _put_document(self, document):
        self.document = document
        self.mod_revision += 1
        for node in self.nodes.values():
            if node.core is not None and node.watching:
                self.call_later(5, self._deliver_document, node, node.core)

    def _deliver_document(self, node, core):
        read = events.StoreRead(self.document, self.mod_revision)
        self.deliver(node, core, read)

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
        self.leaving_servers.discard(ref)
        self.call_later(10, self._tick_server, server, server.model)

    def kill_server(self, ref):
        server = self.servers[ref]
        if server.model is None:
            return
        server.model.crash(self.now_ms)
        server.model = None
        for conn in list(self._conns.values()):
            if conn.server is server:
                self._reset_from_server(conn)

    def reset_links(self, ref):
        """Reset all connections of a server and drop delayed messages."""
        server = self.servers[ref]
        for conn in list(self._conns.values()):
            if conn.server is server:
                server.model.disconnected(self.now_ms, conn.ident)
                conn.delayed["up"].clear()
                self._reset_from_server(conn)

    def drain_server(self, ref):
        server = self.servers[ref]
        if server.model is not None:
            self._send_from_server(server.model.drain(self.now_ms))

    def emit(self, ref, flow_id):
        """Emit one event on a flow."""
        self._send_from_server(self.servers[ref].model.emit(flow_id))

    def _tick_server(self, server, model):
        if server.model is model:
            self._send_from_server(model.tick(self.now_ms))
            self.call_later(10, self._tick_server, server, model)

    # Network

    def is_blocked(self, source, dest):
        return (source, dest) in self.blocked

    def block(self, source, dest):
        """Drop datagrams and delay TCP data in one direction."""
        self.blocked.add((source, dest))

    def heal(self):
        """Unblock all paths and deliver the delayed TCP data."""
        self.blocked.clear()
        for conn in list(self._conns.values()):
            for direction in ("up", "down"):
                delayed, conn.delayed[direction] = conn.delayed[direction], []
                for data in delayed:
                    self._send_tcp(conn, direction, data)

    def delay(self):
        if self.rng.random() < self.long_delay:
            return self.rng.randint(50, 3000)
        return self.rng.randint(1, 8)

    def send(self, source, dest, data, handler, *args):
        """Send a datagram; ``dest`` is a host or a caller's address."""
        if self.is_blocked(source, self._endpoint_name(dest)):
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss:
                self.call_later(self.delay(), handler, dest, data, *args)

    def send_from_caller(self, caller, data, node_name):
        if self.is_blocked(str(caller), node_name):
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss:
                event = events.CallerDatagram(caller, data)
                self.call_later(self.delay(), self._to_node, node_name, event)

    def _to_node(self, name, event):
        node = self.nodes[name]
        self.deliver(node, node.core, event)

    def _to_peer(self, host, data, source):
        for node in self.nodes.values():
            if node.peer.host == host:
                event = events.PeerDatagram(source, data)
                self.deliver(node, node.core, event)

    def _to_caller(self, dest, data):
        caller = self.callers.get(dest)
        if caller is not None:
            caller.receive(data)

    def _endpoint_name(self, host):
        for node in self.nodes.values():
            if node.peer.host == host:
                return node.name
        return host

    # Connections

    def _find_conn(self, node, server, link_id):
        for conn in self._conns.values():
            if (
                conn.open
                and conn.core is node.core
                and conn.ref == server
                and conn.link_id == link_id
            ):
                return conn
        return None

    def _open_conn(self, node, effect):
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
                self.deliver(node, core, down)
                return
            conn = Conn(next(self._sequence), node, effect, server)
            self._conns[conn.ident] = conn
            server.model.connected(self.now_ms, conn.ident)
            ref = effect.server
            hello = backend.Hello(ref.service, ref.server, node.name)
            self._send_tcp(conn, "up", rpc.request(0, "hello", hello))

        self.call_later(self.rng.randint(1, 5), connect, node.core)

    def _send_tcp(self, conn, direction, data):
        ends = (conn.node.name, conn.server.name)
        if self.is_blocked(*(ends if direction == "up" else ends[::-1])):
            conn.delayed[direction].append(data)
            return
        arrival_ms = max(
            conn.last_ms[direction], self.now_ms + self.rng.randint(1, 6)
        )
        conn.last_ms[direction] = arrival_ms
        action = (
            self._receive_at_server
            if direction == "up"
            else self._receive_at_node
        )
        self.call_later(arrival_ms - self.now_ms, action, conn, data)

    def _receive_at_server(self, conn, data):
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
            self._send_from_server(
                model.message(self.now_ms, conn.ident, message)
            )

    def _receive_at_node(self, conn, data):
        if not conn.open:
            return
        if data is None:
            conn.open = False
            self._conns.pop(conn.ident, None)
            down = events.LinkDown(conn.ref, conn.link_id, "closed")
            self.deliver(conn.node, conn.core, down)
            return
        message = rpc.decode(data)
        if isinstance(message, rpc.Response) and message.msgid == 0:
            identity = _decode(message.result)
            event = events.LinkUp(conn.ref, conn.link_id, identity)
        else:
            event = events.LinkMessage(conn.ref, conn.link_id, message)
        self.deliver(conn.node, conn.core, event)

    def _send_from_server(self, messages):
        for message in messages:
            conn = self._conns.get(message.conn)
            if conn is not None:
                self._send_tcp(conn, "down", message.data)

    def _close_from_node(self, conn):
        """Close from the node; messages sent before may still arrive."""
        conn.open = False
        self._send_tcp(conn, "up", None)

    def _reset_from_server(self, conn):
        """Close from the server, whose process has ended."""
        self._send_tcp(conn, "down", None)


def _digest(body):
    return hashlib.blake2b(body.encode(), digest_size=16).hexdigest()


def _decode(raw):
    return msgspec.msgpack.decode(raw, type=backend.Identity)
