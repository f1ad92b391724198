"""Measures the cost of a complete balancer core in a separate process.

Prints a JSON object that maps metric names with units to values.
"""

from collections.abc import Callable
import random
import time
from typing import Annotated

import msgspec
import typer

from benchmarks import control_fleet
from benchmarks import datapath_core
from benchmarks import scale_config
from cyclamenridge import address as address_lib
from cyclamenridge.control import membership
from cyclamenridge.control import messages
from cyclamenridge.control import types
from cyclamenridge.node import core as core_lib
from cyclamenridge.node import events
from cyclamenridge.routing import home_sets
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc

TICK_INTERVAL_MS = 50


def _balancer(index: int) -> home_sets.Balancer:
    return home_sets.Balancer(
        f"bal-{index:03}",
        scale_config.DOMAINS[index % 7],
        address_lib.Address(
            f"10.{index % 7}.{index // 250}.{index % 250 + 1}", 7001
        ),
        1_764_831_600,
    )


class FullNode(datapath_core.Node):
    """A core with all fleet members; its servers respond immediately."""

    def __init__(
        self, seed: int, *, nodes: int, services: int, servers: int
    ) -> None:
        self.now_ms = 1_000_000
        self.to_caller: list[bytes] = []
        self.services = services
        self.servers = servers
        self.core = core_lib.NodeCore(
            _balancer(0),
            keys=control_fleet.KEYS,
            seeds=(),
            rng=random.Random(seed),
        )
        self._execute_effects(self.core.start(self.now_ms))
        for index in range(1, nodes):
            update = messages.Update(
                _balancer(index), 0, types.MemberState.ALIVE
            )
            self._table.add(self.now_ms, update)
        self.apply_document(1)
        self.tick(20)

    @property
    def _table(self) -> membership.MemberTable:
        return self.core._plane._peering.table

    def apply_document(self, revision: int) -> None:
        """Apply a document that changes one server."""
        doc = scale_config.document(revision, self.services, self.servers)
        self.handle(events.StoreRead(doc, revision))

    def tick(self, count: int) -> None:
        """Advance time by ticks while all peers stay reachable."""
        for _ in range(count):
            self.now_ms += TICK_INTERVAL_MS
            # The other members are not simulated and cannot answer probes.
            self.core._plane._peering._prober._acknowledged = True
            self.handle(events.Tick())

    def suspect_member(self) -> None:
        """Suspect one member and execute the resulting effects."""
        name = self._table.live_names()[0]
        self._table.suspect(self.now_ms, name)
        self.tick(1)

    def ask(self, method: str, params: msgspec.Struct) -> bytes:
        """Send a request that another balancer forwards, as most are."""
        self.to_caller.clear()
        data = rpc.request(1, method, params)
        wrapped = self.core._codec.wrap(datapath_core._CALLER_ADDRESS, data)
        peer = _balancer(1).peer_address
        self.handle(events.PeerDatagram(peer, wrapped))
        answer = rpc.decode(self.to_caller[0])
        if not isinstance(answer, rpc.Response) or answer.error is not None:
            raise RuntimeError(f"{method}: {answer}")
        return bytes(answer.result)

    def home_services(self) -> list[str]:
        """Return the services whose home set includes this node."""
        me = self.core._ctx.me.name
        return [
            service.service
            for service in self.core.dump(self.now_ms).services
            if me in service.home
        ]

    def open_sessions(self, count: int) -> list[tuple[str, bytes]]:
        """Open sessions; return the service and the token of each."""
        services = self.home_services()
        tokens = []
        for number in range(count):
            if number % 10 == 0:
                self.now_ms += 1
            service = services[number % len(services)]
            params = caller.Open(service, "outfit", number + 1)
            grant = msgspec.msgpack.decode(
                self.ask("open", params), type=caller.Grant
            )
            tokens.append((service, grant.token))
        return tokens

    def open_feeds(self, sessions: list[tuple[str, bytes]]) -> None:
        """Open one feed in each session."""
        for number, (service, token) in enumerate(sessions):
            if number % 10 == 0:
                self.now_ms += 1
            params = caller.Subscribe(token, f"{service}-feed", number + 1, 0)
            self.ask("subscribe", params)


def cpu_ms(action: Callable[[], object]) -> float:
    """Return the processor time that an action takes."""
    start_ns = time.process_time_ns()
    action()
    return (time.process_time_ns() - start_ns) / 1e6


def measure(seed: int, nodes: int, flows: int) -> dict[str, float]:
    """Return the metrics of one core; each name ends with its unit."""
    services = max(2, 1300 * nodes // 540)
    servers = max(4, 2700 * nodes // 540)
    bytes_at_start = datapath_core._resident_bytes()
    node = FullNode(seed, nodes=nodes, services=services, servers=servers)
    bytes_with_core = datapath_core._resident_bytes()
    metrics = {
        "memory without flows, MiB": (bytes_with_core - bytes_at_start)
        / 2**20,
        "services a node, ": len(node.home_services()),
        "processor time when idle, ms/s": cpu_ms(lambda: node.tick(100)) / 5,
        "processor time of a change, ms": cpu_ms(
            lambda: node.apply_document(2)
        ),
        "processor time of a suspicion, ms": cpu_ms(node.suspect_member),
    }
    node.tick(200)
    bytes_before_sessions = datapath_core._resident_bytes()
    sessions: list[tuple[str, bytes]] = []
    cpu_time_ms = cpu_ms(lambda: sessions.extend(node.open_sessions(flows)))
    bytes_with_sessions = datapath_core._resident_bytes()
    metrics["memory of a session, B"] = (
        bytes_with_sessions - bytes_before_sessions
    ) / flows
    metrics["processor time of a new session, us"] = cpu_time_ms / flows * 1000
    cpu_time_ms = cpu_ms(lambda: node.open_feeds(sessions))
    bytes_with_feeds = datapath_core._resident_bytes()
    metrics["memory of a feed, B"] = (
        bytes_with_feeds - bytes_with_sessions
    ) / flows
    metrics["processor time of a new feed, us"] = cpu_time_ms / flows * 1000
    metrics["resident size, MiB"] = bytes_with_feeds / 2**20
    metrics["resident size before the core, MiB"] = bytes_at_start / 2**20
    return metrics


def main(
    *,
    nodes: Annotated[int, typer.Option(min=5)] = 540,
    flows: Annotated[int, typer.Option(min=1)] = 12_037,
    seed: int = 1,
) -> None:
    """Measure a core and print the metrics."""
    typer.echo(msgspec.json.encode(measure(seed, nodes, flows)).decode())


if __name__ == "__main__":
    typer.run(main)
