"""Command that runs benchmark experiments and writes JSON records."""

import importlib
import pathlib
import time
from typing import Annotated

import msgspec
import typer

EXPERIMENTS: tuple[str, ...] = (
    "affinity",
    "balance",
    "flood",
    "scale",
    "datapath",
)


def main(
    *,
    output: Annotated[
        pathlib.Path, typer.Option(help="JSON file to write.")
    ] = pathlib.Path("build/bench.json"),
    experiment: Annotated[
        list[str] | None,
        typer.Option(help="Run only this experiment; may be repeated."),
    ] = None,
    seeds: Annotated[
        int, typer.Option(min=1, help="Run each experiment with seeds 1 to N.")
    ] = 1,
) -> None:
    """Run the experiments and write one record for each measured value."""
    records = []
    for name in experiment or EXPERIMENTS:
        if name not in EXPERIMENTS:
            raise typer.BadParameter(
                f"unknown experiment {name!r}; use {', '.join(EXPERIMENTS)}"
            )
        module = importlib.import_module(f"benchmarks.{name}")
        started = time.monotonic()
        for record in module.run(range(1, seeds + 1)):
            records.append(record)
            typer.echo(
                f"{record.experiment:9} {record.policy:24} "
                f"seed={record.seed} {record.metric}="
                f"{record.value:.6g} {record.unit}"
            )
        typer.echo(f"{name}: {time.monotonic() - started:.1f} s")
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_bytes(
        msgspec.json.format(msgspec.json.encode(records), indent=1)
    )


if __name__ == "__main__":
    typer.run(main)
