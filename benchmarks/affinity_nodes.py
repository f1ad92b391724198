"""Mechanisms that map packets to servers, modelled for one balancer each."""

import abc
import collections
import dataclasses

import xxhash

from cyclamenridge.routing import flow_router
from cyclamenridge.routing import pinned_flows
from cyclamenridge.routing import rendezvous

FLOW_LIMIT = 1_000_000
IDLE_MS = 600_000
# A node spends at most half of its 4 KB/s on filters of moved flows.
FILTER_BYTES_PER_S = 2_000
DATAGRAM_OVERHEAD_BYTES = 28
REPLICATION_ENTRY_BYTES = 12
SCAN_STEP = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class ControlMessage:
    """A control message between two balancers."""

    dest: str
    wire_bytes: int
    filter: pinned_flows.PinnedFilter | None = None
    key: bytes = b""
    server: str = ""


class Node(abc.ABC):
    """Base class: how one balancer selects the server of a packet."""

    # Whether links are bound to the identity of the server process.
    verifies_server_identity = False
    # Control bytes sent for each new flow.
    new_flow_bytes = 0

    def __init__(self, name: str) -> None:
        self.name = name
        self.servers: tuple[str, ...] = ()
        self.known_servers: tuple[str, ...] = ()
        self.home_set: tuple[str, ...] = (name,)

    def set_servers(
        self,
        now_ms: int,
        servers: tuple[str, ...],
        known_servers: tuple[str, ...],
    ) -> None:
        """Set the servers for new flows and all known servers."""
        self.servers = servers
        self.known_servers = known_servers

    def set_members(
        self, now_ms: int, home_set: tuple[str, ...], joining: tuple[str, ...]
    ) -> None:
        """Set the home set and the balancers that are joining it."""
        self.home_set = home_set

    def forward_to(self, key: bytes) -> str | None:
        """Return the balancer to forward the packet to, if any."""
        return None

    @abc.abstractmethod
    def route(
        self, now_ms: int, key: bytes, is_first_packet: bool
    ) -> str | None:
        """Return the server of a packet."""

    def tick(self, now_ms: int) -> list[ControlMessage]:
        """Return the control messages to send now."""
        return []

    def handle_message(self, message: ControlMessage, origin: str) -> None:
        """Handle a control message of another node."""
        raise NotImplementedError(message)


class ModuloNode(Node):
    """Hash modulo the number of servers."""

    def route(
        self, now_ms: int, key: bytes, is_first_packet: bool
    ) -> str | None:
        """Return the server of a packet."""
        index = xxhash.xxh3_64_intdigest(key) % len(self.servers)
        return self.servers[index]


class RendezvousNode(Node):
    """Rendezvous hashing without per-flow state."""

    def route(
        self, now_ms: int, key: bytes, is_first_packet: bool
    ) -> str | None:
        """Return the server of a packet."""
        return rendezvous.choose(key, self.servers)


class ConnectionTableNode(Node):
    """Rendezvous hashing plus a table of the flows seen by this node."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.table: dict[bytes, str] = {}

    def route(
        self, now_ms: int, key: bytes, is_first_packet: bool
    ) -> str | None:
        """Return the server of a packet."""
        server = self.table.get(key)
        if server is None:
            server = self.choose(now_ms, key, is_first_packet)
            self.table[key] = server
        return server

    def choose(self, now_ms: int, key: bytes, is_first_packet: bool) -> str:
        """Return the server of a flow that is not in the table."""
        return rendezvous.choose(key, self.servers)


class HistoryNode(ConnectionTableNode):
    """A connection table and the server list before the last change.

    For ``GRACE_MS`` after a change, an established flow that is not in the
    table is routed with the previous server list.
    """

    GRACE_MS = 60_000

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.previous_servers: tuple[str, ...] = ()
        self.changed_ms = 0

    def set_servers(
        self,
        now_ms: int,
        servers: tuple[str, ...],
        known_servers: tuple[str, ...],
    ) -> None:
        """Set the servers and keep the previous list."""
        self.previous_servers = self.servers or servers
        self.changed_ms = now_ms
        super().set_servers(now_ms, servers, known_servers)

    def choose(self, now_ms: int, key: bytes, is_first_packet: bool) -> str:
        """Return the server of a flow that is not in the table."""
        if is_first_packet or now_ms - self.changed_ms > self.GRACE_MS:
            return rendezvous.choose(key, self.servers)
        return rendezvous.choose(key, self.previous_servers)


class HomeStandbyNode(ConnectionTableNode):
    """A home balancer per flow that replicates its entries to a standby."""

    new_flow_bytes = REPLICATION_ENTRY_BYTES

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.outbox: list[ControlMessage] = []

    def forward_to(self, key: bytes) -> str | None:
        """Return the home balancer of the flow unless it is this one."""
        home_balancer = rendezvous.choose(key, self.home_set)
        return None if home_balancer == self.name else home_balancer

    def choose(self, now_ms: int, key: bytes, is_first_packet: bool) -> str:
        """Choose by hash and queue the entry for the standby."""
        server = super().choose(now_ms, key, is_first_packet)
        for member in rendezvous.ranked(key, self.home_set):
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
        """Return all queued table entries."""
        messages, self.outbox = self.outbox, []
        return messages

    def handle_message(self, message: ControlMessage, origin: str) -> None:
        """Store a replicated table entry."""
        self.table.setdefault(message.key, message.server)


class HomePinnedNode(Node):
    """The ``FlowRouter`` of the balancer, for packets without a token."""

    verifies_server_identity = True

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
        self,
        now_ms: int,
        servers: tuple[str, ...],
        known_servers: tuple[str, ...],
    ) -> None:
        """Set the servers of the router."""
        super().set_servers(now_ms, servers, known_servers)
        self.router.set_servers(now_ms, servers, known_servers)

    def set_members(
        self, now_ms: int, home_set: tuple[str, ...], joining: tuple[str, ...]
    ) -> None:
        """Set the home set and the balancers that are joining it."""
        self.router.set_members(now_ms, home_set, joining)

    def forward_to(self, key: bytes) -> str | None:
        """Return the home balancer of the flow unless it is this one."""
        home_balancer = self.router.home_balancer(key)
        return None if home_balancer == self.name else home_balancer

    def route(
        self, now_ms: int, key: bytes, is_first_packet: bool
    ) -> str | None:
        """Return the server of a packet."""
        return self.router.route(now_ms, key, opening=is_first_packet)

    def tick(self, now_ms: int) -> list[ControlMessage]:
        """Scan for moved flows; return filters within the byte budget."""
        self.outbox.extend(self.router.scan_step(SCAN_STEP))
        elapsed_s = (now_ms - self.last_ms) / 1000
        self.last_ms = now_ms
        self.credit_bytes = min(
            self.credit_bytes + elapsed_s * FILTER_BYTES_PER_S,
            FILTER_BYTES_PER_S,
        )
        messages = []
        while self.outbox:
            addressed_filter = self.outbox[0]
            size = len(addressed_filter.filter.data) + DATAGRAM_OVERHEAD_BYTES
            if size > self.credit_bytes:
                break
            self.credit_bytes -= size
            self.outbox.popleft()
            messages.append(
                ControlMessage(
                    addressed_filter.member,
                    size,
                    filter=addressed_filter.filter,
                )
            )
        return messages

    def handle_message(self, message: ControlMessage, origin: str) -> None:
        """Add the filter of another balancer to the router."""
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
