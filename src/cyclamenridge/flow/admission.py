"""Admission of requests while a service has more work than slots.

This answers bursts above the capacity of the servers. Without it the queues
of the servers fill up: each answer is late, requests of the highest rank are
refused as often as others, and clients use up their tries.
"""

from collections.abc import Callable

from cyclamenridge.flow import demand as demand_lib
from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import routes
from cyclamenridge.flow import server_stats as stats_lib
from cyclamenridge.flow import service_window
from cyclamenridge.flow import syn_wait as syn_wait_lib
from cyclamenridge.flow import tracking
from cyclamenridge.flow import waiting
from cyclamenridge.flow import work as work_lib

# Part of the limit that first SYNs of the lowest rank may use. The rest is for
# requests on open flows and for higher ranks.
LOWEST_RANK_PART = 0.75
# It shrinks by this many times the part of late requests on open flows, to at
# least the minimum: a new flow may bring more requests that can't be refused.
LATE_OPEN_FACTOR = 0.8
MIN_LOWEST_RANK_PART = 0.25
# Weight of a request that waited, and of a refresh with late ones waiting.
LATE_OPEN_SMOOTHING = 0.1
# Factor on the part of late requests at each refresh of the window.
LATE_OPEN_DECAY = 0.93
# Shortest wait after which a request on an open flow counts as late.
MIN_TIMELY_WAIT_MS = 10
# A request on an open flow cannot be refused here. It waits for this part of
# its time budget and then goes to its server.
OPEN_FLOW_WAIT_PART = 0.9
# Bound on the memory of the queue: 16 packets of 1,236 bytes a request.
MAX_WAITING = 2000


def _can_always_place(now_ms: int, service: str) -> bool:
    """Allow new flows to all services."""
    return True


class AdmissionControl:
    """Decides which requests start and which wait.

    :ivar balancers: number of balancers, this one included
    :ivar peer_demand: requests at other balancers, from their beacons
    :ivar peer_scale: peers per peer whose load is known, None if no load is
    :ivar waiting_count: requests that wait, at all services
    :ivar can_place: returns, for a time and a service, whether a new flow may
        go to any of its servers
    :ivar work: service and answer times by route
    :ivar syn_wait: how long SYNs may wait
    """

    def __init__(
        self,
        directory: directory_lib.Directory,
        server_stats: stats_lib.ServerStatsTable,
    ) -> None:
        self.balancers = 1
        self.peer_demand = demand_lib.PeerDemand()
        self.peer_scale: float | None = 1.0
        self.waiting_count = 0
        self.can_place: Callable[[int, str], bool] = _can_always_place
        self._directory = directory
        self._server_stats = server_stats
        self._windows: dict[str, service_window.ServiceWindow] = {}
        self.work = work_lib.RouteWork()
        self.syn_wait = syn_wait_lib.SynWait(self.work)

    def window(self, service: str) -> service_window.ServiceWindow:
        """Return the window of a service."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = service_window.ServiceWindow()
        return window

    def can_start(
        self,
        now_ms: int,
        service: str,
        server: directory_lib.Server | None,
        *,
        is_preferred: bool,
        is_late: bool = False,
    ) -> bool:
        """Return whether a request may be sent to a server now.

        :param server: the only server that it may go to, if any
        :param is_preferred: whether another route of the service ranks lower
        :param is_late: whether it is too late for a timely answer
        """
        window = self.window(service)
        if window.needs_refresh(now_ms):
            self._refresh(now_ms, service, window)
        limit = window.limit
        if is_late or (server is None and not is_preferred):
            limit *= max(
                MIN_LOWEST_RANK_PART,
                LOWEST_RANK_PART - LATE_OPEN_FACTOR * window.late_open_part,
            )
        if window.is_full(now_ms, limit):
            return False
        return server is None or self._has_room(now_ms, window, server)

    def enqueue(
        self,
        now_ms: int,
        *,
        service: str,
        route: routes.Route,
        record: tracking.FlowRecord,
        server: directory_lib.Server | None,
        is_preferred: bool,
    ) -> waiting.Waiting | None:
        """Queue a request; return None when the queue is full.

        :param is_preferred: whether another route of the service ranks lower
        """
        if self.waiting_count >= MAX_WAITING:
            return None
        is_surplus = False
        if server is None:
            wait_ms, is_surplus = self.syn_wait.wait_ms(
                self.window(service), route, is_preferred=is_preferred
            )
            late_ms = expires_ms = now_ms + wait_ms
        else:
            spare_ms = route.aim_ms - self.work.answer_ms(route)
            late_ms = now_ms + max(MIN_TIMELY_WAIT_MS, round(spare_ms))
            expires_ms = now_ms + round(
                route.deadline_ms * OPEN_FLOW_WAIT_PART
            )
        item = waiting.Waiting(
            now_ms,
            service=service,
            route=route,
            record=record,
            server=server,
            is_preferred=is_preferred,
            late_ms=late_ms,
            expires_ms=expires_ms,
            work_ms=self.work.service_ms(route.name),
            is_surplus=is_surplus,
        )
        self.window(service).queue.push(item)
        self.waiting_count += 1
        return item

    def demand(self) -> dict[str, int]:
        """Return the requests in progress and waiting, by service."""
        return {
            service: window.demand
            for service, window in self._windows.items()
            if window.demand
        }

    def has_waiting(self, service: str) -> bool:
        """Return whether requests of a service wait for a slot."""
        return len(self.window(service).queue) > 0

    def pop(self, now_ms: int) -> waiting.Waiting | None:
        """Take a request that can start now."""

        def can_start(item: waiting.Waiting) -> bool:
            if item.server is None and not self.can_place(
                now_ms, item.service
            ):
                return False
            return self.can_start(
                now_ms,
                item.service,
                item.server,
                is_preferred=item.is_preferred,
                is_late=item.late_ms <= now_ms and not item.is_preferred,
            )

        for service, window in self._windows.items():
            if len(window.queue) and self.can_start(
                now_ms, service, None, is_preferred=True
            ):
                item = window.queue.pop(now_ms, can_start)
                if item is not None:
                    if item.server is not None:
                        window.late_open_part += LATE_OPEN_SMOOTHING * (
                            (item.late_ms <= now_ms) - window.late_open_part
                        )
                    self.waiting_count -= 1
                    return item
        return None

    def can_refuse(self, service: str) -> bool:
        """Return whether requests in progress are known well enough."""
        window = self.window(service)
        return window.foreign_part <= service_window.MAX_FOREIGN_PART

    def pop_expired(self, now_ms: int) -> list[waiting.Waiting]:
        """Take the requests that must not wait any longer."""
        expired = [
            item
            for window in self._windows.values()
            for item in window.queue.pop_expired(now_ms)
        ]
        self.waiting_count = sum(
            len(window.queue) for window in self._windows.values()
        )
        return expired

    def pop_all(self) -> list[waiting.Waiting]:
        """Take all requests, those of the highest rank first."""
        items = [
            item
            for window in self._windows.values()
            for item in window.queue.pop_all()
        ]
        self.waiting_count = 0
        return items

    def _has_room(
        self,
        now_ms: int,
        window: service_window.ServiceWindow,
        server: directory_lib.Server,
    ) -> bool:
        name = server.entry.name
        stats = self._server_stats.for_server(name)
        in_progress = window.in_progress_at(now_ms, name)
        return (
            in_progress == 0
            or stats.is_silent(now_ms)
            or in_progress + stats.peer_pending * (self.peer_scale or 1.0)
            < window.per_slot * server.entry.slots
        )

    def _refresh(
        self, now_ms: int, service: str, window: service_window.ServiceWindow
    ) -> None:
        window.late_open_part *= LATE_OPEN_DECAY
        if window.queue.has_late_open_flow:
            window.late_open_part += LATE_OPEN_SMOOTHING * (
                1 - window.late_open_part
            )
        slots = self._directory.ready_slots(service)
        silent_slots = 0
        # Slots of these servers do not count, so requests there must not
        # either.
        closed = {
            name
            for name in window.servers()
            if (server := self._directory.get(name)) is not None
            and server.removed_ms is not None
        }
        for server in self._directory.listed_servers(service):
            name = server.entry.name
            stats = self._server_stats.find(name)
            if not self._directory.is_ready(server):
                closed.add(name)
            elif stats is not None and stats.is_silent(now_ms):
                silent_slots += server.entry.slots
        if silent_slots < slots:
            slots -= silent_slots
        window.refresh(
            now_ms,
            slots=slots,
            peer_demand=self.peer_demand.estimate(
                now_ms, service, peers=self.balancers - 1
            ),
            balancers=self.balancers,
            closed=frozenset(closed),
        )
