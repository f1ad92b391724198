"""What a balancer knows about the backend servers of a service."""

from collections.abc import Mapping
import enum
import math

from cyclamenridge.config import model
from cyclamenridge.wire import backend

# A server whose moving average of failures reaches the ratio is ejected: it
# gets no new work for a time that doubles with each ejection.
FAILURE_RATIO_WEIGHT = 0.2
MIN_EJECTION_FAILURE_RATIO = 0.6
MIN_EJECTION_RESULTS = 4
MIN_EJECTION_MS = 5_000
MAX_EJECTION_MS = 60_000
# Age up to which an observed free slot is taken to be still free. In
# ``benchmarks/balance.py``, 94 per cent of the attempts at such slots
# succeeded, and 30 to 60 per cent of those based on older observations.
RECENT_MS = 10
# Part of a slot's time that a server in slow start may use at first.
MIN_SLOW_START_FACTOR = 0.1
# A balancer that starts connects its links within this time. Servers that
# connect later are taken to have just started, and get a slow start.
STARTUP_LINKS_MS = 5_000


class DrainSource(enum.Enum):
    """What says that a server is draining.

    ``NOTIFICATION`` stands for a call of ``ServiceScheduler.server_draining``,
    ``REPORT`` for a load report, and ``PEER`` for the demand of a member.
    """

    NOTIFICATION = "notification"
    REPORT = "report"
    CONFIG = "config"
    PEER = "peer"


class Server:
    """State of one backend server at this balancer.

    :ivar in_flight: requests of this balancer that are at the server
    :ivar feeds: feeds of this balancer that are at the server
    :ivar next_start_ms: earliest time of the next request; it spaces out
        requests during slow start and after failures
    """

    def __init__(self, name: str, *, slots: int, connections: int) -> None:
        self.name = name
        self.slots = slots
        self.connections_limit = connections
        self.up = False
        self.incarnation: int | None = None
        self.drain_sources: set[DrainSource] = set()
        self.in_flight = 0
        self.feeds = 0
        self.reported_connections = 0
        self.backoff_until_ms = 0
        self.ejected_until_ms = 0
        self.slow_start_from_ms: int | None = None
        self.next_start_ms = 0
        self.last_attempt_ms = 0
        self.failure_ratio = 0.0
        self.result_count = 0
        self._ejections = 0
        self._foreign_used = 0.0
        self._mean_foreign_used = 0.0
        self.observed_ms = 0

    def set_draining(self, source: DrainSource, draining: bool) -> None:
        """Record whether the server is draining according to a source."""
        if draining:
            self.drain_sources.add(source)
        else:
            self.drain_sources.discard(source)

    def accepts_work(self, now_ms: int) -> bool:
        """Whether new work may be sent to the server."""
        return (
            self.up
            and not self.drain_sources
            and now_ms >= self.ejected_until_ms
        )

    def link_up(
        self,
        now_ms: int,
        identity: backend.Identity,
        *,
        balancer_starting: bool,
    ) -> None:
        """Apply the answer to ``hello``.

        A changed incarnation is a new process: what was known of the old
        one is dropped.

        :param balancer_starting: the balancer itself has just started, so
            that a server it does not know yet is not a new one
        """
        self.up = True
        self.slots = max(1, identity.slots)
        self.connections_limit = max(1, identity.connections)
        if identity.incarnation != self.incarnation:
            self.drain_sources -= {
                DrainSource.NOTIFICATION,
                DrainSource.REPORT,
            }
            self.failure_ratio = 0.0
            self.result_count = 0
            self._ejections = 0
            self.ejected_until_ms = self.backoff_until_ms = 0
            self._foreign_used = self._mean_foreign_used = 0.0
            self.slow_start_from_ms = (
                None
                if balancer_starting and self.incarnation is None
                else now_ms
            )
        self.incarnation = identity.incarnation

    def record_load(self, now_ms: int, load: backend.Load) -> None:
        """Apply a load report."""
        self.set_draining(DrainSource.REPORT, load.draining)
        self.reported_connections = max(0, load.connections)
        used = max(0, load.slots_used + load.queued)
        self._observe_foreign_use(
            now_ms, min(self.slots, used) - self.in_flight
        )

    def record_busy(self, now_ms: int, *, backoff_ms: int) -> None:
        """Record that the server had no free slot.

        :param backoff_ms: time without new requests
        """
        self.last_attempt_ms = now_ms
        self._observe_foreign_use(now_ms, self.slots - self.in_flight)
        self.backoff_until_ms = max(self.backoff_until_ms, now_ms + backoff_ms)

    def _observe_foreign_use(self, now_ms: int, slots: int) -> None:
        """Record how many slots the other balancers use."""
        self._foreign_used = float(max(0, slots))
        self._mean_foreign_used += 0.1 * (
            self._foreign_used - self._mean_foreign_used
        )
        self.observed_ms = now_ms

    def expected_free_slots(self, now_ms: int, residual_ms: float) -> float:
        """Estimate the free slots.

        The use by other balancers is estimated to decay from the last
        observation to the mean, since the observed requests end.

        :param residual_ms: how long a slot in use is expected to stay in use
        """
        age_ms = max(0, now_ms - self.observed_ms)
        weight = math.exp(-age_ms / max(1.0, residual_ms))
        foreign_used = (
            weight * self._foreign_used
            + (1 - weight) * self._mean_foreign_used
        )
        return self.slots - self.in_flight - foreign_used

    def recently_free(self, now_ms: int) -> bool:
        """Whether a slot was free within the last ``RECENT_MS``."""
        return (
            now_ms - self.observed_ms <= RECENT_MS
            and self.in_flight + self._foreign_used < self.slots
        )

    def slow_start_factor(self, now_ms: int, slow_start_ms: int) -> float:
        """Return the part of a slot's time that may be used now."""
        if self.slow_start_from_ms is None:
            return 1.0
        elapsed_ms = now_ms - self.slow_start_from_ms
        if elapsed_ms >= slow_start_ms:
            self.slow_start_from_ms = None
            return 1.0
        return max(MIN_SLOW_START_FACTOR, elapsed_ms / slow_start_ms)

    def record_result(self, failed: bool) -> None:
        """Add the result of a request to the failure ratio."""
        self.result_count += 1
        self.failure_ratio += FAILURE_RATIO_WEIGHT * (
            failed - self.failure_ratio
        )

    def eject(self, now_ms: int) -> None:
        """Stop new work for a time, then begin a slow start.

        The time doubles with each ejection.
        """
        duration_ms = min(
            MAX_EJECTION_MS, MIN_EJECTION_MS << min(10, self._ejections)
        )
        self._ejections += 1
        self.ejected_until_ms = now_ms + duration_ms
        self.slow_start_from_ms = self.ejected_until_ms
        self.failure_ratio = 0.0
        self.result_count = 0

    def reset_ejections(self) -> None:
        """Have the next ejection last for the shortest time again."""
        self._ejections = 0


class ServerTable:
    """All servers of a service."""

    def __init__(self) -> None:
        self.by_name: dict[str, Server] = {}
        self._first_link_up_ms: int | None = None

    def configure(self, configured: Mapping[str, model.Server]) -> None:
        """Apply the configured servers; removed ones get no new work."""
        for name, server in list(self.by_name.items()):
            if name not in configured:
                server.set_draining(DrainSource.CONFIG, True)
                if not server.up:
                    del self.by_name[name]
        for name, cfg in configured.items():
            if name not in self.by_name:
                self.by_name[name] = Server(
                    name, slots=cfg.slots, connections=cfg.connections
                )
            self.by_name[name].set_draining(
                DrainSource.CONFIG, cfg.state is model.ServerState.DRAINING
            )

    def draining_to_announce(self) -> tuple[str, ...]:
        """Return the draining servers that the other members are told.

        What another member said is not passed on, since it would otherwise
        be repeated for ever.
        """
        sources = {DrainSource.NOTIFICATION, DrainSource.REPORT}
        return tuple(
            sorted(
                server.name
                for server in self.by_name.values()
                if server.drain_sources & sources
            )
        )

    def get(self, name: str) -> Server:
        """Return a server; one that is not configured yet is added."""
        if name not in self.by_name:
            self.by_name[name] = Server(name, slots=1, connections=1)
        return self.by_name[name]

    def link_up(
        self, now_ms: int, name: str, identity: backend.Identity
    ) -> None:
        """Record that the link to a server is up."""
        if self._first_link_up_ms is None:
            self._first_link_up_ms = now_ms
        balancer_starting = now_ms - self._first_link_up_ms < STARTUP_LINKS_MS
        self.get(name).link_up(
            now_ms, identity, balancer_starting=balancer_starting
        )

    def available(self, now_ms: int) -> list[Server]:
        """Return the servers that may get new work."""
        return [
            server
            for server in self.by_name.values()
            if server.accepts_work(now_ms)
        ]

    def record_result(
        self, now_ms: int, server: Server, *, failed: bool
    ) -> bool:
        """Record the result of a request; True when the server is ejected.

        At most a third of the servers are ejected at a time, and only a
        server with at least twice the mean failure ratio of the others.
        """
        server.record_result(failed)
        if not failed:
            if (
                server.failure_ratio < 0.1
                and server.slow_start_from_ms is None
            ):
                server.reset_ejections()
            return False
        if (
            server.result_count < MIN_EJECTION_RESULTS
            or server.failure_ratio < MIN_EJECTION_FAILURE_RATIO
            or now_ms < server.ejected_until_ms
        ):
            return False
        other_ratios = [
            other.failure_ratio
            for other in self.by_name.values()
            if other is not server and other.up
        ]
        ejected = sum(
            now_ms < other.ejected_until_ms for other in self.by_name.values()
        )
        if (
            not other_ratios
            or server.failure_ratio < 2 * sum(other_ratios) / len(other_ratios)
            or 3 * (ejected + 1) > len(self.by_name)
        ):
            return False
        server.eject(now_ms)
        return True
