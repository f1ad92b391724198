"""Commands ``cyclamenridge config``: the configuration in the store."""

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


FileArgument = Annotated[
    pathlib.Path,
    typer.Argument(
        exists=True,
        dir_okay=False,
        readable=True,
        allow_dash=True,
        help="Configuration file; - for standard input.",
    ),
]
StoreOption = Annotated[
    list[str],
    typer.Option(
        "--store",
        envvar="CYCLAMENRIDGE_STORE",
        help="URL of a store endpoint; may be repeated.",
    ),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print one JSON object.")
]
WaitOption = Annotated[
    float,
    typer.Option(
        min=0,
        max=600,
        help="Seconds to retry while the outcome of the write is unknown.",
    ),
]
DEFAULT_WAIT_S = operator_lib.DEFAULT_WAIT_MS / 1000


@app.command()
def check(file: FileArgument, as_json: JsonOption = False) -> None:
    """Validate a file without accessing the store."""
    with output.exit_on_error(as_json):
        config_file = _read_file(file)
    if as_json:
        output.print_json({"outcome": "valid", "exit_code": 0})
    else:
        typer.echo(
            f"{file}: valid, deployment {config_file.config.deployment}"
        )


@app.command()
def apply(
    file: FileArgument,
    store: StoreOption,
    base: Annotated[
        int | None,
        typer.Option(min=0, help="Revision that the file is based on."),
    ] = None,
    wait: WaitOption = DEFAULT_WAIT_S,
    as_json: JsonOption = False,
) -> None:
    """Apply a file as the next revision."""
    with output.exit_on_error(as_json):
        config_file = _read_file(file)
    if (
        None not in (base, config_file.based_on)
        and base != config_file.based_on
    ):
        output.fail(
            output.ExitCode.USAGE,
            f"--base {base} and based_on {config_file.based_on} of the file "
            "differ",
            as_json,
        )
    operator: operator_lib.Operator | None = None

    async def apply_file(new_operator: operator_lib.Operator) -> object:
        nonlocal operator
        operator = new_operator
        return await new_operator.apply(config_file, base=base)

    try:
        with output.exit_on_error(as_json, store_error_prefix="not applied: "):
            result = _run_operation(store, apply_file, wait_s=wait)
    except KeyboardInterrupt:
        apply_id = operator.pending_apply_id if operator else None
        if apply_id is None:
            output.fail(output.ExitCode.NOT_APPLIED, "interrupted", as_json)
        output.fail(
            output.ExitCode.UNKNOWN,
            f"interrupted; {_outcome_command_hint(store, apply_id)}",
            as_json,
            apply_id=apply_id,
        )
    _print_result(result, store, as_json)


@app.command()
def show(
    store: StoreOption,
    revision_header: Annotated[
        bool, typer.Option(help="Print based_on as the first key of the file.")
    ] = True,
    apply_id: Annotated[
        str | None,
        typer.Option(help="Show the outcome of this apply operation."),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show the stored file, or the outcome of an apply operation."""
    if apply_id is not None:
        _show_outcome(store, apply_id, as_json)
        return
    document = _stored_document(store, as_json)
    body = document.body
    if as_json:
        output.print_json(
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
def diff_command(
    file: FileArgument, store: StoreOption, as_json: JsonOption = False
) -> None:
    """Show the changes that applying a file would make."""
    with output.exit_on_error(as_json):
        config_file = _read_file(file)
    document = _stored_document(store, as_json)
    with output.exit_on_error(as_json, is_stored_file=True):
        stored_config = loader.parse(document.body, source="<stored>")
    changes = diff.compare(stored_config, config_file.config)
    if as_json:
        output.print_json(
            {
                "revision": document.revision,
                "changes": [
                    output.change_fields(change) for change in changes
                ],
            }
        )
        return
    for change in changes:
        typer.echo(str(change))


@app.command()
def history(store: StoreOption, as_json: JsonOption = False) -> None:
    """List the latest revisions with their apply ids."""
    document = _stored_document(store, as_json)
    entries = ((document.revision, document.apply_id), *document.history)
    if as_json:
        output.print_json(
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
    """Read and validate a file.

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


def _run_operation(
    store_urls: list[str],
    operation: Callable[[operator_lib.Operator], Awaitable[object]],
    *,
    wait_s: float = DEFAULT_WAIT_S,
) -> object:
    async def run() -> object:
        store = etcd.EtcdStore(tuple(store_urls))
        try:
            return await operation(
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


def _stored_document(
    store_urls: list[str], as_json: bool
) -> document_lib.Document:
    with output.exit_on_error(as_json):
        stored = _run_operation(store_urls, lambda operator: operator.read())
    if stored.document is None:
        output.fail(
            output.ExitCode.NOT_APPLIED,
            "no configuration has been applied yet",
            as_json,
        )
    return stored.document


def _show_outcome(store_urls: list[str], apply_id: str, as_json: bool) -> None:
    with output.exit_on_error(
        as_json, store_error_code=output.ExitCode.UNKNOWN
    ):
        resolution = _run_operation(
            store_urls, lambda operator: operator.resolve(apply_id)
        )
    code = output.EXIT_CODES[resolution.outcome]
    if as_json:
        output.print_json(
            {
                "outcome": resolution.outcome.value,
                "revision": resolution.revision,
                "reason": resolution.reason,
                "exit_code": code,
            }
        )
        raise typer.Exit(code)
    if code is output.ExitCode.DONE:
        typer.echo(f"applied as revision {resolution.revision}")
        return
    text = (
        "not applied"
        if code is output.ExitCode.NOT_APPLIED
        else "outcome unknown"
    )
    output.fail(code, f"{text}: {resolution.reason}", as_json)


def _print_result(
    result: operator_lib.ApplyResult, store_urls: list[str], as_json: bool
) -> None:
    code = output.EXIT_CODES[result.outcome]
    if as_json:
        output.print_json(
            {
                "outcome": result.outcome.value,
                "revision": result.revision,
                "base": result.base,
                "apply_id": result.apply_id,
                "reason": result.reason,
                "changes": [
                    output.change_fields(change) for change in result.changes
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
        heading = (
            f"changes since revision {result.base}"
            if result.since_base
            else "changes from the file to the stored configuration"
        )
        typer.echo(f"error: conflict: {result.reason}; {heading}:", err=True)
        for change in result.changes:
            typer.echo(str(change), err=True)
        raise typer.Exit(code)
    if code is output.ExitCode.NOT_APPLIED:
        output.fail(code, f"not applied: {result.reason}", as_json)
    output.fail(
        code,
        f"not yet known whether the file was applied: {result.reason}; "
        f"{_outcome_command_hint(store_urls, result.apply_id)}",
        as_json,
    )


def _outcome_command_hint(store_urls: list[str], apply_id: str) -> str:
    options = " ".join(f"--store {shlex.quote(url)}" for url in store_urls)
    return (
        f"to find out, run: cyclamenridge config show {options} "
        f"--apply-id {apply_id}"
    )
