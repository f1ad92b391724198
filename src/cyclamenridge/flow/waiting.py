"""Ranked queue of the SYNs and requests that wait for a slot of a service."""

import collections
from collections.abc import Callable
from collections.abc import Iterator

from cyclamenridge.flow import directory
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import routes
from cyclamenridge.flow import tracking

# Requests of one route that ``pop`` looks at. Those that belong to a busy
# server are passed over.
MAX_SCAN = 32
# Once the oldest request has waited this long the queue is standing, and the
# newest request is served first: it can still be answered in time.
STANDING_QUEUE_MS = 30
# Every so many requests, a lower rank goes first, so that a flood of the
# highest rank does not stop the others. As often, SYNs of the routes with the
# most work precede others of their rank.
FLOOR_INTERVAL = 8


class Waiting:
    """A SYN, or a request on an open flow, that waits for a slot.

    :ivar server: server of the open flow, None for a SYN
    :ivar packets: packets to forward, each with its datagram
    :ivar arrived_ms: arrival of the first packet
    :ivar late_ms: when it becomes too late for a timely answer
    :ivar expires_ms: when it must not wait any longer
    :ivar work_ms: time that a request of the route needs at a server
    :ivar is_surplus: whether the queue in front of a SYN is too long for it
    :ivar is_cancelled: whether the flow ended while it waited
    """

    __slots__ = (
        "arrived_ms",
        "expires_ms",
        "is_cancelled",
        "is_preferred",
        "is_surplus",
        "late_ms",
        "packets",
        "record",
        "route",
        "server",
        "service",
        "work_ms",
    )

    def __init__(
        self,
        now_ms: int,
        *,
        service: str,
        route: routes.Route,
        record: tracking.FlowRecord,
        server: directory.Server | None,
        is_preferred: bool,
        late_ms: int,
        expires_ms: int,
        work_ms: float = 0.0,
        is_surplus: bool = False,
    ) -> None:
        self.service = service
        self.route = route
        self.record = record
        self.server = server
        self.packets: list[tuple[packet_lib.Packet, bytes]] = []
        self.arrived_ms = now_ms
        self.is_preferred = is_preferred
        self.late_ms = late_ms
        self.expires_ms = expires_ms
        self.work_ms = work_ms
        self.is_surplus = is_surplus
        self.is_cancelled = False


class _RouteQueue:
    """SYNs, or requests on open flows, of a route; oldest first."""

    __slots__ = (
        "_scanned_ms",
        "is_surplus",
        "is_syn",
        "late",
        "rank",
        "timely",
        "work_ms",
    )

    def __init__(self, item: Waiting) -> None:
        self.rank = item.route.rank
        self.work_ms = item.work_ms
        self.is_syn = item.server is None
        self.is_surplus = item.is_surplus
        self._scanned_ms: int | None = None
        self.timely: collections.deque[Waiting] = collections.deque()
        self.late: collections.deque[Waiting] = collections.deque()

    def move_late(self, now_ms: int) -> None:
        if self.is_surplus:
            self._move_late_surplus(now_ms)
            return
        while self.timely and (
            self.timely[0].is_cancelled or self.timely[0].late_ms <= now_ms
        ):
            item = self.timely.popleft()
            if not item.is_cancelled:
                self.late.append(item)

    def _move_late_surplus(self, now_ms: int) -> None:
        """Move late requests whose waits differ.

        They wait for a few milliseconds only, so that the queue is short.
        """
        if not self.timely or self._scanned_ms == now_ms:
            return
        self._scanned_ms = now_ms
        items, self.timely = self.timely, collections.deque()
        for item in items:
            if not item.is_cancelled:
                is_late = item.late_ms <= now_ms
                (self.late if is_late else self.timely).append(item)

    def pop_timely(
        self, now_ms: int, can_start: Callable[[Waiting], bool]
    ) -> Waiting | None:
        self.move_late(now_ms)
        if not self.timely:
            return None
        is_standing = now_ms - self.timely[0].arrived_ms >= STANDING_QUEUE_MS
        return _take(self.timely, can_start, newest=is_standing)

    def pop_late(self, can_start: Callable[[Waiting], bool]) -> Waiting | None:
        return _take(self.late, can_start, newest=False)


def _take(
    items: collections.deque[Waiting],
    can_start: Callable[[Waiting], bool],
    *,
    newest: bool,
) -> Waiting | None:
    size = len(items)
    for offset in range(min(size, MAX_SCAN)):
        index = size - 1 - offset if newest else offset
        item = items[index]
        if item.is_cancelled or not can_start(item):
            continue
        del items[index]
        return item
    return None


def _longest_first(queues: list[_RouteQueue]) -> list[_RouteQueue]:
    """Return the queues of a rank, those of new flows with most work first."""
    return sorted(queues, key=lambda q: (q.is_syn, q.is_surplus, -q.work_ms))


class WaitingQueue:
    """Waiting requests of one service.

    Higher ranks go first. Within a rank, requests that can be answered in
    time precede late ones, and open flows precede new ones. New flows of
    routes with less work precede others: a slot that one long request takes
    serves several short ones.
    """

    def __init__(self) -> None:
        # By route, whether they are SYNs and whether these are surplus; sorted
        # by rank and work.
        self._routes: dict[tuple[str, bool, bool], _RouteQueue] = {}
        self._pops = 0

    def __len__(self) -> int:
        return sum(len(q.timely) + len(q.late) for q in self._routes.values())

    def count_ahead(self, route: routes.Route, work_ms: float) -> int:
        """Return the timely requests that precede a new SYN of a route.

        :param work_ms: time that a request of the route needs at a server
        """
        return sum(
            len(queue.timely)
            for (name, is_syn, is_surplus), queue in self._routes.items()
            if not is_surplus
            and queue.rank <= route.rank
            and not (
                is_syn
                and name != route.name
                and queue.rank == route.rank
                and queue.work_ms > work_ms
            )
        )

    @property
    def has_late_open_flow(self) -> bool:
        """Whether a late request on an open flow waits."""
        return any(
            not is_syn and queue.late
            for (_, is_syn, _), queue in self._routes.items()
        )

    def push(self, item: Waiting) -> None:
        """Add a request."""
        key = item.route.name, item.server is None, item.is_surplus
        queue = self._routes.get(key)
        if queue is None:
            queue = self._routes[key] = _RouteQueue(item)
            self._sort()
        elif (queue.rank, queue.work_ms) != (item.route.rank, item.work_ms):
            queue.rank, queue.work_ms = item.route.rank, item.work_ms
            self._sort()
        queue.timely.append(item)

    def _sort(self) -> None:
        self._routes = dict(
            sorted(
                self._routes.items(),
                key=lambda pair: (
                    pair[1].rank,
                    pair[1].is_syn,
                    pair[1].is_surplus,
                    pair[1].work_ms,
                ),
            )
        )

    def pop(
        self, now_ms: int, can_start: Callable[[Waiting], bool]
    ) -> Waiting | None:
        """Take the next request that can start."""
        ranks: dict[int, list[_RouteQueue]] = {}
        for queue in self._routes.values():
            if queue.timely or queue.late:
                ranks.setdefault(queue.rank, []).append(queue)
        groups = list(ranks.values())
        if len(groups) > 1 and self._pops % FLOOR_INTERVAL == 0:
            groups.append(groups.pop(0))
        if self._pops % FLOOR_INTERVAL == FLOOR_INTERVAL // 2:
            groups = [_longest_first(group) for group in groups]
        for group in groups:
            for queue in group:
                item = queue.pop_timely(now_ms, can_start)
                if item is not None:
                    self._pops += 1
                    return item
            for queue in group:
                item = queue.pop_late(can_start)
                if item is not None:
                    self._pops += 1
                    return item
        return None

    def pop_expired(self, now_ms: int) -> Iterator[Waiting]:
        """Take the requests that must not wait any longer."""
        for queue in self._routes.values():
            queue.move_late(now_ms)
            while queue.late and (
                queue.late[0].is_cancelled
                or queue.late[0].expires_ms <= now_ms
            ):
                item = queue.late.popleft()
                if not item.is_cancelled:
                    yield item

    def pop_all(self) -> Iterator[Waiting]:
        """Take all requests, those of the highest rank first."""
        for queue in self._routes.values():
            for items in (queue.timely, queue.late):
                while items:
                    item = items.popleft()
                    if not item.is_cancelled:
                        yield item
