import dataclasses
import pathlib
import re

import pytest

from cyclamenridge.config import loader
from cyclamenridge.config import model
from cyclamenridge.config import settings

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "configuration.md"
SECTIONS = {
    "## Configuration file": model.Config,
    "### `failure_domains.<name>`": model.FailureDomain,
    "### `services.<name>`": model.Service,
    "### `services.<name>.servers.<name>`": model.Server,
    "### `kinds.<name>`": model.Kind,
    "### `customers.<name>`": model.Customer,
    "## Settings file": settings.Settings,
}
# Keys of the files that are not fields of the class.
EXTRA = {model.Config: {loader.BASED_ON}, settings.Settings: {"key_file"}}


@pytest.mark.parametrize("heading", SECTIONS)
def test_page_lists_exactly_the_keys_with_their_defaults(heading):
    """Guards against a reference that no longer fits the program."""
    _, _, section = PAGE.read_text().partition(f"\n{heading}\n")
    section = re.split(r"\n##", section)[0]
    rows = dict(re.findall(r"^\| `(\w+)` \|.*\| ([^|]*) \|$", section, re.M))
    kind = SECTIONS[heading]
    fields = {field.name: field for field in dataclasses.fields(kind)}
    assert set(rows) == set(fields) | EXTRA.get(kind, set())
    for name, field in fields.items():
        default = field.default
        if default is dataclasses.MISSING:
            assert rows[name] in ("required", "this or `key_file`"), name
        elif isinstance(default, bool):
            assert rows[name] == f"`{str(default).lower()}`", name
        elif isinstance(default, str):
            assert rows[name] == f"`{default}`", name
        elif isinstance(default, int | float):
            assert float(rows[name].replace(",", "")) == default, name
        else:
            assert rows[name] == "none", name
