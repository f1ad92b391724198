"""YAML by the safe loader, with the line of each key."""

from collections.abc import Iterator
import contextlib
import dataclasses
import math

import yaml

from cyclamenridge.config import findings as findings_lib

# The store takes values of 1 MB, and a body grows when it is encoded.
MAX_BYTES = 900_000
# The configuration needs 6 levels; the reader recurses for each level.
MAX_DEPTH = 16

_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_SCALAR_TAGS = {
    f"tag:yaml.org,2002:{name}"
    for name in ("str", "int", "float", "bool", "null")
}

Path = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyPlace:
    """Where a key stands; lines and columns are counted from 0."""

    key: str | None
    line: int
    column: int
    last_line: int


@dataclasses.dataclass(frozen=True, slots=True)
class MarkedYaml:
    """Content of a YAML file.

    :param data: mappings, lists and scalars without marks
    :param lines: line of each path, counted from 1
    :param findings: errors that leave the rest of the file readable
    :param flow_style: the whole file is a mapping in braces
    :param first_key: place of the first key, None in an empty mapping
    """

    source: str
    data: dict[str, object]
    lines: dict[Path, int]
    findings: tuple[findings_lib.Finding, ...]
    flow_style: bool
    first_key: "KeyPlace | None"

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
    reader = _Reader(text, source)
    with _syntax_errors(source):
        return reader.read()


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


class _Reader:
    """Turns the events of the parser into plain values and their lines.

    The composer of PyYAML would build a node for each value, follow
    aliases and recurse as deep as the file goes.
    """

    def __init__(self, text: str, source: str) -> None:
        self._text = text
        self._source = source
        self._lines: dict[Path, int] = {}
        self._findings: list[findings_lib.Finding] = []
        self._resolver = yaml.resolver.Resolver()
        self._constructor = yaml.constructor.SafeConstructor()
        self._scalars: dict[tuple[object, ...], tuple[bool, object]] = {}
        self._events: Iterator[yaml.Event] = iter(())
        self._first_key: KeyPlace | None = None

    def read(self) -> MarkedYaml:
        self._events = yaml.parse(self._text, Loader=_LOADER)
        next(self._events)  # start of the stream
        event = next(self._events)
        if isinstance(event, yaml.DocumentStartEvent):
            event = next(self._events)
        if not isinstance(event, yaml.MappingStartEvent):
            empty = isinstance(event, yaml.StreamEndEvent)
            raise _invalid(
                self._source,
                event.start_mark.line + 1,
                "an empty file" if empty else "no mapping",
                "a mapping of keys to values",
            )
        flow_style = bool(event.flow_style)
        data = self._mapping(event, ())
        next(self._events)  # end of the document
        event = next(self._events)
        if not isinstance(event, yaml.StreamEndEvent):
            raise _invalid(
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

    def _mapping(
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
            key = self._key(event, path)
            # The value of an unusable key is read to find its end.
            key_path = (*path, "?" if key is None else key)
            is_new = key is not None and key not in data
            if is_new:
                first_lines[key] = line
                self._lines[key_path] = line
            elif key is not None:
                self._add(
                    line,
                    key_path,
                    f"the key again after line {first_lines[key]}",
                    "each key once",
                )
            value, last_line = self._value(next(self._events), key_path)
            if not path and self._first_key is None:
                self._first_key = KeyPlace(
                    key, mark.line, mark.column, last_line
                )
            if is_new:
                data[key] = value

    def _sequence(
        self, start: yaml.SequenceStartEvent, path: Path
    ) -> list[object]:
        items: list[object] = []
        while True:
            event = next(self._events)
            if isinstance(event, yaml.SequenceEndEvent):
                return items
            item_path = (*path, len(items))
            self._lines[item_path] = event.start_mark.line + 1
            items.append(self._value(event, item_path)[0])

    def _value(self, event: yaml.Event, path: Path) -> tuple[object, int]:
        """Return a value and its last line, for scalars only."""
        if isinstance(event, yaml.ScalarEvent):
            return self._scalar(event, path), event.end_mark.line
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            raise _invalid(
                self._source, line, f"the alias *{event.anchor}", "no aliases"
            )
        if len(path) >= MAX_DEPTH:
            raise _invalid(
                self._source,
                line,
                f"more than {MAX_DEPTH} levels",
                f"at most {MAX_DEPTH} levels",
            )
        if isinstance(event, yaml.MappingStartEvent):
            return self._mapping(event, path), -1
        return self._sequence(event, path), -1

    def _key(self, event: yaml.Event, path: Path) -> str | None:
        line = event.start_mark.line + 1
        if isinstance(event, yaml.ScalarEvent):
            readable, value = self._read_scalar(event)
            if readable and isinstance(value, str):
                return value
            found = f"the key {findings_lib.format_value(event.value)}"
        else:
            self._value(event, (*path, "?"))
            found = "a key that is a mapping or a list"
        self._add(
            line,
            path,
            found,
            "a string as key, in quotes if it reads as another type",
        )
        return None

    def _scalar(self, event: yaml.ScalarEvent, path: Path) -> object:
        readable, value = self._read_scalar(event)
        if not readable:
            self._add(
                event.start_mark.line + 1,
                path,
                findings_lib.format_value(event.value),
                "a string, a finite number, true or false",
            )
        return value

    def _read_scalar(self, event: yaml.ScalarEvent) -> tuple[bool, object]:
        """Return whether a scalar has a plain value, and that value."""
        # Most values of a large file occur many times.
        known = (event.value, event.tag, event.implicit)
        if known not in self._scalars:
            self._scalars[known] = self._construct(event)
        return self._scalars[known]

    def _construct(self, event: yaml.ScalarEvent) -> tuple[bool, object]:
        tag = event.tag
        if tag is None or tag == "!":
            tag = self._resolver.resolve(
                yaml.ScalarNode, event.value, event.implicit
            )
        if tag in _SCALAR_TAGS:
            node = yaml.ScalarNode(tag, event.value)
            # Also KeyError: "!!bool x" is looked up in a table.
            with contextlib.suppress(ValueError, KeyError, IndexError):
                value = self._constructor.construct_object(node)
                if _is_plain(value):
                    return True, value
        return False, None

    def _add(self, line: int, path: Path, found: str, allowed: str) -> None:
        self._findings.append(
            findings_lib.Finding(
                self._source, line, dotted(path), found, allowed
            )
        )


def _is_plain(value: object) -> bool:
    """Tell whether a scalar can be written as JSON."""
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, str) and not value.isascii():
        return not any("\ud800" <= char <= "\udfff" for char in value)
    return True
