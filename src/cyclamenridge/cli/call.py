"""Command ``cyclamenridge call``: send a request or subscribe to a feed."""

import asyncio
import enum
import pathlib
import sys
from typing import Annotated

import msgspec
import typer

from cyclamenridge import address as address_lib
from cyclamenridge.caller import client as client_lib
from cyclamenridge.caller import outcomes
from cyclamenridge.caller import session as session_lib
import cyclamenridge.errors as errors


class ExitCode(enum.IntEnum):
    """Exit codes of ``call``."""

    ANSWERED = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 5
    UNKNOWN = 6


class Report(msgspec.Struct, frozen=True):
    """Outcome of a request as printed with ``--json``."""

    outcome: str
    reason: str = ""
    retry_after_ms: int = 0
    payload: bytes = b""


def call(
    *,
    balancer: Annotated[
        list[str],
        typer.Option(help="HOST:PORT of a balancer; may be repeated."),
    ],
    service: Annotated[str, typer.Option(help="Service to call.")],
    customer: Annotated[
        str, typer.Option(help="Customer account of the request or feed.")
    ],
    kind: Annotated[
        str, typer.Option(help="Kind of request or feed, as configured.")
    ],
    payload: Annotated[
        str | None, typer.Argument(help="Payload; standard input by default.")
    ] = None,
    file: Annotated[
        pathlib.Path | None, typer.Option(help="File with the payload.")
    ] = None,
    deadline_ms: Annotated[
        int,
        typer.Option(
            min=1,
            max=600_000,
            help="Deadline for the response, in milliseconds.",
        ),
    ] = 5000,
    idempotent: Annotated[
        bool,
        typer.Option(
            help="The request may run twice; retry after an unknown outcome."
        ),
    ] = False,
    feed: Annotated[
        bool, typer.Option(help="Subscribe to a feed and print its events.")
    ] = False,
    events: Annotated[
        int,
        typer.Option(
            min=0, help="Exit after this many events; 0 means never."
        ),
    ] = 0,
    json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object per line.")
    ] = False,
) -> None:
    """Send a request, or subscribe to a feed with --feed."""
    try:
        balancers = tuple(map(address_lib.Address.parse, balancer))
        if feed:
            asyncio.run(
                _print_feed(balancers, service, customer, kind, events, json)
            )
            return
        if payload is not None:
            data = payload.encode()
        elif file is not None:
            data = file.read_bytes()
        else:
            data = sys.stdin.buffer.read()
        outcome = asyncio.run(
            _send_request(
                balancers,
                service,
                customer,
                kind,
                data,
                deadline_ms=deadline_ms,
                idempotent=idempotent,
            )
        )
    except (errors.CyclamenridgeError, OSError, ValueError) as exc:
        typer.echo(f"cyclamenridge call: {exc}", err=True)
        raise typer.Exit(ExitCode.USAGE) from exc
    except KeyboardInterrupt:
        raise typer.Exit(130) from None
    code, report = _make_report(outcome)
    if json:
        typer.echo(msgspec.json.encode(report).decode())
    elif code is ExitCode.ANSWERED:
        sys.stdout.buffer.write(report.payload)
        sys.stdout.buffer.flush()
    else:
        retry_hint = (
            f", retry after {report.retry_after_ms} ms"
            if report.retry_after_ms
            else ""
        )
        reason = f": {report.reason}" if report.reason else ""
        typer.echo(f"{report.outcome}{reason}{retry_hint}", err=True)
    raise typer.Exit(code)


async def _send_request(
    balancers: tuple[address_lib.Address, ...],
    service: str,
    customer: str,
    kind: str,
    payload: bytes,
    *,
    deadline_ms: int,
    idempotent: bool,
) -> outcomes.Outcome:
    async with client_lib.Client(balancers) as client:
        session = session_lib.Session(client, service, customer)
        outcome = await session.call(
            kind, payload, deadline_ms=deadline_ms, idempotent=idempotent
        )
        await session.close()
        return outcome


async def _print_feed(
    balancers: tuple[address_lib.Address, ...],
    service: str,
    customer: str,
    kind: str,
    event_limit: int,
    json: bool,
) -> None:
    async with client_lib.Client(balancers) as client:
        session = session_lib.Session(client, service, customer)
        feed = await session.subscribe(kind)
        event_count = 0
        async for item in feed:
            if json:
                typer.echo(msgspec.json.encode(item).decode())
            elif isinstance(item, outcomes.FeedEvent):
                typer.echo(f"{item.seq} {item.payload!r}")
            else:
                typer.echo(f"feed broken: {item.reason.value}", err=True)
            event_count += isinstance(item, outcomes.FeedEvent)
            if event_limit and event_count >= event_limit:
                break
        await feed.close()
        await session.close()


def _make_report(outcome: outcomes.Outcome) -> tuple[ExitCode, Report]:
    match outcome:
        case outcomes.Answered(payload=payload):
            return ExitCode.ANSWERED, Report("answered", payload=payload)
        case outcomes.Failed(payload=payload):
            return ExitCode.FAILED, Report("failed", payload=payload)
        case outcomes.NotRun(reason=reason, retry_after_ms=retry_after_ms):
            return ExitCode.NOT_RUN, Report(
                "not_run", reason.value, retry_after_ms
            )
    return ExitCode.UNKNOWN, Report("unknown", outcome.reason.value)
