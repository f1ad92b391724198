"""What this process has seen of each backend server."""

import collections
from collections.abc import Iterable

# Unanswered packets count as evidence against a server only when nothing
# else came back from it for this long: a client repeats a lost packet
# after 200 ms.
SILENT_MS = 250
# Flows that must be unanswered before a server counts as silent. A single
# one may have met a full queue.
SILENT_FLOWS = 2
# After this time one flow tries a silent server again.
RETRY_MS = 2000


class Observed:
    """Load and silence of a server.

    :ivar waiting: requests and opening packets that wait for it
    :ivar flows: open flows
    :ivar answered_ms: when a client last acknowledged something of it
    :ivar unanswered: flows with repeated packets since then
    """

    __slots__ = (
        "answered_ms",
        "flows",
        "foreign",
        "retry_ms",
        "unanswered",
        "waiting",
    )

    def __init__(self) -> None:
        self.waiting = 0
        self.flows = 0
        self.foreign = 0.0
        self.answered_ms = -SILENT_MS
        self.unanswered: set[object] = set()
        self.retry_ms = 0

    def answered(self, now_ms: int) -> None:
        """Note that the server answered."""
        self.answered_ms = now_ms
        if self.unanswered:
            self.unanswered.clear()

    def repeated(self, now_ms: int, flow: object) -> bool:
        """Note a repeated packet; return whether silence was news."""
        if now_ms - self.answered_ms < SILENT_MS:
            return False
        before = len(self.unanswered)
        self.unanswered.add(flow)
        if len(self.unanswered) < SILENT_FLOWS:
            return False
        if before < SILENT_FLOWS or now_ms >= self.retry_ms:
            self.retry_ms = now_ms + RETRY_MS
        return before < SILENT_FLOWS

    def is_silent(self, now_ms: int) -> bool:
        """Return whether new flows should avoid the server."""
        return len(self.unanswered) >= SILENT_FLOWS and now_ms < self.retry_ms

    def trial(self, now_ms: int) -> None:
        """Note that a flow tries the server again."""
        if len(self.unanswered) >= SILENT_FLOWS:
            self.retry_ms = now_ms + RETRY_MS


class Observations:
    """Observations by server name."""

    def __init__(self) -> None:
        self._servers: dict[str, Observed] = collections.defaultdict(Observed)

    def of(self, name: str) -> Observed:
        """Return the observations on a server."""
        return self._servers[name]

    def items(self) -> Iterable[tuple[str, Observed]]:
        """Return all servers with their observations."""
        return self._servers.items()

    def forget(self, name: str) -> None:
        """Drop what is known of a server."""
        self._servers.pop(name, None)
