import copy
import json

import pytest
from typer import testing

from cyclamenridge import run
from tests.platform import test_records

CONFIG = test_records.CONFIG


def run_config(tmp_path, command, config, *options, in_force=None):
    path = tmp_path / "new.json"
    text = config if isinstance(config, str) else json.dumps(config, indent=1)
    path.write_text(text)
    arguments = ["config", command, str(path), *options]
    if in_force is not None:
        old_path = tmp_path / "old.json"
        old_path.write_text(json.dumps(in_force))
        arguments += ["--against", str(old_path)]
    return testing.CliRunner().invoke(run.app, arguments)


def changed(*changes):
    """Return a copy of the configuration with values at paths replaced."""
    config = copy.deepcopy(CONFIG)
    for *path, key, value in changes:
        part = config
        for name in path:
            part = part[name]
        part[key] = value
    return config


def keys(items):
    return [item["key"] for item in items]


def test_all_refused_values_are_reported_with_line_and_key(tmp_path):
    """Guards against a report of the decoder's first error only."""
    config = changed(
        ("version", True),
        ("routes", 0, "host", "nowhere"),
        ("routes", 0, "timeout_ms", "3s"),
        ("routes", 1, "prefix", "/https/"),
        ("routes", 1, "weighted_targets", 1, "weight", "ten"),
        ("services", 0, "warmup_s", 1e308),
        ("services", 1, None),
        ("limits", {}),
    )
    result = run_config(tmp_path, "check", config)
    assert result.exit_code == 3
    lines = result.stderr.replace(f"{tmp_path}/", "").splitlines()
    assert lines[:3] == [
        "new.json:2: version: found true; allowed: an integer",
        "new.json:6: routes[0].host: found 'nowhere'; allowed: an IPv4 "
        "address, such as 198.18.0.1",
        "new.json:9: routes[0].timeout_ms: found '3s'; allowed: an integer",
    ]
    result = run_config(tmp_path, "check", config, "--json")
    assert keys(json.loads(result.stdout)["findings"])[3:] == [
        "routes[1].prefix",
        "routes[1].weighted_targets",
        "routes[1].weighted_targets[1].service",
        "services[0].warmup_s",
        "services[1]",
        "limits.idle_timeout_ms",
    ]


@pytest.mark.parametrize(
    ("config", "key"),
    [
        ("{", ""),
        ("{} {}", ""),
        ('{"version": 1}', "limits"),
        (changed(("notes", float("nan"))), ""),
        (changed(("routes", 0, "service", None)), "routes[0]"),
        (changed(("routes", 0, "service", "x")), "routes[0].service"),
        (changed(("routes", 1, "name", "r-1")), "routes[1].name"),
        (changed(("services", 1, "name", "huvo11a")), "services[1].name"),
        (json.dumps(CONFIG)[:-1] + ', "version": 8}', "version"),
    ],
)
def test_invalid_configurations_have_exit_code_3(tmp_path, config, key):
    """Guards against errors that the check misses or fails at."""
    result = run_config(tmp_path, "check", config, "--json")
    assert result.exit_code == 3
    assert key in keys(json.loads(result.stdout)["findings"])


@pytest.mark.parametrize(
    ("config", "expected"),
    [
        (CONFIG, []),
        (changed(("routes", 0, "prefix", "/8443/")), ["routes[0]"]),
        (changed(("routes", 0, "prefix", "/70000/")), ["routes[0].prefix"]),
        (changed(("routes", 0, "type", "stream")), ["routes[0].type"]),
        (
            changed(("routes", 0, "target_latency_ms", 3001)),
            ["routes[0].target_latency_ms"],
        ),
        (
            changed(("routes", 1, "weighted_targets", 1, "weight", 0)),
            ["routes[1].weighted_targets[1].weight", "services[1].name"],
        ),
        (
            changed(
                ("routes", 1, "service", "wuno96b"),
                ("routes", 1, "weighted_targets", 0, "weight", 0),
                ("routes", 1, "weighted_targets", 1, "weight", 0),
            ),
            [
                "routes[1].weighted_targets",
                "routes[1].weighted_targets[0].weight",
                "routes[1].weighted_targets[1].weight",
            ],
        ),
        (changed(("routes", 1, "service", "huvo11a")), ["routes[1].service"]),
        (
            changed(("services", 0, "warmup_s", 2)),
            ["services[0].warmup_per_s"],
        ),
        (
            changed(("services", 0, "warmup_per_s", 2)),
            ["services[0].warmup_s"],
        ),
        (
            changed(("limits", "idle_timeout_ms", 2999)),
            ["limits.idle_timeout_ms"],
        ),
    ],
)
def test_entries_without_effect_are_warnings(tmp_path, config, expected):
    """Guards against refusing what balancers accept, or not telling of it."""
    result = run_config(tmp_path, "check", config, "--json")
    assert result.exit_code == 0
    assert keys(json.loads(result.stdout)["warnings"]) == expected


def test_a_version_that_is_not_higher_is_an_error(tmp_path):
    """Guards against a configuration that balancers ignore."""
    result = run_config(tmp_path, "check", CONFIG, in_force=CONFIG)
    assert result.exit_code == 3
    assert "version: found 7; allowed: above 7" in result.stderr


@pytest.mark.parametrize("command", ["check", "diff"])
def test_changes_and_ended_flows_are_shown(tmp_path, command):
    """Guards against flows that end without a word before.

    A renamed route keeps its flows, and one that moves ends them.
    """
    config = changed(
        ("version", 8),
        ("routes", 0, "name", "r-3"),
        ("routes", 1, "prefix", "/8444/"),
    )
    result = run_config(tmp_path, command, config, in_force=CONFIG)
    assert result.exit_code == 0
    assert "changed version: 7 -> 8\n" in result.stdout
    assert "changed routes.r-2.prefix: /8443/ -> /8444/\n" in result.stdout
    assert "removed routes.r-1: {" in result.stdout
    ended = [s for s in result.stdout.splitlines() if s.startswith("ends")]
    assert ended == ["ends open flows of 198.18.0.1:8443"]


def test_a_diff_needs_a_valid_configuration_in_force(tmp_path):
    """Guards against a comparison with nothing or with a broken file."""
    assert run_config(tmp_path, "diff", CONFIG).exit_code == 2
    result = run_config(tmp_path, "diff", CONFIG, in_force={"version": 6})
    assert result.exit_code == 3
    assert "old.json" in result.stderr
