"""Directory of the backend servers that the store and the peers list."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import enum

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge.flow import evacuation
from cyclamenridge.flow import fields
from cyclamenridge.flow import holds
from cyclamenridge.flow import position as position_lib
from cyclamenridge.flow import warmup_ends

Position = position_lib.Position


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
    :param epoch: epoch of the store that the revision belongs to
    """

    name: fields.Name
    ident: int
    service: fields.Name
    address: address_lib.Address
    failure_domain: fields.Name
    slots: fields.Count
    state: ServerState
    warmup_ms: fields.Duration
    born_ms: fields.Timestamp
    revision: fields.Version
    epoch: fields.Version = 0

    @property
    def position(self) -> Position:
        """Return the point in the store's history at which it was written."""
        return Position(self.epoch, self.revision)

    def is_older_state_than(self, other: "ServerEntry") -> bool:
        """Return whether the server left this state before another one.

        Holds for an earlier incarnation, and for a ready one that drains
        according to the other entry: no server takes back that it leaves.
        """
        if self.born_ms != other.born_ms:
            return self.born_ms < other.born_ms
        return (
            self.state is ServerState.READY
            and other.state is ServerState.DRAINING
        )


class Server:
    """Backend server with its newest entry.

    :ivar position: store position of the newest entry or removal
    :ivar token: value that identifies the server in packets of its flows
    :ivar removed_ms: when the entry was removed, None while it is listed
    :ivar warmup_end_ms: when the warm-up is expected to end
    """

    __slots__ = ("entry", "position", "removed_ms", "token", "warmup_end_ms")

    def __init__(self, entry: ServerEntry, now_ms: int) -> None:
        self.entry = entry
        self.position = entry.position
        self.token = token_of(entry.ident)
        self.removed_ms: int | None = None
        self.warmup_end_ms = now_ms + entry.warmup_ms


REGISTRATION_TIMEOUT_MS = holds.REGISTRATION_TIMEOUT_MS
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


class Listing(msgspec.Struct, frozen=True):
    """What a complete list of servers changed.

    :param put: names of servers with a newer entry
    :param removed: names of servers that are no longer listed
    :param held: names of servers for which the list has to be confirmed
    """

    put: list[str]
    removed: list[str]
    held: list[str]


def _ignore_event(event: str, **fields: object) -> None:
    """Default callback for events."""


class Directory:
    """Servers by name and by token; older entries never replace newer ones.

    A store that was restored from an older copy lists servers in states that
    they have left, and lacks servers, until they have written their entries
    again. Such entries are held until they are written again or time has
    confirmed them: the store removes the entry of a server that is gone.

    Servers of evacuated failure domains accept no new flows.

    :ivar position: store position up to which changes are applied
    :ivar evacuations: orders to evacuate failure domains
    """

    def __init__(
        self,
        longest_flow_ms: int,
        *,
        report_interval_ms: int,
        log_event: Callable[..., None] = _ignore_event,
    ) -> None:
        self.position = Position()
        self._retention_ms = longest_flow_ms * RETENTION_FACTOR
        self._servers: dict[str, Server] = {}
        self._by_token: dict[int, Server] = {}
        # Indexes of _servers, rebuilt on demand: a start puts thousands of
        # entries at once.
        self._listed_by_service: dict[str, list[Server]] = {}
        self._ready_by_service: dict[str, list[Server]] = {}
        self._ready_slots: dict[str, int] = {}
        self._is_indexed = True
        self._warmup_ends = warmup_ends.WarmupEnds()
        # The value is None if the store does not list the server.
        self._holds: holds.Holds[ServerEntry | None] = holds.Holds()
        self._entry_hold_ms = holds.entry_hold_ms(report_interval_ms)
        self.evacuations = evacuation.Evacuations(
            hold_ms=self._entry_hold_ms,
            has_servers=self._has_servers_in,
            log_event=log_event,
        )
        # Changes of the orders that the indexes include.
        self._indexed_changes = 0

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
            and not self.evacuations.is_evacuated(server.entry.failure_domain)
            and not self.has_token_collision(server)
        )

    def _has_servers_in(self, domain: str) -> bool:
        return any(
            server.removed_ms is None and server.entry.failure_domain == domain
            for server in self._servers.values()
        )

    def put(self, now_ms: int, entry: ServerEntry) -> bool:
        """Store an entry; return False if a newer one is known.

        An entry that is of a later epoch but in an older state is held.
        """
        server = self._servers.get(entry.name)
        if server is not None and server.position >= entry.position:
            return False
        if (
            server is not None
            and server.position.epoch < entry.epoch
            and entry.is_older_state_than(server.entry)
        ):
            self._hold(now_ms, entry.name, entry.position, entry)
            return False
        self._set(now_ms, entry)
        return True

    def _set(self, now_ms: int, entry: ServerEntry) -> None:
        server = self._servers.get(entry.name)
        fresh = Server(entry, now_ms)
        fresh.warmup_end_ms = self._warmup_ends.end_ms(now_ms, server, entry)
        self._servers[entry.name] = fresh
        holder = self._by_token.get(fresh.token)
        if (
            holder is None
            or holder.entry.name == entry.name
            or holder.removed_ms is not None
        ):
            self._by_token[fresh.token] = fresh
        self._is_indexed = False
        self._holds.discard(entry.name)

    def assume_cold(
        self,
        now_ms: int,
        failure_domain: str,
        position: Position,
        durations_ms: Mapping[str, int],
    ) -> None:
        """Count the servers of a domain as cold until they report it.

        Entries up to ``position`` may only extend the warm-up, later ones set
        its end anew.

        :param durations_ms: warm-up by service
        """
        if not self._warmup_ends.assume_cold(
            now_ms, failure_domain, position, durations_ms
        ):
            return
        for server in self._servers.values():
            server.warmup_end_ms = max(
                server.warmup_end_ms,
                self._warmup_ends.assumed_end_ms(
                    server.entry, server.position
                ),
            )

    def remove(self, now_ms: int, name: str, position: Position) -> bool:
        """Mark a server as removed; return whether that changed its state."""
        server = self._servers.get(name)
        if server is None or server.position >= position:
            return False
        server.position = position
        self._holds.discard(name)
        if server.removed_ms is not None:
            return False
        server.removed_ms = now_ms
        self._is_indexed = False
        return True

    def replace(
        self, now_ms: int, position: Position, entries: Iterable[ServerEntry]
    ) -> Listing:
        """Apply a complete list of servers.

        :param position: store position at which reading the list began
        """
        put = []
        names = set()
        for entry in entries:
            names.add(entry.name)
            if self.put(now_ms, entry):
                put.append(entry.name)
        removed = [
            name
            for name in list(self._servers)
            if name not in names and self._drop(now_ms, name, position)
        ]
        self.advance(position)
        return Listing(put, removed, list(self._holds))

    def _drop(self, now_ms: int, name: str, position: Position) -> bool:
        """Remove a server that a list omits, or hold that it is missing."""
        server = self._servers[name]
        if (
            server.removed_ms is None
            and server.position.epoch < position.epoch
        ):
            held = self._hold(now_ms, name, position, None)
            if not held.is_confirmed(now_ms):
                return False
        return self.remove(now_ms, name, position)

    def _hold(
        self,
        now_ms: int,
        name: str,
        position: Position,
        entry: ServerEntry | None,
    ) -> holds.Held[ServerEntry | None]:
        return self._holds.hold(
            now_ms,
            name,
            position,
            entry,
            hold_ms=(
                REGISTRATION_TIMEOUT_MS
                if entry is None
                else self._entry_hold_ms
            ),
        )

    def settle(self, now_ms: int) -> list[str]:
        """Apply what was held for long enough; return the servers' names.

        To be called when all changes up to ``now_ms`` are applied.
        """
        self.evacuations.settle(now_ms)
        names = []
        for name, held in self._holds.pop_confirmed(now_ms):
            names.append(name)
            if held.value is None:
                self.remove(now_ms, name, held.position)
            else:
                self._set(now_ms, held.value)
        return names

    def restart_holds(self, now_ms: int) -> None:
        """Hold everything anew, because the store was away meanwhile."""
        self._holds.restart(now_ms)
        self.evacuations.restart_holds(now_ms)

    def advance(self, position: Position) -> None:
        """Record that all changes up to a store position are applied."""
        self.position = max(self.position, position)

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
        if (
            self._is_indexed
            and self._indexed_changes == self.evacuations.changes
        ):
            return
        self._is_indexed = True
        self._indexed_changes = self.evacuations.changes
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
