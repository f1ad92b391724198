"""Server choice for packets that carry addresses and ports only.

The home balancer of a flow, found by rendezvous hashing over the home set,
stores the server of the flow. When the servers change, hashing may choose
another server for the flow. The home balancer then sends membership filters
of such moved flows to the other members, so that a successor can keep the
flows with their servers without a full list of them.
"""

import collections
from collections.abc import Iterator
import dataclasses
import itertools

from cyclamenridge.routing import pinned_flows
from cyclamenridge.routing import rendezvous

# A change of servers may have moved flows that only a lost member knows when
# it happened less than this before the loss and the member did not announce
# that its filters are complete. A member that stops answering is detected
# within 4 s, and filters of 28,000 moved flows take up to 25 s at 2 KB/s.
ANNOUNCEMENT_DELAY_MS = 30_000
MAX_SERVER_LISTS = 8
# It takes about 0.5 ms to build a filter of 600 flows.
FILTERS_PER_STEP = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _ServerList:
    """Servers that took new flows from a time on."""

    since_ms: int
    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AddressedFilter:
    """A filter or completion marker, and the member to send it to."""

    member: str
    filter: pinned_flows.PinnedFilter


class FlowRouter:
    """Chooses and stores the servers of the flows of one service.

    :param me: name of this balancer
    :param flow_limit: maximum number of stored flows
    :param idle_ms: a flow is dropped after one to two of these periods
        without a packet
    """

    def __init__(self, me: str, *, flow_limit: int, idle_ms: int) -> None:
        self._me = me
        self._home_set: tuple[str, ...] = (me,)
        # The home set and the balancers that are joining it.
        self._members: tuple[str, ...] = (me,)
        self._flow_limit = flow_limit
        self._idle_ms = idle_ms
        self._active_servers: tuple[str, ...] = ()
        self._initial_servers: tuple[str, ...] | None = None
        self._server_lists: collections.deque[_ServerList] = collections.deque(
            maxlen=MAX_SERVER_LISTS
        )
        self._lost_member_ms: dict[str, int] = {}
        # Digest of the list of servers whose filters a member has sent.
        self._announced_digests: dict[str, bytes] = {}
        self._scan_active = False
        self._pending_filters: Iterator[AddressedFilter] = iter(())
        self._known_servers: tuple[str, ...] = ()
        # Flows with a packet since the last rotation, and the others.
        self._recent_flows: dict[bytes, str] = {}
        self._older_flows: dict[bytes, str] = {}
        self._rotate_at_ms = 0
        # Received filters by origin and server.
        self._pinned_flows: dict[tuple[str, str], pinned_flows.PinnedSet] = {}
        self._unscanned_keys: list[bytes] = []
        # Keys by the receiver of the filter and the server of the flow.
        self._moved_flows: dict[tuple[str, str], list[bytes]] = (
            collections.defaultdict(list)
        )

    def __len__(self) -> int:
        return len(self._recent_flows) + len(self._older_flows)

    def set_servers(
        self, now_ms: int, servers: tuple[str, ...], known: tuple[str, ...]
    ) -> None:
        """Set the servers and start a scan for flows that the change moves.

        :param servers: servers that take new flows
        :param known: servers that may hold flows, draining ones included
        """
        self._active_servers = servers
        if self._initial_servers is None:
            self._initial_servers = servers
        self._server_lists.append(_ServerList(now_ms, servers))
        self._known_servers = known
        self._restart_scan()

    def set_members(
        self,
        now_ms: int,
        home_set: tuple[str, ...],
        joining: tuple[str, ...] = (),
    ) -> None:
        """Set the home set and start a scan for flows to announce.

        :param joining: balancers that receive filters but own no flows yet,
            so that they know the moved flows before packets reach them
        """
        for member in self._home_set:
            if member not in home_set:
                self._lost_member_ms[member] = now_ms
        for member in home_set:
            self._lost_member_ms.pop(member, None)
        self._home_set = home_set
        self._members = home_set + joining
        self._restart_scan()

    def home_balancer(self, key: bytes) -> str:
        """Return the member of the home set that owns a flow."""
        return rendezvous.choose(key, self._home_set)

    def _restart_scan(self) -> None:
        self._unscanned_keys = [*self._recent_flows, *self._older_flows]
        self._scan_active = True
        self._pending_filters = iter(())
        self._moved_flows.clear()

    def scan_step(self, limit: int) -> tuple[AddressedFilter, ...]:
        """Scan up to ``limit`` flows; after the scan, return some filters.

        The work is divided into steps because it delays packets: a step of
        2,000 flows takes less than 10 ms.
        """
        if not self._scan_active:
            return tuple(
                itertools.islice(self._pending_filters, FILTERS_PER_STEP)
            )
        for key in self._unscanned_keys[-limit:]:
            server = self._stored_server(key)
            if server is not None and server != self._server_by_hash(key):
                self._add_moved_flow(server, key)
        del self._unscanned_keys[-limit:]
        if self._unscanned_keys:
            return ()
        self._scan_active = False
        self._pending_filters = self._build_filters(dict(self._moved_flows))
        return ()

    def _build_filters(
        self, moved: dict[tuple[str, str], list[bytes]]
    ) -> Iterator[AddressedFilter]:
        for (member, server), keys in moved.items():
            for item in pinned_flows.build_filters(server, keys):
                yield AddressedFilter(member, item)
        for member in self._members:
            if member != self._me:
                yield AddressedFilter(
                    member,
                    pinned_flows.completion_marker(self._active_servers),
                )

    def _add_moved_flow(self, server: str, key: bytes) -> None:
        # Only the balancer that would own the flow next needs to know it,
        # so that each moved flow costs one filter entry.
        for member in rendezvous.ranked(key, self._members):
            if member != self._me:
                self._moved_flows[member, server].append(key)
                return

    def add_filter(self, origin: str, item: pinned_flows.PinnedFilter) -> None:
        """Store a filter that another member of the home set sent."""
        if origin not in self._members and origin not in self._lost_member_ms:
            return
        if item.is_completion_marker:
            self._announced_digests[origin] = item.data
            return
        pinned_set = self._pinned_flows.get((origin, item.server))
        if pinned_set is None or pinned_set.parts != item.parts:
            pinned_set = pinned_flows.PinnedSet(item.server, item.parts)
            self._pinned_flows[origin, item.server] = pinned_set
        pinned_set.add(item)

    def has_flow(self, key: bytes, server: str) -> bool:
        """Whether a flow is stored here with a server."""
        return self._stored_server(key) == server

    def remove_server(self, server: str) -> None:
        """Drop the flows and filters of a server that no longer exists."""
        for flows in (self._recent_flows, self._older_flows):
            for key in [k for k, name in flows.items() if name == server]:
                del flows[key]
        for origin_server in [k for k in self._pinned_flows if k[1] == server]:
            del self._pinned_flows[origin_server]

    def route(
        self, now_ms: int, key: bytes, *, opening: bool | None = None
    ) -> str | None:
        """Return the server of a flow, or None when there is none.

        :param opening: whether the packet opens a flow; None when unknown.
            A flow that may be new must not go to a draining server.
        """
        if now_ms >= self._rotate_at_ms:
            self._rotate(now_ms)
        server = self._recent_flows.get(key)
        if server is not None:
            return server
        server = self._older_flows.pop(key, None)
        if server is None:
            server = self._pinned_server(key)
        if server is None and not opening:
            server = self._server_at_lost_home(
                key,
                self._active_servers
                if opening is None
                else self._known_servers,
            )
        if server is None:
            server = self._server_by_hash(key)
        if server is not None and len(self) < self._flow_limit:
            self._recent_flows[key] = server
        return server

    def _rotate(self, now_ms: int) -> None:
        """Drop the flows without a packet since the last rotation."""
        self._older_flows = self._recent_flows
        self._recent_flows = {}
        self._rotate_at_ms = now_ms + self._idle_ms
        for member, lost_ms in list(self._lost_member_ms.items()):
            if now_ms - lost_ms > self._idle_ms:
                self._remove_member(member)

    def _remove_member(self, member: str) -> None:
        """Drop the filters of a lost member.

        Flows that are still in use have been stored here since the loss.
        """
        del self._lost_member_ms[member]
        self._announced_digests.pop(member, None)
        for origin_server in [k for k in self._pinned_flows if k[0] == member]:
            del self._pinned_flows[origin_server]

    def _server_at_lost_home(
        self, key: bytes, allowed_servers: tuple[str, ...]
    ) -> str | None:
        """Choose the server of a flow as its lost home balancer did.

        The list of servers is the latest one whose moved flows the lost
        member has surely announced, or else the oldest one stored.
        """
        if not (self._lost_member_ms and self._server_lists):
            return None
        home = rendezvous.choose(key, (*self._home_set, *self._lost_member_ms))
        lost_ms = self._lost_member_ms.get(home)
        if lost_ms is None:
            return None
        digest = self._announced_digests.get(home)
        for server_list in reversed(self._server_lists):
            if (
                server_list.since_ms < lost_ms - ANNOUNCEMENT_DELAY_MS
                or pinned_flows.completion_marker(server_list.servers).data
                == digest
            ):
                break
        servers = [
            name for name in server_list.servers if name in allowed_servers
        ]
        return rendezvous.choose(key, servers) if servers else None

    def _stored_server(self, key: bytes) -> str | None:
        return self._recent_flows.get(key) or self._older_flows.get(key)

    def _server_by_hash(self, key: bytes) -> str | None:
        if not self._active_servers:
            return None
        return rendezvous.choose(key, self._active_servers)

    def _pinned_server(self, key: bytes) -> str | None:
        matches = {
            item.server for item in self._pinned_flows.values() if key in item
        }
        if not matches:
            return None
        # The server of a flow that one change moved is the best candidate
        # (it is draining) or the second one after a server that joined
        # later. Other matches are false positives of the filters.
        best, *others = rendezvous.ranked(key, self._known_servers)[:2]
        if best in matches:
            return best
        joined = best not in (self._initial_servers or ())
        if joined and others and others[0] in matches:
            return others[0]
        return None
