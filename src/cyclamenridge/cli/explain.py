"""Command ``cyclamenridge explain``: print the log lines about a flow."""

import json
import pathlib
from typing import Annotated
from typing import Any

import typer

EXIT_NOTHING_FOUND = 1

# Log lines about the process or its dependencies show the state that the
# decisions about the flow were based on. They are included from this time
# before the first line of the flow until this time after its last line.
_CONTEXT_WINDOW_S = 5.0
_CONTEXT_EVENTS = frozenset(
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
        "evacuation_held",
        "evacuation_unknown_domain",
        "evacuation_without_domain",
    }
)
# These show state that lasts longer. The last one of each failure domain
# before that time is included as well.
_ORDER_EVENTS = frozenset({"evacuation_ordered", "evacuation_withdrawn"})


def explain(
    logs: Annotated[
        list[pathlib.Path],
        typer.Argument(help="Log files of balancer processes."),
    ],
    *,
    flow: Annotated[
        str,
        typer.Option(
            help="CLIENT:PORT, or CLIENT:PORT>ROUTE:PORT as in the logs."
        ),
    ],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object per line.")
    ] = False,
) -> None:
    """Print how the balancers handled a flow, ordered by time."""
    lines = [line for path in logs for line in _read_log(path)]
    selected = select(lines, flow)
    if not selected:
        typer.echo(
            f"cyclamenridge explain: no log line for flow {flow}", err=True
        )
        raise typer.Exit(EXIT_NOTHING_FOUND)
    for line in selected:
        typer.echo(json.dumps(line) if as_json else _format_line(line))


def select(lines: list[dict[str, Any]], flow: str) -> list[dict[str, Any]]:
    """Return the lines of a flow and the context of its decisions."""
    flow_lines = [
        line
        for line in lines
        if line.get("flow") == flow
        or str(line.get("flow", "")).startswith(f"{flow}>")
    ]
    if not flow_lines:
        return []
    nodes = {line["node"] for line in flow_lines}
    servers = {line["server"] for line in flow_lines if "server" in line}
    start_s = min(line["time"] for line in flow_lines) - _CONTEXT_WINDOW_S
    end_s = max(line["time"] for line in flow_lines) + _CONTEXT_WINDOW_S
    context = [
        line
        for line in lines
        if line["node"] in nodes
        and start_s <= line["time"] <= end_s
        and "flow" not in line
        and (
            line["event"] in _CONTEXT_EVENTS | _ORDER_EVENTS
            or line.get("server") in servers
        )
    ]
    earlier_orders = {
        (line["node"], line.get("domain")): line
        for line in sorted(lines, key=lambda line: line["time"])
        if line["node"] in nodes
        and line["time"] < start_s
        and line["event"] in _ORDER_EVENTS
    }
    return sorted(
        [*flow_lines, *context, *earlier_orders.values()],
        key=lambda line: line["time"],
    )


def _read_log(path: pathlib.Path) -> list[dict[str, Any]]:
    """Return the JSON lines of a log file and skip all others.

    A log collector may add a prefix, such as a time or a name, to each line.
    """
    try:
        text = path.read_text(errors="replace")
    except OSError as exc:
        typer.echo(f"cyclamenridge explain: {path}: {exc.strerror}", err=True)
        raise typer.Exit(2) from exc
    lines = []
    for raw_line in text.splitlines():
        start = raw_line.find('{"time":')
        if start < 0:
            continue
        try:
            line = json.loads(raw_line[start:])
        except json.JSONDecodeError:
            # The last line of a killed process may be truncated.
            continue
        if {"time", "node", "event"} <= line.keys():
            lines.append(line)
    return lines


def _format_line(line: dict[str, Any]) -> str:
    fields = " ".join(
        f"{key}={json.dumps(value)}"
        for key, value in line.items()
        if key not in ("time", "node", "event")
    )
    return f"{line['time']:.3f} {line['node']} {line['event']} {fields}"
