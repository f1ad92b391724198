"""HTML report with plots of scored ``fleetbench`` runs.

``python -m benchmarks.report ENTRY [ENTRY] [--seconds OUTPUT ...]`` reads
entries of ``journal/``. For plots over the time of a day, it also reads the
output of ``fleetbench run``. The balancer does not import this module.
"""

import argparse
import dataclasses
import html
import io
import json
import pathlib
import re
import sys

# A row of the time series table: start second, six counts, worth, and
# p50 and p99 latency.
_TABLE_ROW = re.compile(
    r"^(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)"
    r"\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)$"
)


class ReportError(Exception):
    """A file is neither a journal entry nor the output of a run."""


@dataclasses.dataclass(frozen=True)
class Day:
    """Result of a simulated day.

    :ivar worth: score of the day, ``G`` in the journal entry
    :ivar losses: score lost by part of the score and by price
    :ivar violations: number of violations by rule
    """

    name: str
    worth: float
    losses: dict[str, float]
    violations: dict[str, int]


@dataclasses.dataclass(frozen=True)
class ScoredRun:
    """The days of a scored run, from a journal entry."""

    title: str
    days: tuple[Day, ...]


@dataclasses.dataclass(frozen=True)
class TimeSample:
    """A row of the time series table, which covers two seconds of a day."""

    start_s: int
    worth: float
    p50_ms: float
    p99_ms: float


def read_journal_entry(path: pathlib.Path) -> ScoredRun:
    """Read a journal entry.

    :raises ReportError: if the file is not a journal entry
    """
    try:
        entry = json.loads(path.read_bytes())
        days = tuple(_day(day) for day in entry["days"])
        title = f"{entry['site']} {entry['id']} ({entry['cmd']})"
    except (OSError, ValueError, KeyError, TypeError) as exc:
        raise ReportError(f"{path}: not a journal entry: {exc!r}") from exc
    return ScoredRun(title, days)


def _day(day: dict) -> Day:
    losses = {
        name: weight * (1 - share) for name, weight, share in day["parts"]
    }
    for name, _, cost in day["prices"]:
        if cost > 0:
            losses[f"price: {name}"] = cost
    return Day(day["name"], day["G"], losses, day["rules"])


def read_time_series(path: pathlib.Path) -> list[TimeSample]:
    """Read the time series table from the output of ``fleetbench run``.

    :raises ReportError: if the file contains no such table
    """
    try:
        lines = path.read_text().splitlines()
    except (OSError, ValueError) as exc:
        raise ReportError(f"{path}: {exc}") from exc
    samples = []
    in_table = False
    for line in lines:
        in_table = line.startswith("from second") or (
            in_table and bool(line.strip())
        )
        match = _TABLE_ROW.match(line.strip())
        if in_table and match:
            start_s, worth, p50, p99 = match.group(1, 8, 9, 10)
            samples.append(
                TimeSample(int(start_s), float(worth), float(p50), float(p99))
            )
    if not samples:
        raise ReportError(f"{path}: no time series table")
    return samples


def _to_svg(figure: object) -> str:
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", bbox_inches="tight")  # type: ignore[attr-defined]
    return buffer.getvalue()[buffer.getvalue().index("<svg") :]


def _plot_worth(runs: list[ScoredRun]) -> str:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 3))
    day_names = [day.name for day in runs[0].days]
    width = 0.8 / len(runs)
    for index, run in enumerate(runs):
        worth = {day.name: day.worth for day in run.days}
        axes.bar(
            [number + index * width for number in range(len(day_names))],
            [worth.get(name, 0) for name in day_names],
            width,
            label=run.title,
        )
    axes.set_xticks(range(len(day_names)), day_names, rotation=20)
    axes.set_ylabel("worth")
    axes.legend(loc="lower right")
    return _to_svg(figure)


def _plot_losses(run: ScoredRun) -> str:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 3.5))
    day_names = [day.name for day in run.days]
    bottom = [0.0] * len(day_names)
    loss_names = dict.fromkeys(
        loss_name for day in run.days for loss_name in day.losses
    )
    for loss_name in loss_names:
        values = [day.losses.get(loss_name, 0) for day in run.days]
        if max(values) < 0.002:
            continue
        axes.bar(day_names, values, bottom=bottom, label=loss_name)
        bottom = [low + value for low, value in zip(bottom, values)]  # noqa: B905
    axes.set_ylabel("worth lost")
    axes.set_title(run.title)
    axes.legend(loc="center left", bbox_to_anchor=(1, 0.5))
    return _to_svg(figure)


def _plot_time_series(tables: dict[str, list[TimeSample]]) -> str:
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(9, 5), sharex=True)
    for name, samples in tables.items():
        start_s = [sample.start_s for sample in samples]
        upper.plot(start_s, [sample.worth for sample in samples], label=name)
        lower.plot(start_s, [sample.p50_ms for sample in samples], label="p50")
        lower.plot(start_s, [sample.p99_ms for sample in samples], label="p99")
    upper.set_ylabel("worth")
    upper.legend()
    lower.set_yscale("log")
    lower.set_ylabel("latency, ms")
    lower.set_xlabel("second of the day")
    lower.legend()
    return _to_svg(figure)


def _losses_table(run: ScoredRun) -> str:
    rows = []
    for day in run.days:
        worst = sorted(day.losses.items(), key=lambda loss: -loss[1])[:3]
        cells = (
            day.name,
            f"{day.worth:.3f}",
            ", ".join(f"{name} {value:.3f}" for name, value in worst),
            ", ".join(day.violations) or "none",
        )
        rows.append(
            "<tr>"
            + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
            + "</tr>"
        )
    return (
        f"<h2>{html.escape(run.title)}</h2><table><tr><th>day</th>"
        "<th>worth</th><th>largest losses</th><th>violated rules</th></tr>"
        + "".join(rows)
        + "</table>"
    )


def render(runs: list[ScoredRun], tables: dict[str, list[TimeSample]]) -> str:
    """Return the report as an HTML page."""
    parts = [_plot_worth(runs)]
    for run in runs:
        parts += [_losses_table(run), _plot_losses(run)]
    if tables:
        parts.append(_plot_time_series(tables))
    return (
        "<!doctype html><meta charset=utf-8><title>Scored runs</title>"
        "<style>body{font-family:sans-serif}td,th{padding:2px 8px}</style>"
        + "\n".join(parts)
    )


def main() -> int:
    """Write the report; return 2 if a file cannot be read, otherwise 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("entries", nargs="+", type=pathlib.Path)
    parser.add_argument("--seconds", nargs="*", default=[], type=pathlib.Path)
    parser.add_argument(
        "--output", default="build/report.html", type=pathlib.Path
    )
    options = parser.parse_args()
    try:
        runs = [read_journal_entry(path) for path in options.entries]
        tables = {
            path.name: read_time_series(path) for path in options.seconds
        }
    except ReportError as exc:
        print(f"report: {exc}", file=sys.stderr)
        return 2
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_text(render(runs, tables))
    print(options.output)
    return 0


if __name__ == "__main__":
    sys.exit(main())
