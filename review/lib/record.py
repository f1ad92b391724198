"""Record of what was sent, answered and run."""

import json
import pathlib
import time
from typing import Any


class Record:
    """Collects events with their time in seconds since the start."""

    def __init__(self) -> None:
        self._start_s = time.monotonic()
        self.events: list[dict[str, Any]] = []

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._start_s

    def add(self, event: str, **fields: Any) -> dict[str, Any]:
        """Add an event."""
        entry = {"t": round(self.now_s(), 4), "event": event, **fields}
        self.events.append(entry)
        return entry

    def of(self, event: str) -> list[dict[str, Any]]:
        """Return the events of a name."""
        return [entry for entry in self.events if entry["event"] == event]

    def write(self, path: pathlib.Path) -> None:
        """Write one JSON object a line."""
        path.write_text(
            "".join(json.dumps(entry) + "\n" for entry in self.events)
        )
