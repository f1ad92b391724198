"""Memory and control bytes of 200,000 flows without tokens at a balancer."""

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
    """Open the flows, drain a server and announce the flows that move."""
    tracemalloc.start()
    router = flow_router.FlowRouter("b1", flow_limit=FLOWS, idle_ms=600_000)
    router.set_servers(0, SERVERS, SERVERS)
    router.set_members(0, MEMBERS)
    _scan(router)
    memory_without_flows, _ = tracemalloc.get_traced_memory()
    for index in range(FLOWS):
        router.route(0, struct.pack(">IHQ", index, 4000, seed))
    memory_with_flows, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    router.set_servers(1, SERVERS[1:], SERVERS)
    filters, longest_ms = _scan(router)
    announced_bytes = sum(
        len(addressed_filter.filter.data)
        + affinity_nodes.DATAGRAM_OVERHEAD_BYTES
        for addressed_filter in filters
    )
    values = (
        (
            "state",
            "B/flow",
            (memory_with_flows - memory_without_flows) / FLOWS,
        ),
        ("filter bytes of a drained server", "B", announced_bytes),
        (
            "time to tell them",
            "s",
            announced_bytes / affinity_nodes.FILTER_BYTES_PER_S,
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
    filters: list[flow_router.AddressedFilter] = []
    while True:
        started = time.perf_counter()
        filters.extend(router.scan_step(SCAN_STEP))
        elapsed_ms = (time.perf_counter() - started) * 1000
        longest_ms = max(longest_ms, elapsed_ms)
        if filters and filters[-1].filter.is_completion_marker:
            return filters, longest_ms
