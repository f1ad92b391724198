"""Mechanisms that choose the server of a packet, one object a balancer."""

import abc
import collections
import dataclasses

import xxhash

from cyclamenridge.routing import flow_router
from cyclamenridge.routing import pinned_flows
from cyclamenridge.routing import rendezvous

FLOW_LIMIT = 1_000_000
IDLE_MS = 600_000
# Each node spends at most half of its 4 KB/s on moved flows.
FILTER_BYTES_PER_S = 2_000
DATAGRAM_OVERHEAD_BYTES = 28
REPLICATION_ENTRY_BYTES = 12
SCAN_STEP = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class ControlMessage:
    """Something that a node tells another one."""

    dest: str
    wire_bytes: int
    filter: pinned_flows.PinnedFilter | None = None
    key: bytes = b""
    server: str = ""


class Node(abc.ABC):
    """The decision of one balancer under one mechanism."""

    # Set where links are tied to the identity of the server's process.
    checks_identity = False
    # Control bytes that the opening of a flow causes.
    new_flow_bytes = 0

    def __init__(self, name: str) -> None:
        self.name = name
        self.servers: tuple[str, ...] = ()
        self.known: tuple[str, ...] = ()
        self.homes: tuple[str, ...] = (name,)

    def set_servers(
        self, now_ms: int, servers: tuple[str, ...], known: tuple[str, ...]
    ) -> None:
        """Take over the servers that take new flows, and all others."""
        self.servers = servers
        self.known = known

    def set_members(
        self, now_ms: int, homes: tuple[str, ...], joining: tuple[str, ...]
    ) -> None:
        """Take over the balancers that this node holds alive."""
        self.homes = homes

    def forward_to(self, key: bytes) -> str | None:
        """Return another balancer that the packet must go to first."""
        return None

    @abc.abstractmethod
    def route(self, now_ms: int, key: bytes, opening: bool) -> str | None:
        """Return the server of a packet."""

    def tick(self, now_ms: int) -> list[ControlMessage]:
        """Return what this node tells others now."""
        return []

    def receive(self, message: ControlMessage, origin: str) -> None:
        """Take a message of another node."""
        raise NotImplementedError(message)


class ModuloNode(Node):
    """Hash modulo the number of servers."""

    def route(self, now_ms: int, key: bytes, opening: bool) -> str | None:
        """Return the server of a packet."""
        index = xxhash.xxh3_64_intdigest(key) % len(self.servers)
        return self.servers[index]


class RendezvousNode(Node):
    """Rendezvous hashing without any state."""

    def route(self, now_ms: int, key: bytes, opening: bool) -> str | None:
        """Return the server of a packet."""
        return rendezvous.choose(key, self.servers)


class ConnectionTableNode(Node):
    """Rendezvous hashing and a table of the flows seen by this node."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.table: dict[bytes, str] = {}

    def route(self, now_ms: int, key: bytes, opening: bool) -> str | None:
        """Return the server of a packet."""
        server = self.table.get(key)
        if server is None:
            server = self.choose(now_ms, key, opening)
            self.table[key] = server
        return server

    def choose(self, now_ms: int, key: bytes, opening: bool) -> str:
        """Return the server of a flow that is not in the table."""
        return rendezvous.choose(key, self.servers)


class HistoryNode(ConnectionTableNode):
    """A connection table and the server list before the last change.

    An established flow that is not in the table is taken to be older than
    the last change for ``GRACE_MS``.
    """

    GRACE_MS = 60_000

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.previous: tuple[str, ...] = ()
        self.changed_ms = 0

    def set_servers(
        self, now_ms: int, servers: tuple[str, ...], known: tuple[str, ...]
    ) -> None:
        """Take over the servers and keep the list before."""
        self.previous = self.servers or servers
        self.changed_ms = now_ms
        super().set_servers(now_ms, servers, known)

    def choose(self, now_ms: int, key: bytes, opening: bool) -> str:
        """Return the server of a flow that is not in the table."""
        if opening or now_ms - self.changed_ms > self.GRACE_MS:
            return rendezvous.choose(key, self.servers)
        return rendezvous.choose(key, self.previous)


class HomeStandbyNode(ConnectionTableNode):
    """A home balancer for each flow that copies each entry to a standby."""

    new_flow_bytes = REPLICATION_ENTRY_BYTES

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.outbox: list[ControlMessage] = []

    def forward_to(self, key: bytes) -> str | None:
        """Return the home of the flow if it is another balancer."""
        home = rendezvous.choose(key, self.homes)
        return None if home == self.name else home

    def choose(self, now_ms: int, key: bytes, opening: bool) -> str:
        """Choose by hash and queue the copy for the standby."""
        server = super().choose(now_ms, key, opening)
        for member in rendezvous.ranked(key, self.homes):
            if member != self.name:
                self.outbox.append(
                    ControlMessage(
                        member,
                        REPLICATION_ENTRY_BYTES,
                        key=key,
                        server=server,
                    )
                )
                break
        return server

    def tick(self, now_ms: int) -> list[ControlMessage]:
        """Return all copies that wait."""
        messages, self.outbox = self.outbox, []
        return messages

    def receive(self, message: ControlMessage, origin: str) -> None:
        """Store the copy."""
        self.table.setdefault(message.key, message.server)


class HomePinnedNode(Node):
    """The project's router for packets without a token."""

    checks_identity = True

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.router = flow_router.FlowRouter(
            name, flow_limit=FLOW_LIMIT, idle_ms=IDLE_MS
        )
        self.outbox: collections.deque[flow_router.AddressedFilter] = (
            collections.deque()
        )
        self.credit_bytes = 0.0
        self.last_ms = 0

    def set_servers(
        self, now_ms: int, servers: tuple[str, ...], known: tuple[str, ...]
    ) -> None:
        """Take over the servers."""
        super().set_servers(now_ms, servers, known)
        self.router.set_servers(now_ms, servers, known)

    def set_members(
        self, now_ms: int, homes: tuple[str, ...], joining: tuple[str, ...]
    ) -> None:
        """Take over the balancers that this node holds alive."""
        self.router.set_members(now_ms, homes, joining)

    def forward_to(self, key: bytes) -> str | None:
        """Return the home of the flow if it is another balancer."""
        home = self.router.home_balancer(key)
        return None if home == self.name else home

    def route(self, now_ms: int, key: bytes, opening: bool) -> str | None:
        """Return the server of a packet."""
        return self.router.route(now_ms, key, opening=opening)

    def tick(self, now_ms: int) -> list[ControlMessage]:
        """Scan for moved flows and send filters within the budget."""
        self.outbox.extend(self.router.scan_step(SCAN_STEP))
        elapsed_s = (now_ms - self.last_ms) / 1000
        self.last_ms = now_ms
        self.credit_bytes = min(
            self.credit_bytes + elapsed_s * FILTER_BYTES_PER_S,
            FILTER_BYTES_PER_S,
        )
        messages = []
        while self.outbox:
            item = self.outbox[0]
            size = len(item.filter.data) + DATAGRAM_OVERHEAD_BYTES
            if size > self.credit_bytes:
                break
            self.credit_bytes -= size
            self.outbox.popleft()
            messages.append(
                ControlMessage(item.member, size, filter=item.filter)
            )
        return messages

    def receive(self, message: ControlMessage, origin: str) -> None:
        """Use a filter."""
        if message.filter is not None:
            self.router.add_filter(origin, message.filter)


MECHANISMS: dict[str, type[Node]] = {
    "hash-modulo": ModuloNode,
    "rendezvous": RendezvousNode,
    "connection-table": ConnectionTableNode,
    "table-history": HistoryNode,
    "home-standby": HomeStandbyNode,
    "home-pinned": HomePinnedNode,
}
