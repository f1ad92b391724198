import copy

import hypothesis
from hypothesis import strategies

from cyclamenridge.config import diff
from cyclamenridge.config import loader
from cyclamenridge.config import model
from tests.config import test_loader

BELLBIRD = loader.parse(test_loader.BELLBIRD)
NAMES = strategies.sampled_from(["a", "b", "c", "door-feed"])
KINDS = strategies.builds(
    model.Kind,
    service=NAMES,
    mode=strategies.sampled_from(model.Mode),
    floor_percent=strategies.integers(0, 3).map(float),
)
SERVERS = strategies.builds(
    model.Server,
    address=NAMES,
    failure_domain=NAMES,
    slots=strategies.integers(1, 2),
)
CONFIGS = strategies.builds(
    model.Config,
    deployment=NAMES,
    failure_domains=strategies.just({}),
    services=strategies.dictionaries(
        NAMES,
        strategies.builds(
            model.Service,
            servers=strategies.dictionaries(NAMES, SERVERS, max_size=2),
        ),
        max_size=2,
    ),
    kinds=strategies.dictionaries(NAMES, KINDS, max_size=3),
    customers=strategies.dictionaries(
        NAMES, strategies.just(model.Customer()), max_size=2
    ),
    precedence=strategies.lists(NAMES, max_size=3).map(tuple),
)


def apply_changes(changes, data):
    data = copy.deepcopy(data)
    for change in changes:
        *path, key = change.path
        parent = data
        for part in path:
            parent = parent[part]
        assert parent.get(key) == change.old
        if change.kind is diff.ChangeKind.REMOVED:
            del parent[key]
        else:
            parent[key] = change.new
    return data


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(CONFIGS, CONFIGS)
def test_changes_turn_the_old_configuration_into_the_new(old, new):
    """Guards against a change that is missing in what operators see."""
    changes = diff.compare(old, new)
    assert apply_changes(
        changes, diff.to_plain_data(old)
    ) == diff.to_plain_data(new)
    assert len({change.path for change in changes}) == len(changes)
    assert diff.compare(new, new) == ()
    for change in changes:
        assert len(str(change).splitlines()) == 1


def test_changes_are_one_line_each_with_path_old_and_new():
    """Guards against changes that read badly in the output of the CLI."""
    text = test_loader.BELLBIRD
    for before, after in (
        ("slots: 2", "slots: 3"),
        ("  - status-query\n  - job-update", "  - job-update\n"),
        ("  dorrigo-access:", "  emu-gates:"),
    ):
        assert before in text
        text = text.replace(before, after, 1)
    text = text.replace("- job-update", "- job-update\n  - status-query")
    assert [str(c) for c in diff.compare(BELLBIRD, loader.parse(text))] == [
        'removed customers.dorrigo-access: {"share": 1.0}',
        'added customers.emu-gates: {"share": 1.0}',
        'changed precedence: ["door-feed", "setting-change", "status-query",'
        ' "job-update", "diagnostic-dump"] -> ["door-feed", "setting-change",'
        ' "job-update", "status-query", "diagnostic-dump"]',
        "changed services.counter.servers.counter-1.slots: 2 -> 3",
    ]
