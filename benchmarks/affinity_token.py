"""Broken feeds of balancer cores when flows carry a routing token.

Whole balancer cores run against models of the backend servers; the callers
hand each datagram to a random balancer.
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
EVENT_INTERVAL_MS = 2_000
SETTLE_MS = 10_000
RUN_MS = 45_000
# A feed counts as broken if nothing arrives for this long at the end.
SILENT_MS = 10_000
UDP_OVERHEAD_BYTES = 28
SERVERS = {
    events.ServerRef("counter", f"c{number}"): f"127.0.0.{100 + number}:7101"
    for number in range(7)
}
OTHER_SERVICE = {events.ServerRef("album", "a0"): "127.0.0.110:7101"}
NEW_SERVER = events.ServerRef("counter", "c8")
NEW_ADDRESS = "127.0.0.108:7101"
FIRST = events.ServerRef("counter", "c0")


class MeasuredFleet(fleet_lib.Fleet):
    """Counts the datagrams between balancers."""

    control_bytes = 0
    forwarded = 0
    received = 0

    def _execute_effects(self, node: fleet_lib.Node, out: list) -> None:
        for effect in out:
            if isinstance(effect, effects.SendPeer):
                if effect.control:
                    size = len(effect.data) + UDP_OVERHEAD_BYTES
                    self.control_bytes += size
                else:
                    self.forwarded += 1
        super()._execute_effects(node, out)

    def _to_node(self, name: str, event: events.CallerDatagram) -> None:
        self.received += 1
        super()._to_node(name, event)


class Run:
    """Five balancers, seven servers and their feeds under one scenario."""

    def __init__(self, seed: int) -> None:
        self.servers = SERVERS | OTHER_SERVICE
        self.oracle = oracle_lib.Oracle(deployment_lib.IDEMPOTENT)
        self.fleet = MeasuredFleet(seed, nodes=5)
        self.fleet._profile = fleet_lib.server_model.Profile(
            event_interval_ms=EVENT_INTERVAL_MS
        )
        self.fleet.records = self.oracle.run_log
        self._apply()
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

    def _apply(self, draining: tuple[events.ServerRef, ...] = ()) -> None:
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

    def drain(self) -> None:
        """Drain a server through the configuration."""
        self._apply(draining=(FIRST,))

    def add(self) -> None:
        """Add a server."""
        self.servers[NEW_SERVER] = NEW_ADDRESS
        self.fleet.start_server("counter", NEW_SERVER.server, NEW_ADDRESS)
        self._apply()

    def replace_all(self) -> None:
        """Stop and start each balancer in turn, as planned."""
        for index, name in enumerate(self.fleet.nodes):
            self.fleet.call_later(index * 7_000, self.fleet.stop_node, name)
            self.fleet.call_later(
                index * 7_000 + 5_000, self.fleet.start_node, name
            )

    def partition(self) -> None:
        """Cut two balancers off for 15 s while a server joins."""
        for one in ("n3", "n4"):
            for other in ("n0", "n1", "n2"):
                self.fleet.block(one, other)
                self.fleet.block(other, one)
        self.add()
        self.fleet.call_later(15_000, self.fleet.heal)

    def pause(self) -> None:
        """Freeze a balancer for 30 s and drain a server."""
        self.fleet.pause_node("n0")
        self.drain()
        self.fleet.call_later(30_000, self.fleet.resume_node, "n0")

    def reuse(self) -> None:
        """Let the address of a dead server pass to another service."""
        self.fleet.kill_server(FIRST)
        self.fleet.start_server("album", "a9", SERVERS[FIRST])
        self.fleet.call_later(2_000, self._remove_first)

    def _remove_first(self) -> None:
        del self.servers[FIRST]
        self._apply()

    def finish(self) -> tuple[int, int]:
        """Run to the end; return broken feeds and feeds with a server."""
        self.fleet.run_for(RUN_MS - SILENT_MS)
        before = [feed.last_seq for feed in self.feeds]
        self.fleet.run_for(SILENT_MS)
        broken = served = 0
        for feed, last_seq in zip(self.feeds, before, strict=True):
            if not self._server_lives(feed):
                continue
            served += 1
            broken += feed.lost or feed.last_seq <= last_seq
        return broken, served

    def _server_lives(self, feed: callers_lib.Feed) -> bool:
        return any(
            server.model is not None and feed.ident in server.model.flows
            for server in self.fleet.servers.values()
        )


def _death_and_drain(run: Run) -> None:
    run.fleet.kill_node("n0")
    run.fleet.call_later(500, run.drain)


def _drain_then_death(run: Run) -> None:
    run.drain()
    run.fleet.call_later(20_000, run.fleet.kill_node, "n0")


def _opposite_orders(run: Run) -> None:
    # Document revisions are ordered, so only notices can cross: the server
    # tells its own drain while the configuration adds another one.
    run.fleet.drain_server(FIRST)
    run.add()


SCENARIOS: dict[str, Callable[[Run], None]] = {
    "server-joins": Run.add,
    "server-drains": Run.drain,
    "opposite-orders": _opposite_orders,
    "balancers-replaced": Run.replace_all,
    "balancer-dies": lambda run: run.fleet.kill_node("n0"),
    "death-and-drain": _death_and_drain,
    "drain-then-death": _drain_then_death,
    "partition": Run.partition,
    "pause-30s": Run.pause,
    "address-reused": Run.reuse,
}


def run(seed: int) -> Iterator[record.Record]:
    """Run each scenario once."""
    for scenario, act in SCENARIOS.items():
        experiment = Run(seed)
        fleet = experiment.fleet
        started = fleet.control_bytes
        act(experiment)
        broken, served = experiment.finish()
        wrong = sum(
            "reached" in text or "got" in text
            for text in experiment.oracle.violations
        )
        seconds = RUN_MS / 1000
        values = (
            ("broken flows", "%", 100 * broken / max(1, served)),
            ("wrong-service packets", "packets", wrong),
            (
                "control bytes",
                "B/s/node",
                (fleet.control_bytes - started) / len(fleet.nodes) / seconds,
            ),
            ("control bytes at 2,000 new flows/s", "B/s/node", 0.0),
            (
                "extra hops",
                "hops/packet",
                fleet.forwarded / max(1, fleet.received),
            ),
        )
        for metric, unit, value in values:
            yield record.Record(
                "affinity", POLICY, seed, f"{scenario}: {metric}", unit, value
            )
