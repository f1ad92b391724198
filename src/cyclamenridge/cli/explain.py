"""Command ``cyclamenridge explain``: what happened to a flow."""

import json
import pathlib
from typing import Annotated
from typing import Any

import typer

EXIT_NOTHING_FOUND = 1

# Changes of the process or of its dependencies within this time before the
# first line of the flow explain what its decisions rested on.
_BEFORE_S = 5.0
_CONTEXT = frozenset(
    {
        "started",
        "serving",
        "leaving",
        "stopped",
        "configured",
        "configuration_refused",
        "store_lost",
        "store_history_lost",
        "store_regained",
        "snapshot_taken",
        "settings_read",
        "settings_refused",
        "lines_left_out",
    }
)


def explain(
    logs: Annotated[
        list[pathlib.Path], typer.Argument(help="Logs of processes.")
    ],
    *,
    flow: Annotated[
        str,
        typer.Option(
            help="CLIENT:PORT, or CLIENT:PORT>ROUTE:PORT as in the logs."
        ),
    ],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object a line.")
    ] = False,
) -> None:
    """Print what the processes did with a flow, in order of time."""
    lines = [line for path in logs for line in _read(path)]
    found = select(lines, flow)
    if not found:
        typer.echo(f"cyclamenridge explain: no line names {flow}", err=True)
        raise typer.Exit(EXIT_NOTHING_FOUND)
    for line in found:
        typer.echo(json.dumps(line) if as_json else _text(line))


def select(lines: list[dict[str, Any]], flow: str) -> list[dict[str, Any]]:
    """Return the lines of a flow and those that its decisions rest on."""
    own = [
        line
        for line in lines
        if line.get("flow") == flow
        or str(line.get("flow", "")).startswith(f"{flow}>")
    ]
    if not own:
        return []
    nodes = {line["node"] for line in own}
    servers = {line["server"] for line in own if "server" in line}
    first = min(line["time"] for line in own) - _BEFORE_S
    last = max(line["time"] for line in own) + _BEFORE_S
    context = [
        line
        for line in lines
        if line["node"] in nodes
        and first <= line["time"] <= last
        and "flow" not in line
        and (line["event"] in _CONTEXT or line.get("server") in servers)
    ]
    return sorted([*own, *context], key=lambda line: line["time"])


def _read(path: pathlib.Path) -> list[dict[str, Any]]:
    """Return the structured lines of a log; others are passed over.

    A collector may put a prefix, as a time or a name, before each line.
    """
    try:
        text = path.read_text(errors="replace")
    except OSError as exc:
        typer.echo(f"cyclamenridge explain: {path}: {exc.strerror}", err=True)
        raise typer.Exit(2) from exc
    lines = []
    for raw in text.splitlines():
        start = raw.find('{"time":')
        if start < 0:
            continue
        try:
            line = json.loads(raw[start:])
        except json.JSONDecodeError:
            # The last line of a process that was killed may be cut.
            continue
        if {"time", "node", "event"} <= line.keys():
            lines.append(line)
    return lines


def _text(line: dict[str, Any]) -> str:
    rest = " ".join(
        f"{key}={json.dumps(value)}"
        for key, value in line.items()
        if key not in ("time", "node", "event")
    )
    return f"{line['time']:.3f} {line['node']} {line['event']} {rest}"
