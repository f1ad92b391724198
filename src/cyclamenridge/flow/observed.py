"""What this process has seen of each backend server."""

import collections
from collections.abc import Hashable
from collections.abc import Iterable

# A client repeats a packet that was not acknowledged after 200 ms; until
# then the lack of an answer says nothing.
SILENT_MS = 250
# Flows that must be unanswered before new flows avoid a server. A single
# one may have met a full queue or a lost datagram.
SILENT_FLOWS = 2
# Repeated packets to other servers within this time, even if they were
# answered later, show that losses are not the fault of one failure domain.
# A full link delays packets by up to two seconds.
LOSSES_MS = 3000
# Evidence older than this does not count any more.
EVIDENCE_MS = 4000
# After this time a silent server is tried again.
RETRY_MS = 1000

_NEVER_MS = -(2**62)


class Observed:
    """Load and silence of a server.

    :ivar waiting: requests and opening packets that wait for it
    :ivar foreign: the same, as other balancers told
    :ivar flows: open flows
    :ivar answered_ms: when a client last acknowledged something of it
    :ivar evidence_ms: when a packet was last repeated without an answer
    :ivar retry_ms: when it may be tried again although it is silent
    """

    __slots__ = (
        "_unanswered",
        "answered_ms",
        "evidence_ms",
        "flows",
        "foreign",
        "retry_ms",
        "waiting",
    )

    def __init__(self) -> None:
        self.waiting = 0
        self.flows = 0
        self.foreign = 0.0
        self.answered_ms = _NEVER_MS
        self.evidence_ms = _NEVER_MS
        self.retry_ms = 0
        self._unanswered: set[Hashable] = set()

    @property
    def unanswered(self) -> int:
        """Number of flows with repeated packets since the last answer."""
        return len(self._unanswered)

    def answered_ms_ago(self, now_ms: int) -> int | None:
        """Return the time since the last answer, None before the first."""
        if self.answered_ms == _NEVER_MS:
            return None
        return now_ms - self.answered_ms

    def answered(self, now_ms: int) -> bool:
        """Note an answer; return whether that ends a silence."""
        ended = len(self._unanswered) >= SILENT_FLOWS
        self.answered_ms = now_ms
        if self._unanswered:
            self._unanswered.clear()
        return ended

    def repeated(self, now_ms: int, flow: Hashable) -> bool:
        """Note a repeated packet; return whether a silence begins."""
        if now_ms - self.answered_ms < SILENT_MS:
            return False
        if now_ms - self.evidence_ms > EVIDENCE_MS:
            self._unanswered.clear()
        self.evidence_ms = now_ms
        self._unanswered.add(flow)
        begins = (
            len(self._unanswered) >= SILENT_FLOWS and now_ms >= self.retry_ms
        )
        if begins:
            self.retry_ms = now_ms + RETRY_MS
        return begins

    def is_silent(self, now_ms: int) -> bool:
        """Return whether new flows should avoid the server."""
        return (
            len(self._unanswered) >= SILENT_FLOWS
            and now_ms - self.evidence_ms < EVIDENCE_MS
        )

    def has_losses(self, now_ms: int) -> bool:
        """Return whether a packet to it was repeated, answered or not."""
        return now_ms - self.evidence_ms < LOSSES_MS

    def try_again(self, now_ms: int) -> bool:
        """Return whether a silent server may be tried by one more flow."""
        if now_ms < self.retry_ms:
            return False
        self.retry_ms = now_ms + RETRY_MS
        return True


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
