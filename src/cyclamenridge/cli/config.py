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
import cyclamenridge.errors as errors
from cyclamenridge.platform import config_check

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
_STORE = typer.Option(
    "--store",
    envvar="CYCLAMENRIDGE_STORE",
    help="URL of a store endpoint; may be repeated.",
)
StoreOption = Annotated[list[str], _STORE]
OptionalStoreOption = Annotated[list[str] | None, _STORE]
AgainstOption = Annotated[
    pathlib.Path | None,
    typer.Option(
        exists=True,
        dir_okay=False,
        readable=True,
        help="File with the configuration of the platform in force.",
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
def check(
    file: FileArgument,
    against: AgainstOption = None,
    as_json: JsonOption = False,
) -> None:
    """Validate a file without accessing the store."""
    with output.exit_on_error(as_json):
        text = _read_text(file)
        if _is_platform_config(text):
            _check_platform_config(text, file, against, as_json)
            return
        _refuse_against(against)
        config_file = loader.parse_file(text, source=str(file))
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
    file: FileArgument,
    store: OptionalStoreOption = None,
    against: AgainstOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show the changes that applying a file would make."""
    with output.exit_on_error(as_json):
        text = _read_text(file)
        if _is_platform_config(text):
            _diff_platform_configs(text, file, against, as_json)
            return
        _refuse_against(against)
        if not store:
            raise errors.ConfigError("--store is required")
        config_file = loader.parse_file(text, source=str(file))
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
    return loader.parse_file(_read_text(path), source=str(path))


def _read_text(path: pathlib.Path) -> str:
    """Read a file.

    :raises InvalidConfigError: if it is not UTF-8
    """
    name = str(path)
    data = sys.stdin.buffer.read() if name == "-" else path.read_bytes()
    try:
        return data.decode()
    except UnicodeError as exc:
        line = data[: exc.start].count(b"\n") + 1
        raise findings_lib.InvalidConfigError(
            (
                findings_lib.Finding(
                    name, line, "", "bytes that are not UTF-8", "UTF-8 text"
                ),
            )
        ) from exc


def _is_platform_config(text: str) -> bool:
    """Return whether a file is in JSON, which the own format excludes."""
    return text.lstrip().startswith("{")


def _refuse_against(against: pathlib.Path | None) -> None:
    if against is not None:
        raise errors.ConfigError(
            "--against is for configurations of the platform"
        )


def _read_in_force(path: pathlib.Path) -> config_check.Document:
    document = config_check.read(_read_text(path), source=str(path))
    _raise_if_any(config_check.find_refusals(document))
    return document


def _raise_if_any(findings: tuple[findings_lib.Finding, ...]) -> None:
    if findings:
        raise findings_lib.InvalidConfigError(findings)


def _check_platform_config(
    text: str, path: pathlib.Path, against: pathlib.Path | None, as_json: bool
) -> None:
    new = config_check.read(text, source=str(path))
    old = None if against is None else _read_in_force(against)
    _raise_if_any(config_check.find_errors(new, old))
    warnings = config_check.find_warnings(new)
    if not as_json:
        for warning in warnings:
            typer.echo(f"warning: {warning}", err=True)
        typer.echo(f"{path}: valid, version {new.table.version}")
    fields = {
        "outcome": "valid",
        "exit_code": 0,
        "warnings": [output.finding_fields(item) for item in warnings],
    }
    _print_platform_changes(old, new, as_json, fields)


def _diff_platform_configs(
    text: str, path: pathlib.Path, against: pathlib.Path | None, as_json: bool
) -> None:
    if against is None:
        raise errors.ConfigError(
            "--against is required for a configuration of the platform"
        )
    new = config_check.read(text, source=str(path))
    _raise_if_any(config_check.find_refusals(new))
    _print_platform_changes(_read_in_force(against), new, as_json, {})


def _print_platform_changes(
    old: config_check.Document | None,
    new: config_check.Document,
    as_json: bool,
    fields: dict[str, object],
) -> None:
    """Print the changes to a platform configuration, if one is in force.

    :param fields: other fields of the JSON object
    """
    if old is not None:
        changes = config_check.compare(old, new)
        removed = config_check.find_removed_addresses(old, new)
        fields["changes"] = [output.change_fields(item) for item in changes]
        fields["ends_open_flows_of"] = removed
        if not as_json:
            for change in changes:
                typer.echo(str(change))
            for address in removed:
                typer.echo(f"ends open flows of {address}")
    if as_json:
        output.print_json(fields)


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
