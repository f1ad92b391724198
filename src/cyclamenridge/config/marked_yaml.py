"""YAML by the safe loader, with the line of each key."""

from collections.abc import Iterator
import contextlib
import dataclasses
import math

import yaml

from cyclamenridge.config import findings as findings_lib

# The store takes values of 1 MB, and a body grows when it is encoded.
MAX_BYTES = 900_000
# The configuration needs 6 levels; the composer recurses for each level.
MAX_DEPTH = 16
ROOT_KEY = ()

_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_SCALAR_TAGS = {
    f"tag:yaml.org,2002:{name}"
    for name in ("str", "int", "float", "bool", "null")
}
_STRING_TAG = "tag:yaml.org,2002:str"
_START_EVENTS = (yaml.MappingStartEvent, yaml.SequenceStartEvent)
_END_EVENTS = (yaml.MappingEndEvent, yaml.SequenceEndEvent)

Path = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MarkedYaml:
    """Content of a YAML file.

    :param data: mappings, lists and scalars without marks
    :param lines: line of each path, counted from 1
    :param findings: errors that leave the rest of the file readable
    :param root: the node of the top-level mapping
    """

    source: str
    data: dict[str, object]
    lines: dict[Path, int]
    findings: tuple[findings_lib.Finding, ...]
    root: yaml.MappingNode

    def finding(
        self, path: Path, found: str, allowed: str
    ) -> findings_lib.Finding:
        """Return a finding at the nearest known line of a path."""
        known = path
        while known and known not in self.lines:
            known = known[:-1]
        return findings_lib.Finding(
            self.source,
            self.lines.get(known, 1),
            dotted(path),
            found,
            allowed,
        )


def dotted(path: Path) -> str:
    """Return a path as text with dots, without line breaks."""
    parts = []
    for part in path:
        text = str(part)
        if not text.isprintable() or not text:
            text = repr(text)
        parts.append(text[:80])
    return ".".join(parts)


def load(text: str, *, source: str) -> MarkedYaml:
    """Read a YAML mapping; raise InvalidConfigError when there is none."""
    _check_size(text, source)
    with _syntax_errors(source):
        _check_events(text, source)
        root = yaml.compose(text, Loader=_LOADER)
    if not isinstance(root, yaml.MappingNode):
        line = root.start_mark.line + 1 if root else 1
        found = "no mapping" if root else "an empty file"
        raise _invalid(source, line, found, "a mapping of keys to values")
    reader = _Reader(source)
    data = reader.read_mapping(root, ROOT_KEY)
    return MarkedYaml(source, data, reader.lines, tuple(reader.findings), root)


def _invalid(
    source: str, line: int, found: str, allowed: str
) -> findings_lib.InvalidConfigError:
    return findings_lib.InvalidConfigError(
        (findings_lib.Finding(source, line, "", found, allowed),)
    )


@contextlib.contextmanager
def _syntax_errors(source: str) -> Iterator[None]:
    try:
        yield
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        problem = getattr(exc, "problem", None) or getattr(
            exc, "reason", "unreadable text"
        )
        raise _invalid(
            source,
            mark.line + 1 if mark else 1,
            f"a YAML error, {' '.join(str(problem).split())}",
            "well-formed YAML, one document",
        ) from exc


def _check_size(text: str, source: str) -> None:
    try:
        size = len(text.encode())
    except UnicodeError as exc:
        raise _invalid(
            source, 1, "text that is not Unicode", "UTF-8 text"
        ) from exc
    if size > MAX_BYTES:
        raise _invalid(
            source, 1, f"{size} bytes", f"at most {MAX_BYTES} bytes"
        )


def _check_events(text: str, source: str) -> None:
    """Refuse aliases and deep nesting before the composer recurses."""
    depth = 0
    for event in yaml.parse(text, Loader=_LOADER):
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            raise _invalid(
                source, line, f"the alias *{event.anchor}", "no aliases"
            )
        if isinstance(event, _START_EVENTS):
            depth += 1
            if depth > MAX_DEPTH:
                raise _invalid(
                    source,
                    line,
                    f"more than {MAX_DEPTH} levels",
                    f"at most {MAX_DEPTH} levels",
                )
        elif isinstance(event, _END_EVENTS):
            depth -= 1


class _Reader:
    """Turns nodes into plain values and remembers their lines."""

    def __init__(self, source: str) -> None:
        self.lines: dict[Path, int] = {}
        self.findings: list[findings_lib.Finding] = []
        self._source = source
        self._constructor = yaml.constructor.SafeConstructor()

    def read_mapping(
        self, node: yaml.MappingNode, path: Path
    ) -> dict[str, object]:
        self.lines.setdefault(path, node.start_mark.line + 1)
        data: dict[str, object] = {}
        first_lines: dict[str, int] = {}
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            key = self._key(key_node, path)
            if key is None:
                continue
            key_path = (*path, key)
            if key in data:
                self._add(
                    line,
                    key_path,
                    f"the key again after line {first_lines[key]}",
                    "each key once",
                )
                continue
            first_lines[key] = line
            self.lines[key_path] = line
            data[key] = self._value(value_node, key_path)
        return data

    def _key(self, node: yaml.Node, path: Path) -> str | None:
        if isinstance(node, yaml.ScalarNode) and node.tag == _STRING_TAG:
            return node.value
        if isinstance(node, yaml.ScalarNode):
            found = f"the key {findings_lib.shown(node.value)}"
        else:
            found = "a key that is a mapping or a list"
        self._add(
            node.start_mark.line + 1,
            path,
            found,
            "a string as key, in quotes if it reads as another type",
        )
        return None

    def _value(self, node: yaml.Node, path: Path) -> object:
        if isinstance(node, yaml.MappingNode):
            return self.read_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            items = []
            for index, item in enumerate(node.value):
                item_path = (*path, index)
                self.lines[item_path] = item.start_mark.line + 1
                items.append(self._value(item, item_path))
            return items
        return self._scalar(node, path)

    def _scalar(self, node: yaml.ScalarNode, path: Path) -> object:
        value = None
        if node.tag in _SCALAR_TAGS:
            # Also KeyError: "!!bool x" is looked up in a table.
            with contextlib.suppress(ValueError, KeyError, IndexError):
                value = self._constructor.construct_object(node)
                if _is_plain(value):
                    return value
        self._add(
            node.start_mark.line + 1,
            path,
            findings_lib.shown(node.value),
            "a string, a finite number, true or false",
        )
        return None

    def _add(self, line: int, path: Path, found: str, allowed: str) -> None:
        self.findings.append(
            findings_lib.Finding(
                self._source, line, dotted(path), found, allowed
            )
        )


def _is_plain(value: object) -> bool:
    """Tell whether a scalar can be written as JSON."""
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, str):
        return not any("\ud800" <= char <= "\udfff" for char in value)
    return True
