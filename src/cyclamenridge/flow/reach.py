"""Which failure domains this process reaches."""

import collections

# Beacons of a domain's balancers arrive several times in this time.
BEACON_SILENT_MS = 700
# Without an answer of any server of a domain for this long, repeated packets
# to its servers are evidence that the domain is cut off. A client repeats
# after 200 ms, a request takes some 40 ms.
ANSWER_SILENT_MS = 400
# Servers to which packets were repeated since the last answer of the domain.
# One may have died alone while the domain's only balancer restarts.
UNANSWERED_SERVERS = 2
# Older repeats are no evidence: a process that rarely sends to a domain may
# wait long for an answer that clears them.
EVIDENCE_MS = 1500
# A process that took no packet and no tick for this long stood still: what
# came meanwhile is read late, packets of clients perhaps before beacons.
PAUSE_MS = 600
# Time after a pause, or a start, in which beacons come again.
RESUME_MS = 1000


class _Domain:
    __slots__ = ("answered_ms", "beacon_ms", "unanswered")

    def __init__(self) -> None:
        self.beacon_ms: int | None = None
        self.answered_ms = 0
        self.unanswered: dict[str, int] = {}


class Reach:
    """Evidence from beacons and from packets, by failure domain.

    Neither is enough alone: the balancers of a domain may have died while
    its servers live, and a full link loses packets to all domains.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._running_ms: int | None = None
        self._resumed_ms = 0
        self._domains: dict[str, _Domain] = collections.defaultdict(_Domain)

    def running(self, now_ms: int) -> None:
        """Note that this process runs; evidence of before a pause is void."""
        if self._running_ms is None or now_ms - self._running_ms > PAUSE_MS:
            self._resumed_ms = now_ms
        self._running_ms = now_ms

    def beacon(self, now_ms: int, domain: str) -> None:
        """Note a beacon of a balancer of a domain."""
        self._domains[domain].beacon_ms = now_ms

    def answered(self, now_ms: int, domain: str) -> None:
        """Note an answer of a server of a domain."""
        found = self._domains[domain]
        found.answered_ms = now_ms
        if found.unanswered:
            found.unanswered.clear()

    def repeated(self, now_ms: int, domain: str, server: str) -> None:
        """Note a packet to a server of a domain that was repeated."""
        self._domains[domain].unanswered[server] = now_ms

    def is_cut(self, now_ms: int, domain: str) -> bool:
        """Return whether a domain is cut off from this process."""
        found = self._domains.get(domain)
        return (
            found is not None
            and domain != self._failure_domain
            and now_ms - self._resumed_ms >= RESUME_MS
            and found.beacon_ms is not None
            and now_ms - found.beacon_ms >= BEACON_SILENT_MS
            and now_ms - found.answered_ms >= ANSWER_SILENT_MS
            and sum(
                now_ms - repeated_ms < EVIDENCE_MS
                for repeated_ms in found.unanswered.values()
            )
            >= UNANSWERED_SERVERS
        )
