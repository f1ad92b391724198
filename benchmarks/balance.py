"""Experiment: evenness of slot use and connections at 80% of capacity."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import itertools
import random

from benchmarks import fleet
from benchmarks import record

Record = record.Record

BALANCERS = 5
UTILISATION = 0.8
WARM_UP_MS = 5_000
END_MS = 18_000
# Bounded Pareto distribution of service times: many of a few milliseconds,
# some of seconds.
PARETO_SHAPE = 1.5
MIN_WORK_MS = 7.0
MAX_WORK_MS = 2000.0
FEEDS_PER_S = 60
MEAN_FEED_MS = 15_000
DRAIN_START_MS = 12_000
DRAIN_NOTICE_DELAY_MS = 1_000
KINDS = {"request": 0.0}


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet and its faults.

    :param behaviours: returns the behaviour by server index
    :param drained_server: index of the server that drains, if any
    """

    name: str
    servers: int
    slots: int
    behaviours: Callable[[], dict[int, fleet.Behaviour]] = dict
    drained_server: int | None = None


def _cold_start_slowdown(now_ms: float) -> float:
    """Return the slowdown of a server that starts at ``WARM_UP_MS``."""
    if now_ms < WARM_UP_MS:
        return 1.0
    return max(1.0, 4.0 - (now_ms - WARM_UP_MS) / 2000)


SCENARIOS = (
    Scenario("7x2", 7, 2),
    Scenario("3x3", 3, 3),
    Scenario(
        "late",
        7,
        2,
        lambda: {i: fleet.Behaviour(load_report="late") for i in range(7)},
    ),
    Scenario(
        "frozen", 7, 2, lambda: {0: fleet.Behaviour(load_report="frozen")}
    ),
    Scenario(
        "failfast",
        7,
        2,
        lambda: {
            0: fleet.Behaviour(
                load_report="zero",
                fails_fast=lambda now_ms: now_ms > WARM_UP_MS,
            )
        },
    ),
    Scenario(
        "cold",
        7,
        2,
        lambda: {0: fleet.Behaviour(slowdown=_cold_start_slowdown)},
    ),
    Scenario(
        "halfspeed",
        7,
        2,
        lambda: {0: fleet.Behaviour(slowdown=lambda now_ms: 2.0)},
    ),
    Scenario("drain", 7, 2, drained_server=0),
)


def _random(node: fleet.DirectBalancer, names: list[str]) -> str:
    return node.sim.rng.choice(names)


def _round_robin(node: fleet.DirectBalancer, names: list[str]) -> str:
    node.round_robin_index += 1
    return names[node.round_robin_index % len(names)]


def _least_reported(node: fleet.DirectBalancer, names: list[str]) -> str:
    return min(
        names,
        key=lambda name: (
            node.load_reports[name].slots_used
            + node.load_reports[name].queued,
            node.sim.rng.random(),
        ),
    )


def _two_choices(node: fleet.DirectBalancer, names: list[str]) -> str:
    return min(
        node.sim.rng.sample(names, 2),
        key=lambda name: (
            node.in_flight[name]
            + node.load_reports[name].slots_used
            + node.load_reports[name].queued
        ),
    )


DIRECT_POLICIES = {
    "random": _random,
    "round_robin": _round_robin,
    "least_reported": _least_reported,
    "two_choices": _two_choices,
}
POLICIES = ("ours", *DIRECT_POLICIES, "perfect")


def _mean_work_ms() -> float:
    shape, low, high = PARETO_SHAPE, MIN_WORK_MS, MAX_WORK_MS
    ratio = (low / high) ** shape
    return (
        shape
        / (shape - 1)
        * low
        * (1 - (low / high) ** (shape - 1))
        / (1 - ratio)
    )


def _work_ms(rng: random.Random) -> float:
    ratio = (MIN_WORK_MS / MAX_WORK_MS) ** PARETO_SHAPE
    return MIN_WORK_MS / (1 - rng.random() * (1 - ratio)) ** (1 / PARETO_SHAPE)


def _arrivals(seed: int, capacity: float) -> Iterator[fleet.Job]:
    rng = random.Random(f"balance/{seed}")
    rate = UTILISATION * capacity / _mean_work_ms()
    now_ms = 0.0
    for seq in itertools.count(1):
        now_ms += rng.expovariate(rate)
        if now_ms > END_MS:
            return
        yield fleet.Job(
            seq, "request", "c0", now_ms, now_ms + 10_000, _work_ms(rng)
        )


def _build(policy: str, scenario: Scenario, seed: int) -> fleet.Simulation:
    sim = fleet.Simulation(
        seed,
        servers=scenario.servers,
        slots=scenario.slots,
        queue_limit=1_000_000 if policy in DIRECT_POLICIES else 0,
        behaviours=scenario.behaviours(),
    )
    if policy == "ours":
        cfg = fleet.make_config(scenario.servers, scenario.slots, KINDS)
        sim.balancers = [
            fleet.SchedulerBalancer(sim, f"b{i}", cfg)
            for i in range(BALANCERS)
        ]
    elif policy == "perfect":
        sim.balancers = [fleet.PerfectBalancer(sim, "b0")]
    else:
        sim.balancers = [
            fleet.DirectBalancer(sim, f"b{i}", DIRECT_POLICIES[policy])
            for i in range(BALANCERS)
        ]
    return sim


def _open_feeds(sim: fleet.Simulation, seed: int) -> None:
    rng = random.Random(f"feeds/{seed}")

    def close(balancer: fleet.SimBalancer, server: str) -> None:
        sim.servers[server].connections -= 1
        balancer.feed_closed(server)

    def open_feed() -> None:
        balancer = sim.rng.choice(sim.balancers)
        server = balancer.place_feed()
        if server is not None:
            if sim.servers[server].draining:
                sim.servers[server].received_while_draining += 1
            sim.servers[server].connections += 1
            sim.events.call_later(
                rng.expovariate(1 / MEAN_FEED_MS), close, balancer, server
            )
        sim.events.call_later(rng.expovariate(FEEDS_PER_S / 1000), open_feed)

    sim.events.call_later(0, open_feed)


def _start_drain(sim: fleet.Simulation, name: str) -> None:
    server = sim.servers[name]
    sim.start_drain(server)

    def announce_drain() -> None:
        server.reports_draining = True
        for balancer in sim.balancers:
            balancer.set_draining(name)

    # Delay until the drain notice of the server reaches the balancers.
    sim.events.call_later(DRAIN_NOTICE_DELAY_MS, announce_drain)


def simulate(
    policy: str, scenario: Scenario, seed: int
) -> dict[str, tuple[str, float]]:
    """Run one policy and return unit and value by metric."""
    sim = _build(policy, scenario, seed)
    sim.start()
    capacity = float(sim.slot_count)
    if scenario.name == "halfspeed":
        capacity -= scenario.slots / 2
    sim.schedule_arrivals(_arrivals(seed, capacity), sim.random_balancer)
    _open_feeds(sim, seed)
    if scenario.drained_server is not None:
        sim.events.call_later(
            DRAIN_START_MS,
            _start_drain,
            sim,
            f"server-{scenario.drained_server}",
        )
    connection_max_over_mean: list[float] = []

    def record_connections() -> None:
        if sim.events.now_ms > WARM_UP_MS:
            counts = [
                server.connections
                for server in sim.servers.values()
                if not server.draining
            ]
            connection_max_over_mean.append(
                max(counts) * len(counts) / sum(counts)
            )

    sim.events.call_every(500, record_connections, first_delay_ms=500)
    sim.events.run_until(END_MS)
    seconds = range(WARM_UP_MS // 1000, END_MS // 1000 - 1)
    measured_servers = [
        server
        for server in sim.servers.values()
        if not server.draining
        and not (scenario.name == "failfast" and server.name == "server-0")
    ]
    slot_ms_by_server = [
        sum(server.slot_ms_by_second[second] for second in seconds)
        for server in measured_servers
    ]
    max_over_mean_by_second = []
    for second in seconds:
        used = [
            server.slot_ms_by_second[second] for server in measured_servers
        ]
        max_over_mean_by_second.append(
            max(used) * len(used) / max(1.0, sum(used))
        )
    jobs = [
        job for job in sim.jobs if WARM_UP_MS <= job.arrived_ms < END_MS - 2000
    ]
    waits = [
        job.started_ms - job.arrived_ms
        for job in jobs
        if job.started_ms is not None
    ]
    return {
        "slot_use": (
            "ratio",
            max(slot_ms_by_server)
            * len(slot_ms_by_server)
            / sum(slot_ms_by_server),
        ),
        "slot_use_1s": (
            "ratio",
            sum(max_over_mean_by_second) / len(max_over_mean_by_second),
        ),
        "connections": (
            "ratio",
            sum(connection_max_over_mean) / len(connection_max_over_mean),
        ),
        "wait_p50": ("ms", fleet.percentile(waits, 0.5)),
        "wait_p99": ("ms", fleet.percentile(waits, 0.99)),
        "not_answered": (
            "ratio",
            sum(not job.answered for job in jobs) / len(jobs),
        ),
        "failed_requests": (
            "requests",
            sum(server.failure_count for server in sim.servers.values()),
        ),
        "sent_while_leaving": (
            "requests",
            sum(s.received_while_draining for s in sim.servers.values()),
        ),
        "busy_answers": (
            "per request",
            sum(s.busy_reply_count for s in sim.servers.values())
            / len(sim.jobs),
        ),
    }


def run(seeds: Sequence[int]) -> Iterator[Record]:
    """Measure all policies in all scenarios."""
    for seed in seeds:
        for scenario in SCENARIOS:
            for policy in POLICIES:
                metrics = simulate(policy, scenario, seed)
                for name, (unit, value) in metrics.items():
                    yield Record(
                        "balance",
                        policy,
                        seed,
                        f"{scenario.name}.{name}",
                        unit,
                        value,
                    )
