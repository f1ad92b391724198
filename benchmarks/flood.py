"""Experiment: service of regular requests while one kind floods the fleet."""

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
FLOOD_START_MS = 3_000
FLOOD_END_MS = 7_000
END_MS = 10_500
REQUEST_TIMEOUT_MS = 2_000
CUSTOMERS = ("c0", "c1", "c2", "c3")
RECOVERY_BIN_MS = 250
# Sigma of the log-normal distribution of service times.
WORK_SIGMA = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class KindLoad:
    """Regular load of a kind.

    :param load_factor: offered work relative to capacity
    """

    floor_percent: float
    load_factor: float
    mean_ms: float


KINDS = {
    "edit": KindLoad(0.0, 0.25, 30.0),
    "view": KindLoad(10.0, 0.25, 30.0),
    "dump": KindLoad(10.0, 0.2, 60.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A flood and the fault during it, if any.

    :param load_factor: offered work of the flood relative to capacity
    :param customer: the only customer of the flood, if any
    :param balancer: the only balancer that the flood reaches, if any
    :param fault: ``death``, ``drain`` or ``partition``
    """

    name: str
    kind: str
    load_factor: float
    customer: str | None = None
    balancer: int | None = None
    fault: str | None = None


def _floods(load_factor: float) -> tuple[Scenario, ...]:
    suffix = f"x{load_factor:g}"
    return (
        Scenario(f"lowest_{suffix}", "dump", load_factor),
        Scenario(f"middle_{suffix}", "view", load_factor),
        Scenario(f"top_{suffix}", "edit", load_factor),
        Scenario(f"customer_{suffix}", "view", load_factor, customer="c3"),
        Scenario(f"balancer_{suffix}", "dump", load_factor, balancer=0),
    )


NO_FLOOD = Scenario("none", "dump", 0.0)
COMPARED_SCENARIOS = (
    NO_FLOOD,
    *_floods(10),
    Scenario("death_x10", "dump", 10, fault="death"),
    Scenario("drain_x10", "dump", 10, fault="drain"),
    Scenario("partition_x10", "dump", 10, fault="partition"),
)
OURS_ONLY_SCENARIOS = (*_floods(2), *_floods(50))

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
    load_factor: float,
    start_ms: float,
    end_ms: float,
    customers: Sequence[str],
    is_regular: bool,
) -> Iterator[fleet.Job]:
    load = KINDS[kind]
    rate = load_factor * SERVERS * SLOTS / load.mean_ms
    mu = math.log(load.mean_ms) - WORK_SIGMA**2 / 2
    now_ms = start_ms
    while rate > 0:
        now_ms += rng.expovariate(rate)
        if now_ms > end_ms:
            return
        yield fleet.Job(
            0,
            kind,
            rng.choice(customers),
            now_ms,
            now_ms + REQUEST_TIMEOUT_MS,
            rng.lognormvariate(mu, WORK_SIGMA),
            is_regular,
        )


def _arrivals(scenario: Scenario, seed: int) -> Iterator[fleet.Job]:
    streams = [
        _stream(
            random.Random(f"{kind}/{seed}"),
            kind,
            load_factor=load.load_factor,
            start_ms=0,
            end_ms=END_MS,
            customers=CUSTOMERS,
            is_regular=True,
        )
        for kind, load in KINDS.items()
    ]
    streams.append(
        _stream(
            random.Random(f"flood/{seed}"),
            scenario.kind,
            load_factor=scenario.load_factor,
            start_ms=FLOOD_START_MS,
            end_ms=FLOOD_END_MS,
            customers=(
                (scenario.customer,) if scenario.customer else CUSTOMERS
            ),
            is_regular=False,
        )
    )
    for seq, job in enumerate(
        heapq.merge(*streams, key=lambda job: job.arrived_ms), 1
    ):
        job.seq = seq
        yield job


def _config(policy: str) -> model.Config:
    if policy == "fifo_bounded":
        return fleet.make_config(
            SERVERS, SLOTS, {"all": 0.0}, queue_limit=200, retry_percent=100
        )
    # A policy that learns of load only from busy replies depends on retries.
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
            fleet.DirectBalancer(
                sim, f"b{i}", balance.DIRECT_POLICIES["two_choices"]
            )
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
            single_kind="all" if policy == "fifo_bounded" else None,
        )
        for i in range(BALANCERS)
    ]
    return sim


def _balancer_chooser(
    sim: fleet.Simulation, scenario: Scenario
) -> Callable[[fleet.Job], fleet.SimBalancer]:
    def choose_balancer(job: fleet.Job) -> fleet.SimBalancer:
        if not job.is_regular and scenario.balancer is not None:
            return sim.balancers[scenario.balancer]
        return sim.random_balancer(job)

    return choose_balancer


def _kill_balancer(sim: fleet.Simulation) -> None:
    sim.balancers[1].alive = False

    def remove_dead_members() -> None:
        alive = tuple(b.name for b in sim.balancers if b.alive)
        for balancer in sim.balancers:
            if isinstance(balancer, fleet.SchedulerBalancer):
                balancer.core.set_members(balancer.now_ms, alive)

    sim.events.call_later(3000, remove_dead_members)


def _drain_server(sim: fleet.Simulation) -> None:
    server = sim.servers["server-0"]
    sim.start_drain(server)
    server.reports_draining = True
    for balancer in sim.balancers:
        sim.events.call_later(
            sim.sample_delay_ms(), balancer.set_draining, server.name
        )


def _partition_balancers(sim: fleet.Simulation) -> None:
    names = [balancer.name for balancer in sim.balancers]
    sim.partitioned_pairs = {
        frozenset((one, other)) for one in names[:2] for other in names[2:]
    }
    sim.events.call_later(
        FLOOD_END_MS - FLOOD_START_MS, sim.partitioned_pairs.clear
    )


FAULTS = {"death": (_kill_balancer, 1000), "drain": (_drain_server, 1000)}
FAULTS["partition"] = (_partition_balancers, 0)


def _simulate(policy: str, scenario: Scenario, seed: int) -> fleet.Simulation:
    sim = _build(policy, seed)
    sim.start()
    sim.schedule_arrivals(
        _arrivals(scenario, seed), _balancer_chooser(sim, scenario)
    )
    if scenario.fault:
        fault, delay_ms = FAULTS[scenario.fault]
        sim.events.call_later(FLOOD_START_MS + delay_ms, fault, sim)
    sim.events.run_until(END_MS)
    return sim


def _p99(jobs: list[fleet.Job]) -> float:
    return fleet.percentile(
        [job.replied_ms - job.arrived_ms for job in jobs if job.answered], 0.99
    )


def _recovery_ms(
    jobs: list[fleet.Job], no_flood_p99_ms: dict[str, float]
) -> float:
    """Return the time from the end of the flood until regular load recovers.

    A bin of arrival times has not recovered if more than 1% of its requests
    were not answered or more than 10% took over twice the p99 without flood.
    """
    recovered_ms = 0.0
    for start in range(
        FLOOD_END_MS, END_MS - REQUEST_TIMEOUT_MS, RECOVERY_BIN_MS
    ):
        group = [
            job
            for job in jobs
            if job.is_regular
            and start <= job.arrived_ms < start + RECOVERY_BIN_MS
        ]
        unanswered = sum(not job.answered for job in group)
        slow = sum(
            job.answered
            and job.replied_ms - job.arrived_ms > 2 * no_flood_p99_ms[job.kind]
            for job in group
        )
        if unanswered > 0.01 * len(group) or slow > 0.1 * len(group):
            recovered_ms = start + RECOVERY_BIN_MS - FLOOD_END_MS
    return recovered_ms


def _metrics(
    sim: fleet.Simulation,
    scenario: Scenario,
    no_flood_p99_ms: dict[str, float],
) -> Iterator[tuple[str, str, float]]:
    window = range(FLOOD_START_MS, FLOOD_END_MS)
    jobs = [job for job in sim.jobs if int(job.arrived_ms) in window]
    for kind in KINDS:
        group = [job for job in jobs if job.kind == kind]
        if scenario.customer and kind == scenario.kind:
            group = [job for job in group if job.customer != scenario.customer]
        offered_work_ms = sum(job.work_ms for job in group)
        answered_work_ms = sum(job.work_ms for job in group if job.answered)
        yield f"{kind}.answered", "ratio", answered_work_ms / offered_work_ms
        yield (
            f"{kind}.p99_over_unloaded",
            "ratio",
            _p99(group) / no_flood_p99_ms[kind],
        )
        yield (
            f"{kind}.slots",
            "ratio",
            _slot_utilisation([j for j in sim.jobs if j.kind == kind], sim),
        )
    yield "useful", "ratio", _slot_utilisation(sim.jobs, sim)
    refused = [job for job in jobs if job.refused_ms is not None]
    yield "refused", "ratio", len(refused) / len(jobs)
    yield (
        "refused_with_room",
        "ratio",
        sum(job.refused_with_free_slots for job in refused) / len(jobs),
    )
    yield "recovery", "ms", _recovery_ms(sim.jobs, no_flood_p99_ms)
    yield (
        "wasted",
        "ratio",
        sum(s.late_work_ms for s in sim.servers.values())
        / (sim.slot_count * END_MS),
    )


def _slot_utilisation(jobs: list[fleet.Job], sim: fleet.Simulation) -> float:
    """Return the slot time of answered requests relative to capacity."""
    # The first second is excluded because shares are updated once a second.
    start_ms, end_ms = FLOOD_START_MS + 1000, FLOOD_END_MS
    used = sum(
        max(0.0, min(job.finished_ms, end_ms) - max(job.started_ms, start_ms))
        for job in jobs
        if job.answered
    )
    return used / sim.available_slot_ms(start_ms, end_ms)


def run(seeds: Sequence[int]) -> Iterator[Record]:
    """Measure all policies in all floods."""
    for seed, policy in itertools.product(seeds, POLICIES):
        no_flood_p99_ms: dict[str, float] = {}
        scenarios = COMPARED_SCENARIOS + (
            OURS_ONLY_SCENARIOS if policy == "ours" else ()
        )
        for scenario in scenarios:
            sim = _simulate(policy, scenario, seed)
            if scenario is NO_FLOOD:
                no_flood_p99_ms = {
                    kind: _p99([j for j in sim.jobs if j.kind == kind])
                    for kind in KINDS
                }
            for name, unit, value in _metrics(sim, scenario, no_flood_p99_ms):
                yield Record(
                    "flood",
                    policy,
                    seed,
                    f"{scenario.name}.{name}",
                    unit,
                    value,
                )
