"""Simulated balancers, backend servers and network for experiments."""

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
ONE_WAY_MS = 0.5
TICK_MS = 50
# A refusal while this part of the slots is free is counted as false. A few
# slots are always free for the round trip between two requests.
ROOM_PART = 0.2
LOAD_INTERVAL_MS = 500
DEMAND_INTERVAL_MS = 1000
# Schedulers see a clock that does not start at zero, like a real one.
EPOCH_MS = 1_000_000


class EventQueue:
    """Calls functions in the order of simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()

    def after(
        self, delay: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Call a function later."""
        heapq.heappush(
            self._events, (self.now + delay, next(self._order), function, args)
        )

    def every(
        self, interval: float, function: Callable[[], None], *, first: float
    ) -> None:
        """Call a function again and again."""

        def call() -> None:
            function()
            self.after(interval, call)

        self.after(first, call)

    def run(self, until: float) -> None:
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        self.now = until


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request and what became of it.

    :param work_ms: slot time on a server at full speed
    :param normal: not part of a flood
    :param finished: when the server was done; ``ended`` is when the
        balancer knew
    """

    seq: int
    kind: str
    customer: str
    arrived: float
    deadline: float
    work_ms: float
    normal: bool = True
    started: float | None = None
    finished: float | None = None
    ended: float | None = None
    refused: float | None = None
    refused_with_room: bool = False
    failed: bool = False

    @property
    def answered(self) -> bool:
        """Whether it was answered before its deadline."""
        return (
            self.ended is not None
            and not self.failed
            and self.ended <= self.deadline
        )


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How a simulated server deviates from a plain one.

    :param slowdown: factor of the work time at a given time
    :param fails_fast: it fails every request after 1 ms
    :param report: ``live``, ``late``, ``frozen`` or ``zero``
    """

    slowdown: Callable[[float], float] = lambda now: 1.0
    fails_fast: Callable[[float], bool] = lambda now: False
    report: str = "live"


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
        self.draining_known = False
        self.left = math.inf
        self.running = 0
        self.sent_while_leaving = 0
        self.failures = 0
        self.late_work_ms = 0.0
        self.useful_ms = 0.0
        self.busy_answers = 0
        self.use_by_second: collections.Counter[int] = collections.Counter()
        self._events = events
        self._queue_limit = queue_limit
        self._queue: collections.deque[tuple[Job, Callable[..., None]]] = (
            collections.deque()
        )
        self._reports: collections.deque[backend.Load] = collections.deque(
            maxlen=8
        )

    def run(self, job: Job, reply: Callable[..., None]) -> None:
        """Take a request; ``reply`` is called with an error or None."""
        if self.draining:
            self.sent_while_leaving += 1
        if self.running < self.slots:
            self._start(job, reply)
        elif len(self._queue) < self._queue_limit:
            self._queue.append((job, reply))
        else:
            self.busy_answers += 1
            reply(backend.RunError.BUSY)

    def _start(self, job: Job, reply: Callable[..., None]) -> None:
        now = self._events.now
        self.running += 1
        job.started = now
        failing = self.behaviour.fails_fast(now)
        duration = 1.0 if failing else job.work_ms
        duration *= self.behaviour.slowdown(now)
        self.failures += failing
        self._events.after(duration, self._end, job, reply, now, failing)

    def _end(
        self,
        job: Job,
        reply: Callable[..., None],
        started: float,
        failing: bool,
    ) -> None:
        now = self._events.now
        self.running -= 1
        for second in range(int(started // 1000), int(now // 1000) + 1):
            self.use_by_second[second] += min(now, (second + 1) * 1000) - max(
                started, second * 1000
            )
        job.failed = failing
        job.finished = now
        if now > job.deadline:
            self.late_work_ms += now - started
        if self._queue:
            self._start(*self._queue.popleft())
        reply(backend.RunError.FAILED if failing else None)

    def load(self) -> backend.Load:
        """Return the load report, as the server's behaviour has it."""
        live = backend.Load(
            self.running,
            len(self._queue),
            self.connections,
            self.draining_known,
        )
        if self.behaviour.report == "zero":
            return backend.Load(0, 0, 0)
        if self.behaviour.report == "frozen":
            return backend.Load(1, 0, 10)
        if self.behaviour.report == "late":
            self._reports.append(live)
            return self._reports[0]
        return live


class SimBalancer(abc.ABC):
    """Takes requests from callers and sends them to servers."""

    def __init__(self, sim: "Simulation", name: str) -> None:
        self.sim = sim
        self.name = name
        self.alive = True

    @abc.abstractmethod
    def submit(self, job: Job) -> None:
        """Take a request."""

    @abc.abstractmethod
    def place_feed(self) -> str | None:
        """Return the server of a new connection."""

    @abc.abstractmethod
    def start(self) -> None:
        """Begin periodic work."""

    @abc.abstractmethod
    def feed_closed(self, server: str) -> None:
        """Take in that a connection ended."""

    @abc.abstractmethod
    def set_draining(self, server: str) -> None:
        """Take in that a server is leaving."""


class Simulation:
    """A fleet of balancers before the servers of one service."""

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
        self.capacity = servers * slots
        self.balancers: list[SimBalancer] = []
        self.jobs: list[Job] = []
        self.cut: set[frozenset[str]] = set()

    def delay(self) -> float:
        """Return the time that a message takes."""
        return ONE_WAY_MS * self.rng.uniform(0.9, 1.3)

    def reachable(self, one: str, other: str) -> bool:
        """Whether two balancers can talk."""
        return frozenset((one, other)) not in self.cut

    def send(
        self, job: Job, server: str, reply: Callable[[Any], None]
    ) -> None:
        """Send a request to a server; the reply comes over the network."""
        self.events.after(
            self.delay(),
            self.servers[server].run,
            job,
            lambda error: self.events.after(self.delay(), reply, error),
        )

    def drain(self, server: SimServer) -> None:
        """Start the drain of a server; no balancer knows yet."""
        server.draining = True
        server.left = self.events.now

    def capacity_ms(self, start: float, end: float) -> float:
        """Return the slot time of the servers that are not leaving."""
        return sum(
            server.slots * (min(end, max(start, server.left)) - start)
            for server in self.servers.values()
        )

    def free_slots(self) -> int:
        """Return the slots that are really free."""
        return sum(
            server.slots - server.running
            for server in self.servers.values()
            if not server.draining
        )

    def refuse(self, job: Job) -> None:
        """Note that a request was refused, and whether there was room."""
        job.refused = self.events.now
        job.refused_with_room = self.free_slots() >= ROOM_PART * self.capacity

    def arrive(
        self, arrivals: Iterator[Job], pick: Callable[[Job], SimBalancer]
    ) -> None:
        """Feed a stream of requests to the balancers."""

        def step(job: Job) -> None:
            self.jobs.append(job)
            pick(job).submit(job)
            following = next(arrivals, None)
            if following is not None:
                self.events.after(
                    max(0.0, following.arrived - self.events.now),
                    step,
                    following,
                )

        first = next(arrivals, None)
        if first is not None:
            self.events.after(first.arrived - self.events.now, step, first)

    def any_balancer(self, job: Job) -> SimBalancer:
        """Return a random live balancer, as the fabric does."""
        return self.rng.choice([b for b in self.balancers if b.alive])

    def start(self) -> None:
        """Start the balancers."""
        for balancer in self.balancers:
            balancer.start()


class SchedulerBalancer(SimBalancer):
    """A balancer that runs the project's scheduler."""

    def __init__(
        self,
        sim: Simulation,
        name: str,
        cfg: model.Config,
        *,
        options: options_lib.Options | None = None,
        one_kind: str | None = None,
    ) -> None:
        super().__init__(sim, name)
        self.core = scheduler_lib.ServiceScheduler(
            SERVICE,
            cfg,
            me=name,
            rng=random.Random(f"{name}/{sim.rng.random()}"),
            options=options,
        )
        self._one_kind = one_kind
        self._jobs: dict[types.RequestKey, Job] = {}

    @property
    def now(self) -> int:
        """The time as the scheduler sees it."""
        return EPOCH_MS + int(self.sim.events.now)

    def start(self) -> None:
        """Bring the links up and begin periodic work."""
        events = self.sim.events
        offset = self.sim.rng.random
        self.core.set_members(
            self.now, tuple(b.name for b in self.sim.balancers)
        )
        for server in self.sim.servers.values():
            self.link_up(server, 1)
        events.every(TICK_MS, self.poll, first=offset() * TICK_MS)
        events.every(
            LOAD_INTERVAL_MS, self._ask_load, first=offset() * LOAD_INTERVAL_MS
        )
        events.every(
            DEMAND_INTERVAL_MS,
            self._tell_demand,
            first=offset() * DEMAND_INTERVAL_MS,
        )

    def link_up(self, server: SimServer, incarnation: int) -> None:
        """Connect to a server."""
        self.core.server_up(
            self.now,
            server.name,
            backend.Identity(
                SERVICE, server.name, incarnation, server.slots, 2000
            ),
        )

    def submit(self, job: Job) -> None:
        """Queue a request."""
        key = types.RequestKey(1, job.seq)
        request = types.QueuedRequest(
            key,
            self._one_kind or job.kind,
            "all" if self._one_kind else job.customer,
            True,
            EPOCH_MS + int(job.arrived),
            EPOCH_MS + int(job.deadline),
            b"",
        )
        self._jobs[key] = job
        refusal = self.core.submit(self.now, request)
        if refusal is not None:
            self._refused(refusal)
        else:
            self.poll()

    def poll(self) -> None:
        """Carry out what the scheduler decides."""
        if not self.alive:
            return
        result = self.core.poll(self.now)
        for refusal in result.refusals:
            self._refused(refusal)
        for item in result.assignments:
            self._send(item)

    def _send(self, item: types.Assignment) -> None:
        sent = self.now
        key = item.request.key
        job = self._jobs[key]

        def reply(error: backend.RunError | None) -> None:
            if self.alive:
                self._replied(key, item.server, job, sent, error)

        self.sim.send(job, item.server, reply)

    def _replied(
        self,
        key: types.RequestKey,
        server: str,
        job: Job,
        sent: int,
        error: backend.RunError | None,
    ) -> None:
        if error in (None, backend.RunError.FAILED):
            job.ended = self.sim.events.now
            completion = (
                types.Completion.FAILED if error else types.Completion.ANSWERED
            )
            self.core.assignment_completed(
                self.now, key, server, completion, self.now - sent
            )
            self.core.server_load(
                self.now, server, self.sim.servers[server].load()
            )
            del self._jobs[key]
        else:
            refusal = self.core.request_not_run(self.now, key, server, error)
            if refusal is not None:
                self._refused(refusal)
        self.poll()

    def _refused(self, refusal: types.Refusal) -> None:
        self.sim.refuse(self._jobs.pop(refusal.key))

    def _ask_load(self) -> None:
        if not self.alive:
            return
        for server in self.sim.servers.values():
            self.sim.events.after(
                2 * self.sim.delay(),
                self._hear_load,
                server.name,
                server.load(),
            )

    def _hear_load(self, server: str, load: backend.Load) -> None:
        self.core.server_load(self.now, server, load)
        self.poll()

    def _tell_demand(self) -> None:
        if not self.alive:
            return
        demand = self.core.measure_demand(self.now)
        for peer in self.sim.balancers:
            if (
                isinstance(peer, SchedulerBalancer)
                and peer is not self
                and self.sim.reachable(self.name, peer.name)
            ):
                self.sim.events.after(
                    self.sim.delay(), peer.hear, self.name, demand
                )

    def hear(self, peer: str, demand: types.ServiceDemand) -> None:
        """Take in the demand of a peer."""
        self.core.set_peer_demand(self.now, peer, demand)

    def place_feed(self) -> str | None:
        """Place a connection and count it."""
        server = self.core.place_feed(self.now)
        if server is not None:
            self.core.feed_attached(self.now, server)
        return server

    def feed_closed(self, server: str) -> None:
        """Count a connection out."""
        self.core.feed_detached(self.now, server)

    def set_draining(self, server: str) -> None:
        """Take in that a server is leaving."""
        self.core.server_draining(self.now, server, True)


class DirectBalancer(SimBalancer):
    """A balancer that sends every request at once; servers queue it.

    :param choose: picks a server from the live ones by what it knows:
        own requests in flight and the last report by server
    """

    def __init__(
        self,
        sim: Simulation,
        name: str,
        choose: Callable[["DirectBalancer", list[str]], str],
    ) -> None:
        super().__init__(sim, name)
        self.choose = choose
        self.in_flight = dict.fromkeys(sim.servers, 0)
        self.feeds = dict.fromkeys(sim.servers, 0)
        self.reports = {name: backend.Load(0, 0, 0) for name in sim.servers}
        self.turn = 0
        self.leaving: set[str] = set()

    def start(self) -> None:
        """Begin to ask for load reports."""
        self.sim.events.every(
            LOAD_INTERVAL_MS,
            self._ask_load,
            first=self.sim.rng.random() * LOAD_INTERVAL_MS,
        )

    def _ask_load(self) -> None:
        for name, server in self.sim.servers.items():
            self.reports[name] = server.load()

    def usable(self) -> list[str]:
        """Return the servers that are not leaving."""
        return [name for name in self.sim.servers if name not in self.leaving]

    def submit(self, job: Job) -> None:
        """Send a request."""
        server = self.choose(self, self.usable())
        self.in_flight[server] += 1

        def reply(error: backend.RunError | None) -> None:
            self.in_flight[server] -= 1
            if error is backend.RunError.BUSY:
                self.sim.refuse(job)
            else:
                job.ended = self.sim.events.now

        self.sim.send(job, server, reply)

    def place_feed(self) -> str | None:
        """Place a connection by the same policy."""
        server = self.choose(self, self.usable())
        self.feeds[server] += 1
        return server

    def feed_closed(self, server: str) -> None:
        """Count a connection out."""
        self.feeds[server] -= 1

    def set_draining(self, server: str) -> None:
        """Take in that a server is leaving."""
        self.leaving.add(server)


class PerfectBalancer(SimBalancer):
    """One queue for all balancers that sees every slot as it is now."""

    def __init__(self, sim: Simulation, name: str) -> None:
        super().__init__(sim, name)
        self._queue: collections.deque[Job] = collections.deque()

    def start(self) -> None:
        """Do nothing; no work is periodic."""

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
            usable = [
                server
                for server in self.sim.servers.values()
                if not server.draining
                and not server.behaviour.fails_fast(self.sim.events.now)
                and server.running < server.slots
            ]
            if not usable:
                return
            server = max(
                usable,
                key=lambda item: (
                    item.slots - item.running,
                    self.sim.rng.random(),
                ),
            )
            job = self._queue.popleft()

            def reply(error: backend.RunError | None, job: Job = job) -> None:
                job.ended = self.sim.events.now
                self._dispatch()

            server.run(job, reply)

    def place_feed(self) -> str | None:
        """Place a connection at the server with the fewest."""
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

    :param kinds: floor in percent by kind, in order of precedence
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


def percentile(values: list[float], part: float) -> float:
    """Return a percentile; 0 when there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
