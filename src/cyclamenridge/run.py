"""Command-line interface."""

from importlib import metadata

import typer

from cyclamenridge.cli import balancer
from cyclamenridge.cli import call
from cyclamenridge.cli import config
from cyclamenridge.cli import explain
from cyclamenridge.cli import status

app = typer.Typer(
    name="cyclamenridge",
    help="Layer-4 load balancer.",
    no_args_is_help=True,
    # Print errors as plain lines, not in boxes, for logs and scripts.
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


app.command()(balancer.balancer)
app.command()(status.status)
app.command()(status.dump)
app.command()(status.drain)
app.command()(call.call)
app.command()(explain.explain)


def main() -> None:
    """Run the command-line interface."""
    app()
