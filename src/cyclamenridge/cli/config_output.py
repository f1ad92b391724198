"""Output of the config commands as text or JSON, and their exit codes."""

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
    """Exit codes of the config commands."""

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
def exit_on_error(
    as_json: bool,
    *,
    store_error_code: ExitCode = ExitCode.NOT_APPLIED,
    is_stored_file: bool = False,
    store_error_prefix: str = "",
) -> Iterator[None]:
    """Print each error on one line and exit with the matching code.

    :param store_error_code: exit code when the store cannot be read
    :param is_stored_file: the checked file is the stored one
    :param store_error_prefix: precedes the error when the store cannot be read
    """
    try:
        yield
    except document_lib.DocumentError as exc:
        fail(
            store_error_code,
            f"{store_error_prefix}stored document: {exc}",
            as_json,
        )
    except findings_lib.InvalidConfigError as exc:
        code = (
            ExitCode.NOT_APPLIED if is_stored_file else ExitCode.INVALID_FILE
        )
        if as_json:
            print_json(
                {
                    "outcome": "invalid",
                    "exit_code": code,
                    "findings": [
                        finding_fields(item) for item in exc.findings
                    ],
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
        fail(store_error_code, f"{store_error_prefix}{exc}", as_json)
    except OSError as exc:
        fail(ExitCode.USAGE, str(exc), as_json)


def fail(
    code: ExitCode, message: str, as_json: bool, **extra_fields: object
) -> NoReturn:
    """Print an error on one line and exit.

    :param extra_fields: added to the JSON object
    """
    line = " ".join(message.split())
    if as_json:
        print_json({"error": line, "exit_code": code} | extra_fields)
    else:
        typer.echo(f"error: {line}", err=True)
    raise typer.Exit(code)


def finding_fields(finding: findings_lib.Finding) -> dict[str, object]:
    """Return the fields of a finding for JSON output."""
    return {
        "file": finding.file,
        "line": finding.line,
        "key": finding.key,
        "found": finding.found,
        "allowed": finding.allowed,
    }


def change_fields(change: diff.Change) -> dict[str, object]:
    """Return the fields of a change for JSON output."""
    return {
        "kind": change.kind.value,
        "path": list(change.path),
        "old": change.old,
        "new": change.new,
    }


def print_json(value: dict[str, object]) -> None:
    """Print a JSON object on one line to standard output."""
    typer.echo(json.dumps(value))
