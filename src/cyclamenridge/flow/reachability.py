"""Detection of failure domains that this process cannot reach."""

import collections
from collections.abc import Mapping

# The balancers of a reachable domain send several beacons within this time.
BEACON_TIMEOUT_MS = 700
# Retransmissions count against a domain once none of its servers has answered
# for this long. Clients retransmit after 200 ms; a request takes about 40 ms.
ANSWER_TIMEOUT_MS = 400
# Servers with retransmissions since the last answer of their domain. A single
# server may have died while the domain's only balancer restarts.
MIN_UNANSWERED_SERVERS = 2
# Retransmissions and losses older than this do not count: a process that
# rarely sends to a domain may wait long for an answer that clears them.
RETRANSMISSION_TTL_MS = 1500
# A process without a packet or a tick for this long was paused. Queued
# datagrams are then read late, packets of clients possibly before beacons.
MIN_PAUSE_MS = 600
# Time after a start or a pause until beacons have arrived again.
RESUME_GRACE_MS = 1000
# After such a time without activity, packets that are read may be older than
# the client's next retransmission.
MIN_DELAY_MS = 160
# Time after a pause in which queued packets are read. No request starts
# meanwhile, so that changes of the store are read first.
RESUME_SETTLE_MS = 50


class _DomainEvidence:
    """What was last received from a failure domain.

    :ivar retransmission_times: time of the last retransmission by server
        name, since the last answer of the domain
    :ivar loss_times: the same for packets that were retransmitted again
    """

    __slots__ = (
        "last_answer_ms",
        "last_beacon_ms",
        "loss_times",
        "retransmission_times",
    )

    def __init__(self) -> None:
        self.last_beacon_ms: int | None = None
        self.last_answer_ms = 0
        self.retransmission_times: dict[str, int] = {}
        self.loss_times: dict[str, int] = {}


class DomainReachability:
    """Decides by missing beacons and missing answers of a domain.

    Neither is sufficient alone: the balancers of a domain may have died while
    its servers live, and a saturated link loses packets to all domains.

    New flows avoid a domain that seems unreachable. An open flow is reset only
    if its domain is cut off for certain: requests that take long are
    retransmitted once as well, but servers acknowledge every second packet.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._last_active_ms: int | None = None
        self._resumed_ms = 0
        self._settled_ms = 0
        self._delayed_until_ms = 0
        self._domains: dict[str, _DomainEvidence] = collections.defaultdict(
            _DomainEvidence
        )

    def record_activity(self, now_ms: int) -> None:
        """Record that this process runs; detects its pauses."""
        if self._last_active_ms is None:
            self._resumed_ms = now_ms
        else:
            gap_ms = now_ms - self._last_active_ms
            if gap_ms > MIN_PAUSE_MS:
                self._resumed_ms = now_ms
                self._settled_ms = now_ms + RESUME_SETTLE_MS
            if gap_ms > MIN_DELAY_MS:
                self._delayed_until_ms = now_ms + RESUME_SETTLE_MS
        self._last_active_ms = now_ms

    def is_resuming(self, now_ms: int) -> bool:
        """Return whether the process just woke up from a pause."""
        return now_ms < self._settled_ms

    def has_paused_since(self, time_ms: int) -> bool:
        """Return whether the process paused, or started, after a time."""
        return self._resumed_ms > time_ms

    def may_read_late(self, now_ms: int) -> bool:
        """Return whether a packet may have waited in the socket for long."""
        return now_ms < self._delayed_until_ms

    def record_beacon(self, now_ms: int, domain: str) -> None:
        """Record a beacon of a balancer of a domain."""
        self._domains[domain].last_beacon_ms = now_ms

    def forget_beacons(self, domain: str) -> None:
        """Record that the last balancer of a domain has left.

        No beacon is expected from the domain until it sends one again.
        """
        self._domains[domain].last_beacon_ms = None

    def record_answer(self, now_ms: int, domain: str) -> None:
        """Record an answer of a server of a domain."""
        evidence = self._domains[domain]
        evidence.last_answer_ms = now_ms
        if evidence.retransmission_times:
            evidence.retransmission_times.clear()
            evidence.loss_times.clear()

    def record_retransmission(
        self, now_ms: int, domain: str, server: str
    ) -> None:
        """Record a retransmitted packet to a server of a domain."""
        self._domains[domain].retransmission_times[server] = now_ms

    def record_loss(self, now_ms: int, domain: str, server: str) -> None:
        """Record a packet to a server that was retransmitted again."""
        self._domains[domain].loss_times[server] = now_ms

    def is_cut_off(self, now_ms: int, domain: str) -> bool:
        """Return whether no packet of this process reaches a domain."""
        return (
            self.is_unreachable(now_ms, domain)
            and _count_recent(now_ms, self._domains[domain].loss_times)
            >= MIN_UNANSWERED_SERVERS
        )

    def is_unreachable(self, now_ms: int, domain: str) -> bool:
        """Return whether a domain seems unreachable from this process."""
        evidence = self._domains.get(domain)
        return (
            evidence is not None
            and domain != self._failure_domain
            and now_ms - self._resumed_ms >= RESUME_GRACE_MS
            and evidence.last_beacon_ms is not None
            and now_ms - evidence.last_beacon_ms >= BEACON_TIMEOUT_MS
            and now_ms - evidence.last_answer_ms >= ANSWER_TIMEOUT_MS
            and _count_recent(now_ms, evidence.retransmission_times)
            >= MIN_UNANSWERED_SERVERS
        )


def _count_recent(now_ms: int, times: Mapping[str, int]) -> int:
    return sum(
        now_ms - time_ms < RETRANSMISSION_TTL_MS for time_ms in times.values()
    )
