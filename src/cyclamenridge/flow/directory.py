"""Directory of the backend servers that the store and the peers list."""

from collections.abc import Iterable
from collections.abc import Iterator
import enum

import msgspec

from cyclamenridge import address as address_lib


class ServerState(enum.Enum):
    """State that a backend server reports of itself."""

    READY = "ready"
    DRAINING = "draining"


class ServerEntry(msgspec.Struct, frozen=True):
    """Entry of a backend server in the store.

    :param ident: number that identifies the server in forwarded datagrams
    :param warmup_ms: remaining warm-up time when the entry was written
    :param born_ms: start of the incarnation, Unix time in milliseconds
    :param revision: store revision of the entry
    """

    name: str
    ident: int
    service: str
    address: address_lib.Address
    failure_domain: str
    slots: int
    state: ServerState
    warmup_ms: int
    born_ms: int
    revision: int


class Server:
    """Backend server with its newest entry.

    :ivar revision: store revision of the newest entry or removal
    :ivar token: value that identifies the server in packets of its flows
    :ivar removed_ms: when the entry was removed, None while it is listed
    :ivar warmup_end_ms: when the warm-up is expected to end
    """

    __slots__ = ("entry", "removed_ms", "revision", "token", "warmup_end_ms")

    def __init__(self, entry: ServerEntry, now_ms: int) -> None:
        self.entry = entry
        self.revision = entry.revision
        self.token = token_of(entry.ident)
        self.removed_ms: int | None = None
        self.warmup_end_ms = now_ms + entry.warmup_ms


# Removed servers are kept for the lifetime of their flows times this factor,
# because the end of a flow is noticed late.
RETENTION_FACTOR = 1.5


def token_of(ident: int) -> int:
    """Return the 32-bit token that identifies a backend server in packets.

    Identities of up to 32 bits are used as they are, so that they cannot
    collide; longer ones are folded by XOR. A token is never 0.
    """
    token = ident
    while token >> 32:
        token = token & 0xFFFFFFFF ^ token >> 32
    return token or 1


class Directory:
    """Servers by name and by token; older entries never replace newer ones."""

    def __init__(self, longest_flow_ms: int) -> None:
        self.revision = 0
        self._retention_ms = longest_flow_ms * RETENTION_FACTOR
        self._servers: dict[str, Server] = {}
        self._by_token: dict[int, Server] = {}
        # Indexes of _servers, rebuilt on demand: a start puts thousands of
        # entries at once.
        self._listed_by_service: dict[str, list[Server]] = {}
        self._ready_by_service: dict[str, list[Server]] = {}
        self._ready_slots: dict[str, int] = {}
        self._is_indexed = True

    def __iter__(self) -> Iterator[Server]:
        return iter(self._servers.values())

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, name: str) -> Server | None:
        """Return a server by name."""
        return self._servers.get(name)

    def by_token(self, token: int) -> Server | None:
        """Return the server that a token identifies."""
        return self._by_token.get(token)

    def listed_servers(self, service: str) -> list[Server]:
        """Return the listed servers of a service."""
        self._rebuild_index()
        return self._listed_by_service.get(service, [])

    def ready_servers(self, service: str) -> list[Server]:
        """Return the servers of a service that accept new flows."""
        self._rebuild_index()
        return self._ready_by_service.get(service, [])

    def ready_slots(self, service: str) -> int:
        """Return the slots of the servers that accept new flows."""
        self._rebuild_index()
        return self._ready_slots.get(service, 0)

    def is_ready(self, server: Server) -> bool:
        """Return whether a server accepts new flows."""
        return (
            server.removed_ms is None
            and server.entry.state is ServerState.READY
            and not self.has_token_collision(server)
        )

    def is_outdated(self, entry: ServerEntry) -> bool:
        """Return whether an entry contradicts a newer one of its server."""
        server = self._servers.get(entry.name)
        return (
            server is not None
            and server.revision >= entry.revision
            and (
                server.removed_ms is not None
                or (server.entry.state, server.entry.born_ms)
                != (entry.state, entry.born_ms)
            )
        )

    def put(self, now_ms: int, entry: ServerEntry) -> bool:
        """Store an entry; return False if a newer one is known."""
        server = self._servers.get(entry.name)
        if server is not None and server.revision >= entry.revision:
            return False
        fresh = Server(entry, now_ms)
        if server is not None and server.entry.born_ms == entry.born_ms:
            # Servers report the remaining warm-up once, at their start, and
            # repeat the value in later entries.
            fresh.warmup_end_ms = min(
                fresh.warmup_end_ms, server.warmup_end_ms
            )
        self._servers[entry.name] = fresh
        holder = self._by_token.get(fresh.token)
        if (
            holder is None
            or holder.entry.name == entry.name
            or holder.removed_ms is not None
        ):
            self._by_token[fresh.token] = fresh
        self._is_indexed = False
        return True

    def remove(self, now_ms: int, name: str, revision: int) -> bool:
        """Mark a server as removed; return whether that changed its state."""
        server = self._servers.get(name)
        if server is None or server.revision >= revision:
            return False
        server.revision = revision
        if server.removed_ms is not None:
            return False
        server.removed_ms = now_ms
        self._is_indexed = False
        return True

    def replace(
        self, now_ms: int, revision: int, entries: Iterable[ServerEntry]
    ) -> tuple[list[str], list[str]]:
        """Apply a complete list of servers; return names put and removed.

        :param revision: store revision at which reading the list began
        """
        put = []
        names = set()
        for entry in entries:
            names.add(entry.name)
            if self.put(now_ms, entry):
                put.append(entry.name)
        removed = [
            name
            for name, server in list(self._servers.items())
            if name not in names and self.remove(now_ms, name, revision)
        ]
        self.advance_revision(revision)
        return put, removed

    def advance_revision(self, revision: int) -> None:
        """Record that all changes up to a store revision are applied."""
        self.revision = max(self.revision, revision)

    def evict_removed(self, now_ms: int) -> list[str]:
        """Drop servers whose retention has ended; return their names."""
        names = [
            name
            for name, server in self._servers.items()
            if server.removed_ms is not None
            and now_ms - server.removed_ms > self._retention_ms
        ]
        for name in names:
            server = self._servers.pop(name)
            if self._by_token.get(server.token) is server:
                del self._by_token[server.token]
        return names

    def has_token_collision(self, server: Server) -> bool:
        """Return whether the server's token identifies another server."""
        return self._by_token.get(server.token) is not server

    def _rebuild_index(self) -> None:
        if self._is_indexed:
            return
        self._is_indexed = True
        services: dict[str, list[Server]] = {}
        for server in self._servers.values():
            if server.removed_ms is None:
                services.setdefault(server.entry.service, []).append(server)
        self._listed_by_service = services
        self._ready_by_service = {
            service: [server for server in members if self.is_ready(server)]
            for service, members in services.items()
        }
        self._ready_slots = {
            service: sum(server.entry.slots for server in members)
            for service, members in self._ready_by_service.items()
        }
