"""Server choice for packets that carry addresses and ports only.

The home balancer of a flow (rendezvous hashing over the home set) remembers
its server. When servers change, it tells the other members which flows
hashing would move, as membership filters: a successor then needs no list of
flows to keep them with their servers.
"""

import collections
from collections.abc import Iterator
import dataclasses
import itertools

from cyclamenridge.routing import pinned
from cyclamenridge.routing import rendezvous

# A member that stops answering is noticed within 4 s and needs up to 25 s to
# tell 28,000 moved flows at 2 KB/s. Changes of servers that are younger than
# this when a member is lost, and that it did not confirm as told, may have
# moved flows which only that member knew.
FILTER_DELAY_MS = 30_000
TABLES_KEPT = 8
# A filter of 600 flows takes about half a millisecond to build.
FILTERS_PER_STEP = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Table:
    since_ms: int
    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FilterTarget:
    """A filter and the member that would take over its flows."""

    member: str
    filter: pinned.PinnedFilter


class TokenlessRouter:
    """Flows of one service at one balancer.

    :param me: name of this balancer
    :param flow_limit: flows that are remembered at most
    :param idle_ms: a flow is forgotten after one to two of these periods
        without a packet
    """

    def __init__(self, me: str, *, flow_limit: int, idle_ms: int) -> None:
        self._me = me
        self._homes: tuple[str, ...] = (me,)
        self._members: tuple[str, ...] = (me,)
        self._flow_limit = flow_limit
        self._idle_ms = idle_ms
        self._servers: tuple[str, ...] = ()
        self._initial: tuple[str, ...] | None = None
        self._tables: collections.deque[_Table] = collections.deque(
            maxlen=TABLES_KEPT
        )
        self._lost_ms: dict[str, int] = {}
        self._told: dict[str, bytes] = {}
        self._scanning = False
        self._filters: Iterator[FilterTarget] = iter(())
        self._known: tuple[str, ...] = ()
        self._recent: dict[bytes, str] = {}
        self._older: dict[bytes, str] = {}
        self._rotate_at_ms = 0
        self._pinned: dict[tuple[str, str], pinned.PinnedSet] = {}
        self._scan: list[bytes] = []
        self._moved: dict[tuple[str, str], list[bytes]] = (
            collections.defaultdict(list)
        )

    def __len__(self) -> int:
        return len(self._recent) + len(self._older)

    def set_servers(
        self, now_ms: int, servers: tuple[str, ...], known: tuple[str, ...]
    ) -> None:
        """Take over a new list of servers and look for flows it moves.

        :param servers: servers that take new flows
        :param known: servers that may hold flows, leaving ones included
        """
        self._servers = servers
        if self._initial is None:
            self._initial = servers
        self._tables.append(_Table(now_ms, servers))
        self._known = known
        self._rescan()

    def set_members(
        self,
        now_ms: int,
        homes: tuple[str, ...],
        joining: tuple[str, ...] = (),
    ) -> None:
        """Take over a new home set and tell flows to those who lack them.

        :param joining: members that are told of flows but own none yet, so
            that they know the moved flows before packets reach them
        """
        for member in self._homes:
            if member not in homes:
                self._lost_ms[member] = now_ms
        for member in homes:
            self._lost_ms.pop(member, None)
        self._homes = homes
        self._members = homes + joining
        self._rescan()

    def home(self, key: bytes) -> str:
        """Return the member that owns a flow."""
        return rendezvous.choose(key, self._homes)

    def _rescan(self) -> None:
        self._scan = [*self._recent, *self._older]
        self._scanning = True
        self._filters = iter(())
        self._moved.clear()

    def step(self, limit: int) -> tuple[FilterTarget, ...]:
        """Examine up to ``limit`` flows, then build filters step by step.

        Steps keep the packet path responsive: one step of 2,000 flows
        takes less than 10 ms.
        """
        if not self._scanning:
            return tuple(itertools.islice(self._filters, FILTERS_PER_STEP))
        for key in self._scan[-limit:]:
            server = self._remembered(key)
            if server is not None and server != self._hashed(key):
                self._add_moved(server, key)
        del self._scan[-limit:]
        if self._scan:
            return ()
        self._scanning = False
        self._filters = self._build_filters(dict(self._moved))
        return ()

    def _build_filters(
        self, moved: dict[tuple[str, str], list[bytes]]
    ) -> Iterator[FilterTarget]:
        for (member, server), keys in moved.items():
            for item in pinned.build(server, keys):
                yield FilterTarget(member, item)
        for member in self._members:
            if member != self._me:
                yield FilterTarget(member, pinned.completion(self._servers))

    def _add_moved(self, server: str, key: bytes) -> None:
        # Only the next balancer in line needs to know a flow, which keeps
        # the cost at one filter entry for each moved flow.
        for member in rendezvous.ranked(key, self._members):
            if member != self._me:
                self._moved[member, server].append(key)
                return

    def learn(self, origin: str, item: pinned.PinnedFilter) -> None:
        """Use a filter told by another balancer of the home set."""
        if origin not in self._members and origin not in self._lost_ms:
            return
        if item.is_completion:
            self._told[origin] = item.data
            return
        known = self._pinned.get((origin, item.server))
        if known is None or known.parts != item.parts:
            known = pinned.PinnedSet(item.server, item.parts)
            self._pinned[origin, item.server] = known
        known.add(item)

    def remembers(self, key: bytes, server: str) -> bool:
        """Tell whether a flow is known here to be at a server."""
        return self._remembered(key) == server

    def forget_server(self, server: str) -> None:
        """Drop all that names a server which no longer exists."""
        for table in (self._recent, self._older):
            for key in [k for k, name in table.items() if name == server]:
                del table[key]
        for origin_server in [k for k in self._pinned if k[1] == server]:
            del self._pinned[origin_server]

    def route(
        self, now_ms: int, key: bytes, *, opening: bool | None = None
    ) -> str | None:
        """Return the server of a flow, or None when there is none.

        :param opening: the packet opens a flow; None when that cannot be
            seen, so that it must not go to a server which is leaving
            unless the flow is known
        """
        if now_ms >= self._rotate_at_ms:
            self._rotate(now_ms)
        server = self._recent.get(key)
        if server is not None:
            return server
        server = self._older.pop(key, None)
        if server is None:
            server = self._pinned_server(key)
        if server is None and not opening:
            server = self._earlier(
                key, self._servers if opening is None else self._known
            )
        if server is None:
            server = self._hashed(key)
        if server is not None and len(self) < self._flow_limit:
            self._recent[key] = server
        return server

    def _rotate(self, now_ms: int) -> None:
        self._older = self._recent
        self._recent = {}
        self._rotate_at_ms = now_ms + self._idle_ms
        for member, lost_ms in list(self._lost_ms.items()):
            if now_ms - lost_ms > self._idle_ms:
                self._forget_member(member)

    def _forget_member(self, member: str) -> None:
        """Drop what a lost member told.

        Its flows that are still in use are remembered here by now.
        """
        del self._lost_ms[member]
        self._told.pop(member, None)
        for origin_server in [k for k in self._pinned if k[0] == member]:
            del self._pinned[origin_server]

    def _earlier(self, key: bytes, usable: tuple[str, ...]) -> str | None:
        """Choose as a lost member did if it could not tell moved flows."""
        if not self._lost_ms:
            return None
        home = rendezvous.choose(key, (*self._homes, *self._lost_ms))
        lost_ms = self._lost_ms.get(home)
        if lost_ms is None:
            return None
        told = self._told.get(home)
        for table in reversed(self._tables):
            if (
                table.since_ms < lost_ms - FILTER_DELAY_MS
                or pinned.completion(table.servers).data == told
            ):
                break
        servers = [name for name in table.servers if name in usable]
        return rendezvous.choose(key, servers) if servers else None

    def _remembered(self, key: bytes) -> str | None:
        return self._recent.get(key) or self._older.get(key)

    def _hashed(self, key: bytes) -> str | None:
        if not self._servers:
            return None
        return rendezvous.choose(key, self._servers)

    def _pinned_server(self, key: bytes) -> str | None:
        matches = {
            item.server for item in self._pinned.values() if key in item
        }
        if not matches:
            return None
        # A flow that one change moved has its server as the best candidate
        # (the server is leaving) or as the second one behind a server that
        # joined later; other matches are false positives.
        first, *others = rendezvous.ranked(key, self._known)[:2]
        if first in matches:
            return first
        joined = first not in (self._initial or ())
        if joined and others and others[0] in matches:
            return others[0]
        return None
