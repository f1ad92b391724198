import pathlib
from unittest import mock

import hypothesis
from hypothesis import strategies
import pytest
import yaml

from cyclamenridge.config import findings
from cyclamenridge.config import loader
from cyclamenridge.config import marked_yaml
import cyclamenridge.errors as errors
from cyclamenridge.wire import token

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
BELLBIRD = (EXAMPLES / "bellbird.yaml").read_text()

KEYS = strategies.sampled_from(
    ["deployment", "services", "precedence", "<<", "?", "based_on", "true"]
) | strategies.text(max_size=4)
SCALARS = strategies.sampled_from(
    [".inf", "2001-99-99", "*a", "&a x", "!!bool x", "!!int ''", "0b", "="]
) | strategies.text(max_size=6)
DOCUMENTS = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3).map(
            lambda items: "[" + ", ".join(items) + "]"
        )
        | strategies.dictionaries(KEYS, inner, max_size=3).map(
            lambda pairs: (
                "{" + ", ".join(f"{k}: {v}" for k, v in pairs.items()) + "}"
            )
        )
    ),
    max_leaves=8,
)


# A build of PyYAML without libyaml has only the second one.
with_both_yaml_loaders = pytest.mark.parametrize(
    "loader_class", [yaml.CSafeLoader, yaml.SafeLoader]
)


def findings_by_location(text):
    """Return found and allowed by line and key; the text must be invalid."""
    with pytest.raises(findings.InvalidConfigError) as caught:
        loader.parse(text, source="f.yaml")
    return {
        (f.line, f.key): (f.found, f.allowed) for f in caught.value.findings
    }


@pytest.mark.parametrize(
    ("name", "sizes", "slots", "domains", "first", "last"),
    [
        (
            "bellbird",
            {"counter": 7, "workshop": 4},
            2,
            {"qld-bne", "qld-tsv", "qld-cns", "qld-too"},
            "door-feed",
            "diagnostic-dump",
        ),
        (
            "fjordbind",
            {"album": 7, "intake": 3},
            3,
            {"oslo-a", "oslo-b", "oslo-c"},
            "proof-stream",
            "photo-upload",
        ),
    ],
)
def test_example_has_the_sizes_of_its_deployment(
    name, sizes, slots, domains, first, last
):
    """Guards against an example that differs from the deployment it shows."""
    cfg = loader.parse((EXAMPLES / f"{name}.yaml").read_text())
    assert {k: len(s.servers) for k, s in cfg.services.items()} == sizes
    servers = [x for s in cfg.services.values() for x in s.servers.values()]
    assert {x.slots for x in servers} == {slots}
    assert {x.connections for x in servers} == {2000}
    assert set(cfg.failure_domains) == domains
    assert (cfg.precedence[0], cfg.precedence[-1]) == (first, last)


CASES = [
    ("slots: 2", "slots: two", ".slots", "a valid integer"),
    ("slots: 2", 'slots: "2"', ".slots", "a valid integer"),
    ("slots: 2", "slots: true", ".slots", "a valid integer"),
    ("slots: 2", "slots: 0", ".slots", "greater than or equal to 1"),
    ("slots: 2", "slot: 2", ".slot", "address, failure_domain, slots"),
    ("mode: feed", "mode: fed", "door-feed.mode", "'feed', 'request'"),
    ("mode: feed", "idempotent: false", "door-feed.mode", "required"),
    ("  counter-1:", "  Counter_1:", ".Counter_1", "1 to 63 characters"),
    ("127.0.1.100:7101", "127.0.1.100:0", "counter-1.address", "1 to 65535"),
    ("127.0.1.100:7101", "localhost:1", "counter-1.address", "IPv4"),
    ("127.0.1.0/24", "127.0.1.7/24", "networks.0", "without host bits"),
    ("[127.0.1.0/24]", "[]", "networks", "at least one"),
    ("domain: qld-tsv", "domain: qld-xyz", "failure_domain", "qld-tsv"),
    ("service: workshop", "service: shop", "service", "counter, workshop"),
    ("floor_percent: 10", "floor_percent: 90", "floor_percent", "at most 100"),
    ("floor_percent: 10", "floor_percent: .inf", "floor_percent", "finite"),
    ("- status-query\n", "- setting-change\n", "precedence.2", "once"),
    ("  - status-query\n", "", "precedence", "each kind once"),
    ("- status-query\n", "- other\n", "precedence.2", "one of diag"),
    ("127.0.2.100:7102", "127.0.1.100:7101", "counter-2.address", "once"),
    ("deployment:", "deployment: a\ndeployment:", "deployment", "key once"),
    ("deployment: bellbird", "deployment: 2001-01-01", "deployment", "string"),
    ("deployment:", "based_on:\n  3\ndeployment:", "based_on", "line of"),
    ("\ncustomers:", "\ncustomers: {}\nx:", "customers", "at least one"),
    (
        "\nservices:",
        "\nservices:\n  a:\n    servers: {}\nx:",
        "a.servers",
        "one",
    ),
    ("deployment:", "based_on: x\ndeployment:", "based_on", "first key"),
    ("kinds:", "based_on: 3\nkinds:", "based_on", "first key"),
    ("slots: 2", "slots: {a: 1}", ".slots", "a valid integer"),
    ("[127.0.1.0/24]", "127.0.1.0/24", ".networks", "a list"),
    ("\ncustomers:", "\ncustomers: [a]\nx:", "customers", "a mapping"),
]


@pytest.mark.parametrize(("old", "new", "key", "allowed"), CASES)
def test_error_names_line_key_and_allowed_values(old, new, key, allowed):
    """Guards against an invalid file that passes or is reported unclearly."""
    assert old in BELLBIRD
    text = BELLBIRD.replace(old, new, 1)
    reported = [
        (line, path.rsplit(".", 1)[-1], reported_allowed)
        for (line, path), (_, reported_allowed) in findings_by_location(
            text
        ).items()
        if path.endswith(key)
    ]
    assert len(reported) == 1, findings_by_location(text)
    line, name, reported_allowed = reported[0]
    assert allowed in reported_allowed
    if not name.isdigit() and allowed != "required":
        assert text.splitlines()[line - 1].strip().startswith(f"{name}:")


@pytest.mark.parametrize(
    "value",
    [
        "9" * 5000,
        "9" * 20,
        '"\\ud800"',
        ".nan",
        "!!bool x",
        "!!int ''",
        "!x y",
    ],
    ids=lambda value: value[:9],
)
@with_both_yaml_loaders
def test_invalid_scalar_is_reported_with_its_line(
    value, loader_class, monkeypatch
):
    """Guards against uncaught exceptions of the YAML constructor."""
    monkeypatch.setattr(marked_yaml, "_LOADER", loader_class)
    text = BELLBIRD.replace("bellbird", value, 1)
    ((line, key),) = findings_by_location(text)
    assert text.splitlines()[line - 1].startswith("deployment: ")
    # libyaml rejects the escape of a surrogate as a syntax error.
    c_error = "ud800" in value and loader_class is yaml.CSafeLoader
    assert key == ("" if c_error else "deployment")


def test_mapping_in_braces_is_refused():
    """Guards against a file to which `config show` cannot add a line."""
    reported = findings_by_location("{deployment: a}").values()
    assert ("a mapping in braces", mock.ANY) in reported


def test_all_errors_of_a_file_are_reported_at_once():
    """Guards against a check that stops at the first error."""
    text = BELLBIRD
    for old, new, *_ in (CASES[0], CASES[5], CASES[12], CASES[13]):
        text = text.replace(old, new, 1)
    assert len(findings_by_location(text)) == 4


def test_names_with_equal_token_hashes_are_refused(monkeypatch):
    """Guards against a token of one service that is valid in another (P2)."""
    monkeypatch.setattr(token, "name_hash", len)
    assert any(
        "same hash" in found
        for found, _ in findings_by_location(BELLBIRD).values()
    )


@pytest.mark.parametrize(
    "text",
    [
        "a: &x [1]\nb: *x",
        "a: &x [1]\nb: &y [*x, *x]\nc: [*y, *y]",
        "a: &x\n  b: *x",
        "[" * 500_000,
        "- " * 100_000,
        "a: " + "[" * 16 + "]" * 16,
        "a: " + "x" * 900_001,
        "a: 1\n---\nb: 2",
    ],
    ids=[
        "alias",
        "laughs",
        "recursion",
        "flow",
        "block",
        "deep",
        "size",
        "two",
    ],
)
@with_both_yaml_loaders
def test_malicious_yaml_is_refused(text, loader_class, monkeypatch):
    """Guards against files that exhaust memory or the call stack."""
    monkeypatch.setattr(marked_yaml, "_LOADER", loader_class)
    assert len(findings_by_location(text)) == 1


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(DOCUMENTS | strategies.text(max_size=60))
def test_arbitrary_yaml_raises_only_config_errors(text):
    """Guards against tracebacks that an operator would see."""
    with pytest.raises(errors.ConfigError) as caught:
        loader.parse(text)
    for finding in caught.value.findings:
        assert finding.line >= 1
        assert len(str(finding).splitlines()) == 1


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(strategies.data())
def test_damaged_file_raises_only_config_errors(data):
    """Guards against files that pass with a value of another type."""
    start = data.draw(strategies.integers(0, len(BELLBIRD) - 1))
    length = data.draw(strategies.integers(0, 30))
    text = BELLBIRD[:start] + data.draw(DOCUMENTS) + BELLBIRD[start + length :]
    try:
        read = loader.parse_file(text)
    except errors.ConfigError:
        return
    text_with_based_on = loader.with_based_on(read.body, 12)
    again = loader.parse_file(text_with_based_on)
    assert (again.body, again.based_on) == (read.body, 12)


@pytest.mark.parametrize("prefix", ["", "# note\n", "---\n", "\ufeff", "\n\n"])
def test_based_on_is_first_key_and_leaves_the_body_unchanged(prefix):
    """Guards against a body that changes when it is shown and applied."""
    text = prefix + BELLBIRD
    read = loader.parse_file(text)
    assert (read.based_on, read.body[0]) == (None, text.strip("\ufeff")[0])
    again = loader.parse_file(loader.with_based_on(read.body, 12))
    assert (again.body, again.based_on) == (read.body, 12)


def test_values_of_invalid_keys_do_not_hide_later_errors():
    """Guards against a reader that does not find where such a value ends."""
    text = "? [a, {b: c}]\n: {d: [e]}\n1: {f: g}\n"
    text += BELLBIRD + "deployment: again\n"
    lines = len(text.splitlines())
    assert list(findings_by_location(text)) == [
        (1, ""),
        (3, ""),
        (lines, "deployment"),
    ]
