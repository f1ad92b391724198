"""Experiment: what other work keeps while one kind floods the fleet."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import heapq
import itertools
import math
import random

from benchmarks import balance
from benchmarks import fleet
from benchmarks import record
from cyclamenridge.config import model
from cyclamenridge.scheduling import options as options_lib

Record = record.Record

BALANCERS = 5
SERVERS = 7
SLOTS = 2
FLOOD_MS = 3_000
FLOOD_END_MS = 7_000
END_MS = 10_500
DEADLINE_MS = 2_000
CUSTOMERS = ("c0", "c1", "c2", "c3")
BIN_MS = 250
# Log-normal work times.
SIGMA = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class KindLoad:
    """Ordinary work of a kind.

    :param part: offered work over capacity
    """

    floor_percent: float
    part: float
    mean_ms: float


KINDS = {
    "edit": KindLoad(0.0, 0.25, 30.0),
    "view": KindLoad(10.0, 0.25, 30.0),
    "dump": KindLoad(10.0, 0.2, 60.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A flood and what goes wrong meanwhile.

    :param factor: offered work of the flood over capacity
    :param customer: the only customer of the flood, if any
    :param balancer: the only balancer that the flood reaches, if any
    :param fault: ``death``, ``drain`` or ``partition``
    """

    name: str
    kind: str
    factor: float
    customer: str | None = None
    balancer: int | None = None
    fault: str | None = None


def _floods(factor: float) -> tuple[Scenario, ...]:
    suffix = f"x{factor:g}"
    return (
        Scenario(f"lowest_{suffix}", "dump", factor),
        Scenario(f"middle_{suffix}", "view", factor),
        Scenario(f"top_{suffix}", "edit", factor),
        Scenario(f"customer_{suffix}", "view", factor, customer="c3"),
        Scenario(f"balancer_{suffix}", "dump", factor, balancer=0),
    )


QUIET = Scenario("none", "dump", 0.0)
COMPARED = (
    QUIET,
    *_floods(10),
    Scenario("death_x10", "dump", 10, fault="death"),
    Scenario("drain_x10", "dump", 10, fault="drain"),
    Scenario("partition_x10", "dump", 10, fault="partition"),
)
OURS_ONLY = (*_floods(2), *_floods(50))

Options = options_lib.Options
POLICIES: dict[str, Options | None] = {
    "ours": Options(),
    "exchange_only": Options(foreign_slots=False),
    "busy_only": Options(demand_exchange=False, own_slots_only=False),
    "static_shares": Options(demand_exchange=False, foreign_slots=False),
    "fifo_bounded": Options(
        demand_exchange=False, own_slots_only=False, admission=False
    ),
    "no_admission": None,
}


def _stream(
    rng: random.Random,
    kind: str,
    *,
    part: float,
    start: float,
    end: float,
    customers: Sequence[str],
    normal: bool,
) -> Iterator[fleet.Job]:
    load = KINDS[kind]
    rate = part * SERVERS * SLOTS / load.mean_ms
    mu = math.log(load.mean_ms) - SIGMA**2 / 2
    now = start
    while rate > 0:
        now += rng.expovariate(rate)
        if now > end:
            return
        yield fleet.Job(
            0,
            kind,
            rng.choice(customers),
            now,
            now + DEADLINE_MS,
            rng.lognormvariate(mu, SIGMA),
            normal,
        )


def _arrivals(scenario: Scenario, seed: int) -> Iterator[fleet.Job]:
    streams = [
        _stream(
            random.Random(f"{kind}/{seed}"),
            kind,
            part=load.part,
            start=0,
            end=END_MS,
            customers=CUSTOMERS,
            normal=True,
        )
        for kind, load in KINDS.items()
    ]
    streams.append(
        _stream(
            random.Random(f"flood/{seed}"),
            scenario.kind,
            part=scenario.factor,
            start=FLOOD_MS,
            end=FLOOD_END_MS,
            customers=(
                (scenario.customer,) if scenario.customer else CUSTOMERS
            ),
            normal=False,
        )
    )
    for seq, job in enumerate(
        heapq.merge(*streams, key=lambda job: job.arrived), 1
    ):
        job.seq = seq
        yield job


def _config(policy: str) -> model.Config:
    if policy == "fifo_bounded":
        return fleet.make_config(
            SERVERS, SLOTS, {"all": 0.0}, queue_limit=200, retry_percent=100
        )
    # A policy that learns from busy alone lives on retries.
    service = {"retry_percent": 100} if policy == "busy_only" else {}
    return fleet.make_config(
        SERVERS,
        SLOTS,
        {kind: load.floor_percent for kind, load in KINDS.items()},
        customers=CUSTOMERS,
        **service,
    )


def _build(policy: str, seed: int) -> fleet.Simulation:
    options = POLICIES[policy]
    sim = fleet.Simulation(
        seed,
        servers=SERVERS,
        slots=SLOTS,
        queue_limit=0 if options else 1_000_000,
    )
    if options is None:
        sim.balancers = [
            fleet.DirectBalancer(sim, f"b{i}", balance.DIRECT["two_choices"])
            for i in range(BALANCERS)
        ]
        return sim
    cfg = _config(policy)
    sim.balancers = [
        fleet.SchedulerBalancer(
            sim,
            f"b{i}",
            cfg,
            options=options,
            one_kind="all" if policy == "fifo_bounded" else None,
        )
        for i in range(BALANCERS)
    ]
    return sim


def _picker(
    sim: fleet.Simulation, scenario: Scenario
) -> Callable[[fleet.Job], fleet.SimBalancer]:
    def pick(job: fleet.Job) -> fleet.SimBalancer:
        if not job.normal and scenario.balancer is not None:
            return sim.balancers[scenario.balancer]
        return sim.any_balancer(job)

    return pick


def _death(sim: fleet.Simulation) -> None:
    sim.balancers[1].alive = False

    def detected() -> None:
        alive = tuple(b.name for b in sim.balancers if b.alive)
        for balancer in sim.balancers:
            if isinstance(balancer, fleet.SchedulerBalancer):
                balancer.core.set_members(balancer.now, alive)

    sim.events.after(3000, detected)


def _drain(sim: fleet.Simulation) -> None:
    server = sim.servers["server-0"]
    sim.drain(server)
    server.draining_known = True
    for balancer in sim.balancers:
        sim.events.after(sim.delay(), balancer.set_draining, server.name)


def _partition(sim: fleet.Simulation) -> None:
    names = [balancer.name for balancer in sim.balancers]
    sim.cut = {
        frozenset((one, other)) for one in names[:2] for other in names[2:]
    }
    sim.events.after(FLOOD_END_MS - FLOOD_MS, sim.cut.clear)


FAULTS = {"death": (_death, 1000), "drain": (_drain, 1000)}
FAULTS["partition"] = (_partition, 0)


def _simulate(policy: str, scenario: Scenario, seed: int) -> fleet.Simulation:
    sim = _build(policy, seed)
    sim.start()
    sim.arrive(_arrivals(scenario, seed), _picker(sim, scenario))
    if scenario.fault:
        fault, delay_ms = FAULTS[scenario.fault]
        sim.events.after(FLOOD_MS + delay_ms, fault, sim)
    sim.events.run(END_MS)
    return sim


def _p99(jobs: list[fleet.Job]) -> float:
    return fleet.percentile(
        [job.ended - job.arrived for job in jobs if job.answered], 0.99
    )


def _recovery_ms(jobs: list[fleet.Job], quiet_p99: dict[str, float]) -> float:
    """Return when ordinary work is well again, counted from the end.

    A quarter of a second is not well when more than one request in a
    hundred is not answered or one in ten takes twice the unloaded p99.
    """
    well = 0.0
    for start in range(FLOOD_END_MS, END_MS - DEADLINE_MS, BIN_MS):
        group = [
            job
            for job in jobs
            if job.normal and start <= job.arrived < start + BIN_MS
        ]
        lost = sum(not job.answered for job in group)
        slow = sum(
            job.answered and job.ended - job.arrived > 2 * quiet_p99[job.kind]
            for job in group
        )
        if lost > 0.01 * len(group) or slow > 0.1 * len(group):
            well = start + BIN_MS - FLOOD_END_MS
    return well


def _metrics(
    sim: fleet.Simulation,
    scenario: Scenario,
    quiet_p99: dict[str, float],
) -> Iterator[tuple[str, str, float]]:
    window = range(FLOOD_MS, FLOOD_END_MS)
    jobs = [job for job in sim.jobs if int(job.arrived) in window]
    for kind in KINDS:
        group = [job for job in jobs if job.kind == kind]
        if scenario.customer and kind == scenario.kind:
            group = [job for job in group if job.customer != scenario.customer]
        offered = sum(job.work_ms for job in group)
        kept = sum(job.work_ms for job in group if job.answered)
        yield f"{kind}.answered", "ratio", kept / offered
        yield (
            f"{kind}.p99_over_unloaded",
            "ratio",
            _p99(group) / quiet_p99[kind],
        )
        yield (
            f"{kind}.slots",
            "ratio",
            _slot_time([j for j in sim.jobs if j.kind == kind], sim),
        )
    yield "useful", "ratio", _slot_time(sim.jobs, sim)
    refused = [job for job in jobs if job.refused is not None]
    yield "refused", "ratio", len(refused) / len(jobs)
    yield (
        "refused_with_room",
        "ratio",
        sum(job.refused_with_room for job in refused) / len(jobs),
    )
    yield "recovery", "ms", _recovery_ms(sim.jobs, quiet_p99)
    yield (
        "wasted",
        "ratio",
        sum(s.late_work_ms for s in sim.servers.values())
        / (sim.capacity * END_MS),
    )


def _slot_time(jobs: list[fleet.Job], sim: fleet.Simulation) -> float:
    """Return the slot time of answered requests over the capacity."""
    # The first second is left out; shares follow demand once a second.
    start, end = FLOOD_MS + 1000, FLOOD_END_MS
    used = sum(
        max(0.0, min(job.finished, end) - max(job.started, start))
        for job in jobs
        if job.answered
    )
    return used / sim.capacity_ms(start, end)


def run(seeds: Sequence[int]) -> Iterator[Record]:
    """Measure all policies in all floods."""
    for seed, policy in itertools.product(seeds, POLICIES):
        quiet_p99: dict[str, float] = {}
        scenarios = COMPARED + (OURS_ONLY if policy == "ours" else ())
        for scenario in scenarios:
            sim = _simulate(policy, scenario, seed)
            if scenario is QUIET:
                quiet_p99 = {
                    kind: _p99([j for j in sim.jobs if j.kind == kind])
                    for kind in KINDS
                }
            for name, unit, value in _metrics(sim, scenario, quiet_p99):
                yield Record(
                    "flood",
                    policy,
                    seed,
                    f"{scenario.name}.{name}",
                    unit,
                    value,
                )
