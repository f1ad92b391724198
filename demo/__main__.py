"""Run the demo: ``python -m demo``; see docs/demo.md."""

import json
import pathlib
import random
import signal
import tempfile
import time
from typing import Annotated

import msgspec
import typer

import cyclamenridge.clock as clock_lib
from demo import account as account_lib
from demo import caller_processes as callers_lib
from demo import deployment as deployment_lib

CALLERS = 3
KILL_PART = 0.35
DRAIN_PART = 0.6
_STOP_MARGIN_S = 5.0


class Demo:
    """One run: start, disturb, stop, account."""

    def __init__(
        self, directory: pathlib.Path, *, seed: int, seconds: float
    ) -> None:
        self._seed = seed
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._clock = clock_lib.MonotonicClock()
        self._started_s = time.monotonic()
        self._deployment = deployment_lib.Deployment(directory, seed=seed)

    def run(self) -> account_lib.Account:
        """Run the demo and return its account."""
        try:
            return self._run()
        finally:
            self._deployment.processes.stop_all()

    def _run(self) -> account_lib.Account:
        dep = self._deployment
        dep.start_platform()
        dep.start_servers(**{"cold-ms": "500"})
        dep.start_balancers()
        self._say(
            f"started the platform, {len(dep.servers)} backend servers and "
            f"{len(dep.balancers)} balancers"
        )
        self._say(f"config apply: {dep.apply()}")
        dep.wait_serving()
        self._say("all balancers have revision 1 and all links")
        work = callers_lib.CallerProcesses(
            dep, "caller", count=CALLERS, seconds=self._seconds
        )
        work.start()
        begin_s = time.monotonic()
        self._say(f"{CALLERS} caller processes run feeds and requests")
        victim = self._rng.choice(dep.balancers)
        self._sleep_until(begin_s + self._seconds * KILL_PART)
        killed_ms = self._clock.now_ms()
        dep.signal(victim.name, signal.SIGKILL)
        self._say(f"killed balancer {victim.name} ({victim.domain})")
        server = self._rng.choice(
            [s for s in dep.servers if s.service == "counter"]
        )
        self._sleep_until(begin_s + self._seconds * DRAIN_PART)
        dep.signal(server.name, signal.SIGUSR1)
        self._say(f"drained backend server {server.name}")
        reports = work.reports()
        self._say("all callers are done")
        stop_codes = self._stop_balancers(victim)
        self._say(f"planned stop of the other balancers: exit {stop_codes}")
        records = dep.stop_servers()
        for record in records:
            self._say(
                f"{record.server}: {len(record.runs)} runs, refusals "
                f"{json.dumps(record.refusals)}"
            )
        return account_lib.check(
            reports,
            records,
            faults=(
                account_lib.Fault(str(victim.peer), killed_ms, killed_ms),
            ),
            stop_codes=stop_codes,
            codec=dep.codec,
            seed=self._seed,
            seconds=time.monotonic() - self._started_s,
        )

    def _stop_balancers(self, victim: deployment_lib.Balancer) -> list[int]:
        dep = self._deployment
        others = [b for b in dep.balancers if b is not victim]
        for balancer in others:
            dep.signal(balancer.name, signal.SIGTERM)
        limit_s = dep.stop_ms / 1000 + _STOP_MARGIN_S
        return [dep.processes.wait(b.name, limit_s) for b in others]

    def _say(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._started_s
        typer.echo(f"{elapsed_s:6.2f} s  {text}")

    @staticmethod
    def _sleep_until(moment_s: float) -> None:
        time.sleep(max(0.0, moment_s - time.monotonic()))


def main(
    *,
    seed: Annotated[int, typer.Option(help="Seed of all choices.")] = 1,
    seconds: Annotated[
        float, typer.Option(min=6, max=40, help="Time of the work.")
    ] = 14.0,
    keep: Annotated[
        pathlib.Path | None,
        typer.Option(help="Directory for logs and records; is kept."),
    ] = None,
) -> None:
    """Run the demo and print its account as the last line."""
    with tempfile.TemporaryDirectory(prefix="cyclamenridge-demo-") as temp:
        directory = keep or pathlib.Path(temp)
        directory.mkdir(parents=True, exist_ok=True)
        account = Demo(directory, seed=seed, seconds=seconds).run()
    typer.echo(msgspec.json.encode(account).decode())
    raise typer.Exit(0 if account.ok else 1)


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
