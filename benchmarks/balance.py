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
# Bounded Pareto work times: many of a few milliseconds, some of seconds.
PARETO_SHAPE = 1.5
SHORTEST_MS = 7.0
LONGEST_MS = 2000.0
FEEDS_PER_S = 60
FEED_MEAN_MS = 15_000
DRAIN_MS = 12_000
DRAIN_KNOWN_MS = 1_000
KINDS = {"request": 0.0}


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet and what is wrong with it.

    :param behaviours: by index of the server
    :param drain: index of the server that starts leaving
    """

    name: str
    servers: int
    slots: int
    behaviours: Callable[[], dict[int, fleet.Behaviour]] = dict
    drain: int | None = None


def _cold(now: float) -> float:
    """Return the slowdown of a server started at ``DRAIN_MS``."""
    if now < WARM_UP_MS:
        return 1.0
    return max(1.0, 4.0 - (now - WARM_UP_MS) / 2000)


SCENARIOS = (
    Scenario("7x2", 7, 2),
    Scenario("3x3", 3, 3),
    Scenario(
        "late",
        7,
        2,
        lambda: {i: fleet.Behaviour(report="late") for i in range(7)},
    ),
    Scenario("frozen", 7, 2, lambda: {0: fleet.Behaviour(report="frozen")}),
    Scenario(
        "failfast",
        7,
        2,
        lambda: {
            0: fleet.Behaviour(
                report="zero", fails_fast=lambda now: now > WARM_UP_MS
            )
        },
    ),
    Scenario("cold", 7, 2, lambda: {0: fleet.Behaviour(slowdown=_cold)}),
    Scenario(
        "halfspeed",
        7,
        2,
        lambda: {0: fleet.Behaviour(slowdown=lambda now: 2.0)},
    ),
    Scenario("drain", 7, 2, drain=0),
)


def _random(node: fleet.DirectBalancer, names: list[str]) -> str:
    return node.sim.rng.choice(names)


def _round_robin(node: fleet.DirectBalancer, names: list[str]) -> str:
    node.turn += 1
    return names[node.turn % len(names)]


def _least_reported(node: fleet.DirectBalancer, names: list[str]) -> str:
    return min(
        names,
        key=lambda name: (
            node.reports[name].slots_used + node.reports[name].queued,
            node.sim.rng.random(),
        ),
    )


def _two_choices(node: fleet.DirectBalancer, names: list[str]) -> str:
    return min(
        node.sim.rng.sample(names, 2),
        key=lambda name: (
            node.in_flight[name]
            + node.reports[name].slots_used
            + node.reports[name].queued
        ),
    )


DIRECT = {
    "random": _random,
    "round_robin": _round_robin,
    "least_reported": _least_reported,
    "two_choices": _two_choices,
}
POLICIES = ("ours", *DIRECT, "perfect")


def _mean_work_ms() -> float:
    shape, low, high = PARETO_SHAPE, SHORTEST_MS, LONGEST_MS
    ratio = (low / high) ** shape
    return (
        shape
        / (shape - 1)
        * low
        * (1 - (low / high) ** (shape - 1))
        / (1 - ratio)
    )


def _work_ms(rng: random.Random) -> float:
    ratio = (SHORTEST_MS / LONGEST_MS) ** PARETO_SHAPE
    return SHORTEST_MS / (1 - rng.random() * (1 - ratio)) ** (1 / PARETO_SHAPE)


def _arrivals(seed: int, capacity: float) -> Iterator[fleet.Job]:
    rng = random.Random(f"balance/{seed}")
    rate = UTILISATION * capacity / _mean_work_ms()
    now = 0.0
    for seq in itertools.count(1):
        now += rng.expovariate(rate)
        if now > END_MS:
            return
        yield fleet.Job(seq, "request", "c0", now, now + 10_000, _work_ms(rng))


def _build(policy: str, scenario: Scenario, seed: int) -> fleet.Simulation:
    sim = fleet.Simulation(
        seed,
        servers=scenario.servers,
        slots=scenario.slots,
        queue_limit=1_000_000 if policy in DIRECT else 0,
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
            fleet.DirectBalancer(sim, f"b{i}", DIRECT[policy])
            for i in range(BALANCERS)
        ]
    return sim


def _open_feeds(sim: fleet.Simulation, seed: int) -> None:
    rng = random.Random(f"feeds/{seed}")

    def close(balancer: fleet.SimBalancer, server: str) -> None:
        sim.servers[server].connections -= 1
        balancer.feed_closed(server)

    def step() -> None:
        balancer = sim.rng.choice(sim.balancers)
        server = balancer.place_feed()
        if server is not None:
            if sim.servers[server].draining:
                sim.servers[server].sent_while_leaving += 1
            sim.servers[server].connections += 1
            sim.events.after(
                rng.expovariate(1 / FEED_MEAN_MS), close, balancer, server
            )
        sim.events.after(rng.expovariate(FEEDS_PER_S / 1000), step)

    sim.events.after(0, step)


def _drain(sim: fleet.Simulation, name: str) -> None:
    server = sim.servers[name]
    sim.drain(server)

    def tell() -> None:
        server.draining_known = True
        for balancer in sim.balancers:
            balancer.set_draining(name)

    # The servers' own notice reaches the balancers after this time.
    sim.events.after(DRAIN_KNOWN_MS, tell)


def simulate(
    policy: str, scenario: Scenario, seed: int
) -> dict[str, tuple[str, float]]:
    """Run one policy and return its metrics with units."""
    sim = _build(policy, scenario, seed)
    sim.start()
    capacity = float(sim.capacity)
    if scenario.name == "halfspeed":
        capacity -= scenario.slots / 2
    sim.arrive(_arrivals(seed, capacity), sim.any_balancer)
    _open_feeds(sim, seed)
    if scenario.drain is not None:
        sim.events.after(DRAIN_MS, _drain, sim, f"server-{scenario.drain}")
    connections: list[float] = []

    def sample() -> None:
        if sim.events.now > WARM_UP_MS:
            counts = [
                server.connections
                for server in sim.servers.values()
                if not server.draining
            ]
            connections.append(max(counts) * len(counts) / sum(counts))

    sim.events.every(500, sample, first=500)
    sim.events.run(END_MS)
    seconds = range(WARM_UP_MS // 1000, END_MS // 1000 - 1)
    counted = [
        server
        for server in sim.servers.values()
        if not server.draining
        and not (scenario.name == "failfast" and server.name == "server-0")
    ]
    totals = [
        sum(server.use_by_second[second] for second in seconds)
        for server in counted
    ]
    windows = []
    for second in seconds:
        used = [server.use_by_second[second] for server in counted]
        windows.append(max(used) * len(used) / max(1.0, sum(used)))
    jobs = [
        job for job in sim.jobs if WARM_UP_MS <= job.arrived < END_MS - 2000
    ]
    waits = [
        job.started - job.arrived for job in jobs if job.started is not None
    ]
    return {
        "slot_use": ("ratio", max(totals) * len(totals) / sum(totals)),
        "slot_use_1s": ("ratio", sum(windows) / len(windows)),
        "connections": ("ratio", sum(connections) / len(connections)),
        "wait_p50": ("ms", fleet.percentile(waits, 0.5)),
        "wait_p99": ("ms", fleet.percentile(waits, 0.99)),
        "not_answered": (
            "ratio",
            sum(not job.answered for job in jobs) / len(jobs),
        ),
        "failed_requests": (
            "requests",
            sum(server.failures for server in sim.servers.values()),
        ),
        "sent_while_leaving": (
            "requests",
            sum(s.sent_while_leaving for s in sim.servers.values()),
        ),
        "busy_answers": (
            "per request",
            sum(s.busy_answers for s in sim.servers.values()) / len(sim.jobs),
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
