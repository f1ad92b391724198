import json

from typer import testing

from cyclamenridge import run

RUNNER = testing.CliRunner()
FLOW = "100.64.0.7:40001>198.18.0.1:8443"


def log_line(time, event, node="front-1", **fields):
    return json.dumps(
        {"time": time, "node": node, "event": event, **fields},
        separators=(",", ":"),
    )


def write_log(path, *lines):
    path.write_text("\n".join(lines))
    return str(path)


def test_flow_lines_of_all_logs_are_sorted_with_their_context(tmp_path):
    """Guards against missing or unsorted lines and those of other flows."""
    first_log = write_log(
        tmp_path / "one.log",
        log_line(99.0, "configured", version=4),
        # A collector's prefix, another flow and, at the end, a truncated line.
        " 12.1 front-1 "
        + log_line(100.0, "flow_opening", flow=FLOW, server="i-1", copy=0),
        log_line(
            100.1, "flow_opening", flow="1.1.1.1:1>2.2.2.2:2", server="i-2"
        ),
        log_line(100.15, "server_silent", server="i-1"),
        log_line(100.16, "server_silent", server="i-2"),
        log_line(50.0, "store_lost"),
        '{"time":100.2,"node":"fro',
    )
    second_log = write_log(
        tmp_path / "two.log",
        log_line(100.2, "flow_given_up", "front-2", flow=FLOW, basis=900),
        log_line(100.3, "configured", "front-3", version=6),
    )
    result = RUNNER.invoke(
        run.app,
        [
            "explain",
            second_log,
            first_log,
            "--flow",
            "100.64.0.7:40001",
            "--json",
        ],
    )
    assert result.exit_code == 0
    events = [json.loads(text)["event"] for text in result.stdout.splitlines()]
    assert events == [
        "configured",
        "flow_opening",
        "server_silent",
        "flow_given_up",
    ]


def test_orders_in_force_are_printed_however_old_they_are(tmp_path):
    """Why a domain got no flows is often decided minutes before a flow."""
    log = write_log(
        tmp_path / "one.log",
        log_line(10.0, "evacuation_ordered", domain="bne", source="store"),
        log_line(20.0, "evacuation_withdrawn", domain="bne", source="peer"),
        log_line(30.0, "evacuation_ordered", domain="syd", source="store"),
        log_line(31.0, "evacuation_ordered", "front-2", domain="syd"),
        log_line(98.0, "evacuation_held", domain="bne"),
        log_line(99.0, "evacuation_ordered", domain="bne", source="store"),
        log_line(99.5, "evacuation_unknown_domain", domain="bne"),
        log_line(100.0, "flow_opening", flow=FLOW, server="i-1", copy=0),
        log_line(200.0, "evacuation_withdrawn", domain="syd", source="store"),
    )
    result = RUNNER.invoke(run.app, ["explain", log, "--flow", FLOW, "--json"])
    times = [json.loads(text)["time"] for text in result.stdout.splitlines()]
    assert times == [20.0, 30.0, 98.0, 99.0, 99.5, 100.0]


def test_a_flow_without_log_lines_is_an_error(tmp_path):
    log = write_log(tmp_path / "one.log", log_line(1.0, "started"))
    result = RUNNER.invoke(run.app, ["explain", log, "--flow", "1.2.3.4:5"])
    assert result.exit_code == 1
    assert "no log line for flow 1.2.3.4:5" in result.stderr


def test_a_port_does_not_match_a_longer_port(tmp_path):
    """Guards against port 5 selecting the lines of port 55."""
    log = write_log(
        tmp_path / "one.log",
        log_line(1.0, "no_route", flow="1.2.3.4:55>2.2.2.2:2"),
    )
    result = RUNNER.invoke(run.app, ["explain", log, "--flow", "1.2.3.4:5"])
    assert result.exit_code == 1


def test_an_unreadable_log_is_an_error(tmp_path):
    result = RUNNER.invoke(
        run.app, ["explain", str(tmp_path / "none"), "--flow", "1.2.3.4:5"]
    )
    assert result.exit_code == 2


def test_balancer_without_settings_names_the_missing_option(monkeypatch):
    monkeypatch.delenv("CYCLAMENRIDGE_CONFIG", raising=False)
    result = RUNNER.invoke(run.app, ["balancer"])
    assert result.exit_code == 2
    assert "--platform-settings" in result.stderr
