"""Reads YAML into plain data and records the line of each key and item.

PyYAML calls a source position a mark.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import math

import yaml

from cyclamenridge.config import findings as findings_lib

# The store accepts values of up to 1 MB, and encoding enlarges a body.
MAX_BYTES = 900_000
# Nested mappings and lists. The configuration needs 6 levels; the reader
# recurses for each level.
MAX_DEPTH = 16
# What findings about a key that occurs again allow.
EACH_KEY_ONCE = "each key once"

_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_SCALAR_TAGS = {
    f"tag:yaml.org,2002:{name}"
    for name in ("str", "int", "float", "bool", "null")
}

Path = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyPosition:
    """Position of a key and its value; counted from 0.

    :param key: None if it is not a string
    :param last_line: line where the value ends, -1 for a mapping or list
    """

    key: str | None
    line: int
    column: int
    last_line: int


@dataclasses.dataclass(frozen=True, slots=True)
class MarkedYaml:
    """Content of a YAML file.

    :param data: mappings, lists and scalars without positions
    :param lines: line of each path, counted from 1
    :param findings: errors after which the rest of the file can be read
    :param flow_style: the top-level mapping is written in braces
    :param first_key: position of the first key, None in an empty mapping
    """

    source: str
    data: dict[str, object]
    lines: dict[Path, int]
    findings: tuple[findings_lib.Finding, ...]
    flow_style: bool
    first_key: "KeyPosition | None"

    def make_finding(
        self, path: Path, found: str, allowed: str
    ) -> findings_lib.Finding:
        """Return a finding at the line of a path.

        A path that is not in the file gets the line of its nearest parent.
        """
        known_path = path
        while known_path and known_path not in self.lines:
            known_path = known_path[:-1]
        return findings_lib.Finding(
            self.source,
            self.lines.get(known_path, 1),
            format_path(path),
            found,
            allowed,
        )


def format_path(path: Path) -> str:
    """Format a path as one line, with dots between its parts."""
    parts = []
    for part in path:
        name = str(part)
        if not name.isprintable() or not name:
            name = repr(name)
        parts.append(name[:80])
    return ".".join(parts)


def load(text: str, *, source: str) -> MarkedYaml:
    """Read a YAML file whose top level is a mapping.

    :raises InvalidConfigError: if the file cannot be read to its end
    """
    _check_text(text, source)
    reader = _Reader(text, source)
    with _convert_yaml_errors(source):
        return reader.read()


def _make_error(
    source: str, line: int, found: str, allowed: str
) -> findings_lib.InvalidConfigError:
    return findings_lib.InvalidConfigError(
        (findings_lib.Finding(source, line, "", found, allowed),)
    )


@contextlib.contextmanager
def _convert_yaml_errors(source: str) -> Iterator[None]:
    try:
        yield
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        problem = getattr(exc, "problem", None) or getattr(
            exc, "reason", "unreadable text"
        )
        raise _make_error(
            source,
            mark.line + 1 if mark else 1,
            f"a YAML error, {' '.join(str(problem).split())}",
            "well-formed YAML, one document",
        ) from exc


def _check_text(text: str, source: str) -> None:
    try:
        size = len(text.encode())
    except UnicodeError as exc:
        raise _make_error(
            source, 1, "text that is not Unicode", "UTF-8 text"
        ) from exc
    if size > MAX_BYTES:
        raise _make_error(
            source, 1, f"{size} bytes", f"at most {MAX_BYTES} bytes"
        )


class _Reader:
    """Converts the events of PyYAML's parser to plain values and lines.

    PyYAML's composer is not used because it builds a node for each value,
    follows aliases and recurses without a limit on the depth.
    """

    def __init__(self, text: str, source: str) -> None:
        self._text = text
        self._source = source
        self._lines: dict[Path, int] = {}
        self._findings: list[findings_lib.Finding] = []
        self._resolver = yaml.resolver.Resolver()
        self._constructor = yaml.constructor.SafeConstructor()
        self._converted_scalars: dict[
            tuple[object, ...], tuple[bool, object]
        ] = {}
        self._events: Iterator[yaml.Event] = iter(())
        self._first_key: KeyPosition | None = None

    def read(self) -> MarkedYaml:
        self._events = yaml.parse(self._text, Loader=_LOADER)
        next(self._events)  # start of the stream
        event = next(self._events)
        if isinstance(event, yaml.DocumentStartEvent):
            event = next(self._events)
        if not isinstance(event, yaml.MappingStartEvent):
            is_empty = isinstance(event, yaml.StreamEndEvent)
            raise _make_error(
                self._source,
                event.start_mark.line + 1,
                "an empty file" if is_empty else "no mapping",
                "a mapping of keys to values",
            )
        flow_style = bool(event.flow_style)
        data = self._read_mapping(event, ())
        next(self._events)  # end of the document
        event = next(self._events)
        if not isinstance(event, yaml.StreamEndEvent):
            raise _make_error(
                self._source,
                event.start_mark.line + 1,
                "a second document",
                "one document",
            )
        return MarkedYaml(
            self._source,
            data,
            self._lines,
            tuple(self._findings),
            flow_style,
            self._first_key,
        )

    def _read_mapping(
        self, start: yaml.MappingStartEvent, path: Path
    ) -> dict[str, object]:
        self._lines.setdefault(path, start.start_mark.line + 1)
        data: dict[str, object] = {}
        first_lines: dict[str, int] = {}
        while True:
            event = next(self._events)
            if isinstance(event, yaml.MappingEndEvent):
                return data
            mark = event.start_mark
            line = mark.line + 1
            key = self._read_key(event, path)
            # The value of an invalid key is read to find where it ends.
            key_path = (*path, "?" if key is None else key)
            is_new = key is not None and key not in data
            if is_new:
                first_lines[key] = line
                self._lines[key_path] = line
            elif key is not None:
                self._add_finding(
                    line,
                    key_path,
                    f"the key again after line {first_lines[key]}",
                    EACH_KEY_ONCE,
                )
            value, last_line = self._read_value(next(self._events), key_path)
            if not path and self._first_key is None:
                self._first_key = KeyPosition(
                    key, mark.line, mark.column, last_line
                )
            if is_new:
                data[key] = value

    def _read_sequence(
        self, start: yaml.SequenceStartEvent, path: Path
    ) -> list[object]:
        items: list[object] = []
        while True:
            event = next(self._events)
            if isinstance(event, yaml.SequenceEndEvent):
                return items
            item_path = (*path, len(items))
            self._lines[item_path] = event.start_mark.line + 1
            items.append(self._read_value(event, item_path)[0])

    def _read_value(self, event: yaml.Event, path: Path) -> tuple[object, int]:
        """Return a value and its last line, -1 if it is not a scalar."""
        if isinstance(event, yaml.ScalarEvent):
            return self._read_scalar_value(event, path), event.end_mark.line
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            raise _make_error(
                self._source, line, f"the alias *{event.anchor}", "no aliases"
            )
        if len(path) >= MAX_DEPTH:
            raise _make_error(
                self._source,
                line,
                f"more than {MAX_DEPTH} levels",
                f"at most {MAX_DEPTH} levels",
            )
        if isinstance(event, yaml.MappingStartEvent):
            return self._read_mapping(event, path), -1
        return self._read_sequence(event, path), -1

    def _read_key(self, event: yaml.Event, path: Path) -> str | None:
        line = event.start_mark.line + 1
        if isinstance(event, yaml.ScalarEvent):
            is_convertible, value = self._convert_scalar(event)
            if is_convertible and isinstance(value, str):
                return value
            found = f"the key {findings_lib.format_value(event.value)}"
        else:
            self._read_value(event, (*path, "?"))
            found = "a key that is a mapping or a list"
        self._add_finding(
            line,
            path,
            found,
            "a string as key, in quotes if it reads as another type",
        )
        return None

    def _read_scalar_value(
        self, event: yaml.ScalarEvent, path: Path
    ) -> object:
        is_convertible, value = self._convert_scalar(event)
        if not is_convertible:
            self._add_finding(
                event.start_mark.line + 1,
                path,
                findings_lib.format_value(event.value),
                "a string, a finite number, true or false",
            )
        return value

    def _convert_scalar(self, event: yaml.ScalarEvent) -> tuple[bool, object]:
        """Return whether a scalar has a plain value, and that value."""
        # Cached because most values of a large file occur many times.
        cache_key = (event.value, event.tag, event.implicit)
        if cache_key not in self._converted_scalars:
            self._converted_scalars[cache_key] = self._construct_scalar(event)
        return self._converted_scalars[cache_key]

    def _construct_scalar(
        self, event: yaml.ScalarEvent
    ) -> tuple[bool, object]:
        tag = event.tag
        if tag is None or tag == "!":
            tag = self._resolver.resolve(
                yaml.ScalarNode, event.value, event.implicit
            )
        if tag in _SCALAR_TAGS:
            node = yaml.ScalarNode(tag, event.value)
            # The constructor of !!bool raises KeyError for other words, and
            # that of !!int IndexError for an empty text.
            with contextlib.suppress(ValueError, KeyError, IndexError):
                value = self._constructor.construct_object(node)
                if _is_json_scalar(value):
                    return True, value
        return False, None

    def _add_finding(
        self, line: int, path: Path, found: str, allowed: str
    ) -> None:
        self._findings.append(
            findings_lib.Finding(
                self._source, line, format_path(path), found, allowed
            )
        )


def _is_json_scalar(value: object) -> bool:
    """Return whether a scalar can be encoded as JSON in UTF-8."""
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, str) and not value.isascii():
        return not any("\ud800" <= char <= "\udfff" for char in value)
    return True
