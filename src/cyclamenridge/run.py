"""Command line."""

from importlib import metadata

import typer

from cyclamenridge.cli import call
from cyclamenridge.cli import config

app = typer.Typer(
    name="cyclamenridge",
    help="Layer-4 load balancer.",
    no_args_is_help=True,
    # Errors are plain lines for logs and scripts, without boxes.
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
app.add_typer(config.app, name="config")


@app.callback()
def root() -> None:
    """Layer-4 load balancer."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(metadata.version("cyclamenridge"))


app.command()(call.call)


def main() -> None:
    """Run the command line."""
    app()
