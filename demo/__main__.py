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

CALLER_COUNT = 3
# Times of the faults as fractions of the duration of the load.
KILL_FRACTION = 0.35
DRAIN_FRACTION = 0.6
_STOP_MARGIN_S = 5.0


class Demo:
    """Kills a balancer and drains a backend server under load.

    :param seed: for the choice of both processes and for the load
    :param seconds: duration of the load
    """

    def __init__(
        self, directory: pathlib.Path, *, seed: int, seconds: float
    ) -> None:
        self._seed = seed
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._clock = clock_lib.MonotonicClock()
        self._started_s = time.monotonic()
        self._deployment = deployment_lib.Deployment(directory, seed=seed)

    def run(self) -> account_lib.Summary:
        """Run the demo and return its summary."""
        try:
            return self._run()
        finally:
            self._deployment.processes.stop_all()

    def _run(self) -> account_lib.Summary:
        dep = self._deployment
        dep.start_platform()
        dep.start_servers(**{"cold-ms": "500"})
        dep.start_balancers()
        self._print_progress(
            f"started the platform, {len(dep.servers)} backend servers and "
            f"{len(dep.balancers)} balancers"
        )
        self._print_progress(f"config apply: {dep.apply()}")
        dep.wait_serving()
        self._print_progress("all balancers have revision 1 and all links")
        callers = callers_lib.CallerProcesses(
            dep, "caller", count=CALLER_COUNT, seconds=self._seconds
        )
        callers.start()
        load_start_s = time.monotonic()
        self._print_progress(
            f"{CALLER_COUNT} caller processes send requests and receive feeds"
        )
        killed_balancer = self._rng.choice(dep.balancers)
        self._sleep_until(load_start_s + self._seconds * KILL_FRACTION)
        killed_ms = self._clock.now_ms()
        dep.signal(killed_balancer.name, signal.SIGKILL)
        self._print_progress(
            f"killed balancer {killed_balancer.name} "
            f"({killed_balancer.domain})"
        )
        server = self._rng.choice(
            [s for s in dep.servers if s.service == "counter"]
        )
        self._sleep_until(load_start_s + self._seconds * DRAIN_FRACTION)
        dep.signal(server.name, signal.SIGUSR1)
        self._print_progress(f"drained backend server {server.name}")
        reports = callers.reports()
        self._print_progress("all caller processes have exited")
        stop_codes = self._stop_balancers(killed_balancer)
        self._print_progress(
            f"planned stop of the other balancers: exit codes {stop_codes}"
        )
        records = dep.stop_servers()
        for record in records:
            self._print_progress(
                f"{record.server}: {len(record.runs)} runs, refusals "
                f"{json.dumps(record.refusals)}"
            )
        return account_lib.check(
            reports,
            records,
            faults=(
                account_lib.Fault(
                    str(killed_balancer.peer), killed_ms, killed_ms
                ),
            ),
            stop_codes=stop_codes,
            codec=dep.codec,
            seed=self._seed,
            seconds=time.monotonic() - self._started_s,
        )

    def _stop_balancers(
        self, killed_balancer: deployment_lib.Balancer
    ) -> list[int]:
        dep = self._deployment
        others = [b for b in dep.balancers if b is not killed_balancer]
        for balancer in others:
            dep.signal(balancer.name, signal.SIGTERM)
        timeout_s = dep.stop_deadline_ms / 1000 + _STOP_MARGIN_S
        return [dep.processes.wait(b.name, timeout_s) for b in others]

    def _print_progress(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._started_s
        typer.echo(f"{elapsed_s:6.2f} s  {text}")

    @staticmethod
    def _sleep_until(time_s: float) -> None:
        time.sleep(max(0.0, time_s - time.monotonic()))


def main(
    *,
    seed: Annotated[int, typer.Option(help="Seed of all random choices.")] = 1,
    seconds: Annotated[
        float,
        typer.Option(min=6, max=40, help="Duration of the load in seconds."),
    ] = 14.0,
    keep: Annotated[
        pathlib.Path | None,
        typer.Option(
            help="Directory for logs and records, kept after the run."
        ),
    ] = None,
) -> None:
    """Run the demo and print its summary as JSON in the last line."""
    with tempfile.TemporaryDirectory(prefix="cyclamenridge-demo-") as temp:
        directory = keep or pathlib.Path(temp)
        directory.mkdir(parents=True, exist_ok=True)
        summary = Demo(directory, seed=seed, seconds=seconds).run()
    typer.echo(msgspec.json.encode(summary).decode())
    raise typer.Exit(0 if summary.ok else 1)


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
