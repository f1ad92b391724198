"""Errors found in configuration and settings files."""

import dataclasses

from cyclamenridge import errors

NOTHING = "nothing"

_MAX_VALUE_CHARS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One error in a file.

    :param line: line in the file, counted from 1
    :param key: dotted path of the key, empty for the whole file
    :param found: what the file contains there
    :param allowed: which values are valid there
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
    """An invalid file; ``findings`` holds all its errors in line order."""

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        self.findings = tuple(
            sorted(findings, key=lambda finding: (finding.line, finding.key))
        )
        super().__init__("\n".join(str(finding) for finding in self.findings))


def format_value(value: object) -> str:
    """Format a value for a finding: one line, shortened if it is long."""
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    if value is None:
        return NOTHING
    if isinstance(value, bool):
        return "true" if value else "false"
    text = repr(value)
    if len(text) > _MAX_VALUE_CHARS:
        text = text[: _MAX_VALUE_CHARS - 3] + "..."
    return text


def deduplicate(
    findings: list[Finding],
) -> tuple[Finding, ...]:
    """Remove duplicate findings and keep the order.

    A value that the YAML reader could not convert already has a finding. It
    is null in the data, so the schema may report it again as nothing; that
    second finding is removed too.
    """
    reported: set[tuple[int, str]] = set()
    unique = []
    for finding in findings:
        location = (finding.line, finding.key)
        if finding.found == NOTHING and location in reported:
            continue
        reported.add(location)
        unique.append(finding)
    return tuple(dict.fromkeys(unique))
