import json

from typer import testing

from cyclamenridge import run

RUNNER = testing.CliRunner()
FLOW = "100.64.0.7:40001>198.18.0.1:8443"


def line(time, event, node="front-1", **fields):
    return json.dumps(
        {"time": time, "node": node, "event": event, **fields},
        separators=(",", ":"),
    )


def write(path, *lines):
    path.write_text("\n".join(lines))
    return str(path)


def test_lines_of_a_flow_are_ordered_over_processes_with_their_basis(tmp_path):
    one = write(
        tmp_path / "one.log",
        line(99.0, "configured", version=4),
        # A collector's prefix, a torn line and another flow.
        " 12.1 front-1 "
        + line(100.0, "flow_opening", flow=FLOW, server="i-1", copy=0),
        line(100.1, "flow_opening", flow="1.1.1.1:1>2.2.2.2:2", server="i-2"),
        line(100.15, "server_silent", server="i-1"),
        line(100.16, "server_silent", server="i-2"),
        line(50.0, "store_lost"),
        '{"time":100.2,"node":"fro',
    )
    two = write(
        tmp_path / "two.log",
        line(100.2, "flow_given_up", "front-2", flow=FLOW, basis=900),
        line(100.3, "configured", "front-3", version=6),
    )
    got = RUNNER.invoke(
        run.app, ["explain", two, one, "--flow", "100.64.0.7:40001", "--json"]
    )
    assert got.exit_code == 0
    events = [json.loads(text)["event"] for text in got.stdout.splitlines()]
    assert events == [
        "configured",
        "flow_opening",
        "server_silent",
        "flow_given_up",
    ]


def test_a_flow_that_no_log_names_is_an_error(tmp_path):
    log = write(tmp_path / "one.log", line(1.0, "started"))
    got = RUNNER.invoke(run.app, ["explain", log, "--flow", "1.2.3.4:5"])
    assert got.exit_code == 1
    assert "no line names 1.2.3.4:5" in got.stderr


def test_a_port_is_not_taken_for_a_longer_one(tmp_path):
    log = write(
        tmp_path / "one.log",
        line(1.0, "no_route", flow="1.2.3.4:55>2.2.2.2:2"),
    )
    got = RUNNER.invoke(run.app, ["explain", log, "--flow", "1.2.3.4:5"])
    assert got.exit_code == 1


def test_a_log_that_cannot_be_read_is_an_error(tmp_path):
    got = RUNNER.invoke(
        run.app, ["explain", str(tmp_path / "none"), "--flow", "1.2.3.4:5"]
    )
    assert got.exit_code == 2


def test_balancer_without_settings_says_what_it_needs(monkeypatch):
    monkeypatch.delenv("CYCLAMENRIDGE_CONFIG", raising=False)
    got = RUNNER.invoke(run.app, ["balancer"])
    assert got.exit_code == 2
    assert "--platform-settings" in got.stderr
