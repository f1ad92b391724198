"""Running of a case: exit code, record and time limit."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal
import sys

from lib import deployment

_LIMIT_S = 110
_MAX_LINES = 8

HELD, BROKEN, CANNOT_RUN = 0, 1, 2

# Writes its findings to the record; returns what broke the rule.
Case = Callable[[deployment.Deployment, bool], Awaitable[list[str]]]


def run(case: Case, zones: tuple[str, ...], folder: pathlib.Path) -> None:
    """Run a case and exit with its code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(asyncio.run(_run(case, zones, folder, trouble)))


async def _run(
    case: Case, zones: tuple[str, ...], folder: pathlib.Path, trouble: bool
) -> int:
    try:
        dep = deployment.Deployment(zones)
    except deployment.CannotRunError as exc:
        print(f"cannot run: {exc}")
        return CANNOT_RUN
    task = asyncio.current_task()
    assert task is not None
    # A case that is stopped ends its processes, too.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(_LIMIT_S):
            found = await case(dep, trouble)
    except asyncio.CancelledError:
        return CANNOT_RUN
    except (deployment.CannotRunError, TimeoutError) as exc:
        print(f"cannot run: {exc or 'time limit'}")
        dep.record.add("cannot_run", error=str(exc))
        return CANNOT_RUN
    finally:
        await dep.stop()
        dep.record.write(folder / "record.txt")
    for line in found[:_MAX_LINES]:
        print(line)
    print(f"trouble={int(trouble)}: {len(found)} broken")
    return BROKEN if found else HELD
