"""Validates the data of a YAML file against pydantic data classes."""

from collections.abc import Iterator
import dataclasses
import json
import typing
from typing import TypeVar

import pydantic

from cyclamenridge.config import findings as findings_lib
from cyclamenridge.config import marked_yaml

T = TypeVar("T")

_ALLOWED_NAME = (
    "a name of 1 to 63 characters a-z, 0-9, '.' and '-' that begins and "
    "ends with a letter or digit"
)
# Pydantic ends the location of an error with this text when the key of a
# mapping is invalid, not its value.
_KEY_LOC_SUFFIX = "[key]"
_ALLOWED_BY_ERROR_TYPE = {
    "missing": "a value, the key is required",
    "string_pattern_mismatch": _ALLOWED_NAME,
    "dict_type": "a mapping",
    "dataclass_type": "a mapping",
    "tuple_type": "a list",
}


def validate(
    cls: type[T], content: marked_yaml.MarkedYaml, data: dict[str, object]
) -> tuple[T | None, tuple[findings_lib.Finding, ...]]:
    """Build a ``cls`` from data; without errors the findings are empty.

    The data is passed as JSON because only for JSON input pydantic's strict
    mode accepts lists as tuples and strings as enumeration members. It still
    rejects "5" as a number.

    :returns: the object, or None if there are findings
    """
    adapter = pydantic.TypeAdapter(cls)
    try:
        value = adapter.validate_json(json.dumps(data), strict=True)
    except pydantic.ValidationError as exc:
        return None, tuple(_make_findings(cls, content, exc))
    return value, ()


def _make_findings(
    cls: type,
    content: marked_yaml.MarkedYaml,
    exc: pydantic.ValidationError,
) -> Iterator[findings_lib.Finding]:
    for error in exc.errors(include_url=False):
        path = tuple(error["loc"])
        if path and path[-1] == _KEY_LOC_SUFFIX:
            path = path[:-1]
            found = f"the name {findings_lib.format_value(path[-1])}"
        else:
            found = findings_lib.format_value(error["input"])
        allowed = _describe_allowed(error["type"], error["msg"])
        if error["type"] == "missing":
            found = findings_lib.NOTHING
        elif error["type"] == "unexpected_keyword_argument":
            found = "an unknown key"
            allowed = ", ".join(_known_keys(cls, path[:-1]))
        yield content.make_finding(path, found, allowed)


def _describe_allowed(error_type: str, message: str) -> str:
    if error_type in _ALLOWED_BY_ERROR_TYPE:
        return _ALLOWED_BY_ERROR_TYPE[error_type]
    for prefix in ("Input should be ", "Value error, "):
        if message.startswith(prefix):
            return message.removeprefix(prefix)
    return message


def _known_keys(cls: object, path: marked_yaml.Path) -> Iterator[str]:
    """Return the valid keys of the mapping at a path."""
    for part in path:
        if dataclasses.is_dataclass(cls):
            cls = typing.get_type_hints(cls)[str(part)]
        else:
            cls = typing.get_args(cls)[-1]
    if dataclasses.is_dataclass(cls):
        for field in dataclasses.fields(cls):
            yield field.name
