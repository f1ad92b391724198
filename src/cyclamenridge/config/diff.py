"""Differences between two configurations."""

from collections.abc import Iterator
import dataclasses
import enum
import json

from cyclamenridge.config import model

Plain = dict[str, "Plain"] | list["Plain"] | str | int | float | bool | None


class ChangeKind(enum.StrEnum):
    """How a value differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference.

    A list, such as the precedence, is one value.

    :param path: keys from the top of the file to the value
    :param old: value before, None when it was added
    :param new: value after, None when it was removed
    """

    kind: ChangeKind
    path: tuple[str, ...]
    old: Plain
    new: Plain

    def __str__(self) -> str:
        path = ".".join(self.path)
        if self.kind is ChangeKind.ADDED:
            return f"added {path}: {_text(self.new)}"
        if self.kind is ChangeKind.REMOVED:
            return f"removed {path}: {_text(self.old)}"
        return f"changed {path}: {_text(self.old)} -> {_text(self.new)}"


def compare(old: model.Config, new: model.Config) -> tuple[Change, ...]:
    """Return the differences in the order of their paths."""
    changes = _compare(plain(old), plain(new), ())
    return tuple(sorted(changes, key=lambda change: change.path))


def plain(cfg: model.Config) -> dict[str, Plain]:
    """Return a configuration as mappings, lists and scalars."""
    return json.loads(json.dumps(dataclasses.asdict(cfg)))


def _compare(
    old: dict[str, Plain], new: dict[str, Plain], path: tuple[str, ...]
) -> Iterator[Change]:
    for key, value in old.items():
        if key not in new:
            yield Change(ChangeKind.REMOVED, (*path, key), value, None)
    for key, value in new.items():
        here = (*path, key)
        if key not in old:
            yield Change(ChangeKind.ADDED, here, None, value)
        elif isinstance(value, dict) and isinstance(old[key], dict):
            yield from _compare(old[key], value, here)
        elif value != old[key]:
            yield Change(ChangeKind.CHANGED, here, old[key], value)


def _text(value: Plain) -> str:
    if isinstance(value, str):
        return value
    return json.dumps(value)
