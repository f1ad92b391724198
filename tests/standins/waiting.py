"""Polling of conditions in tests, with a time limit."""

import asyncio
from collections.abc import Callable

_POLL_INTERVAL_S = 0.005


async def until(
    condition: Callable[[], bool], *, timeout_s: float = 3.0
) -> None:
    """Poll until a condition holds; fail after ``timeout_s``."""
    for _ in range(round(timeout_s / _POLL_INTERVAL_S)):
        if condition():
            return
        await asyncio.sleep(_POLL_INTERVAL_S)
    raise AssertionError("the condition did not hold in time")
