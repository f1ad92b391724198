"""Discrete-event simulation of balancers, backend servers and network."""

import abc
import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import heapq
import itertools
import math
import random
from typing import Any

from cyclamenridge.config import model
from cyclamenridge.scheduling import options as options_lib
from cyclamenridge.scheduling import scheduler as scheduler_lib
from cyclamenridge.scheduling import types
from cyclamenridge.wire import backend

SERVICE = "service"
ONE_WAY_DELAY_MS = 0.5
POLL_INTERVAL_MS = 50
# A refusal counts as false if at least this fraction of the slots is free.
# Some slots are always free during the round trip between two requests.
FALSE_REFUSAL_FREE_FRACTION = 0.2
LOAD_INTERVAL_MS = 500
DEMAND_INTERVAL_MS = 1000
# The clock of the schedulers does not start at zero, as in production.
CLOCK_OFFSET_MS = 1_000_000


class EventQueue:
    """Queue of function calls in the order of simulated time (ms)."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()

    def call_later(
        self, delay_ms: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a function call."""
        heapq.heappush(
            self._events,
            (self.now_ms + delay_ms, next(self._order), function, args),
        )

    def call_every(
        self,
        interval_ms: float,
        function: Callable[[], None],
        *,
        first_delay_ms: float,
    ) -> None:
        """Schedule periodic function calls."""

        def call() -> None:
            function()
            self.call_later(interval_ms, call)

        self.call_later(first_delay_ms, call)

    def run_until(self, end_ms: float) -> None:
        """Process the events up to and including ``end_ms``."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, function, args = heapq.heappop(self._events)
            function(*args)
        self.now_ms = end_ms


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request and its outcome; all times are simulated time.

    :param work_ms: slot time on a server at full speed
    :param is_regular: not part of a flood
    :param finished_ms: when the server finished the request
    :param replied_ms: when the reply reached the balancer
    :param refused_with_free_slots: refused while enough slots were free
    """

    seq: int
    kind: str
    customer: str
    arrived_ms: float
    deadline_ms: float
    work_ms: float
    is_regular: bool = True
    started_ms: float | None = None
    finished_ms: float | None = None
    replied_ms: float | None = None
    refused_ms: float | None = None
    refused_with_free_slots: bool = False
    failed: bool = False

    @property
    def answered(self) -> bool:
        """Whether a successful reply arrived by the deadline."""
        return (
            self.replied_ms is not None
            and not self.failed
            and self.replied_ms <= self.deadline_ms
        )


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Faults and delays of a simulated server.

    :param slowdown: factor on the service time at a given time
    :param fails_fast: whether requests fail after 1 ms at a given time
    :param load_report: ``live``, ``late``, ``frozen`` or ``zero``
    """

    slowdown: Callable[[float], float] = lambda now_ms: 1.0
    fails_fast: Callable[[float], bool] = lambda now_ms: False
    load_report: str = "live"


class SimServer:
    """A backend server with slots, a bounded queue and load reports."""

    def __init__(
        self,
        events: EventQueue,
        name: str,
        *,
        slots: int,
        queue_limit: int,
        behaviour: Behaviour,
    ) -> None:
        self.name = name
        self.slots = slots
        self.behaviour = behaviour
        self.connections = 0
        self.draining = False
        self.reports_draining = False
        self.drain_started_ms = math.inf
        self.running = 0
        self.received_while_draining = 0
        self.failure_count = 0
        self.late_work_ms = 0.0
        self.busy_reply_count = 0
        self.slot_ms_by_second: collections.Counter[int] = (
            collections.Counter()
        )
        self._events = events
        self._queue_limit = queue_limit
        self._queue: collections.deque[tuple[Job, Callable[..., None]]] = (
            collections.deque()
        )
        self._reports: collections.deque[backend.Load] = collections.deque(
            maxlen=8
        )

    def run(self, job: Job, reply: Callable[..., None]) -> None:
        """Run, queue or reject a request.

        :param reply: called with an error, or with None on success
        """
        if self.draining:
            self.received_while_draining += 1
        if self.running < self.slots:
            self._start(job, reply)
        elif len(self._queue) < self._queue_limit:
            self._queue.append((job, reply))
        else:
            self.busy_reply_count += 1
            reply(backend.RunError.BUSY)

    def _start(self, job: Job, reply: Callable[..., None]) -> None:
        now_ms = self._events.now_ms
        self.running += 1
        job.started_ms = now_ms
        fails = self.behaviour.fails_fast(now_ms)
        duration = 1.0 if fails else job.work_ms
        duration *= self.behaviour.slowdown(now_ms)
        self.failure_count += fails
        self._events.call_later(duration, self._end, job, reply, now_ms, fails)

    def _end(
        self,
        job: Job,
        reply: Callable[..., None],
        started: float,
        fails: bool,
    ) -> None:
        now_ms = self._events.now_ms
        self.running -= 1
        for second in range(int(started // 1000), int(now_ms // 1000) + 1):
            self.slot_ms_by_second[second] += min(
                now_ms, (second + 1) * 1000
            ) - max(started, second * 1000)
        job.failed = fails
        job.finished_ms = now_ms
        if now_ms > job.deadline_ms:
            self.late_work_ms += now_ms - started
        if self._queue:
            self._start(*self._queue.popleft())
        reply(backend.RunError.FAILED if fails else None)

    def load_report(self) -> backend.Load:
        """Return the load report, altered as the behaviour says."""
        live = backend.Load(
            self.running,
            len(self._queue),
            self.connections,
            self.reports_draining,
        )
        if self.behaviour.load_report == "zero":
            return backend.Load(0, 0, 0)
        if self.behaviour.load_report == "frozen":
            return backend.Load(1, 0, 10)
        if self.behaviour.load_report == "late":
            self._reports.append(live)
            return self._reports[0]
        return live


class SimBalancer(abc.ABC):
    """Base class of simulated balancers."""

    def __init__(self, sim: "Simulation", name: str) -> None:
        self.sim = sim
        self.name = name
        self.alive = True

    @abc.abstractmethod
    def submit(self, job: Job) -> None:
        """Accept a request from a caller."""

    @abc.abstractmethod
    def place_feed(self) -> str | None:
        """Choose a server for a new feed; None if there is none."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start periodic tasks."""

    @abc.abstractmethod
    def feed_closed(self, server: str) -> None:
        """Handle the end of a feed at a server."""

    @abc.abstractmethod
    def set_draining(self, server: str) -> None:
        """Handle the notice that a server drains."""


class Simulation:
    """A fleet of balancers and the servers of one service."""

    def __init__(
        self,
        seed: int,
        *,
        servers: int,
        slots: int,
        queue_limit: int = 0,
        behaviours: dict[int, Behaviour] | None = None,
    ) -> None:
        self.events = EventQueue()
        self.rng = random.Random(seed)
        self.servers = {
            f"server-{index}": SimServer(
                self.events,
                f"server-{index}",
                slots=slots,
                queue_limit=queue_limit,
                behaviour=(behaviours or {}).get(index, Behaviour()),
            )
            for index in range(servers)
        }
        self.slot_count = servers * slots
        self.balancers: list[SimBalancer] = []
        self.jobs: list[Job] = []
        self.partitioned_pairs: set[frozenset[str]] = set()

    def sample_delay_ms(self) -> float:
        """Return a random one-way network delay."""
        return ONE_WAY_DELAY_MS * self.rng.uniform(0.9, 1.3)

    def reachable(self, one: str, other: str) -> bool:
        """Whether no partition separates two balancers."""
        return frozenset((one, other)) not in self.partitioned_pairs

    def send(
        self, job: Job, server: str, reply: Callable[[Any], None]
    ) -> None:
        """Send a request to a server; request and reply are delayed."""
        self.events.call_later(
            self.sample_delay_ms(),
            self.servers[server].run,
            job,
            lambda error: self.events.call_later(
                self.sample_delay_ms(), reply, error
            ),
        )

    def start_drain(self, server: SimServer) -> None:
        """Start the drain of a server without notifying the balancers."""
        server.draining = True
        server.drain_started_ms = self.events.now_ms

    def available_slot_ms(self, start: float, end: float) -> float:
        """Return the slot time of all servers, each until its drain starts."""
        return sum(
            server.slots
            * (min(end, max(start, server.drain_started_ms)) - start)
            for server in self.servers.values()
        )

    def free_slots(self) -> int:
        """Return the number of free slots on servers that do not drain."""
        return sum(
            server.slots - server.running
            for server in self.servers.values()
            if not server.draining
        )

    def record_refusal(self, job: Job) -> None:
        """Record a refusal and whether enough slots were free."""
        job.refused_ms = self.events.now_ms
        job.refused_with_free_slots = (
            self.free_slots() >= FALSE_REFUSAL_FREE_FRACTION * self.slot_count
        )

    def schedule_arrivals(
        self,
        arrivals: Iterator[Job],
        choose_balancer: Callable[[Job], SimBalancer],
    ) -> None:
        """Submit requests to the balancers at their arrival times."""

        def submit_and_schedule_next(job: Job) -> None:
            self.jobs.append(job)
            choose_balancer(job).submit(job)
            next_job = next(arrivals, None)
            if next_job is not None:
                self.events.call_later(
                    max(0.0, next_job.arrived_ms - self.events.now_ms),
                    submit_and_schedule_next,
                    next_job,
                )

        first = next(arrivals, None)
        if first is not None:
            self.events.call_later(
                first.arrived_ms - self.events.now_ms,
                submit_and_schedule_next,
                first,
            )

    def random_balancer(self, job: Job) -> SimBalancer:
        """Return a random live balancer, as the network fabric does."""
        return self.rng.choice([b for b in self.balancers if b.alive])

    def start(self) -> None:
        """Start the balancers."""
        for balancer in self.balancers:
            balancer.start()


class SchedulerBalancer(SimBalancer):
    """A balancer that runs the scheduler of ``cyclamenridge``.

    :param single_kind: submit all requests as this kind and one customer
    """

    def __init__(
        self,
        sim: Simulation,
        name: str,
        cfg: model.Config,
        *,
        options: options_lib.Options | None = None,
        single_kind: str | None = None,
    ) -> None:
        super().__init__(sim, name)
        self.core = scheduler_lib.ServiceScheduler(
            SERVICE,
            cfg,
            me=name,
            rng=random.Random(f"{name}/{sim.rng.random()}"),
            options=options,
        )
        self._single_kind = single_kind
        self._jobs: dict[types.RequestKey, Job] = {}

    @property
    def now_ms(self) -> int:
        """Time on the clock of the scheduler."""
        return CLOCK_OFFSET_MS + int(self.sim.events.now_ms)

    def start(self) -> None:
        """Connect to the servers and start periodic tasks."""
        events = self.sim.events
        offset = self.sim.rng.random
        self.core.set_members(
            self.now_ms, tuple(b.name for b in self.sim.balancers)
        )
        for server in self.sim.servers.values():
            self.connect_server(server, 1)
        events.call_every(
            POLL_INTERVAL_MS,
            self.poll,
            first_delay_ms=offset() * POLL_INTERVAL_MS,
        )
        events.call_every(
            LOAD_INTERVAL_MS,
            self._request_load_reports,
            first_delay_ms=offset() * LOAD_INTERVAL_MS,
        )
        events.call_every(
            DEMAND_INTERVAL_MS,
            self._send_demand,
            first_delay_ms=offset() * DEMAND_INTERVAL_MS,
        )

    def connect_server(self, server: SimServer, incarnation: int) -> None:
        """Report a server connection to the scheduler."""
        self.core.server_up(
            self.now_ms,
            server.name,
            backend.Identity(
                SERVICE, server.name, incarnation, server.slots, 2000
            ),
        )

    def submit(self, job: Job) -> None:
        """Submit a request to the scheduler."""
        key = types.RequestKey(1, job.seq)
        request = types.QueuedRequest(
            key,
            self._single_kind or job.kind,
            "all" if self._single_kind else job.customer,
            True,
            CLOCK_OFFSET_MS + int(job.arrived_ms),
            CLOCK_OFFSET_MS + int(job.deadline_ms),
            b"",
        )
        self._jobs[key] = job
        refusal = self.core.submit(self.now_ms, request)
        if refusal is not None:
            self._handle_refusal(refusal)
        else:
            self.poll()

    def poll(self) -> None:
        """Execute the refusals and assignments of the scheduler."""
        if not self.alive:
            return
        result = self.core.poll(self.now_ms)
        for refusal in result.refusals:
            self._handle_refusal(refusal)
        for item in result.assignments:
            self._send(item)

    def _send(self, item: types.Assignment) -> None:
        sent_ms = self.now_ms
        key = item.request.key
        job = self._jobs[key]

        def reply(error: backend.RunError | None) -> None:
            if self.alive:
                self._handle_reply(key, item.server, job, sent_ms, error)

        self.sim.send(job, item.server, reply)

    def _handle_reply(
        self,
        key: types.RequestKey,
        server: str,
        job: Job,
        sent_ms: int,
        error: backend.RunError | None,
    ) -> None:
        if error in (None, backend.RunError.FAILED):
            job.replied_ms = self.sim.events.now_ms
            completion = (
                types.Completion.FAILED if error else types.Completion.ANSWERED
            )
            self.core.assignment_completed(
                self.now_ms, key, server, completion, self.now_ms - sent_ms
            )
            self.core.server_load(
                self.now_ms, server, self.sim.servers[server].load_report()
            )
            del self._jobs[key]
        else:
            refusal = self.core.request_not_run(
                self.now_ms, key, server, error
            )
            if refusal is not None:
                self._handle_refusal(refusal)
        self.poll()

    def _handle_refusal(self, refusal: types.Refusal) -> None:
        self.sim.record_refusal(self._jobs.pop(refusal.key))

    def _request_load_reports(self) -> None:
        if not self.alive:
            return
        for server in self.sim.servers.values():
            self.sim.events.call_later(
                2 * self.sim.sample_delay_ms(),
                self._handle_load_report,
                server.name,
                server.load_report(),
            )

    def _handle_load_report(self, server: str, load: backend.Load) -> None:
        self.core.server_load(self.now_ms, server, load)
        self.poll()

    def _send_demand(self) -> None:
        if not self.alive:
            return
        demand = self.core.measure_demand(self.now_ms)
        for peer in self.sim.balancers:
            if (
                isinstance(peer, SchedulerBalancer)
                and peer is not self
                and self.sim.reachable(self.name, peer.name)
            ):
                self.sim.events.call_later(
                    self.sim.sample_delay_ms(),
                    peer.handle_peer_demand,
                    self.name,
                    demand,
                )

    def handle_peer_demand(
        self, peer: str, demand: types.ServiceDemand
    ) -> None:
        """Handle the demand that a peer announces."""
        self.core.set_peer_demand(self.now_ms, peer, demand)

    def place_feed(self) -> str | None:
        """Let the scheduler choose a server and count the feed there."""
        server = self.core.place_feed(self.now_ms)
        if server is not None:
            self.core.feed_attached(self.now_ms, server)
        return server

    def feed_closed(self, server: str) -> None:
        """Remove a closed feed from the count of its server."""
        self.core.feed_detached(self.now_ms, server)

    def set_draining(self, server: str) -> None:
        """Handle the notice that a server drains."""
        self.core.server_draining(self.now_ms, server, True)


class DirectBalancer(SimBalancer):
    """A baseline balancer without a queue; the servers queue requests.

    :param choose_server: returns one of the given servers; may use the
        requests in flight and the last load report of each server
    """

    def __init__(
        self,
        sim: Simulation,
        name: str,
        choose_server: Callable[["DirectBalancer", list[str]], str],
    ) -> None:
        super().__init__(sim, name)
        self.choose_server = choose_server
        self.in_flight = dict.fromkeys(sim.servers, 0)
        self.feed_counts = dict.fromkeys(sim.servers, 0)
        self.load_reports = {
            name: backend.Load(0, 0, 0) for name in sim.servers
        }
        self.round_robin_index = 0
        self.draining_servers: set[str] = set()

    def start(self) -> None:
        """Start periodic requests for load reports."""
        self.sim.events.call_every(
            LOAD_INTERVAL_MS,
            self._request_load_reports,
            first_delay_ms=self.sim.rng.random() * LOAD_INTERVAL_MS,
        )

    def _request_load_reports(self) -> None:
        for name, server in self.sim.servers.items():
            self.load_reports[name] = server.load_report()

    def available_servers(self) -> list[str]:
        """Return the servers that do not drain."""
        return [
            name
            for name in self.sim.servers
            if name not in self.draining_servers
        ]

    def submit(self, job: Job) -> None:
        """Send a request to a server without queueing."""
        server = self.choose_server(self, self.available_servers())
        self.in_flight[server] += 1

        def reply(error: backend.RunError | None) -> None:
            self.in_flight[server] -= 1
            if error is backend.RunError.BUSY:
                self.sim.record_refusal(job)
            else:
                job.replied_ms = self.sim.events.now_ms

        self.sim.send(job, server, reply)

    def place_feed(self) -> str | None:
        """Choose a server with the policy that is used for requests."""
        server = self.choose_server(self, self.available_servers())
        self.feed_counts[server] += 1
        return server

    def feed_closed(self, server: str) -> None:
        """Remove a closed feed from the count of its server."""
        self.feed_counts[server] -= 1

    def set_draining(self, server: str) -> None:
        """Handle the notice that a server drains."""
        self.draining_servers.add(server)


class PerfectBalancer(SimBalancer):
    """Ideal baseline: one global queue with exact knowledge of all slots."""

    def __init__(self, sim: Simulation, name: str) -> None:
        super().__init__(sim, name)
        self._queue: collections.deque[Job] = collections.deque()

    def start(self) -> None:
        """Do nothing; there are no periodic tasks."""

    def feed_closed(self, server: str) -> None:
        """Do nothing; the servers count connections."""

    def set_draining(self, server: str) -> None:
        """Do nothing; the state is read from the server."""

    def submit(self, job: Job) -> None:
        """Queue a request."""
        self._queue.append(job)
        self._dispatch()

    def _dispatch(self) -> None:
        while self._queue:
            available_servers = [
                server
                for server in self.sim.servers.values()
                if not server.draining
                and not server.behaviour.fails_fast(self.sim.events.now_ms)
                and server.running < server.slots
            ]
            if not available_servers:
                return
            server = max(
                available_servers,
                key=lambda item: (
                    item.slots - item.running,
                    self.sim.rng.random(),
                ),
            )
            job = self._queue.popleft()

            def reply(error: backend.RunError | None, job: Job = job) -> None:
                job.replied_ms = self.sim.events.now_ms
                self._dispatch()

            server.run(job, reply)

    def place_feed(self) -> str | None:
        """Return the server with the fewest connections."""
        return min(
            (s for s in self.sim.servers.values() if not s.draining),
            key=lambda item: (item.connections, self.sim.rng.random()),
        ).name


def make_config(
    servers: int,
    slots: int,
    kinds: dict[str, float],
    *,
    customers: tuple[str, ...] = ("c0", "c1", "c2", "c3"),
    **service: Any,
) -> model.Config:
    """Return a configuration with one service.

    :param kinds: guaranteed minimum share in percent by kind, in order of
        precedence
    """
    return model.Config(
        deployment="benchmark",
        failure_domains={
            "a": model.FailureDomain(region="r", networks=("127.0.0.0/8",))
        },
        services={
            SERVICE: model.Service(
                servers={
                    f"server-{index}": model.Server(
                        address=f"127.0.0.1:{8000 + index}",
                        failure_domain="a",
                        slots=slots,
                    )
                    for index in range(servers)
                },
                **service,
            )
        },
        kinds={
            name: model.Kind(
                service=SERVICE,
                mode=model.Mode.REQUEST,
                floor_percent=floor,
            )
            for name, floor in kinds.items()
        },
        customers={name: model.Customer() for name in customers},
        precedence=tuple(kinds),
    )


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile; 0 if there are no values.

    :param fraction: 0.99 for the 99th percentile
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
