"""Findings about configuration and settings files."""

import dataclasses

from cyclamenridge import errors

NOTHING = "nothing"

_SHOWN_CHARS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One error in a file.

    :param line: line in the file, counted from 1
    :param key: path of the key with dots, empty for the whole file
    :param found: what the file has there
    :param allowed: what it may have there
    """

    file: str
    line: int
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        key = f"{self.key}: " if self.key else ""
        return (
            f"{self.file}:{self.line}: {key}found {self.found}; "
            f"allowed: {self.allowed}"
        )


class InvalidConfigError(errors.ConfigError):
    """A file with errors; carries all of them in the order of the lines."""

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        self.findings = tuple(
            sorted(findings, key=lambda found: (found.line, found.key))
        )
        super().__init__("\n".join(str(found) for found in self.findings))


def shown(value: object) -> str:
    """Return a value as short text without line breaks."""
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    if value is None:
        return NOTHING
    if isinstance(value, bool):
        return "true" if value else "false"
    text = repr(value)
    if len(text) > _SHOWN_CHARS:
        text = text[: _SHOWN_CHARS - 3] + "..."
    return text


def once(
    found: list[Finding],
) -> tuple[Finding, ...]:
    """Drop what the schema says about values that YAML could not read.

    Such a value is null in the data and has a finding of its own already.
    """
    reported: set[tuple[int, str]] = set()
    unique = []
    for item in found:
        place = (item.line, item.key)
        if item.found == NOTHING and place in reported:
            continue
        reported.add(place)
        unique.append(item)
    return tuple(dict.fromkeys(unique))
