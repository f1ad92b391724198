"""Commands that ask a running balancer through its admin address."""

import http.client
import json as json_lib
from typing import Annotated
from typing import Any
from typing import NoReturn

import typer
import yaml

from cyclamenridge import address as address_lib
from cyclamenridge import errors

EXIT_UNREACHABLE = 1
EXIT_USAGE = 2
_TIMEOUT_S = 5.0
_HTTP_OK = 200

Admin = Annotated[
    str, typer.Option(help="HOST:PORT of the balancer's admin address.")
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def status(*, admin: Admin, json: Json = False) -> None:
    """Print the state of a balancer in short."""
    _print(_ask("status", "GET", admin, "/status"), json)


def dump(*, admin: Admin, json: Json = False) -> None:
    """Print the whole state of a balancer."""
    _print(_ask("dump", "GET", admin, "/dump"), json)


def drain(*, admin: Admin, json: Json = False) -> None:
    """Begin a planned stop of a balancer."""
    _print(_ask("drain", "POST", admin, "/drain"), json)


def _ask(command: str, method: str, admin: str, path: str) -> Any:
    try:
        address = address_lib.Address.parse(admin)
    except errors.ConfigError as exc:
        _fail(command, str(exc), EXIT_USAGE)
    conn = http.client.HTTPConnection(
        address.host, address.port, timeout=_TIMEOUT_S
    )
    try:
        conn.request(method, path)
        answer = conn.getresponse()
        body = answer.read()
        if answer.status != _HTTP_OK:
            _fail(command, f"{address}: HTTP {answer.status}")
        return json_lib.loads(body)
    except (OSError, http.client.HTTPException, ValueError) as exc:
        text = getattr(exc, "strerror", None) or exc
        _fail(command, f"{address}: {text}")
    finally:
        conn.close()


def _fail(command: str, text: str, code: int = EXIT_UNREACHABLE) -> NoReturn:
    typer.echo(f"cyclamenridge {command}: {text}", err=True)
    raise typer.Exit(code)


def _print(report: Any, json: bool) -> None:
    if json:
        typer.echo(json_lib.dumps(report))
    else:
        typer.echo(yaml.safe_dump(report, sort_keys=False).rstrip())
