"""Differences between two configurations."""

from collections.abc import Iterator
import dataclasses
import enum
import json

from cyclamenridge.config import model

# A value as decoded from JSON.
PlainValue = (
    dict[str, "PlainValue"]
    | list["PlainValue"]
    | str
    | int
    | float
    | bool
    | None
)


class ChangeKind(enum.StrEnum):
    """Whether a value was added, removed or changed."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference.

    A list, such as ``precedence``, is compared as one value.

    :param path: keys from the top level of the file to the value
    :param old: value before, None when it was added
    :param new: value after, None when it was removed
    """

    kind: ChangeKind
    path: tuple[str, ...]
    old: PlainValue
    new: PlainValue

    def __str__(self) -> str:
        path = ".".join(self.path)
        if self.kind is ChangeKind.ADDED:
            return f"added {path}: {_format_value(self.new)}"
        if self.kind is ChangeKind.REMOVED:
            return f"removed {path}: {_format_value(self.old)}"
        return (
            f"changed {path}: {_format_value(self.old)} -> "
            f"{_format_value(self.new)}"
        )


def compare(old: model.Config, new: model.Config) -> tuple[Change, ...]:
    """Return the differences, sorted by path."""
    return compare_data(to_plain_data(old), to_plain_data(new))


def compare_data(
    old: dict[str, PlainValue], new: dict[str, PlainValue]
) -> tuple[Change, ...]:
    """Return the differences of plain data, sorted by path."""
    changes = _compare(old, new, ())
    return tuple(sorted(changes, key=lambda change: change.path))


def to_plain_data(cfg: model.Config) -> dict[str, PlainValue]:
    """Convert a configuration to the dicts, lists and scalars of JSON."""
    return json.loads(json.dumps(dataclasses.asdict(cfg)))


def _compare(
    old: dict[str, PlainValue],
    new: dict[str, PlainValue],
    path: tuple[str, ...],
) -> Iterator[Change]:
    for key, value in old.items():
        if key not in new:
            yield Change(ChangeKind.REMOVED, (*path, key), value, None)
    for key, value in new.items():
        value_path = (*path, key)
        if key not in old:
            yield Change(ChangeKind.ADDED, value_path, None, value)
        elif isinstance(value, dict) and isinstance(old[key], dict):
            yield from _compare(old[key], value, value_path)
        elif value != old[key]:
            yield Change(ChangeKind.CHANGED, value_path, old[key], value)


def _format_value(value: PlainValue) -> str:
    if isinstance(value, str):
        return value
    return json.dumps(value)
