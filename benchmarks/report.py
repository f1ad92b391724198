"""Page with plots of one or two plays of the users' bench.

``python -m benchmarks.report ENTRY [ENTRY] [--seconds OUTPUT ...]`` reads
entries of ``journal/`` and, for the course of a day, what ``fleetbench run``
prints. A development tool; the balancer never imports it.
"""

import argparse
import dataclasses
import html
import io
import json
import pathlib
import re
import sys

# Worth, late requests and quantiles of a line of the report's table by time.
_SECOND = re.compile(
    r"^(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)"
    r"\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)$"
)


class ReportError(Exception):
    """A file is no journal entry or no output of a played day."""


@dataclasses.dataclass(frozen=True)
class Day:
    """A played day.

    :ivar losses: what the day's worth lost to each part and to each price,
        as shares of what was owed
    :ivar rules: broken rules with their number
    """

    name: str
    worth: float
    losses: dict[str, float]
    rules: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Play:
    """An entry of the journal."""

    title: str
    days: tuple[Day, ...]


@dataclasses.dataclass(frozen=True)
class Second:
    """Two seconds of a day; latencies in milliseconds."""

    at: int
    worth: float
    p50_ms: float
    p99_ms: float


def read_play(path: pathlib.Path) -> Play:
    """Read a journal entry.

    :raises ReportError: when the file is none
    """
    try:
        entry = json.loads(path.read_bytes())
        days = tuple(_day(day) for day in entry["days"])
        title = f"{entry['site']} {entry['id']} ({entry['cmd']})"
    except (OSError, ValueError, KeyError, TypeError) as exc:
        raise ReportError(f"{path}: no journal entry: {exc!r}") from exc
    return Play(title, days)


def _day(day: dict) -> Day:
    losses = {
        name: weight * (1 - share) for name, weight, share in day["parts"]
    }
    for name, _, cost in day["prices"]:
        if cost > 0:
            losses[f"price: {name}"] = cost
    return Day(day["name"], day["G"], losses, day["rules"])


def read_seconds(path: pathlib.Path) -> list[Second]:
    """Read the table by time of a played day.

    :raises ReportError: when the file has none
    """
    try:
        lines = path.read_text().splitlines()
    except (OSError, ValueError) as exc:
        raise ReportError(f"{path}: {exc}") from exc
    found = []
    inside = False
    for line in lines:
        inside = line.startswith("from second") or (
            inside and bool(line.strip())
        )
        match = _SECOND.match(line.strip())
        if inside and match:
            at, worth, p50, p99 = match.group(1, 8, 9, 10)
            found.append(Second(int(at), float(worth), float(p50), float(p99)))
    if not found:
        raise ReportError(f"{path}: no table by time")
    return found


def _svg(figure: object) -> str:
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", bbox_inches="tight")  # type: ignore[attr-defined]
    return buffer.getvalue()[buffer.getvalue().index("<svg") :]


def _plot_worth(plays: list[Play]) -> str:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 3))
    names = [day.name for day in plays[0].days]
    width = 0.8 / len(plays)
    for index, play in enumerate(plays):
        worth = {day.name: day.worth for day in play.days}
        axes.bar(
            [number + index * width for number in range(len(names))],
            [worth.get(name, 0) for name in names],
            width,
            label=play.title,
        )
    axes.set_xticks(range(len(names)), names, rotation=20)
    axes.set_ylabel("worth")
    axes.legend(loc="lower right")
    return _svg(figure)


def _plot_losses(play: Play) -> str:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 3.5))
    names = [day.name for day in play.days]
    bottom = [0.0] * len(names)
    kinds = dict.fromkeys(kind for day in play.days for kind in day.losses)
    for kind in kinds:
        values = [day.losses.get(kind, 0) for day in play.days]
        if max(values) < 0.002:
            continue
        axes.bar(names, values, bottom=bottom, label=kind)
        bottom = [low + value for low, value in zip(bottom, values)]  # noqa: B905
    axes.set_ylabel("worth lost")
    axes.set_title(play.title)
    axes.legend(loc="center left", bbox_to_anchor=(1, 0.5))
    return _svg(figure)


def _plot_seconds(tables: dict[str, list[Second]]) -> str:
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(9, 5), sharex=True)
    for name, seconds in tables.items():
        at = [second.at for second in seconds]
        upper.plot(at, [second.worth for second in seconds], label=name)
        lower.plot(at, [second.p50_ms for second in seconds], label="p50")
        lower.plot(at, [second.p99_ms for second in seconds], label="p99")
    upper.set_ylabel("worth")
    upper.legend()
    lower.set_yscale("log")
    lower.set_ylabel("latency, ms")
    lower.set_xlabel("second of the day")
    lower.legend()
    return _svg(figure)


def _table(play: Play) -> str:
    rows = []
    for day in play.days:
        worst = sorted(day.losses.items(), key=lambda loss: -loss[1])[:3]
        cells = (
            day.name,
            f"{day.worth:.3f}",
            ", ".join(f"{kind} {value:.3f}" for kind, value in worst),
            ", ".join(day.rules) or "none",
        )
        rows.append(
            "<tr>"
            + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
            + "</tr>"
        )
    return (
        f"<h2>{html.escape(play.title)}</h2><table><tr><th>day</th>"
        "<th>worth</th><th>lost most to</th><th>rules broken</th></tr>"
        + "".join(rows)
        + "</table>"
    )


def render(plays: list[Play], tables: dict[str, list[Second]]) -> str:
    """Return the page."""
    parts = [_plot_worth(plays)]
    for play in plays:
        parts += [_table(play), _plot_losses(play)]
    if tables:
        parts.append(_plot_seconds(tables))
    return (
        "<!doctype html><meta charset=utf-8><title>Plays</title>"
        "<style>body{font-family:sans-serif}td,th{padding:2px 8px}</style>"
        + "\n".join(parts)
    )


def main() -> int:
    """Write the page; the exit code is 2 when a file cannot be read."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("entries", nargs="+", type=pathlib.Path)
    parser.add_argument("--seconds", nargs="*", default=[], type=pathlib.Path)
    parser.add_argument(
        "--output", default="build/report.html", type=pathlib.Path
    )
    options = parser.parse_args()
    try:
        plays = [read_play(path) for path in options.entries]
        tables = {path.name: read_seconds(path) for path in options.seconds}
    except ReportError as exc:
        print(f"report: {exc}", file=sys.stderr)
        return 2
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_text(render(plays, tables))
    print(options.output)
    return 0


if __name__ == "__main__":
    sys.exit(main())
