"""Waits in tests, bounded in time."""

import asyncio
from collections.abc import Callable

_STEP_S = 0.005


async def until(
    condition: Callable[[], bool], *, timeout_s: float = 3.0
) -> None:
    """Wait until a condition holds; fail when it does not in time."""
    for _ in range(round(timeout_s / _STEP_S)):
        if condition():
            return
        await asyncio.sleep(_STEP_S)
    raise AssertionError("the condition did not hold in time")
