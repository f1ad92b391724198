"""Admission of requests while a service has more work than slots.

This answers bursts above the capacity of the servers. Without it the queues
of the servers fill up: each answer is late, requests of the highest rank are
refused as often as others, and clients use up their tries.
"""

from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import routes
from cyclamenridge.flow import server_stats as stats_lib
from cyclamenridge.flow import tracking
from cyclamenridge.flow import waiting

# Requests in progress for each slot of a service, at all balancers together.
# Fewer leave slots idle between two requests. More wait at the servers, which
# refuse requests above five a slot.
MIN_REQUESTS_PER_SLOT = 1.5
INITIAL_REQUESTS_PER_SLOT = 2.0
MAX_REQUESTS_PER_SLOT = 4.5
# Part of the limit that first SYNs of the lowest rank may use. The rest is for
# requests on open flows and for higher ranks.
LOWEST_RANK_PART = 0.75
# Aim for the time at the server and on the network, as a part of the target
# latency. The limit for each slot shrinks above it and grows below it.
ANSWER_TIME_PART = 0.6
LIMIT_DECREASE_FACTOR = 0.85
LIMIT_INCREASE_FACTOR = 1.03
# A burst reaches all balancers before their beacons tell of it. At first the
# window is this many times the even part of the slots. It grows by the second
# factor at each refresh while it is full and the peers leave slots unused.
INITIAL_WINDOW_FACTOR = 1.2
WINDOW_GROWTH_FACTOR = 1.15
REFRESH_INTERVAL_MS = 100
# Minimum interval of recounts of a window that is full.
RECOUNT_INTERVAL_MS = 10
# Weight of a new sum of the peers' requests, which arrives up to 200 ms late.
PEER_SMOOTHING = 0.5
# Weight of a new sample in the mean latency.
LATENCY_SMOOTHING = 0.1
# A request is not counted any longer after this many times the mean latency:
# its answer may be acknowledged through another balancer.
OVERDUE_FACTOR = 4
# Above this part of requests without an end, their count proves nothing: their
# packets are spread over several balancers.
MAX_LOST_PART = 0.25
INITIAL_LOST_PART = 0.5
# Weight of a flow that another balancer opened in that part.
FOREIGN_FLOW_WEIGHT = 0.2
# Mean latencies before the first answer.
INITIAL_HANDSHAKE_MS = 5.0
INITIAL_ANSWER_MS = 50.0
MIN_OVERDUE_MS = 20
# A SYN is refused once it has waited for this part of its target latency, so
# that a client whose last try is served is still answered in time.
SYN_WAIT_PART = 1 / 6
# The same for routes that others rank below. Requests of the lower rank make
# room for them, so that a longer wait mostly ends with a slot.
PREFERRED_WAIT_PART = 1 / 3
# After the retransmission at 200 ms, a SYN cannot be refused any more.
MAX_SYN_WAIT_MS = 150
# A request on an open flow is late once it has waited for this part of its
# target latency; the rest is needed at the server.
TIMELY_WAIT_PART = 0.5
# A request on an open flow cannot be refused here. It waits for this part of
# its time budget and then goes to its server.
OPEN_FLOW_WAIT_PART = 0.9
# Bound on the memory of the queue: 16 packets of 1,236 bytes a request.
MAX_WAITING = 2000


class Started:
    """A SYN or request that was sent to a server.

    :ivar is_syn: whether the handshake ends it, not an answer
    """

    __slots__ = ("aim_ms", "is_ended", "is_syn", "started_ms")

    def __init__(self, now_ms: int, *, is_syn: bool, aim_ms: int) -> None:
        self.started_ms = now_ms
        self.is_syn = is_syn
        self.aim_ms = aim_ms
        self.is_ended = False


class _MeanLatency:
    """Moving average of the time between start and end."""

    __slots__ = ("mean_ms",)

    def __init__(self, initial_ms: float) -> None:
        self.mean_ms = initial_ms

    @property
    def overdue_ms(self) -> float:
        return max(MIN_OVERDUE_MS, OVERDUE_FACTOR * self.mean_ms)

    def record(self, value_ms: int) -> None:
        bounded_ms = min(value_ms, self.overdue_ms)
        self.mean_ms += LATENCY_SMOOTHING * (bounded_ms - self.mean_ms)


class ServiceWindow:
    """Requests of a service that this balancer may have in progress.

    :ivar limit: upper bound of ``in_progress``
    :ivar per_slot: requests for each slot of the service, at all balancers
    :ivar lost_part: part of the started requests whose end was not seen
    """

    def __init__(self) -> None:
        self.in_progress = 0
        self.limit = 0.0
        self.per_slot = INITIAL_REQUESTS_PER_SLOT
        self.queue = waiting.WaitingQueue()
        self.lost_part = INITIAL_LOST_PART
        self._peer_requests = 0.0
        self._refreshed_ms: int | None = None
        self._was_full = False
        self._counted_ms = 0
        self._started: list[Started] = []
        # Mean answer time as a part of the target latency.
        self._answer_part = 0.0
        self._handshakes = _MeanLatency(INITIAL_HANDSHAKE_MS)
        self._answers = _MeanLatency(INITIAL_ANSWER_MS)

    def needs_refresh(self, now_ms: int) -> bool:
        """Return whether the limit and the count have to be updated."""
        return (
            self._refreshed_ms is None
            or now_ms - self._refreshed_ms >= REFRESH_INTERVAL_MS
        )

    def refresh(
        self,
        now_ms: int,
        *,
        slots: int,
        peer_requests: float | None,
        balancers: int,
    ) -> None:
        """Update the limit, and drop overdue requests from the count.

        A balancer may always use its even part of the slots, also when it
        cannot receive beacons.

        :param slots: slots of the service's servers
        :param peer_requests: requests in progress at other balancers, None if
            no beacon tells of them
        """
        self._refreshed_ms = now_ms
        self._adapt_to_answers()
        total = self.per_slot * slots
        even_part = total / balancers
        if peer_requests is None:
            peer_requests = total - even_part
        self._peer_requests += PEER_SMOOTHING * (
            peer_requests - self._peer_requests
        )
        limit = INITIAL_WINDOW_FACTOR * even_part
        if self._was_full:
            limit = max(limit, WINDOW_GROWTH_FACTOR * self.limit)
        self._was_full = False
        unused = total - self._peer_requests
        self.limit = max(1.0, even_part, min(limit, unused))
        self._drop_overdue(now_ms)

    def _adapt_to_answers(self) -> None:
        """Move the limit for each slot towards timely answers.

        It rises above its initial value only while requests have to wait.
        """
        bound = INITIAL_REQUESTS_PER_SLOT
        if self._answer_part > ANSWER_TIME_PART:
            self.per_slot = max(
                MIN_REQUESTS_PER_SLOT, self.per_slot * LIMIT_DECREASE_FACTOR
            )
        elif self._was_full or self.per_slot < bound:
            self.per_slot = min(
                MAX_REQUESTS_PER_SLOT, self.per_slot * LIMIT_INCREASE_FACTOR
            )
        else:
            self.per_slot = max(bound, self.per_slot / LIMIT_INCREASE_FACTOR)

    def is_full(self, now_ms: int, limit: float) -> bool:
        """Return whether as many requests as ``limit`` are in progress."""
        if (
            self.in_progress >= limit
            and now_ms - self._counted_ms >= RECOUNT_INTERVAL_MS
        ):
            self._drop_overdue(now_ms)
        is_full = self.in_progress >= limit
        self._was_full |= is_full
        return is_full

    def _drop_overdue(self, now_ms: int) -> None:
        self._counted_ms = now_ms
        remaining = []
        for item in self._started:
            if item.is_ended:
                continue
            latency = self._handshakes if item.is_syn else self._answers
            if now_ms - item.started_ms < latency.overdue_ms:
                remaining.append(item)
            else:
                self.lost_part += LATENCY_SMOOTHING * (1 - self.lost_part)
        self._started = remaining
        self.in_progress = len(remaining)

    def record_foreign_flow(self) -> None:
        """Record a flow that another balancer opened.

        The routers may spread the packets of each flow over balancers.
        """
        self.lost_part += FOREIGN_FLOW_WEIGHT * (1 - self.lost_part)

    def record_start(
        self, now_ms: int, *, is_syn: bool, aim_ms: int
    ) -> Started:
        """Count a request that is sent to a server.

        :param aim_ms: target latency of its answer
        """
        item = Started(now_ms, is_syn=is_syn, aim_ms=aim_ms)
        self._started.append(item)
        self.in_progress += 1
        return item

    def record_end(
        self, now_ms: int, item: Started, *, answered: bool
    ) -> None:
        """Count the end of a request."""
        item.is_ended = True
        self.in_progress = max(0, self.in_progress - 1)
        if not answered:
            return
        self.lost_part -= LATENCY_SMOOTHING * self.lost_part
        elapsed_ms = now_ms - item.started_ms
        if item.is_syn:
            self._handshakes.record(elapsed_ms)
        else:
            self._answers.record(elapsed_ms)
            self._answer_part += LATENCY_SMOOTHING * (
                min(elapsed_ms / item.aim_ms, 2.0) - self._answer_part
            )


class AdmissionControl:
    """Decides which requests start and which wait.

    :ivar balancers: number of balancers, this one included
    :ivar peer_scale: peers per peer whose load is known, None if no load is
    :ivar waiting_count: requests that wait, at all services
    """

    def __init__(
        self,
        directory: directory_lib.Directory,
        server_stats: stats_lib.ServerStatsTable,
    ) -> None:
        self.balancers = 1
        self.peer_scale: float | None = 1.0
        self.waiting_count = 0
        self._directory = directory
        self._server_stats = server_stats
        self._windows: dict[str, ServiceWindow] = {}

    def window(self, service: str) -> ServiceWindow:
        """Return the window of a service."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = ServiceWindow()
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
            limit *= LOWEST_RANK_PART
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
        if server is None:
            part = PREFERRED_WAIT_PART if is_preferred else SYN_WAIT_PART
            wait_ms = min(round(route.aim_ms * part), MAX_SYN_WAIT_MS)
            late_ms = expires_ms = now_ms + wait_ms
        else:
            late_ms = now_ms + round(route.aim_ms * TIMELY_WAIT_PART)
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
        )
        self.window(service).queue.push(item)
        self.waiting_count += 1
        return item

    def pop(self, now_ms: int) -> waiting.Waiting | None:
        """Take a request that can start now."""

        def can_start(item: waiting.Waiting) -> bool:
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
                    self.waiting_count -= 1
                    return item
        return None

    def can_refuse(self, service: str) -> bool:
        """Return whether requests in progress are known well enough."""
        return self.window(service).lost_part <= MAX_LOST_PART

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
        window: ServiceWindow,
        server: directory_lib.Server,
    ) -> bool:
        stats = self._server_stats.for_server(server.entry.name)
        return (
            stats.pending == 0
            or stats.is_silent(now_ms)
            or stats.pending + stats.peer_pending * (self.peer_scale or 1.0)
            < window.per_slot * server.entry.slots
        )

    def _refresh(
        self, now_ms: int, service: str, window: ServiceWindow
    ) -> None:
        slots = self._directory.ready_slots(service)
        silent_slots = 0
        peer_requests = 0.0
        for name, stats in self._server_stats.items():
            server = self._directory.get(name)
            if server is None or server.entry.service != service:
                continue
            if not stats.is_silent(now_ms):
                peer_requests += stats.peer_pending
            elif self._directory.is_ready(server):
                silent_slots += server.entry.slots
        if silent_slots < slots:
            slots -= silent_slots
        window.refresh(
            now_ms,
            slots=slots,
            peer_requests=(
                None
                if self.peer_scale is None
                else peer_requests * self.peer_scale
            ),
            balancers=self.balancers,
        )
