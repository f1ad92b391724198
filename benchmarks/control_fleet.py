"""Simulated fleet of control planes with a network and a store."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq
import itertools
import random
import time

from cyclamenridge import address as address_lib
from cyclamenridge.config import document as document_lib
from cyclamenridge.control import messages
from cyclamenridge.control import plane as plane_lib
from cyclamenridge.control import transfer
from cyclamenridge.control import types
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.routing import home_sets

Address = address_lib.Address
Document = document_lib.Document

KEYS = (b"k" * 32,)
TICK_MS = 50
DOMAINS = ("oslo-a", "oslo-b", "oslo-c")


def document(revision: int, body: str | None = None) -> Document:
    """Return a document with a valid digest and the earlier apply ids."""
    if body is None:
        body = f"revision: {revision}\n"
    return Document(
        revision=revision,
        digest=transfer.body_digest(body),
        apply_id=f"apply-{revision}",
        history=tuple(
            (earlier, f"apply-{earlier}")
            for earlier in range(revision - 1, 0, -1)
        )[: document_lib.HISTORY_LENGTH],
        body=body,
    )


@dataclasses.dataclass(slots=True)
class Node:
    """A balancer process of the fleet.

    :param backlog: calls that arrived while the process was paused
    :param adopted: (time, revision) of each adopted document
    :param demands: (time, demand) of each received demand
    :param bytes_sent: control bytes with IP and UDP headers, per 100 ms
    """

    balancer: home_sets.Balancer
    plane: plane_lib.ControlPlane
    running: bool = True
    paused: bool = False
    backlog: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    adopted: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    demands: list[tuple[int, types.DemandReceived]] = dataclasses.field(
        default_factory=list
    )
    bytes_sent: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    watching: bool = False

    @property
    def name(self) -> str:
        """Return the name of the instance."""
        return self.balancer.name


class Store:
    """The store of the platform, with simulated outages.

    :param calls: (time, kind) of each call; a watch counts when it starts
    """

    def __init__(self) -> None:
        self.document: Document | None = None
        self.mod_revision = 0
        self.up = True
        self.delay_ms = 3
        self.watch_lag_ms = 3
        self.calls: list[tuple[int, str]] = []


class Fleet:
    """Nodes, network and store on one simulated clock."""

    def __init__(
        self, seed: int, *, domains: tuple[str, ...] = DOMAINS
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.domains = domains
        self.nodes: dict[str, Node] = {}
        self.by_address: dict[Address, Node] = {}
        self.store = Store()
        self.listed: dict[str, events.ListedInstance] = {}
        self.seeds: tuple[Address, ...] = ()
        self.loss = 0.0
        self.delay_ms = (1, 3)
        # Predicates: whether a datagram or a store call is lost.
        self.is_link_cut: Callable[[Node, Node], bool] = lambda src, dst: False
        self.is_store_cut: Callable[[Node], bool] = lambda node: False
        self.sent: list[tuple[int, Node, Address, bytes]] | None = None
        # Processor time that all planes have used.
        self.cpu_ns = 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, time_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self._queue, (time_ms, next(self._order), action))

    def run(self, duration_ms: int) -> None:
        """Advance the simulated time and run the actions that are due."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def until(self, condition: Callable[[], bool], limit_ms: int) -> int:
        """Run until a condition holds; return the elapsed time in ms.

        :raises AssertionError: if it does not hold within the limit
        """
        start_ms = self.now_ms
        while not condition():
            if self.now_ms - start_ms >= limit_ms:
                raise AssertionError(f"not reached within {limit_ms} ms")
            self.run(TICK_MS)
        return self.now_ms - start_ms

    def address(self, index: int) -> Address:
        """Return the peer address of a node by its number."""
        return Address(
            f"10.{index // 65536}.{index // 256 % 256}.{index % 256}", 7001
        )

    def add(
        self,
        name: str,
        index: int,
        *,
        incarnation: int = 1,
        domain: str | None = None,
        listed: bool = True,
        start_ms: int | None = None,
    ) -> Node:
        """Start a process; it replaces one with the same name.

        :param listed: whether the platform lists the instance
        """
        balancer = home_sets.Balancer(
            name=name,
            failure_domain=domain or self.domains[index % len(self.domains)],
            peer_address=self.address(index),
            incarnation=incarnation,
        )
        plane = plane_lib.ControlPlane(
            balancer,
            keys=KEYS,
            seeds=self.seeds,
            rng=random.Random(self.rng.getrandbits(64)),
        )
        node = Node(balancer, plane)
        self.nodes[name] = node
        self.by_address[balancer.peer_address] = node
        if listed:
            self.listed[name] = events.ListedInstance(
                name,
                plane_lib.BALANCER_ROLE,
                balancer.peer_address,
                balancer.failure_domain,
            )
        first_tick_ms = self.now_ms if start_ms is None else start_ms
        first_tick_ms += self.rng.randrange(TICK_MS)
        self.at(first_tick_ms, lambda: self._start(node))
        return node

    def grow(self, count: int) -> list[Node]:
        """Start ``count`` nodes at once; the first three are seeds."""
        self.seeds = tuple(self.address(index) for index in range(1, 4))
        return [
            self.add(f"bal-{index:03}", index) for index in range(1, count + 1)
        ]

    def introduce_all(self) -> None:
        """Make all nodes known to each other, as in a running fleet.

        Large fleets need many seconds of gossip to reach this state, which
        most experiments do not measure.
        """
        updates = [
            messages.Update(node.balancer, 0, types.MemberState.ALIVE)
            for node in self.nodes.values()
        ]
        for node in self.nodes.values():
            for update in updates:
                if update.balancer.name != node.name:
                    node.plane._peering.table.add(self.now_ms, update)
            node.plane._peering._pages._uses_fast_interval = False

    def preload(self, doc: Document) -> None:
        """Store a document and make every node adopt it without a transfer."""
        self.apply(doc)
        read = events.StoreRead(doc, self.store.mod_revision)
        for node in self.nodes.values():
            node.plane.handle_store_read(self.now_ms, read)

    def kill(self, node: Node) -> None:
        """Stop a process abruptly, without notice to the others."""
        node.running = False
        if self.by_address.get(node.balancer.peer_address) is node:
            del self.by_address[node.balancer.peer_address]
        if self.nodes.get(node.name) is node:
            del self.nodes[node.name]

    def pause(self, node: Node, duration_ms: int) -> None:
        """Pause a process; what arrives meanwhile is handled afterwards."""
        node.paused = True
        self.at(self.now_ms + duration_ms, lambda: self._resume(node))

    def apply(self, doc: Document) -> None:
        """Write a document to the store, as an operator does."""
        self.store.document = doc
        self.store.mod_revision += 1
        self._notify_watchers()

    def push_list(self) -> None:
        """Send the current instance list to all watching nodes."""
        for node in list(self.nodes.values()):
            if node.watching and not self._is_store_unreachable(node):
                self._send_instance_list(node)

    def live(self) -> Iterable[Node]:
        """Return the running nodes that are not paused."""
        return [node for node in self.nodes.values() if not node.paused]

    def state(self, viewer: Node, name: str) -> types.MemberState | None:
        """Return the state of a member as a node sees it."""
        for member in viewer.plane.members():
            if member.balancer.name == name:
                return member.state
        return None

    def all_alive(self) -> bool:
        """Return whether each node sees exactly the running nodes as alive."""
        names = set(self.nodes)
        for node in self.live():
            seen = {
                member.balancer.name
                for member in node.plane.members()
                if member.state is types.MemberState.ALIVE
            }
            if seen != names:
                return False
        return True

    def max_window_bytes(self) -> int:
        """Return the most control bytes that any node sent within 10 s."""
        max_bytes = 0
        for node in self.nodes.values():
            window_bytes = 0
            for bucket in range(self.now_ms // 100 + 1):
                window_bytes += node.bytes_sent[bucket]
                window_bytes -= node.bytes_sent[bucket - 100]
                max_bytes = max(max_bytes, window_bytes)
        return max_bytes

    def all_hold(self, revision: int) -> bool:
        """Return whether every live node has adopted a revision."""
        return all(
            node.plane.document is not None
            and node.plane.document.revision == revision
            for node in self.live()
        )

    def _start(self, node: Node) -> None:
        self._execute_effects(node, node.plane.start(self.now_ms))
        self._tick(node)

    def _tick(self, node: Node) -> None:
        if not node.running:
            return
        if not node.paused:
            self._run_plane(node, lambda: node.plane.tick(self.now_ms))
        self.at(self.now_ms + TICK_MS, lambda: self._tick(node))

    def _resume(self, node: Node) -> None:
        node.paused = False
        # The timer may fire before the socket is read.
        if node.running:
            self._run_plane(node, lambda: node.plane.tick(self.now_ms))
        backlog, node.backlog = node.backlog, []
        for action in backlog:
            action()

    def _deliver(self, node: Node, call: Callable[[], types.Output]) -> None:
        if not node.running:
            return
        if node.paused:
            # Models the socket buffer, which keeps what arrives in a pause.
            if len(node.backlog) < 500:
                node.backlog.append(lambda: self._deliver(node, call))
            return
        self._run_plane(node, call)

    def _run_plane(self, node: Node, call: Callable[[], types.Output]) -> None:
        start_ns = time.process_time_ns()
        out = call()
        self.cpu_ns += time.process_time_ns() - start_ns
        self._execute_effects(node, out)

    def _execute_effects(self, node: Node, out: types.Output) -> None:
        if out.adopted_document is not None:
            node.adopted.append((self.now_ms, out.adopted_document.revision))
        node.demands.extend((self.now_ms, demand) for demand in out.demands)
        for effect in out.effects:
            match effect:
                case effects.SendPeer():
                    self._send(node, effect.dest, effect.data)
                case effects.ReadStore():
                    self._call_store(node, "read", self._complete_read)
                case effects.WatchStore(active=True):
                    self._call_store(node, "watch", self._start_watch)
                case effects.WatchStore():
                    node.watching = False
                case effects.WriteStore():
                    self._call_store(
                        node,
                        "write",
                        lambda node, write=effect: self._write_document(
                            node, write
                        ),
                    )

    def _send(self, node: Node, dest: Address, data: bytes) -> None:
        node.bytes_sent[self.now_ms // 100] += len(data) + 28
        if self.sent is not None:
            self.sent.append((self.now_ms, node, dest, data))
        if self.rng.random() < self.loss:
            return
        self.at(
            self.now_ms + self.rng.randint(*self.delay_ms),
            lambda: self.inject(node, dest, data),
        )

    def inject(self, node: Node, dest: Address, data: bytes) -> None:
        """Deliver a datagram immediately unless the link is cut."""
        peer = self.by_address.get(dest)
        if peer is None or self.is_link_cut(node, peer):
            return
        source = node.balancer.peer_address
        self._deliver(
            peer, lambda: peer.plane.handle_datagram(self.now_ms, source, data)
        )

    def _is_store_unreachable(self, node: Node) -> bool:
        return not self.store.up or self.is_store_cut(node)

    def _call_store(
        self, node: Node, kind: str, complete: Callable[[Node], None]
    ) -> None:
        self.store.calls.append((self.now_ms, kind))
        delay_ms = self.store.delay_ms
        if self._is_store_unreachable(node):
            self.at(self.now_ms + 50, lambda: self._fail_store_call(node))
        else:
            self.at(self.now_ms + delay_ms, lambda: complete(node))

    def _fail_store_call(self, node: Node) -> None:
        node.watching = False
        self._deliver(
            node,
            lambda: node.plane.handle_store_failure(
                self.now_ms, events.StoreFailed("unavailable")
            ),
        )

    def _complete_read(self, node: Node) -> None:
        self._send_document(node, self.store.document, self.store.mod_revision)

    def _send_document(
        self, node: Node, doc: Document | None, mod_revision: int
    ) -> None:
        read = events.StoreRead(doc, mod_revision)
        self._deliver(
            node, lambda: node.plane.handle_store_read(self.now_ms, read)
        )

    def _start_watch(self, node: Node) -> None:
        node.watching = True
        self._send_document(node, self.store.document, self.store.mod_revision)
        self._send_instance_list(node)

    def _send_instance_list(self, node: Node) -> None:
        listed = tuple(self.listed.values())
        self._deliver(
            node, lambda: node.plane.set_listed_instances(self.now_ms, listed)
        )

    def _write_document(self, node: Node, write: effects.WriteStore) -> None:
        if write.mod_revision == self.store.mod_revision:
            self.apply(write.document)
        self._complete_read(node)

    def _notify_watchers(self) -> None:
        doc, mod_revision = self.store.document, self.store.mod_revision
        for node in list(self.nodes.values()):
            if node.watching and not self._is_store_unreachable(node):
                self.at(
                    self.now_ms + self.store.watch_lag_ms,
                    lambda node=node: self._send_document(
                        node, doc, mod_revision
                    ),
                )

    def break_watches(self) -> None:
        """End all watches, as a store outage does."""
        for node in list(self.nodes.values()):
            if node.watching:
                self._fail_store_call(node)
