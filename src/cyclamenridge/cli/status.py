"""Commands that send a request to the admin address of a balancer."""

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

AdminOption = Annotated[
    str, typer.Option(help="HOST:PORT of the admin address of the balancer.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def status(*, admin: AdminOption, json: JsonOption = False) -> None:
    """Print a summary of the state of a balancer."""
    _print_report(_send_request("status", "GET", admin, "/status"), json)


def dump(*, admin: AdminOption, json: JsonOption = False) -> None:
    """Print the complete state of a balancer."""
    _print_report(_send_request("dump", "GET", admin, "/dump"), json)


def drain(*, admin: AdminOption, json: JsonOption = False) -> None:
    """Begin a planned stop of a balancer."""
    _print_report(_send_request("drain", "POST", admin, "/drain"), json)


def _send_request(command: str, method: str, admin: str, path: str) -> Any:
    try:
        address = address_lib.Address.parse(admin)
    except errors.ConfigError as exc:
        _fail(command, str(exc), EXIT_USAGE)
    conn = http.client.HTTPConnection(
        address.host, address.port, timeout=_TIMEOUT_S
    )
    try:
        conn.request(method, path)
        response = conn.getresponse()
        body = response.read()
        if response.status != _HTTP_OK:
            _fail(command, f"{address}: HTTP {response.status}")
        return json_lib.loads(body)
    except (OSError, http.client.HTTPException, ValueError) as exc:
        message = getattr(exc, "strerror", None) or exc
        _fail(command, f"{address}: {message}")
    finally:
        conn.close()


def _fail(
    command: str, message: str, code: int = EXIT_UNREACHABLE
) -> NoReturn:
    typer.echo(f"cyclamenridge {command}: {message}", err=True)
    raise typer.Exit(code)


def _print_report(report: Any, json: bool) -> None:
    if json:
        typer.echo(json_lib.dumps(report))
    else:
        typer.echo(yaml.safe_dump(report, sort_keys=False).rstrip())
