"""Commands for the operators' configuration."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import enum
import json
import pathlib
import random
import shlex
import sys
from typing import Annotated
from typing import NoReturn

import typer

from cyclamenridge.adapters import etcd
import cyclamenridge.clock as clock_lib
from cyclamenridge.config import diff
from cyclamenridge.config import document as document_lib
from cyclamenridge.config import findings as findings_lib
from cyclamenridge.config import loader
from cyclamenridge.config import operator as operator_lib
import cyclamenridge.errors as errors

Outcome = operator_lib.Outcome

app = typer.Typer(
    help="Check, apply and show the configuration.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


class ExitCode(enum.IntEnum):
    """Exit codes of these commands."""

    DONE = 0
    USAGE = 2
    INVALID_FILE = 3
    CONFLICT = 4
    NOT_APPLIED = 5
    UNKNOWN = 6


_EXIT_CODES = {
    Outcome.APPLIED: ExitCode.DONE,
    Outcome.UNCHANGED: ExitCode.DONE,
    Outcome.CONFLICT: ExitCode.CONFLICT,
    Outcome.NOT_APPLIED: ExitCode.NOT_APPLIED,
    Outcome.UNKNOWN: ExitCode.UNKNOWN,
}

File = Annotated[
    pathlib.Path,
    typer.Argument(
        exists=True,
        dir_okay=False,
        readable=True,
        allow_dash=True,
        help="Configuration file; - reads standard input.",
    ),
]
StoreUrls = Annotated[
    list[str],
    typer.Option(
        "--store",
        envvar="CYCLAMENRIDGE_STORE",
        help="Endpoint of the store; may be repeated.",
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Write one JSON object.")]
Wait = Annotated[
    float,
    typer.Option(
        min=0,
        max=600,
        help="Seconds to find out the result when an answer is lost.",
    ),
]
DEFAULT_WAIT_S = operator_lib.DEFAULT_WAIT_MS / 1000


@app.command()
def check(file: File, as_json: Json = False) -> None:
    """Check a file without the store."""
    with _errors(as_json):
        read = _read_file(file)
    if as_json:
        _write_json({"outcome": "valid", "exit_code": 0})
    else:
        typer.echo(f"{file}: valid, deployment {read.config.deployment}")


@app.command()
def apply(
    file: File,
    store: StoreUrls,
    base: Annotated[
        int | None,
        typer.Option(min=0, help="Revision that the file is based on."),
    ] = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: Json = False,
) -> None:
    """Apply a file as the next revision."""
    with _errors(as_json):
        read = _read_file(file)
    if None not in (base, read.based_on) and base != read.based_on:
        _fail(
            ExitCode.USAGE,
            f"--base {base} and based_on {read.based_on} of the file differ",
            as_json,
        )
    operator: operator_lib.Operator | None = None

    async def operate(opened: operator_lib.Operator) -> object:
        nonlocal operator
        operator = opened
        return await opened.apply(read, base=base)

    try:
        with _errors(as_json, prefix="not applied: "):
            result = _with_operator(store, operate, wait_s=wait)
    except KeyboardInterrupt:
        apply_id = operator.pending_apply_id if operator else None
        if apply_id is None:
            _fail(ExitCode.NOT_APPLIED, "interrupted", as_json)
        _fail(
            ExitCode.UNKNOWN,
            f"interrupted; {_find_out(store, apply_id)}",
            as_json,
            apply_id=apply_id,
        )
    _report(result, store, as_json)


@app.command()
def show(
    store: StoreUrls,
    revision_header: Annotated[
        bool, typer.Option(help="Write based_on as the first key.")
    ] = True,
    apply_id: Annotated[
        str | None,
        typer.Option(help="Tell what became of this apply operation."),
    ] = None,
    as_json: Json = False,
) -> None:
    """Show the stored file, or what became of an apply operation."""
    if apply_id is not None:
        _show_apply_id(store, apply_id, as_json)
        return
    document = _stored_document(store, as_json)
    body = document.body
    if as_json:
        _write_json(
            {
                "revision": document.revision,
                "digest": document.digest,
                "apply_id": document.apply_id,
                "body": body,
            }
        )
        return
    if revision_header:
        body = loader.with_based_on(body, document.revision)
    sys.stdout.write(body)


@app.command("diff")
def diff_command(file: File, store: StoreUrls, as_json: Json = False) -> None:
    """Show what a file would change."""
    with _errors(as_json):
        read = _read_file(file)
    document = _stored_document(store, as_json)
    with _errors(as_json, stored=True):
        stored = loader.parse(document.body, source="<stored>")
    changes = diff.compare(stored, read.config)
    if as_json:
        _write_json(
            {
                "revision": document.revision,
                "changes": [_change(change) for change in changes],
            }
        )
        return
    for change in changes:
        typer.echo(str(change))


@app.command()
def history(store: StoreUrls, as_json: Json = False) -> None:
    """List the newest revisions with their apply ids."""
    document = _stored_document(store, as_json)
    entries = ((document.revision, document.apply_id), *document.history)
    if as_json:
        _write_json(
            {
                "history": [
                    {"revision": revision, "apply_id": apply_id}
                    for revision, apply_id in entries
                ]
            }
        )
        return
    for revision, apply_id in entries:
        typer.echo(f"{revision} {apply_id}")


def _read_file(path: pathlib.Path) -> loader.ConfigFile:
    """Read and check a file.

    :raises InvalidConfigError: with all findings
    """
    name = str(path)
    data = sys.stdin.buffer.read() if name == "-" else path.read_bytes()
    try:
        text = data.decode()
    except UnicodeError as exc:
        line = data[: exc.start].count(b"\n") + 1
        raise findings_lib.InvalidConfigError(
            (
                findings_lib.Finding(
                    name, line, "", "bytes that are not UTF-8", "UTF-8 text"
                ),
            )
        ) from exc
    return loader.parse_file(text, source=name)


def _with_operator(
    urls: list[str],
    operate: Callable[[operator_lib.Operator], Awaitable[object]],
    *,
    wait_s: float = DEFAULT_WAIT_S,
) -> object:
    async def run() -> object:
        store = etcd.EtcdStore(tuple(urls))
        try:
            return await operate(
                operator_lib.Operator(
                    store,
                    clock=clock_lib.MonotonicClock(),
                    rng=random.SystemRandom(),
                    wait_ms=int(wait_s * 1000),
                )
            )
        finally:
            await store.close()

    return asyncio.run(run())


def _stored_document(urls: list[str], as_json: bool) -> document_lib.Document:
    with _errors(as_json):
        stored = _with_operator(urls, lambda operator: operator.read())
    if stored.document is None:
        _fail(
            ExitCode.NOT_APPLIED, "no configuration was applied yet", as_json
        )
    return stored.document


def _show_apply_id(urls: list[str], apply_id: str, as_json: bool) -> None:
    with _errors(as_json, unreadable=ExitCode.UNKNOWN):
        found = _with_operator(
            urls, lambda operator: operator.resolve(apply_id)
        )
    code = _EXIT_CODES[found.outcome]
    if as_json:
        _write_json(
            {
                "outcome": found.outcome.value,
                "revision": found.revision,
                "reason": found.reason,
                "exit_code": code,
            }
        )
        raise typer.Exit(code)
    if code is ExitCode.DONE:
        typer.echo(f"applied as revision {found.revision}")
        return
    text = "not applied" if code is ExitCode.NOT_APPLIED else "not yet known"
    _fail(code, f"{text}: {found.reason}", as_json)


def _report(
    result: operator_lib.ApplyResult, urls: list[str], as_json: bool
) -> None:
    code = _EXIT_CODES[result.outcome]
    if as_json:
        _write_json(
            {
                "outcome": result.outcome.value,
                "revision": result.revision,
                "base": result.base,
                "apply_id": result.apply_id,
                "reason": result.reason,
                "changes": [_change(change) for change in result.changes],
                "since_base": result.since_base,
                "exit_code": code,
            }
        )
        raise typer.Exit(code)
    if code is ExitCode.DONE:
        applied = result.outcome is Outcome.APPLIED
        note = f" (apply id {result.apply_id})" if applied else ""
        typer.echo(f"revision {result.revision} {result.outcome}{note}")
        for change in result.changes:
            typer.echo(str(change))
        return
    if code is ExitCode.CONFLICT:
        begin = (
            f"changes since revision {result.base}"
            if result.since_base
            else "differences from the file to the store"
        )
        typer.echo(f"error: conflict: {result.reason}; {begin}:", err=True)
        for change in result.changes:
            typer.echo(str(change), err=True)
        raise typer.Exit(code)
    if code is ExitCode.NOT_APPLIED:
        _fail(code, f"not applied: {result.reason}", as_json)
    _fail(
        code,
        f"not yet known whether the file was applied: {result.reason}; "
        f"{_find_out(urls, result.apply_id)}",
        as_json,
    )


def _find_out(urls: list[str], apply_id: str) -> str:
    options = " ".join(f"--store {shlex.quote(url)}" for url in urls)
    return (
        f"find out by: cyclamenridge config show {options} "
        f"--apply-id {apply_id}"
    )


@contextlib.contextmanager
def _errors(
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
        _fail(unreadable, f"{prefix}stored document: {exc}", as_json)
    except findings_lib.InvalidConfigError as exc:
        code = ExitCode.NOT_APPLIED if stored else ExitCode.INVALID_FILE
        if as_json:
            _write_json(
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
        _fail(ExitCode.INVALID_FILE, str(exc), as_json)
    except errors.ConfigError as exc:
        _fail(ExitCode.USAGE, str(exc), as_json)
    except errors.StoreError as exc:
        _fail(unreadable, f"{prefix}{exc}", as_json)
    except OSError as exc:
        _fail(ExitCode.USAGE, str(exc), as_json)


def _fail(
    code: ExitCode, text: str, as_json: bool, **values: object
) -> NoReturn:
    line = " ".join(text.split())
    if as_json:
        _write_json({"error": line, "exit_code": code} | values)
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


def _change(change: diff.Change) -> dict[str, object]:
    return {
        "kind": change.kind.value,
        "path": list(change.path),
        "old": change.old,
        "new": change.new,
    }


def _write_json(value: dict[str, object]) -> None:
    typer.echo(json.dumps(value))
