import dataclasses
import pathlib
import re

import pytest

from cyclamenridge.config import loader
from cyclamenridge.config import model
from cyclamenridge.config import settings

REFERENCE_PAGE = (
    pathlib.Path(__file__).parents[2] / "docs" / "configuration.md"
)
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
EXTRA_KEYS = {model.Config: {loader.BASED_ON}, settings.Settings: {"key_file"}}


@pytest.mark.parametrize("heading", SECTIONS)
def test_page_lists_exactly_the_keys_with_their_defaults(heading):
    """Guards against a reference page that differs from the code."""
    _, _, section = REFERENCE_PAGE.read_text().partition(f"\n{heading}\n")
    section = re.split(r"\n##", section)[0]
    documented = dict(
        re.findall(r"^\| `(\w+)` \|.*\| ([^|]*) \|$", section, re.M)
    )
    cls = SECTIONS[heading]
    fields = {field.name: field for field in dataclasses.fields(cls)}
    assert set(documented) == set(fields) | EXTRA_KEYS.get(cls, set())
    for name, field in fields.items():
        default = field.default
        if default is dataclasses.MISSING:
            assert documented[name] in ("required", "this or `key_file`"), name
        elif isinstance(default, bool):
            assert documented[name] == f"`{str(default).lower()}`", name
        elif isinstance(default, str):
            assert documented[name] == f"`{default}`", name
        elif isinstance(default, int | float):
            assert float(documented[name].replace(",", "")) == default, name
        else:
            assert documented[name] == "none", name
