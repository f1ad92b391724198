"""The only balancer of a failure domain leaves; its backends stay."""

import asyncio
import itertools
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lib import case  # noqa: E402
from lib import deployment  # noqa: E402

ZONES = ("z0", "z1")
# Both routes are safe and belong to one service. The clients of each domain
# use one of them. Work and budget of a proof stream of Fjordbind: 0.055 s on
# average, 0.33 s at most, 1.5 s.
ROUTES = {"z0": 9000, "z1": 9001}
WORK_S = {9000: 0.055, 9001: 0.33}
FEEDS = {"z0": 24, "z1": 6}
PAUSE_S = {"z0": (0.2, 0.5), "z1": (0.4, 1.2)}
BUDGET_S = 1.5
RUN_S = 60

names = itertools.count(1)


async def follow_feed(dep: deployment.Deployment, zone: str) -> None:
    """Keep a flow open for many requests, with pauses between them."""
    while True:
        flow = dep.clients[zone].flow(ROUTES[zone])
        if await flow.open():
            outcome = "ok"
            while outcome == "ok":
                outcome = await flow.request(
                    f"q{next(names)}", method="GET", budget_s=BUDGET_S
                )
                await asyncio.sleep(dep.rng.uniform(*PAUSE_S[zone]))
        await asyncio.sleep(0.05)


async def run(dep: deployment.Deployment, trouble: bool) -> list[str]:
    """Run the case; return the flows that were reset."""
    await dep.start(ZONES)
    for zone, count in (("z0", 4), ("z1", 2)):
        for _ in range(count):
            await dep.add_backend(
                "counter",
                zone,
                work_s=WORK_S.__getitem__,
                slots=3,
            )
    dep.configure({port: ("safe", "counter") for port in WORK_S})
    await dep.wait_ready()
    for zone, count in FEEDS.items():
        for _ in range(count):
            dep.spawn(follow_feed(dep, zone))
            await asyncio.sleep(0.1)
    await asyncio.sleep(6)
    if trouble:
        # It is taken away for good, with SIGTERM.
        leaver = dep.balancers[-1]
        leaver.shall_run = False
        leaver.signal(signal.SIGTERM)
    await asyncio.sleep(RUN_S)
    return find_broken(dep)


def find_broken(dep: deployment.Deployment) -> list[str]:
    """Return a line for each open flow that a balancer reset.

    All routes stay, and no backend ends, is disturbed or is cut off here.
    """
    opened = {e["sport"]: e for e in dep.record.of("flow_open")}
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
            e for e in dep.record.of("sent") if e["sport"] == event["sport"]
        ]
        ran = {e["request"]: e["t"] for e in dep.record.of("run")}
        last = sent[-1]
        found.append(
            f"FLOW: {event['t']:.3f} s: flow {event['sport']}, open at "
            f"{flow['backend']} since {flow['t']:.3f} s, is reset by "
            f"{event['sender']}; its last request was sent at "
            f"{last['t']:.3f} s and began to run at "
            f"{ran.get(last['request'], 0):.3f} s"
        )
    return found


if __name__ == "__main__":
    case.run(run, ZONES, HERE)
