"""Load and passive health checks of each backend server."""

import collections
from collections.abc import Hashable
from collections.abc import Iterable

# Retransmissions count only once the last answer is this old: clients
# retransmit after 200 ms without an acknowledgement.
MIN_SILENCE_MS = 250
# Unanswered flows that make a server count as silent. A single one may have
# hit a full queue or lost a datagram.
MIN_SILENT_FLOWS = 2
# Retransmissions to a server within this time count as recent losses, even if
# they were answered later: a saturated link delays packets by up to 2 s.
LOSS_WINDOW_MS = 3000
# Retransmissions older than this no longer count.
RETRANSMISSION_TTL_MS = 4000
# A silent server is probed with one flow at most this often.
PROBE_INTERVAL_MS = 1000

# Weight of an answer or a refusal in the moving averages of its server. With
# 33 balancers, each sees about one answer a second of a server.
OUTCOME_SMOOTHING = 0.2
# Weight of an answer in the mean answer time of its route.
ROUTE_SMOOTHING = 0.02
# Bound on the answer time of a server relative to the mean of the route, so
# that one stalled request does not exclude its server.
MAX_SLOWNESS = 8.0
# The averages return to their neutral values over this time without a new
# outcome, so that a server that is avoided is tried again.
OUTCOME_TTL_MS = 10_000
# A server that joins the servers of a service gets a growing part of its
# flows for this time, in which beacons tell of its load.
SLOW_START_MS = 1000
# Part of the flows at the beginning of that time. With 33 balancers, 4 of 60
# servers that return then get 1.0 times the mean of the new flows, without
# slow start 2.3 times.
MIN_SLOW_START_PART = 0.3
# An answer of the server shortens that time by this.
SLOW_START_ANSWER_MS = 100

_NEVER_MS = -(2**62)


class ServerStats:
    """Load and observed health of a server.

    :ivar pending: requests and SYNs of this process without an answer
    :ivar peer_pending: the same at other balancers, from their beacons
    :ivar open_flows: open flows that this process tracks
    :ivar last_answer_ms: when a client last acknowledged data of the server
    :ivar last_refusal_ms: when the server last refused a request
    :ivar last_retransmission_ms: when a client last retransmitted a packet
    :ivar next_probe_ms: when the next flow may probe a silent server
    """

    __slots__ = (
        "_outcome_ms",
        "_refused_part",
        "_slow_start_end_ms",
        "_slowness",
        "_unanswered_flows",
        "last_answer_ms",
        "last_refusal_ms",
        "last_retransmission_ms",
        "next_probe_ms",
        "open_flows",
        "peer_pending",
        "pending",
    )

    def __init__(self) -> None:
        self.pending = 0
        self.open_flows = 0
        self.peer_pending = 0.0
        self.last_answer_ms = _NEVER_MS
        self.last_refusal_ms = _NEVER_MS
        self.last_retransmission_ms = _NEVER_MS
        self.next_probe_ms = 0
        self._slowness = 1.0
        self._refused_part = 0.0
        self._outcome_ms = _NEVER_MS
        self._slow_start_end_ms = _NEVER_MS
        self._unanswered_flows: set[Hashable] = set()

    @property
    def unanswered_flows(self) -> int:
        """Number of flows with retransmissions since the last answer."""
        return len(self._unanswered_flows)

    def answered_ms_ago(self, now_ms: int) -> int | None:
        """Return the time since the last answer, None before the first."""
        if self.last_answer_ms == _NEVER_MS:
            return None
        return now_ms - self.last_answer_ms

    def record_answer(self, now_ms: int) -> bool:
        """Record an answer; return whether the server was silent before."""
        was_silent = len(self._unanswered_flows) >= MIN_SILENT_FLOWS
        self.last_answer_ms = now_ms
        if self._unanswered_flows:
            self._unanswered_flows.clear()
        return was_silent

    def record_retransmission(self, now_ms: int, flow: Hashable) -> bool:
        """Record a retransmission; return whether the server became silent.

        :param flow: key of the flow
        """
        if now_ms - self.last_answer_ms < MIN_SILENCE_MS:
            return False
        if now_ms - self.last_retransmission_ms > RETRANSMISSION_TTL_MS:
            self._unanswered_flows.clear()
        self.last_retransmission_ms = now_ms
        self._unanswered_flows.add(flow)
        becomes_silent = (
            len(self._unanswered_flows) >= MIN_SILENT_FLOWS
            and now_ms >= self.next_probe_ms
        )
        if becomes_silent:
            self.next_probe_ms = now_ms + PROBE_INTERVAL_MS
        return becomes_silent

    def slowness(self, now_ms: int) -> float:
        """Return the answer time relative to other servers, 1 if unknown."""
        age_ms = now_ms - self._outcome_ms
        if age_ms >= OUTCOME_TTL_MS:
            return 1.0
        return 1 + (self._slowness - 1) * (1 - age_ms / OUTCOME_TTL_MS)

    def refused_part(self, now_ms: int) -> float:
        """Return the part of recent requests that the server refused."""
        if not self._refused_part:
            return 0.0
        age_ms = now_ms - self._outcome_ms
        return self._refused_part * max(0.0, 1 - age_ms / OUTCOME_TTL_MS)

    def record_relative_time(self, now_ms: int, relative_time: float) -> None:
        """Record an answer.

        :param relative_time: time to the answer as a multiple of the mean of
            its route
        """
        slowness = self.slowness(now_ms)
        self._slowness = slowness + OUTCOME_SMOOTHING * (
            min(relative_time, MAX_SLOWNESS) - slowness
        )
        self._refused_part = self.refused_part(now_ms) * (
            1 - OUTCOME_SMOOTHING
        )
        self._outcome_ms = now_ms
        if now_ms < self._slow_start_end_ms:
            self._slow_start_end_ms -= SLOW_START_ANSWER_MS

    def record_refusal(self, now_ms: int) -> None:
        """Record that the server refused a request."""
        self._slowness = self.slowness(now_ms)
        refused_part = self.refused_part(now_ms)
        self._refused_part = refused_part + OUTCOME_SMOOTHING * (
            1 - refused_part
        )
        self._outcome_ms = now_ms
        self.last_refusal_ms = now_ms

    def begin_slow_start(self, now_ms: int) -> None:
        """Reduce the new flows, because peers may not know the load yet."""
        self._slow_start_end_ms = now_ms + SLOW_START_MS

    def slow_start_part(self, now_ms: int) -> float:
        """Return the part of new flows for which the server is compared."""
        remaining_ms = self._slow_start_end_ms - now_ms
        if remaining_ms <= 0:
            return 1.0
        return max(MIN_SLOW_START_PART, 1 - remaining_ms / SLOW_START_MS)

    def is_silent(self, now_ms: int) -> bool:
        """Return whether new flows should avoid the server."""
        return (
            len(self._unanswered_flows) >= MIN_SILENT_FLOWS
            and now_ms - self.last_retransmission_ms < RETRANSMISSION_TTL_MS
        )

    def has_recent_losses(self, now_ms: int) -> bool:
        """Return whether a client retransmitted a packet recently."""
        return now_ms - self.last_retransmission_ms < LOSS_WINDOW_MS

    def claim_probe(self, now_ms: int) -> bool:
        """Return whether a flow may probe the server, and use up the probe."""
        if now_ms < self.next_probe_ms:
            return False
        self.next_probe_ms = now_ms + PROBE_INTERVAL_MS
        return True


class ServerStatsTable:
    """Statistics by server name.

    :ivar opened_by_domain: SYNs that were sent to servers, by failure domain
    """

    def __init__(self) -> None:
        self.opened_by_domain: collections.Counter[str] = collections.Counter()
        self._servers: dict[str, ServerStats] = collections.defaultdict(
            ServerStats
        )
        self._mean_answer_ms: dict[str, float] = {}

    def record_answer_time(
        self, now_ms: int, name: str, *, route: str, answer_ms: int
    ) -> None:
        """Record the time from a request to its answer.

        Times include the network and the delayed acknowledgement of clients,
        which are the same for all servers of a route.

        :param name: name of the server
        :param route: name of the route
        """
        mean_ms = self._mean_answer_ms.get(route, answer_ms) or 1.0
        self.for_server(name).record_relative_time(now_ms, answer_ms / mean_ms)
        bounded_ms = min(answer_ms, MAX_SLOWNESS * mean_ms)
        self._mean_answer_ms[route] = mean_ms + ROUTE_SMOOTHING * (
            bounded_ms - mean_ms
        )

    def for_server(self, name: str) -> ServerStats:
        """Return the statistics of a server, new ones if there are none."""
        return self._servers[name]

    def find(self, name: str) -> ServerStats | None:
        """Return the statistics of a server, None if there are none."""
        return self._servers.get(name)

    def items(self) -> Iterable[tuple[str, ServerStats]]:
        """Return names and statistics of all servers."""
        return self._servers.items()

    def discard(self, name: str) -> None:
        """Drop the statistics of a server."""
        self._servers.pop(name, None)
