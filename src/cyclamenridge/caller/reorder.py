"""Reordering of the events of a feed on the side of the caller."""

from cyclamenridge.caller import outcomes

# A gap is reported as lost events when this many later events are buffered or
# this time has passed. Until then, each attach makes the server resend the
# events that it still has.
MAX_BUFFERED_EVENTS = 256
GAP_TIMEOUT_MS = 8000


class ReorderBuffer:
    """Puts events in order, drops duplicates and detects gaps."""

    def __init__(self, last_seq: int = 0) -> None:
        self.last_seq = last_seq
        self._buffered: dict[int, bytes] = {}
        self._gap_since_ms: int | None = None

    @property
    def has_gap(self) -> bool:
        """Tell whether buffered events wait for a missing one."""
        return bool(self._buffered)

    def add(
        self, now_ms: int, seq: int, payload: bytes
    ) -> list[outcomes.FeedEvent]:
        """Add an event and return the events that can be delivered."""
        if seq <= self.last_seq or seq in self._buffered:
            return []
        self._buffered[seq] = payload
        return self.poll(now_ms)

    def poll(self, now_ms: int) -> list[outcomes.FeedEvent]:
        """Return the events that can be delivered now."""
        events = self._pop_in_order(missed=0)
        if not self._buffered:
            self._gap_since_ms = None
            return events
        if events or self._gap_since_ms is None:
            self._gap_since_ms = now_ms
        if (
            len(self._buffered) > MAX_BUFFERED_EVENTS
            or now_ms - self._gap_since_ms >= GAP_TIMEOUT_MS
        ):
            first = min(self._buffered)
            missed = first - self.last_seq - 1
            self.last_seq = first - 1
            self._gap_since_ms = now_ms
            events += self._pop_in_order(missed=missed)
        return events

    def _pop_in_order(self, *, missed: int) -> list[outcomes.FeedEvent]:
        events = []
        while (
            payload := self._buffered.pop(self.last_seq + 1, None)
        ) is not None:
            self.last_seq += 1
            events.append(outcomes.FeedEvent(self.last_seq, payload, missed))
            missed = 0
        return events
