"""Command ``cyclamenridge balancer``: run a balancer process."""

import asyncio
import pathlib
from typing import Annotated

import typer

from cyclamenridge.adapters import logs
import cyclamenridge.compose as compose
from cyclamenridge.config import settings as settings_lib
import cyclamenridge.errors as errors
import cyclamenridge.flow_main as flow_main

# Codes 3 and 4 are those of an interrupted planned stop, see node/shutdown.py.
EXIT_SETTINGS = 2


def balancer(
    *,
    settings: Annotated[
        pathlib.Path | None,
        typer.Option(help="YAML file with the settings of the balancer."),
    ] = None,
    platform_settings: Annotated[
        pathlib.Path | None,
        typer.Option(
            envvar="CYCLAMENRIDGE_CONFIG",
            help="Settings file of the platform; without --settings, runs "
            "a balancer that forwards flows.",
        ),
    ] = None,
    verbose: Annotated[bool, typer.Option(help="Log debug messages.")] = False,
) -> None:
    """Run a balancer until SIGTERM; a second signal ends it immediately."""
    if settings is None and platform_settings is not None:
        raise typer.Exit(flow_main.main(str(platform_settings)))
    if settings is None:
        typer.echo(
            "cyclamenridge balancer: --settings or --platform-settings "
            "is required",
            err=True,
        )
        raise typer.Exit(EXIT_SETTINGS)
    logs.setup(verbose=verbose)
    try:
        application = compose.build(settings_lib.load(settings))
        code = asyncio.run(application.run())
    except (errors.ConfigError, OSError) as exc:
        typer.echo(f"cyclamenridge balancer: {exc}", err=True)
        raise typer.Exit(EXIT_SETTINGS) from exc
    raise typer.Exit(code)
