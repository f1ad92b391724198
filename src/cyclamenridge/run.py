"""Command line."""

from importlib import metadata

import typer

from cyclamenridge.cli import call

app = typer.Typer(
    name="cyclamenridge",
    help="Layer-4 load balancer.",
    no_args_is_help=True,
)


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
