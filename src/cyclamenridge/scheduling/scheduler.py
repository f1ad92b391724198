"""Scheduler of one service at one balancer."""

import random

from cyclamenridge.config import model
from cyclamenridge.scheduling import dispatcher
from cyclamenridge.scheduling import local_share
from cyclamenridge.scheduling import options as options_lib
from cyclamenridge.scheduling import picker
from cyclamenridge.scheduling import queue
from cyclamenridge.scheduling import servers
from cyclamenridge.scheduling import types
from cyclamenridge.scheduling import usage
from cyclamenridge.wire import backend

Reason = types.Reason

# Fraction of the remaining time that a request may be expected to wait; the
# rest is left for running it.
MAX_WAIT_FRACTION = 0.5
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000
# Time within which a lost link is connected again. Without any server,
# requests wait for this long before they are refused.
NO_SERVER_GRACE_MS = 1000
# Slots that the estimate of the wait assumes at least for a kind. They bound
# the estimate of a kind that has no slots now.
MIN_KIND_SLOTS = 0.25


class ServiceScheduler:
    """Admits, queues and assigns the requests of one service.

    The caller reports events, calls ``poll`` regularly and sends the
    requests that it returns. Times are monotonic, in milliseconds.

    :param me: name of this balancer
    """

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
        self._share = local_share.LocalShare(
            service, me=me, options=self._options
        )
        self._dispatcher = dispatcher.Dispatcher(
            self._servers,
            self._share,
            self._usage,
            rng=rng,
            options=self._options,
        )
        self.counters = self._dispatcher.counters
        self._kinds: tuple[str, ...] = ()
        self._queue_limit = 0
        self._last_server_ms: int | None = None
        self._server_usable = False
        self._load_config(cfg)
        self._queue = queue.ServiceQueue(
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
        self._share.floor_fractions = {
            name: kind.floor_percent / 100 for name, kind in kinds.items()
        }
        self._share.invalidate()
        if service:
            self._queue_limit = service.queue_limit
            self._dispatcher.slow_start_ms = service.slow_start_ms
            self._dispatcher.retry_percent = service.retry_percent

    def reconfigure(
        self, now_ms: int, cfg: model.Config
    ) -> tuple[types.Refusal, ...]:
        """Apply a configuration; requests of removed kinds are refused."""
        self._load_config(cfg)
        old = self._queue
        self._queue = queue.ServiceQueue(
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
        """Set the balancers of the home set."""
        self._share.set_members(members)

    def set_peer_demand(
        self, now_ms: int, peer: str, demand: types.ServiceDemand
    ) -> None:
        """Apply the demand that another member sent."""
        self._share.set_peer_demand(now_ms, peer, demand)

    def measure_demand(self, now_ms: int) -> types.ServiceDemand:
        """Return the demand to send to the other members once a second."""
        self._share.measure_demand(now_ms, self._usage, self._queue)
        return types.ServiceDemand(
            service=self.service,
            kinds=tuple(
                types.KindDemand(kind, slots)
                for kind, slots in self._share.demand.items()
                if slots > 0
            ),
            draining=self._servers.draining_to_announce(),
        )

    # Servers

    def server_up(
        self, now_ms: int, server: str, identity: backend.Identity
    ) -> None:
        """Record that a link is up and its server answered ``hello``."""
        self._servers.link_up(now_ms, server, identity)
        self._share.invalidate()

    def server_down(self, now_ms: int, server: str) -> None:
        """Record that the link to a server is down."""
        self._servers.get(server).up = False
        self._share.invalidate()

    def server_load(
        self, now_ms: int, server: str, load: backend.Load
    ) -> None:
        """Apply a load report.

        A report that came with an answer is applied after
        ``assignment_completed``.
        """
        state = self._servers.get(server)
        before = bool(state.drain_sources)
        state.record_load(now_ms, load)
        if before != bool(state.drain_sources):
            self._share.invalidate()

    def server_draining(
        self, now_ms: int, server: str, draining: bool
    ) -> None:
        """Record whether a server is draining."""
        self._servers.get(server).set_draining(
            servers.DrainSource.NOTIFICATION, draining
        )
        self._share.invalidate()

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
        self._update_share_if_due(now_ms)
        if not self._has_server(now_ms):
            return self._refuse(
                request.key, Reason.NO_SERVER, NO_SERVER_GRACE_MS
            )
        if self._options.admission:
            wait_ms = self._expected_wait_ms(request)
            allowed_ms = MAX_WAIT_FRACTION * (request.deadline_ms - now_ms)
            if wait_ms > allowed_ms:
                self._record_overload(now_ms, request.kind)
                return self._refuse_overloaded(
                    request.key, wait_ms - allowed_ms
                )
        kind_queue = self._queue.kinds[request.kind]
        # A customer may use half of the space that the others leave in the
        # queue, so that no customer can fill it alone.
        free_space = self._queue_limit - kind_queue.length
        if kind_queue.customer_length(request.customer) >= free_space:
            self._record_overload(now_ms, request.kind)
            return self._refuse_overloaded(
                request.key, self._expected_wait_ms(request)
            )
        self._dispatcher.retry_budget(now_ms).add_request()
        self._enqueue(request, frozenset(), front=False)
        return None

    def resubmit(
        self, now_ms: int, request: types.QueuedRequest, *, exclude: str
    ) -> types.Refusal | None:
        """Queue an idempotent request again after the loss of its server."""
        return self._retry(now_ms, request, frozenset({exclude}))

    def cancel(self, now_ms: int, key: types.RequestKey) -> bool:
        """Take a request out of the queue; False when it was not queued."""
        return self._queue.remove(key) is not None

    def request_not_run(
        self,
        now_ms: int,
        key: types.RequestKey,
        server: str,
        error: backend.RunError,
    ) -> types.Refusal | None:
        """Record that a server did not run a request.

        :returns: None when the request is queued again
        """
        attempt = self._dispatcher.record_end(now_ms, key, server)
        if attempt is None:
            return None
        state = attempt.server
        self.counters[f"not_run_{error.value}"] += 1
        if error is backend.RunError.EXPIRED:
            return self._refuse(key, Reason.EXPIRED, 0)
        if error is backend.RunError.CANCELLED:
            return self._refuse(key, Reason.CANCELLED, 0)
        excluded_servers = attempt.excluded_servers
        # A token that the attempt holds pays for the retry.
        skip_budget = attempt.holds_token
        attempt.holds_token = False
        if error is backend.RunError.BUSY:
            self._dispatcher.back_off(now_ms, state)
        else:
            excluded_servers |= {server}
        if error is backend.RunError.DRAINING:
            # The server gets no new requests, so that at most those in
            # flight come back. They need no token of the retry budget.
            self.server_draining(now_ms, server, True)
            skip_budget = True
        return self._retry(
            now_ms, attempt.request, excluded_servers, skip_budget=skip_budget
        )

    def assignment_completed(
        self,
        now_ms: int,
        key: types.RequestKey,
        server: str,
        completion: types.Completion,
        latency_ms: int,
    ) -> None:
        """Record the end of an assignment that is not repeated."""
        attempt = self._dispatcher.record_end(now_ms, key, server)
        if attempt is None:
            return
        self._dispatcher.return_token(now_ms, attempt)
        self.counters[f"completed_{completion.value}"] += 1
        state = attempt.server
        if completion is types.Completion.ANSWERED:
            self._usage.record_run_time(attempt.request.kind, latency_ms)
        if completion in (
            types.Completion.FAILED,
            types.Completion.UNKNOWN,
        ):
            # A server that fails requests at once would look idle and
            # attract more of them.
            run_ms = self._usage.mean_run_ms(attempt.request.kind)
            state.next_start_ms = max(
                state.next_start_ms, attempt.started_ms + round(run_ms)
            )
        if completion is not types.Completion.NOT_RUN and (
            self._servers.record_result(
                now_ms,
                state,
                failed=completion is not types.Completion.ANSWERED,
            )
        ):
            self.counters["ejections"] += 1
            self._share.invalidate()

    def poll(self, now_ms: int) -> types.Decisions:
        """Return the requests to send now and those to refuse."""
        self._update_share_if_due(now_ms)
        self._dispatcher.return_accepted_tokens(now_ms)
        refusals = []
        for entry in self._queue.pop_expired(now_ms):
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
        while len(self._queue) and self._dispatcher.can_dispatch(now_ms):
            assignment = self._assign(now_ms)
            if assignment is None:
                break
            assignments.append(assignment)
        if not assignments and not refusals:
            return types.Decisions()
        return types.Decisions(tuple(assignments), tuple(refusals))

    def _assign(self, now_ms: int) -> types.Assignment | None:
        kind, by_floor = self._next_kind(now_ms)
        if kind is None:
            return None
        head = self._queue.kinds[kind].peek()
        server, took_token = self._dispatcher.choose_server(
            now_ms, head.excluded_servers
        )
        if server is None:
            return None
        entry = self._queue.pop(kind)
        self._dispatcher.record_start(
            dispatcher.Attempt(
                entry.request,
                server,
                now_ms,
                entry.excluded_servers,
                took_token,
                by_floor,
            )
        )
        self.counters["assigned"] += 1
        return types.Assignment(entry.request, server.name)

    def _next_kind(self, now_ms: int) -> tuple[str | None, bool]:
        """Return the kind to serve next.

        :returns: the kind, and whether its floor put it before higher kinds
        """
        first = None
        for kind in self._kinds:
            if self._queue.kinds[kind].length:
                if first is not None and self._usage.has_floor_credit(
                    now_ms, kind
                ):
                    return kind, True
                first = first or kind
        return first, False

    def _retry(
        self,
        now_ms: int,
        request: types.QueuedRequest,
        excluded_servers: frozenset[str],
        *,
        skip_budget: bool = False,
    ) -> types.Refusal | None:
        """Queue a request again, or refuse it.

        :param skip_budget: take no token of the retry budget
        """
        if request.kind not in self._kinds:
            return self._refuse(request.key, Reason.BAD_REQUEST, 0)
        if now_ms >= request.deadline_ms:
            return self._refuse(request.key, Reason.EXPIRED, 0)
        if (
            not skip_budget
            and not self._dispatcher.retry_budget(now_ms).try_take()
        ):
            self.counters["retry_budget_empty"] += 1
            return self._refuse_overloaded(
                request.key, self._expected_wait_ms(request)
            )
        self.counters["retries"] += 1
        self._enqueue(request, excluded_servers, front=True)
        return None

    def _enqueue(
        self,
        request: types.QueuedRequest,
        excluded_servers: frozenset[str],
        *,
        front: bool,
    ) -> None:
        # Leaves enough time for the request to end before its deadline.
        total_ms = request.deadline_ms - request.arrived_ms
        run_ms = min(self._usage.mean_run_ms(request.kind), total_ms / 2)
        start_by_ms = request.deadline_ms - max(0, int(run_ms))
        self._queue.push(
            queue.Entry(request, start_by_ms, excluded_servers), front=front
        )

    # Feeds

    def place_feed(
        self, now_ms: int, exclude: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the server for a new feed, or None."""
        self._update_share_if_due(now_ms)
        server = picker.pick_for_feed(
            now_ms,
            [
                server
                for server in self._servers.available(now_ms)
                if server.name not in exclude
            ],
            slow_start_ms=self._dispatcher.slow_start_ms,
            rng=self._rng,
        )
        return server.name if server else None

    def feed_attached(self, now_ms: int, server: str) -> None:
        """Record that a feed of this balancer was opened at a server."""
        self._servers.get(server).feeds += 1

    def feed_detached(self, now_ms: int, server: str) -> None:
        """Record that a feed of this balancer at a server has ended."""
        state = self._servers.get(server)
        state.feeds = max(0, state.feeds - 1)

    # Shares and expected waits

    def _update_share_if_due(self, now_ms: int) -> None:
        if not self._share.update_due(now_ms):
            return
        if self._share.demand_due(now_ms):
            self._share.measure_demand(now_ms, self._usage, self._queue)
        self._share.update(now_ms, self._servers)
        self._usage.set_floors(now_ms, self._share.allocation.floor_slots)
        self._server_usable = any(
            server.up and not server.drain_sources
            for server in self._servers.by_name.values()
        )

    def _has_server(self, now_ms: int) -> bool:
        if self._server_usable:
            self._last_server_ms = now_ms
            return True
        return (
            self._last_server_ms is not None
            and now_ms - self._last_server_ms < NO_SERVER_GRACE_MS
        )

    def _expected_wait_ms(self, request: types.QueuedRequest) -> float:
        kind_queue = self._queue.kinds[request.kind]
        if not kind_queue.length and self._dispatcher.has_own_slot():
            return 0.0
        wait_ms = 0.0
        for kind in self._kinds:
            if kind == request.kind:
                break
            length = self._queue.kinds[kind].length
            if length:
                wait_ms += length * self._usage.mean_run_ms(kind)
        wait_ms /= max(2 * MIN_KIND_SLOTS, self._share.allocated_slots)
        available_slots = max(
            MIN_KIND_SLOTS, self._share.available_slots(request.kind)
        )
        run_ms = self._usage.mean_run_ms(request.kind)
        return (
            wait_ms
            + kind_queue.requests_ahead(request.customer)
            * run_ms
            / available_slots
        )

    def _record_overload(self, now_ms: int, kind: str) -> None:
        self._usage.record_refusal(now_ms, kind)
        self._dispatcher.record_overload(now_ms)

    def _refuse_overloaded(
        self, key: types.RequestKey, wait_ms: float
    ) -> types.Refusal:
        # Jitter keeps refused callers from retrying at the same time.
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
