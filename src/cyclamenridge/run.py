"""Command line."""

from importlib import metadata

import typer

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


def main() -> None:
    """Run the command line."""
    app()
