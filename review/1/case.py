"""A route is added while the balancers are restarted in turn."""

import asyncio
import itertools
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lib import backend as backend_lib  # noqa: E402
from lib import case  # noqa: E402
from lib import client as client_lib  # noqa: E402
from lib import deployment  # noqa: E402

ZONE = "z0"
ROUNDS = 13
FIRST_PORT = 9000
# How long a backend of Bellbird is slow after its start.
WARMUP_S = 2.0
RELEASE_GAP_S = 1.0
BUDGET_S = 3.0
DRAIN_S = deployment.BOUNDS["drain_ms"] / 1000

names = itertools.count(1)


async def use_route(dep: deployment.Deployment, port: int) -> None:
    """Open a flow and send two changes on it, each once."""
    flow: client_lib.Flow = dep.clients[ZONE].flow(port)
    if await flow.open():
        for _ in range(2):
            outcome = await flow.request(
                f"q{next(names)}", method="POST", budget_s=BUDGET_S
            )
            if outcome != "ok":
                break
            await asyncio.sleep(0.1)
        flow.finish()


async def use_routes(
    dep: deployment.Deployment, ports: list[int], rate: float
) -> None:
    """Open flows to the newest routes."""
    while True:
        await asyncio.sleep(1 / rate)
        for port in ports[-1:]:
            dep.spawn(use_route(dep, port))


async def release(
    dep: deployment.Deployment, backends: list[backend_lib.Backend]
) -> None:
    """Replace the backends of another service one after the other.

    The new one starts first, the old one drains and then ends.
    """
    backends = list(backends)
    while True:
        backends.append(
            await dep.add_backend(
                "workshop", ZONE, work_s=lambda _: 0.04, warmup_s=WARMUP_S
            )
        )
        dep.spawn(leave(dep, backends.pop(0)))
        await asyncio.sleep(RELEASE_GAP_S)


async def leave(
    dep: deployment.Deployment, backend: backend_lib.Backend
) -> None:
    """Let a backend drain and end."""
    backend.drain()
    await asyncio.sleep(DRAIN_S + 1)
    backend.stop()
    dep.store.remove(backend.key)


async def run(dep: deployment.Deployment, trouble: bool) -> list[str]:
    """Run the case; return the flows that were reset."""
    routes = {FIRST_PORT: ("unsafe", "counter")}
    await dep.start((ZONE,) * 3)
    for _ in range(4):
        await dep.add_backend("counter", ZONE, work_s=lambda _: 0.04, slots=8)
    for _ in range(4):
        await dep.add_backend("workshop", ZONE, work_s=lambda _: 0.04)
    dep.configure({**routes, 8999: ("safe", "workshop")})
    await dep.wait_ready()
    ports = [FIRST_PORT]
    dep.spawn(release(dep, dep.backends[4:]))
    dep.spawn(use_routes(dep, ports, rate=100))
    await asyncio.sleep(4)
    for number in range(ROUNDS):
        if trouble:
            balancer = dep.balancers[number % 3]
            balancer.signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        port = FIRST_PORT + 1 + number
        routes[port] = ("unsafe", "counter")
        dep.configure({**routes, 8999: ("safe", "workshop")})
        ports.append(port)
        await asyncio.sleep(6.3)
    return find_broken(dep)


def find_broken(dep: deployment.Deployment) -> list[str]:
    """Return a line for each open flow that a balancer reset.

    No route is ever dropped and no backend ever ends, is disturbed or is cut
    off here, and all flows are young and busy.
    """
    opened = {e["sport"]: e for e in dep.record.of("flow_open")}
    confirmed = {
        int(port): e["t"]
        for e in reversed(dep.record.of("config_confirmed"))
        for port in e["routes"]
    }
    found = []
    for event in dep.record.of("reset"):
        flow = opened.get(event["sport"])
        if (
            flow is None
            or event["by"] != "system"
            or event["state"] != "reset"
        ):
            continue
        sent = [
            e["request"]
            for e in dep.record.of("sent")
            if e["sport"] == event["sport"]
        ]
        run = {e["request"] for e in dep.record.of("run")}
        found.append(
            f"FLOW: {event['t']:.3f} s: flow {event['sport']} to port "
            f"{event['port']}, open at {flow['backend']} through "
            f"{flow['via']} since {flow['t']:.3f} s, is reset by "
            f"{event['sender']}; its route was confirmed at "
            f"{confirmed[event['port']]:.3f} s; last request {sent[-1:]} "
            f"had run: {bool(sent) and sent[-1] in run}"
        )
    return found


if __name__ == "__main__":
    case.run(run, (ZONE,), HERE)
