"""Entry point of the balancer process on the platform."""

import asyncio
import sys

from cyclamenridge import compose_flows
from cyclamenridge import errors

EXIT_SETTINGS = 2


def main(path: str) -> int:
    """Run with the settings file at ``path``; return the exit code."""
    try:
        return asyncio.run(_run(path))
    except errors.ConfigError as exc:
        print(f"cyclamenridge balancer: {exc}", file=sys.stderr)
        return EXIT_SETTINGS


async def _run(path: str) -> int:
    return await compose_flows.build(path).run()
