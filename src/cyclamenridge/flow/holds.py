"""Statements of a restored store that have to be confirmed by time."""

from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

from cyclamenridge.flow import position as position_lib

Position = position_lib.Position
Value = TypeVar("Value")

# A server that is alive and reaches the store registers again within two
# seconds after the store has returned.
REGISTRATION_TIMEOUT_MS = 2500
# The store removes the entry of a server after it missed this many reports.
_MAX_MISSED_REPORTS = 3


def entry_hold_ms(report_interval_ms: int) -> int:
    """Return the time that confirms an entry of a restored store.

    :param report_interval_ms: interval at which servers report to the store
    """
    return REGISTRATION_TIMEOUT_MS + _MAX_MISSED_REPORTS * report_interval_ms


class Held(Generic[Value]):
    """What a restored store says under a key and may have to take back.

    :ivar hold_ms: time that confirms it, None if time does not
    """

    __slots__ = ("hold_ms", "position", "since_ms", "value")

    def __init__(
        self,
        value: Value,
        position: Position,
        *,
        since_ms: int,
        hold_ms: int | None,
    ) -> None:
        self.value = value
        self.position = position
        self.since_ms = since_ms
        self.hold_ms = hold_ms

    def is_confirmed(self, now_ms: int) -> bool:
        """Return whether it was held for long enough."""
        return (
            self.hold_ms is not None and now_ms - self.since_ms >= self.hold_ms
        )


class Holds(Generic[Value]):
    """Held statements by key."""

    def __init__(self) -> None:
        self._held: dict[str, Held[Value]] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(self._held)

    def get(self, key: str) -> Held[Value] | None:
        """Return what is held under a key."""
        return self._held.get(key)

    def hold(
        self,
        now_ms: int,
        key: str,
        position: Position,
        value: Value,
        *,
        hold_ms: int | None,
    ) -> Held[Value]:
        """Hold a statement; its time starts anew with each epoch."""
        since_ms = now_ms
        known = self._held.get(key)
        if known is not None and known.position.epoch == position.epoch:
            since_ms = known.since_ms
        held = Held(value, position, since_ms=since_ms, hold_ms=hold_ms)
        self._held[key] = held
        return held

    def discard(self, key: str) -> None:
        """Drop what is held under a key."""
        self._held.pop(key, None)

    def pop_confirmed(self, now_ms: int) -> list[tuple[str, Held[Value]]]:
        """Take what was held for long enough."""
        confirmed = [
            (key, held)
            for key, held in self._held.items()
            if held.is_confirmed(now_ms)
        ]
        for key, _ in confirmed:
            del self._held[key]
        return confirmed

    def restart(self, now_ms: int) -> None:
        """Hold everything anew, because the store was away meanwhile."""
        for held in self._held.values():
            held.since_ms = now_ms
