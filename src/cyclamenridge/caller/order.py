"""Order of the events of a feed at its caller."""

from cyclamenridge.caller import outcomes

# A gap that is not repaired within this many later events or this time is
# reported; the server resends what it still has on each attach.
MAX_HELD_EVENTS = 256
GAP_TIMEOUT_MS = 8000


class Order:
    """Passes events on once and in order, and finds gaps."""

    def __init__(self, last_seq: int = 0) -> None:
        self.last_seq = last_seq
        self._held: dict[int, bytes] = {}
        self._gap_since_ms: int | None = None

    @property
    def gap(self) -> bool:
        """Tell whether later events wait for a missing one."""
        return bool(self._held)

    def event(
        self, now_ms: int, seq: int, payload: bytes
    ) -> list[outcomes.FeedEvent]:
        """Take an event and return those that can be passed on."""
        if seq <= self.last_seq or seq in self._held:
            return []
        self._held[seq] = payload
        return self.poll(now_ms)

    def poll(self, now_ms: int) -> list[outcomes.FeedEvent]:
        """Return events that can be passed on at this time."""
        out = self._take(missed=0)
        if not self._held:
            self._gap_since_ms = None
            return out
        if out or self._gap_since_ms is None:
            self._gap_since_ms = now_ms
        if (
            len(self._held) > MAX_HELD_EVENTS
            or now_ms - self._gap_since_ms >= GAP_TIMEOUT_MS
        ):
            first = min(self._held)
            missed = first - self.last_seq - 1
            self.last_seq = first - 1
            self._gap_since_ms = now_ms
            out += self._take(missed=missed)
        return out

    def _take(self, *, missed: int) -> list[outcomes.FeedEvent]:
        out = []
        while (payload := self._held.pop(self.last_seq + 1, None)) is not None:
            self.last_seq += 1
            out.append(outcomes.FeedEvent(self.last_seq, payload, missed))
            missed = 0
        return out
