"""Scheduler of one service at one balancer."""

import random

from cyclamenridge.config import model
from cyclamenridge.scheduling import attempts
from cyclamenridge.scheduling import division
from cyclamenridge.scheduling import options as options_lib
from cyclamenridge.scheduling import picker
from cyclamenridge.scheduling import queue
from cyclamenridge.scheduling import servers
from cyclamenridge.scheduling import types
from cyclamenridge.scheduling import usage
from cyclamenridge.wire import backend

Reason = types.Reason

# Part of the remaining time that a request may be expected to wait; the
# rest is left for running it.
MAX_WAIT_PART = 0.5
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000
# A link that is replaced is back within this time; until then requests
# wait instead of being refused.
NO_SERVER_GRACE_MS = 1000
# A kind without a share is taken to get at least these slots in time.
MIN_RATE_SLOTS = 0.25


class ServiceScheduler:
    """Decides which request runs where, and which is refused."""

    def __init__(
        self,
        service: str,
        cfg: model.Config,
        *,
        me: str,
        rng: random.Random,
        options: options_lib.Options | None = None,
    ) -> None:
        self.service = service
        self._rng = rng
        self._options = options or options_lib.Options()
        self._servers = servers.ServerTable()
        self._usage = usage.KindUsage()
        self._division = division.SlotDivision(
            service, me=me, options=self._options
        )
        self._attempts = attempts.Attempts(
            self._servers,
            self._division,
            self._usage,
            rng=rng,
            options=self._options,
        )
        self.counters = self._attempts.counters
        self._kinds: tuple[str, ...] = ()
        self._queue_limit = 0
        self._served_ms: int | None = None
        self._has_slots = False
        self._load_config(cfg)
        self._queue = queue.RankedQueue(
            self._kinds, shares=self._customer_shares
        )

    # Configuration and membership

    def _load_config(self, cfg: model.Config) -> None:
        service = cfg.services.get(self.service)
        kinds = {
            name: cfg.kinds[name]
            for name in cfg.precedence
            if name in cfg.kinds
            and cfg.kinds[name].service == self.service
            and cfg.kinds[name].mode is not model.Mode.FEED
        }
        self._kinds = tuple(kinds)
        self._customer_shares = {
            name: customer.share for name, customer in cfg.customers.items()
        }
        self._servers.configure(service.servers if service else {})
        self._usage.set_kinds(self._kinds)
        self._division.floors = {
            name: kind.floor_percent / 100 for name, kind in kinds.items()
        }
        self._division.outdate()
        if service:
            self._queue_limit = service.queue_limit
            self._attempts.slow_start_ms = service.slow_start_ms
            self._attempts.retry_percent = service.retry_percent

    def reconfigure(
        self, now_ms: int, cfg: model.Config
    ) -> tuple[types.Refusal, ...]:
        """Apply a configuration; requests of removed kinds are refused."""
        self._load_config(cfg)
        old = self._queue
        self._queue = queue.RankedQueue(
            self._kinds, shares=self._customer_shares
        )
        refusals = []
        for entry in old:
            if entry.request.kind in self._kinds:
                self._queue.push(entry)
            else:
                refusals.append(
                    self._refuse(entry.request.key, Reason.BAD_REQUEST, 0)
                )
        return tuple(refusals)

    def set_members(self, now_ms: int, members: tuple[str, ...]) -> None:
        """Set the home set of the service."""
        self._division.set_members(members)

    def peer_demand(
        self, now_ms: int, peer: str, demand: types.ServiceDemand
    ) -> None:
        """Take in what another member told."""
        self._division.told(now_ms, peer, demand)

    def demand(self, now_ms: int) -> types.ServiceDemand:
        """Return what the other members are told, once a second."""
        self._division.measure_demand(now_ms, self._usage, self._queue)
        return types.ServiceDemand(
            service=self.service,
            kinds=tuple(
                types.KindDemand(kind, slots)
                for kind, slots in self._division.demand.items()
                if slots > 0
            ),
            draining=self._servers.known_leaving(),
        )

    # Servers

    def server_up(
        self, now_ms: int, server: str, identity: backend.Identity
    ) -> None:
        """Take in that the link to a server is up and checked."""
        self._servers.link_up(now_ms, server, identity)
        self._division.outdate()

    def server_down(self, now_ms: int, server: str) -> None:
        """Take in that the link to a server is down."""
        self._servers.get(server).up = False
        self._division.outdate()

    def server_load(
        self, now_ms: int, server: str, load: backend.Load
    ) -> None:
        """Take in a load report; after ``completed`` if it came with one."""
        state = self._servers.get(server)
        before = bool(state.draining)
        state.report(now_ms, load)
        if before != bool(state.draining):
            self._division.outdate()

    def server_draining(
        self, now_ms: int, server: str, draining: bool
    ) -> None:
        """Take in that a server is leaving, or no longer is."""
        self._servers.get(server).mark(servers.DrainSource.TOLD, draining)
        self._division.outdate()

    # Requests

    def submit(
        self, now_ms: int, request: types.QueuedRequest
    ) -> types.Refusal | None:
        """Queue a request, or refuse it now."""
        self.counters["submitted"] += 1
        if request.kind not in self._kinds:
            return self._refuse(request.key, Reason.BAD_REQUEST, 0)
        if now_ms >= request.deadline_ms:
            return self._refuse(request.key, Reason.EXPIRED, 0)
        self._refresh(now_ms)
        if not self._has_server(now_ms):
            return self._refuse(
                request.key, Reason.NO_SERVER, NO_SERVER_GRACE_MS
            )
        if self._options.admission:
            wait_ms = self._expected_wait_ms(request)
            allowed_ms = MAX_WAIT_PART * (request.deadline_ms - now_ms)
            if wait_ms > allowed_ms:
                self._note_overload(now_ms, request.kind)
                return self._refuse_overloaded(
                    request.key, wait_ms - allowed_ms
                )
        kind_queue = self._queue.kinds[request.kind]
        # A customer may fill half of the room that is left, so that a flood
        # of one customer leaves room for the others.
        room = self._queue_limit - kind_queue.length
        if kind_queue.customer_length(request.customer) >= room:
            self._note_overload(now_ms, request.kind)
            return self._refuse_overloaded(
                request.key, self._expected_wait_ms(request)
            )
        self._attempts.budget(now_ms).submitted()
        self._enqueue(request, frozenset(), front=False)
        return None

    def resubmit(
        self, now_ms: int, request: types.QueuedRequest, *, exclude: str
    ) -> types.Refusal | None:
        """Queue an idempotent request again whose server was lost."""
        return self._retry(now_ms, request, frozenset({exclude}))

    def cancel(self, now_ms: int, key: types.RequestKey) -> bool:
        """Take a request out of the queue; False when it was not queued."""
        return self._queue.remove(key) is not None

    def not_run(
        self,
        now_ms: int,
        key: types.RequestKey,
        server: str,
        error: backend.RunError,
    ) -> types.Refusal | None:
        """Take in that a server did not run a request.

        None: it is queued again.
        """
        running = self._attempts.ended(now_ms, key, server)
        if running is None:
            return None
        state = running.server
        self.counters[f"not_run_{error.value}"] += 1
        if error is backend.RunError.EXPIRED:
            return self._refuse(key, Reason.EXPIRED, 0)
        if error is backend.RunError.CANCELLED:
            return self._refuse(key, Reason.CANCELLED, 0)
        excluded = running.excluded
        free = running.reserved_token
        running.reserved_token = False
        if error is backend.RunError.BUSY:
            self._attempts.busy(now_ms, state)
        else:
            excluded |= {server}
        if error is backend.RunError.DRAINING:
            # At most the requests in flight come back this way, since the
            # server gets no new ones; they do not count as retries.
            self.server_draining(now_ms, server, True)
            free = True
        return self._retry(now_ms, running.request, excluded, free=free)

    def completed(
        self,
        now_ms: int,
        key: types.RequestKey,
        server: str,
        completion: types.Completion,
        latency_ms: int,
    ) -> None:
        """Take in that an assignment ended for good."""
        running = self._attempts.ended(now_ms, key, server)
        if running is None:
            return
        self._attempts.give_back(now_ms, running)
        self.counters[f"completed_{completion.value}"] += 1
        state = running.server
        if completion is types.Completion.ANSWERED:
            self._usage.worked(running.request.kind, latency_ms)
        if completion in (
            types.Completion.FAILED,
            types.Completion.UNKNOWN,
        ):
            # A server that fails at once would otherwise look idle.
            work_ms = self._usage.work_ms(running.request.kind)
            state.next_start_ms = max(
                state.next_start_ms, running.started_ms + round(work_ms)
            )
        if completion is not types.Completion.NOT_RUN and (
            self._servers.result(
                now_ms,
                state,
                failed=completion is not types.Completion.ANSWERED,
            )
        ):
            self.counters["ejections"] += 1
            self._division.outdate()

    def poll(self, now_ms: int) -> types.Poll:
        """Return the requests to send now and those that are refused."""
        self._refresh(now_ms)
        self._attempts.give_back_accepted(now_ms)
        refusals = []
        for entry in self._queue.expired(now_ms):
            self.counters["expired_in_queue"] += 1
            refusals.append(
                self._refuse_overloaded(
                    entry.request.key, self._expected_wait_ms(entry.request)
                )
            )
        if len(self._queue) and not self._has_server(now_ms):
            for entry in list(self._queue):
                self._queue.remove(entry.request.key)
                refusals.append(
                    self._refuse(
                        entry.request.key,
                        Reason.NO_SERVER,
                        NO_SERVER_GRACE_MS,
                    )
                )
        assignments = []
        while len(self._queue) and self._attempts.may_start(now_ms):
            assignment = self._assign(now_ms)
            if assignment is None:
                break
            assignments.append(assignment)
        if not assignments and not refusals:
            return types.Poll()
        return types.Poll(tuple(assignments), tuple(refusals))

    def _assign(self, now_ms: int) -> types.Assignment | None:
        kind, by_floor = self._next_kind(now_ms)
        if kind is None:
            return None
        head = self._queue.kinds[kind].head()
        server, reserved = self._attempts.choose(now_ms, head.excluded)
        if server is None:
            return None
        entry = self._queue.pop(kind)
        self._attempts.started(
            attempts.Running(
                entry.request,
                server,
                now_ms,
                entry.excluded,
                reserved,
                by_floor,
            )
        )
        self.counters["assigned"] += 1
        return types.Assignment(entry.request, server.name)

    def _next_kind(self, now_ms: int) -> tuple[str | None, bool]:
        """Return the kind to serve, and whether its floor decided that."""
        first = None
        for kind in self._kinds:
            if self._queue.kinds[kind].length:
                if first is not None and self._usage.floor_due(now_ms, kind):
                    return kind, True
                first = first or kind
        return first, False

    def _retry(
        self,
        now_ms: int,
        request: types.QueuedRequest,
        excluded: frozenset[str],
        *,
        free: bool = False,
    ) -> types.Refusal | None:
        if request.kind not in self._kinds:
            return self._refuse(request.key, Reason.BAD_REQUEST, 0)
        if now_ms >= request.deadline_ms:
            return self._refuse(request.key, Reason.EXPIRED, 0)
        if not free and not self._attempts.budget(now_ms).take():
            self.counters["retry_budget_empty"] += 1
            return self._refuse_overloaded(
                request.key, self._expected_wait_ms(request)
            )
        self.counters["retries"] += 1
        self._enqueue(request, excluded, front=True)
        return None

    def _enqueue(
        self,
        request: types.QueuedRequest,
        excluded: frozenset[str],
        *,
        front: bool,
    ) -> None:
        # Work that waited must still be able to end before its deadline.
        total_ms = request.deadline_ms - request.arrived_ms
        run_ms = min(self._usage.work_ms(request.kind), total_ms / 2)
        start_by_ms = request.deadline_ms - max(0, int(run_ms))
        self._queue.push(
            queue.Entry(request, start_by_ms, excluded), front=front
        )

    # Feeds

    def place_feed(
        self, now_ms: int, exclude: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the server for a new feed, or None."""
        self._refresh(now_ms)
        server = picker.pick_for_feed(
            now_ms,
            [
                server
                for server in self._servers.available(now_ms)
                if server.name not in exclude
            ],
            slow_start_ms=self._attempts.slow_start_ms,
            rng=self._rng,
        )
        return server.name if server else None

    def feed_attached(self, now_ms: int, server: str) -> None:
        """Count a feed of this balancer at a server."""
        self._servers.get(server).feeds += 1

    def feed_detached(self, now_ms: int, server: str) -> None:
        """Count a feed out."""
        state = self._servers.get(server)
        state.feeds = max(0, state.feeds - 1)

    # Shares and expected waits

    def _refresh(self, now_ms: int) -> None:
        if not self._division.due(now_ms):
            return
        if self._division.demand_due(now_ms):
            self._division.measure_demand(now_ms, self._usage, self._queue)
        self._division.update(now_ms, self._servers)
        self._usage.set_floors(now_ms, self._division.allocation.floors)
        self._has_slots = any(
            server.up and not server.draining
            for server in self._servers.by_name.values()
        )

    def _has_server(self, now_ms: int) -> bool:
        if self._has_slots:
            self._served_ms = now_ms
            return True
        return (
            self._served_ms is not None
            and now_ms - self._served_ms < NO_SERVER_GRACE_MS
        )

    def _expected_wait_ms(self, request: types.QueuedRequest) -> float:
        own = self._queue.kinds[request.kind]
        if not own.length and self._attempts.own_slot_free():
            return 0.0
        wait_ms = 0.0
        for kind in self._kinds:
            if kind == request.kind:
                break
            length = self._queue.kinds[kind].length
            if length:
                wait_ms += length * self._usage.work_ms(kind)
        wait_ms /= max(2 * MIN_RATE_SLOTS, self._division.total)
        rate = max(MIN_RATE_SLOTS, self._division.rate(request.kind))
        work_ms = self._usage.work_ms(request.kind)
        return wait_ms + own.ahead(request.customer) * work_ms / rate

    def _note_overload(self, now_ms: int, kind: str) -> None:
        self._usage.refused(now_ms, kind)
        self._attempts.overloaded(now_ms)

    def _refuse_overloaded(
        self, key: types.RequestKey, wait_ms: float
    ) -> types.Refusal:
        # The spread keeps refused callers from coming back together.
        retry_ms = wait_ms * self._rng.uniform(0.8, 1.2)
        return self._refuse(
            key,
            Reason.OVERLOADED,
            round(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, retry_ms))),
        )

    def _refuse(
        self, key: types.RequestKey, reason: Reason, retry_after_ms: int
    ) -> types.Refusal:
        self.counters[f"refused_{reason.value}"] += 1
        return types.Refusal(key, reason, retry_after_ms)
