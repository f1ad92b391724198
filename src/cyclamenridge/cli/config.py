"""Commands for the operators' configuration."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random
import shlex
import sys
from typing import Annotated

import typer

from cyclamenridge.adapters import etcd
from cyclamenridge.cli import config_output as output
import cyclamenridge.clock as clock_lib
from cyclamenridge.config import diff
from cyclamenridge.config import document as document_lib
from cyclamenridge.config import findings as findings_lib
from cyclamenridge.config import loader
from cyclamenridge.config import operator as operator_lib

Outcome = operator_lib.Outcome

app = typer.Typer(
    help="Check, apply and show the configuration.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


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
    with output.reported(as_json):
        read = _read_file(file)
    if as_json:
        output.write_json({"outcome": "valid", "exit_code": 0})
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
    with output.reported(as_json):
        read = _read_file(file)
    if None not in (base, read.based_on) and base != read.based_on:
        output.fail(
            output.ExitCode.USAGE,
            f"--base {base} and based_on {read.based_on} of the file differ",
            as_json,
        )
    operator: operator_lib.Operator | None = None

    async def operate(opened: operator_lib.Operator) -> object:
        nonlocal operator
        operator = opened
        return await opened.apply(read, base=base)

    try:
        with output.reported(as_json, prefix="not applied: "):
            result = _with_operator(store, operate, wait_s=wait)
    except KeyboardInterrupt:
        apply_id = operator.pending_apply_id if operator else None
        if apply_id is None:
            output.fail(output.ExitCode.NOT_APPLIED, "interrupted", as_json)
        output.fail(
            output.ExitCode.UNKNOWN,
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
        output.write_json(
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
    with output.reported(as_json):
        read = _read_file(file)
    document = _stored_document(store, as_json)
    with output.reported(as_json, stored=True):
        stored = loader.parse(document.body, source="<stored>")
    changes = diff.compare(stored, read.config)
    if as_json:
        output.write_json(
            {
                "revision": document.revision,
                "changes": [
                    output.change_values(change) for change in changes
                ],
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
        output.write_json(
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
    with output.reported(as_json):
        stored = _with_operator(urls, lambda operator: operator.read())
    if stored.document is None:
        output.fail(
            output.ExitCode.NOT_APPLIED,
            "no configuration was applied yet",
            as_json,
        )
    return stored.document


def _show_apply_id(urls: list[str], apply_id: str, as_json: bool) -> None:
    with output.reported(as_json, unreadable=output.ExitCode.UNKNOWN):
        found = _with_operator(
            urls, lambda operator: operator.resolve(apply_id)
        )
    code = output.EXIT_CODES[found.outcome]
    if as_json:
        output.write_json(
            {
                "outcome": found.outcome.value,
                "revision": found.revision,
                "reason": found.reason,
                "exit_code": code,
            }
        )
        raise typer.Exit(code)
    if code is output.ExitCode.DONE:
        typer.echo(f"applied as revision {found.revision}")
        return
    text = (
        "not applied"
        if code is output.ExitCode.NOT_APPLIED
        else "not yet known"
    )
    output.fail(code, f"{text}: {found.reason}", as_json)


def _report(
    result: operator_lib.ApplyResult, urls: list[str], as_json: bool
) -> None:
    code = output.EXIT_CODES[result.outcome]
    if as_json:
        output.write_json(
            {
                "outcome": result.outcome.value,
                "revision": result.revision,
                "base": result.base,
                "apply_id": result.apply_id,
                "reason": result.reason,
                "changes": [
                    output.change_values(change) for change in result.changes
                ],
                "since_base": result.since_base,
                "exit_code": code,
            }
        )
        raise typer.Exit(code)
    if code is output.ExitCode.DONE:
        applied = result.outcome is Outcome.APPLIED
        note = f" (apply id {result.apply_id})" if applied else ""
        typer.echo(f"revision {result.revision} {result.outcome}{note}")
        for change in result.changes:
            typer.echo(str(change))
        return
    if code is output.ExitCode.CONFLICT:
        begin = (
            f"changes since revision {result.base}"
            if result.since_base
            else "differences from the file to the store"
        )
        typer.echo(f"error: conflict: {result.reason}; {begin}:", err=True)
        for change in result.changes:
            typer.echo(str(change), err=True)
        raise typer.Exit(code)
    if code is output.ExitCode.NOT_APPLIED:
        output.fail(code, f"not applied: {result.reason}", as_json)
    output.fail(
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
