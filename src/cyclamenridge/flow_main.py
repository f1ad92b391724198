"""Entry of the process that runs on the platform."""

import sys

# asyncio works without TLS, and importing it takes a third of the start.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

import asyncio  # noqa: E402

from cyclamenridge import compose_flows  # noqa: E402
from cyclamenridge import errors  # noqa: E402

EXIT_SETTINGS = 2


def main(path: str) -> int:
    """Run until SIGTERM; return the exit code."""
    try:
        return asyncio.run(_run(path))
    except errors.ConfigError as exc:
        print(f"cyclamenridge balancer: {exc}", file=sys.stderr)
        return EXIT_SETTINGS


async def _run(path: str) -> int:
    return await compose_flows.build(path).run()
