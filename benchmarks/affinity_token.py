"""Broken feeds of balancer cores if flows carry a routing token.

Complete balancer cores run against simulated backend servers. Callers send
each datagram to a random balancer.
"""

from collections.abc import Callable
from collections.abc import Iterator

from benchmarks import record
from cyclamenridge.node import effects
from cyclamenridge.node import events
from tests.node import callers as callers_lib
from tests.node import deployment as deployment_lib
from tests.node import fleet as fleet_lib
from tests.node import oracle as oracle_lib

POLICY = "routing-token"
FEEDS = 100
CALLERS = 4
FEED_EVENT_INTERVAL_MS = 2_000
SETTLE_MS = 10_000
RUN_MS = 45_000
# A feed is broken if no event arrives during this last part of the run.
FINAL_WINDOW_MS = 10_000
UDP_OVERHEAD_BYTES = 28
SERVERS = {
    events.ServerRef("counter", f"c{number}"): f"127.0.0.{100 + number}:7101"
    for number in range(7)
}
OTHER_SERVICE = {events.ServerRef("album", "a0"): "127.0.0.110:7101"}
NEW_SERVER = events.ServerRef("counter", "c8")
NEW_ADDRESS = "127.0.0.108:7101"
FIRST_SERVER = events.ServerRef("counter", "c0")


class MeasuredFleet(fleet_lib.Fleet):
    """A fleet that counts caller datagrams and peer traffic."""

    control_bytes = 0
    forwarded_count = 0
    received_count = 0

    def _execute_effects(self, node: fleet_lib.Node, out: list) -> None:
        for effect in out:
            if isinstance(effect, effects.SendPeer):
                if effect.control:
                    size = len(effect.data) + UDP_OVERHEAD_BYTES
                    self.control_bytes += size
                else:
                    self.forwarded_count += 1
        super()._execute_effects(node, out)

    def _to_node(self, name: str, event: events.CallerDatagram) -> None:
        self.received_count += 1
        super()._to_node(name, event)


class ScenarioRun:
    """Five balancers and their servers and feeds in one scenario."""

    def __init__(self, seed: int) -> None:
        self.servers = SERVERS | OTHER_SERVICE
        self.oracle = oracle_lib.Oracle(deployment_lib.IDEMPOTENT)
        self.fleet = MeasuredFleet(seed, nodes=5)
        self.fleet._profile = fleet_lib.server_model.Profile(
            event_interval_ms=FEED_EVENT_INTERVAL_MS
        )
        self.fleet.records = self.oracle.run_log
        self._write_config()
        for ref, address in self.servers.items():
            self.fleet.start_server(ref.service, ref.server, address)
        for name in self.fleet.nodes:
            self.fleet.start_node(name)
        self.callers = [
            callers_lib.Caller(self.fleet, self.oracle, index)
            for index in range(CALLERS)
        ]
        self.fleet.run_for(SETTLE_MS)
        self.feeds = self._subscribe()

    def _write_config(
        self, draining: tuple[events.ServerRef, ...] = ()
    ) -> None:
        body = deployment_lib.config_text(
            self.servers, draining=draining, home_set_size=5
        )
        self.fleet.write_config(body)

    def _subscribe(self) -> list[callers_lib.Feed]:
        feeds = []
        sessions = [caller.open("counter") for caller in self.callers]
        self.fleet.run_until(
            lambda: all(s.token is not None for s in sessions)
        )
        for number in range(FEEDS):
            index = number % CALLERS
            feed = self.callers[index].subscribe(sessions[index], "door")
            feeds.append(feed)
        self.fleet.run_until(lambda: all(feed.last_seq > 0 for feed in feeds))
        return feeds

    def drain_server(self) -> None:
        """Drain a server by a configuration change."""
        self._write_config(draining=(FIRST_SERVER,))

    def add_server(self) -> None:
        """Add a server by a configuration change."""
        self.servers[NEW_SERVER] = NEW_ADDRESS
        self.fleet.start_server("counter", NEW_SERVER.server, NEW_ADDRESS)
        self._write_config()

    def replace_balancers(self) -> None:
        """Restart the balancers one after the other."""
        for index, name in enumerate(self.fleet.nodes):
            self.fleet.call_later(index * 7_000, self.fleet.stop_node, name)
            self.fleet.call_later(
                index * 7_000 + 5_000, self.fleet.start_node, name
            )

    def partition(self) -> None:
        """Partition off two balancers for 15 s while a server joins."""
        for cut_off in ("n3", "n4"):
            for other in ("n0", "n1", "n2"):
                self.fleet.block(cut_off, other)
                self.fleet.block(other, cut_off)
        self.add_server()
        self.fleet.call_later(15_000, self.fleet.heal)

    def pause_balancer(self) -> None:
        """Pause a balancer for 30 s and drain a server."""
        self.fleet.pause_node("n0")
        self.drain_server()
        self.fleet.call_later(30_000, self.fleet.resume_node, "n0")

    def reuse_address(self) -> None:
        """Reuse the address of a dead server for another service."""
        self.fleet.kill_server(FIRST_SERVER)
        self.fleet.start_server("album", "a9", SERVERS[FIRST_SERVER])
        self.fleet.call_later(2_000, self._remove_first)

    def _remove_first(self) -> None:
        del self.servers[FIRST_SERVER]
        self._write_config()

    def finish(self) -> tuple[int, int]:
        """Run to the end; return the broken feeds and all held by a server."""
        self.fleet.run_for(RUN_MS - FINAL_WINDOW_MS)
        before = [feed.last_seq for feed in self.feeds]
        self.fleet.run_for(FINAL_WINDOW_MS)
        broken_count = held_count = 0
        for feed, last_seq in zip(self.feeds, before, strict=True):
            if not self._is_held_by_server(feed):
                continue
            held_count += 1
            broken_count += feed.lost or feed.last_seq <= last_seq
        return broken_count, held_count

    def _is_held_by_server(self, feed: callers_lib.Feed) -> bool:
        return any(
            server.model is not None and feed.ident in server.model.flows
            for server in self.fleet.servers.values()
        )


def _death_and_drain(run: ScenarioRun) -> None:
    run.fleet.kill_node("n0")
    run.fleet.call_later(500, run.drain_server)


def _drain_then_death(run: ScenarioRun) -> None:
    run.drain_server()
    run.fleet.call_later(20_000, run.fleet.kill_node, "n0")


def _opposite_orders(run: ScenarioRun) -> None:
    # Document revisions are ordered, so only a drain notice of a server can
    # arrive in another order: it is sent while a server is added.
    run.fleet.drain_server(FIRST_SERVER)
    run.add_server()


SCENARIOS: dict[str, Callable[[ScenarioRun], None]] = {
    "server-joins": ScenarioRun.add_server,
    "server-drains": ScenarioRun.drain_server,
    "opposite-orders": _opposite_orders,
    "balancers-replaced": ScenarioRun.replace_balancers,
    "balancer-dies": lambda run: run.fleet.kill_node("n0"),
    "death-and-drain": _death_and_drain,
    "drain-then-death": _drain_then_death,
    "partition": ScenarioRun.partition,
    "pause-30s": ScenarioRun.pause_balancer,
    "address-reused": ScenarioRun.reuse_address,
}


def run(seed: int) -> Iterator[record.Record]:
    """Run each scenario once."""
    for scenario, start_scenario in SCENARIOS.items():
        experiment = ScenarioRun(seed)
        fleet = experiment.fleet
        control_bytes_before = fleet.control_bytes
        start_scenario(experiment)
        broken_count, held_count = experiment.finish()
        seconds = RUN_MS / 1000
        values = (
            ("broken flows", "%", 100 * broken_count / max(1, held_count)),
            (
                "wrong-service packets",
                "packets",
                experiment.oracle.wrong_service_count,
            ),
            (
                "control bytes",
                "B/s/node",
                (fleet.control_bytes - control_bytes_before)
                / len(fleet.nodes)
                / seconds,
            ),
            ("control bytes at 2,000 new flows/s", "B/s/node", 0.0),
            (
                "extra hops",
                "hops/packet",
                fleet.forwarded_count / max(1, fleet.received_count),
            ),
        )
        for metric, unit, value in values:
            yield record.Record(
                "affinity", POLICY, seed, f"{scenario}: {metric}", unit, value
            )
