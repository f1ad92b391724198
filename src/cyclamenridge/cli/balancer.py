"""Command ``cyclamenridge balancer``: run a balancer process."""

import asyncio
import pathlib
from typing import Annotated

import typer

from cyclamenridge.adapters import logs
import cyclamenridge.compose as compose
from cyclamenridge.config import settings as settings_lib
import cyclamenridge.errors as errors

# 3 and 4 are the codes of a planned stop that was cut short.
EXIT_SETTINGS = 2


def balancer(
    *,
    settings: Annotated[
        pathlib.Path, typer.Option(help="YAML file with the settings.")
    ],
    verbose: Annotated[bool, typer.Option(help="Log debug messages.")] = False,
) -> None:
    """Run a balancer until SIGTERM; a second signal ends it at once."""
    logs.setup(verbose=verbose)
    try:
        application = compose.build(settings_lib.load(settings))
        code = asyncio.run(application.run())
    except (errors.ConfigError, OSError) as exc:
        typer.echo(f"cyclamenridge balancer: {exc}", err=True)
        raise typer.Exit(EXIT_SETTINGS) from exc
    raise typer.Exit(code)
