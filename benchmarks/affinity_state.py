"""State and control bytes of 200,000 flows without a token at one balancer."""

from collections.abc import Iterator
import struct
import time
import tracemalloc

from benchmarks import affinity_nodes
from benchmarks import record
from cyclamenridge.routing import flow_router
from cyclamenridge.routing import pinned_flows

FLOWS = 200_000
SERVERS = tuple(f"s{number}" for number in range(7))
MEMBERS = ("b1", "b2", "b3", "b4", "b5")
SCAN_STEP = 2_000


def run(seed: int) -> Iterator[record.Record]:
    """Hold the flows, drain a server and tell the flows it moves."""
    tracemalloc.start()
    router = flow_router.FlowRouter("b1", flow_limit=FLOWS, idle_ms=600_000)
    router.set_servers(0, SERVERS, SERVERS)
    router.set_members(0, MEMBERS)
    _scan(router)
    before, _ = tracemalloc.get_traced_memory()
    for index in range(FLOWS):
        router.route(0, struct.pack(">IHQ", index, 4000, seed))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    router.set_servers(1, SERVERS[1:], SERVERS)
    targets, longest_ms = _scan(router)
    told = sum(
        len(target.filter.data) + affinity_nodes.DATAGRAM_OVERHEAD_BYTES
        for target in targets
    )
    values = (
        ("state", "B/flow", (held - before) / FLOWS),
        ("filter bytes of a drained server", "B", told),
        (
            "time to tell them",
            "s",
            told / affinity_nodes.FILTER_BYTES_PER_S,
        ),
        ("longest scan step", "ms", longest_ms),
        ("false positive rate", "ratio", pinned_flows.FALSE_POSITIVE_RATE),
    )
    for metric, unit, value in values:
        yield record.Record(
            "affinity",
            "home-pinned",
            seed,
            f"200,000 flows: {metric}",
            unit,
            value,
        )


def _scan(
    router: flow_router.FlowRouter,
) -> tuple[list[flow_router.AddressedFilter], float]:
    longest_ms = 0.0
    targets: list[flow_router.AddressedFilter] = []
    while True:
        started = time.perf_counter()
        targets.extend(router.scan_step(SCAN_STEP))
        elapsed_ms = (time.perf_counter() - started) * 1000
        longest_ms = max(longest_ms, elapsed_ms)
        if targets and targets[-1].filter.is_completion_marker:
            return targets, longest_ms
