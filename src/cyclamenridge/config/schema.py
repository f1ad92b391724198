"""Checks marked YAML against pydantic data classes."""

from collections.abc import Iterator
import dataclasses
import json
import typing
from typing import TypeVar

import pydantic

from cyclamenridge.config import findings as findings_lib
from cyclamenridge.config import marked_yaml

T = TypeVar("T")

_NAME_RULE = (
    "a name of 1 to 63 characters a-z, 0-9, '.' and '-' that begins and "
    "ends with a letter or digit"
)
_KEY_MARK = "[key]"
_RULES = {
    "missing": "a value, the key is required",
    "string_pattern_mismatch": _NAME_RULE,
    "dict_type": "a mapping",
    "dataclass_type": "a mapping",
    "tuple_type": "a list",
}


def check(
    kind: type[T], content: marked_yaml.MarkedYaml, data: dict[str, object]
) -> tuple[T | None, tuple[findings_lib.Finding, ...]]:
    """Build ``kind`` from data, or return all findings.

    JSON is the input form for which pydantic's strict mode accepts lists as
    tuples and strings as enumeration members, but not "5" as a number.
    """
    adapter = pydantic.TypeAdapter(kind)
    try:
        value = adapter.validate_json(json.dumps(data), strict=True)
    except pydantic.ValidationError as exc:
        return None, tuple(_findings(kind, content, exc))
    return value, ()


def _findings(
    kind: type,
    content: marked_yaml.MarkedYaml,
    exc: pydantic.ValidationError,
) -> Iterator[findings_lib.Finding]:
    for error in exc.errors(include_url=False):
        path = tuple(error["loc"])
        if path and path[-1] == _KEY_MARK:
            path = path[:-1]
            found = f"the name {findings_lib.shown(path[-1])}"
        else:
            found = findings_lib.shown(error["input"])
        allowed = _allowed(error["type"], error["msg"])
        if error["type"] == "missing":
            found = findings_lib.NOTHING
        elif error["type"] == "unexpected_keyword_argument":
            found = "an unknown key"
            allowed = ", ".join(_keys(kind, path[:-1]))
        yield content.finding(path, found, allowed)


def _allowed(error_type: str, message: str) -> str:
    if error_type in _RULES:
        return _RULES[error_type]
    for prefix in ("Input should be ", "Value error, "):
        if message.startswith(prefix):
            return message.removeprefix(prefix)
    return message


def _keys(kind: object, path: marked_yaml.Path) -> Iterator[str]:
    """Return the keys that are known at a path."""
    for part in path:
        if dataclasses.is_dataclass(kind):
            kind = typing.get_type_hints(kind)[str(part)]
        else:
            kind = typing.get_args(kind)[-1]
    if dataclasses.is_dataclass(kind):
        for field in dataclasses.fields(kind):
            yield field.name
