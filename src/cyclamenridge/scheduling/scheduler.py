"""Scheduler of one service at one balancer."""

import collections
import dataclasses
import random

from cyclamenridge.config import model
from cyclamenridge.scheduling import picker
from cyclamenridge.scheduling import queue
from cyclamenridge.scheduling import retry
from cyclamenridge.scheduling import servers
from cyclamenridge.scheduling import shares
from cyclamenridge.scheduling import types
from cyclamenridge.scheduling import usage
from cyclamenridge.wire import backend

Reason = types.Reason

SHARES_INTERVAL_MS = 500
DEMAND_INTERVAL_MS = 1000
# Part of the remaining time that a request may be expected to wait; the
# rest is left for running it.
MAX_WAIT_PART = 0.5
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000
# A link that is replaced is back within this time; until then requests
# wait instead of being refused.
NO_SERVER_GRACE_MS = 1000
MIN_BUSY_HOLD_MS = 2
MAX_BUSY_HOLD_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Parts that experiments switch off to measure what they bring.

    :param exchange: divide slots by the demands that members tell
    :param foreign_slots: try servers outside the own slots
    :param own_slots_only: hold back work when the own slots are in use
    :param admission: refuse when the expected wait is too long
    """

    exchange: bool = True
    foreign_slots: bool = True
    own_slots_only: bool = True
    admission: bool = True


@dataclasses.dataclass(slots=True)
class _Running:
    request: types.QueuedRequest
    server: servers.Server
    started_ms: int
    excluded: frozenset[str]
    reserved_token: bool


class ServiceScheduler:
    """Decides which request runs where, and which is refused."""

    def __init__(
        self,
        service: str,
        cfg: model.Config,
        *,
        me: str,
        rng: random.Random,
        options: Options = Options(),
    ) -> None:
        self.service = service
        self.counters: collections.Counter[str] = collections.Counter()
        self._me = me
        self._rng = rng
        self._options = options
        self._picker = picker.FreeSlotPicker(rng)
        self._members: tuple[str, ...] = (me,)
        self._peers = shares.PeerDemands()
        self._servers = servers.ServerTable()
        self._running: dict[types.RequestKey, _Running] = {}
        self._pending: list[types.Refusal] = []
        self._budget: retry.RetryBudget | None = None
        self._usage = usage.KindUsage()
        self._owned: dict[str, int] = {}
        self._allocation = shares.Allocation({}, {})
        self._own_demand: dict[str, float] = {}
        self._demand_ms: int | None = None
        self._shares_ms: int | None = None
        self._served_ms: int | None = None
        self._load_config(cfg)
        self._queue = queue.RankedQueue(
            self._kinds, shares=self._customer_shares
        )

    # Configuration and membership

    def _load_config(self, cfg: model.Config) -> None:
        self._service_cfg = cfg.services.get(self.service)
        self._kind_cfg = {
            name: cfg.kinds[name]
            for name in cfg.precedence
            if name in cfg.kinds
            and cfg.kinds[name].service == self.service
            and cfg.kinds[name].mode is not model.Mode.FEED
        }
        self._kinds = tuple(self._kind_cfg)
        self._customer_shares = {
            name: customer.share for name, customer in cfg.customers.items()
        }
        configured = self._service_cfg.servers if self._service_cfg else {}
        table = self._servers.by_name
        for name in [name for name in table if name not in configured]:
            if not table[name].up:
                del table[name]
            else:
                table[name].draining.add(servers.DrainSource.CONFIG)
        for name, server_cfg in configured.items():
            if name not in table:
                table[name] = servers.Server(
                    name,
                    slots=server_cfg.slots,
                    connections=server_cfg.connections,
                )
            self._mark(
                table[name],
                servers.DrainSource.CONFIG,
                server_cfg.state is model.ServerState.DRAINING,
            )
        self._usage.set_kinds(self._kinds)
        if self._budget is not None and self._service_cfg:
            self._budget.percent = self._service_cfg.retry_percent
        self._shares_ms = None

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
            if entry.request.kind in self._kind_cfg:
                self._queue.push(entry)
            else:
                refusals.append(
                    self._refuse(entry.request.key, Reason.BAD_REQUEST, 0)
                )
        return tuple(refusals)

    def set_members(self, now_ms: int, members: tuple[str, ...]) -> None:
        """Set the home set of the service."""
        self._members = tuple(sorted({*members, self._me}))
        self._peers.keep(self._members)
        self._shares_ms = None

    def peer_demand(
        self, now_ms: int, peer: str, demand: types.ServiceDemand
    ) -> None:
        """Take in what another member told."""
        if peer in self._members and peer != self._me:
            self._peers.told(now_ms, peer, demand)
            self._shares_ms = None

    def demand(self, now_ms: int) -> types.ServiceDemand:
        """Return what the other members are told, once a second."""
        self._update_demand(now_ms)
        own_sources = {servers.DrainSource.TOLD, servers.DrainSource.REPORT}
        return types.ServiceDemand(
            service=self.service,
            kinds=tuple(
                types.KindDemand(kind, slots)
                for kind, slots in self._own_demand.items()
                if slots > 0
            ),
            draining=tuple(
                sorted(
                    server.name
                    for server in self._servers.by_name.values()
                    if server.draining & own_sources
                )
            ),
        )

    # Servers

    def server_up(
        self, now_ms: int, server: str, identity: backend.Identity
    ) -> None:
        """Take in that the link to a server is up and checked."""
        self._servers.link_up(now_ms, server, identity)
        self._shares_ms = None

    def server_down(self, now_ms: int, server: str) -> None:
        """Take in that the link to a server is down."""
        self._servers.get(server).up = False
        self._shares_ms = None

    def server_load(
        self, now_ms: int, server: str, load: backend.Load
    ) -> None:
        """Take in a load report; after ``completed`` if it came with one."""
        state = self._servers.get(server)
        before = bool(state.draining)
        state.report(now_ms, load)
        if before != bool(state.draining):
            self._shares_ms = None

    def server_draining(
        self, now_ms: int, server: str, draining: bool
    ) -> None:
        """Take in that a server is leaving, or no longer is."""
        self._mark(
            self._servers.get(server), servers.DrainSource.TOLD, draining
        )

    def _mark(
        self,
        server: servers.Server,
        source: servers.DrainSource,
        draining: bool,
    ) -> None:
        if draining:
            server.draining.add(source)
        else:
            server.draining.discard(source)
        self._shares_ms = None

    # Requests

    def submit(
        self, now_ms: int, request: types.QueuedRequest
    ) -> types.Refusal | None:
        """Queue a request, or refuse it now."""
        self.counters["submitted"] += 1
        if request.kind not in self._kind_cfg:
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
                return self._refuse_overloaded(
                    request.key, wait_ms - allowed_ms
                )
        kind_queue = self._queue.kinds[request.kind]
        # A customer may fill half of the room that is left, so that a flood
        # of one customer leaves room for the others.
        room = self._service_cfg.queue_limit - kind_queue.length
        if kind_queue.customer_length(request.customer) >= room:
            return self._refuse_overloaded(
                request.key, self._expected_wait_ms(request)
            )
        self._budget_at(now_ms).submitted()
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
        running = self._finish(now_ms, key, server)
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
        if error is backend.RunError.BUSY:
            if running.reserved_token:
                self.counters["foreign_busy"] += 1
            state.busy(now_ms, hold_ms=self._busy_hold_ms(state))
        else:
            excluded |= {server}
        if error is backend.RunError.DRAINING:
            # At most the requests in flight come back this way, since the
            # server gets no new ones; they do not count as retries.
            self._mark(state, servers.DrainSource.TOLD, True)
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
        running = self._finish(now_ms, key, server)
        if running is None:
            return
        if running.reserved_token:
            self._budget_at(now_ms).give_back()
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
            self._shares_ms = None

    def poll(self, now_ms: int) -> types.Poll:
        """Return the requests to send now and those that are refused."""
        self._refresh(now_ms)
        refusals = self._pending
        self._pending = []
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
        while len(self._queue):
            assignment = self._assign(now_ms)
            if assignment is None:
                break
            assignments.append(assignment)
        if not assignments and not refusals:
            return types.Poll()
        return types.Poll(tuple(assignments), tuple(refusals))

    def _assign(self, now_ms: int) -> types.Assignment | None:
        kind = self._next_kind(now_ms)
        if kind is None:
            return None
        head = self._queue.kinds[kind].head()
        work_ms = self._usage.work_ms(kind)
        residual_ms = self._usage.residual_ms()
        reserved_token = False
        candidates = self._candidates(now_ms, head.excluded)
        server = None
        if not self._options.own_slots_only:
            server = self._picker.foreign(now_ms, candidates, residual_ms)
        else:
            if len(self._running) < max(1, sum(self._owned.values())):
                server = self._picker.own(
                    now_ms, candidates, self._owned, residual_ms
                )
            if server is None and self._options.foreign_slots:
                server = self._foreign(now_ms, candidates, residual_ms)
                reserved_token = server is not None
        if server is None:
            return None
        entry = self._queue.pop(kind)
        request = entry.request
        server.in_flight += 1
        server.tried_ms = now_ms
        warmth = server.warmth(now_ms, self._service_cfg.slow_start_ms)
        if warmth < 1:
            server.next_start_ms = now_ms + round(work_ms * (1 / warmth - 1))
        self._usage.started(now_ms, kind)
        self._running[request.key] = _Running(
            request, server, now_ms, entry.excluded, reserved_token
        )
        self.counters["assigned"] += 1
        return types.Assignment(request, server.name)

    def _foreign(
        self,
        now_ms: int,
        candidates: list[servers.Server],
        residual_ms: float,
    ) -> servers.Server | None:
        """Choose a slot of others and reserve a token for it."""
        budget = self._budget_at(now_ms)
        plenty = budget.has(keep=retry.FOREIGN_KEEP)
        server = self._picker.foreign(
            now_ms, candidates, residual_ms, fresh_only=not plenty
        )
        if server is None or not budget.take():
            return None
        self.counters["foreign_tries"] += 1
        return server

    def _candidates(
        self, now_ms: int, excluded: frozenset[str]
    ) -> list[servers.Server]:
        usable = self._servers.available(now_ms)
        # A request that every server turned down may go to any of them.
        if excluded and any(s.name not in excluded for s in usable):
            usable = [s for s in usable if s.name not in excluded]
        return [
            server
            for server in usable
            if now_ms >= server.busy_until_ms
            and now_ms >= server.next_start_ms
            and server.in_flight < server.slots
        ]

    def _next_kind(self, now_ms: int) -> str | None:
        first = None
        for kind in self._kinds:
            if self._queue.kinds[kind].length:
                if self._usage.floor_due(now_ms, kind):
                    return kind
                first = first or kind
        return first

    def _finish(
        self, now_ms: int, key: types.RequestKey, server: str
    ) -> _Running | None:
        running = self._running.get(key)
        if running is None or running.server.name != server:
            return None
        del self._running[key]
        running.server.in_flight -= 1
        self._usage.ended(
            now_ms, running.request.kind, now_ms - running.started_ms
        )
        return running

    def _retry(
        self,
        now_ms: int,
        request: types.QueuedRequest,
        excluded: frozenset[str],
        *,
        free: bool = False,
    ) -> types.Refusal | None:
        if request.kind not in self._kind_cfg:
            return self._refuse(request.key, Reason.BAD_REQUEST, 0)
        if now_ms >= request.deadline_ms:
            return self._refuse(request.key, Reason.EXPIRED, 0)
        if not free and not self._budget_at(now_ms).take():
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
        server = picker.pick_for_feed(
            now_ms,
            [
                server
                for server in self._servers.available(now_ms)
                if server.name not in exclude
            ],
            slow_start_ms=self._slow_start_ms(),
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
        if (
            self._shares_ms is not None
            and now_ms - self._shares_ms < SHARES_INTERVAL_MS
        ):
            return
        if (
            self._demand_ms is None
            or now_ms - self._demand_ms >= DEMAND_INTERVAL_MS
        ):
            self._update_demand(now_ms)
        self._shares_ms = now_ms
        leaving = self._peers.draining(now_ms)
        slots = {}
        for server in self._servers.by_name.values():
            if server.name in leaving:
                server.draining.add(servers.DrainSource.PEER)
            else:
                server.draining.discard(servers.DrainSource.PEER)
            if server.up and not server.draining:
                slots[server.name] = server.slots
        self._divide(now_ms, slots)
        self._usage.set_floors(now_ms, self._allocation.floors)

    def _divide(self, now_ms: int, slots: dict[str, int]) -> None:
        capacity = sum(slots.values())
        order = shares.member_order(self.service, self._members)
        if self._options.exchange:
            claims = {
                peer: self._peers.claim(now_ms, peer)
                for peer in order
                if peer != self._me
            }
        else:
            claims = {
                peer: shares.Claim({}, reserved=1.0)
                for peer in order
                if peer != self._me
            }
        claims[self._me] = shares.Claim(self._own_demand)
        allocations = shares.allocate(
            capacity,
            order=order,
            claims=claims,
            precedence=self._kinds,
            floors={
                kind: cfg.floor_percent / 100
                for kind, cfg in self._kind_cfg.items()
            },
        )
        counts = shares.whole_slots(
            order,
            {name: part.total for name, part in allocations.items()},
            capacity,
        )
        self._allocation = allocations[self._me]
        self._owned = shares.owned_slots(order, counts, slots)[self._me]

    def _update_demand(self, now_ms: int) -> None:
        self._demand_ms = now_ms
        self._shares_ms = None
        self._own_demand = {
            kind: self._usage.demand(
                now_ms, kind, self._queue.kinds[kind].length
            )
            for kind in self._kinds
        }

    def _expected_wait_ms(self, request: types.QueuedRequest) -> float:
        allocation = self._allocation
        own = self._queue.kinds[request.kind]
        if not own.length and len(self._running) < sum(self._owned.values()):
            return 0.0
        total = max(0.5, allocation.total)
        wait_ms = 0.0
        for kind in self._kinds:
            if kind == request.kind:
                break
            wait_ms += (
                self._queue.kinds[kind].length
                * self._usage.work_ms(kind)
                / total
            )
        rate = max(
            0.25,
            allocation.kinds.get(request.kind, 0.0)
            + allocation.spare
            + allocation.reserved,
        )
        return (
            wait_ms
            + own.ahead(request.customer)
            * self._usage.work_ms(request.kind)
            / rate
        )

    # Details

    def _has_server(self, now_ms: int) -> bool:
        if any(
            server.up and not server.draining
            for server in self._servers.by_name.values()
        ):
            self._served_ms = now_ms
            return True
        return (
            self._served_ms is not None
            and now_ms - self._served_ms < NO_SERVER_GRACE_MS
        )

    def _budget_at(self, now_ms: int) -> retry.RetryBudget:
        if self._budget is None:
            percent = (
                self._service_cfg.retry_percent if self._service_cfg else 0.0
            )
            self._budget = retry.RetryBudget(now_ms, percent=percent)
        self._budget.refill(now_ms)
        return self._budget

    def _slow_start_ms(self) -> int:
        return self._service_cfg.slow_start_ms if self._service_cfg else 0

    def _busy_hold_ms(self, server: servers.Server) -> int:
        freed_ms = self._usage.residual_ms() / server.slots
        return round(
            min(MAX_BUSY_HOLD_MS, max(MIN_BUSY_HOLD_MS, freed_ms))
            * self._rng.uniform(0.5, 1.5)
        )

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
