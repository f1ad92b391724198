"""Output of the config commands: lines or JSON, and exit codes."""

from collections.abc import Iterator
import contextlib
import enum
import json
from typing import NoReturn

import typer

from cyclamenridge.config import diff
from cyclamenridge.config import document as document_lib
from cyclamenridge.config import findings as findings_lib
from cyclamenridge.config import operator as operator_lib
import cyclamenridge.errors as errors

Outcome = operator_lib.Outcome


class ExitCode(enum.IntEnum):
    """Exit codes of these commands."""

    DONE = 0
    USAGE = 2
    INVALID_FILE = 3
    CONFLICT = 4
    NOT_APPLIED = 5
    UNKNOWN = 6


EXIT_CODES = {
    Outcome.APPLIED: ExitCode.DONE,
    Outcome.UNCHANGED: ExitCode.DONE,
    Outcome.CONFLICT: ExitCode.CONFLICT,
    Outcome.NOT_APPLIED: ExitCode.NOT_APPLIED,
    Outcome.UNKNOWN: ExitCode.UNKNOWN,
}


@contextlib.contextmanager
def reported(
    as_json: bool,
    *,
    unreadable: ExitCode = ExitCode.NOT_APPLIED,
    stored: bool = False,
    prefix: str = "",
) -> Iterator[None]:
    """Turn errors into one line each and an exit code.

    :param unreadable: exit code when the store cannot be read
    :param stored: the checked file is the stored one
    :param prefix: begins the line about a store that cannot be read
    """
    try:
        yield
    except document_lib.DocumentError as exc:
        fail(unreadable, f"{prefix}stored document: {exc}", as_json)
    except findings_lib.InvalidConfigError as exc:
        code = ExitCode.NOT_APPLIED if stored else ExitCode.INVALID_FILE
        if as_json:
            write_json(
                {
                    "outcome": "invalid",
                    "exit_code": code,
                    "findings": [_finding(item) for item in exc.findings],
                }
            )
        else:
            for item in exc.findings:
                typer.echo(str(item), err=True)
        raise typer.Exit(code) from exc
    except document_lib.BodyTooLongError as exc:
        fail(ExitCode.INVALID_FILE, str(exc), as_json)
    except errors.ConfigError as exc:
        fail(ExitCode.USAGE, str(exc), as_json)
    except errors.StoreError as exc:
        fail(unreadable, f"{prefix}{exc}", as_json)
    except OSError as exc:
        fail(ExitCode.USAGE, str(exc), as_json)


def fail(
    code: ExitCode, text: str, as_json: bool, **values: object
) -> NoReturn:
    """Write one line about an error and end the command."""
    line = " ".join(text.split())
    if as_json:
        write_json({"error": line, "exit_code": code} | values)
    else:
        typer.echo(f"error: {line}", err=True)
    raise typer.Exit(code)


def _finding(finding: findings_lib.Finding) -> dict[str, object]:
    return {
        "file": finding.file,
        "line": finding.line,
        "key": finding.key,
        "found": finding.found,
        "allowed": finding.allowed,
    }


def change_values(change: diff.Change) -> dict[str, object]:
    """Return a change for JSON."""
    return {
        "kind": change.kind.value,
        "path": list(change.path),
        "old": change.old,
        "new": change.new,
    }


def write_json(value: dict[str, object]) -> None:
    """Write one JSON object to standard output."""
    typer.echo(json.dumps(value))
