"""What a balancer knows about the backend servers of a service."""

from collections.abc import Mapping
import enum
import math

from cyclamenridge.config import model
from cyclamenridge.wire import backend

# Ejection: failures among the last requests, and how long it lasts.
FAILURE_WEIGHT = 0.2
EJECT_FAILURE_RATIO = 0.6
EJECT_MIN_RESULTS = 4
EJECT_MS = 5_000
EJECT_MAX_MS = 60_000
# What was heard of a free slot this long ago or less is believed. In the
# balance experiment, such tries succeeded in 94 of 100 cases, and those on
# older evidence in 30 to 60.
FRESH_MS = 10
# Part of a slot's time that a cold server gets first.
COLD_PART = 0.1
# Links of a fresh balancer come up within this time; servers that come up
# later are new, not just unknown.
FIRST_LINKS_MS = 5_000


class DrainSource(enum.Enum):
    """Who says that a server is leaving."""

    TOLD = "told"
    REPORT = "report"
    CONFIG = "config"
    PEER = "peer"


class Server:
    """One backend server as this balancer sees it."""

    def __init__(self, name: str, *, slots: int, connections: int) -> None:
        self.name = name
        self.slots = slots
        self.connections_limit = connections
        self.up = False
        self.incarnation: int | None = None
        self.draining: set[DrainSource] = set()
        self.in_flight = 0
        self.feeds = 0
        self.reported_connections = 0
        self.busy_until_ms = 0
        self.ejected_until_ms = 0
        self.warm_from_ms: int | None = None
        self.next_start_ms = 0
        self.tried_ms = 0
        self.failure_ratio = 0.0
        self.results = 0
        self._ejections = 0
        self._others = 0.0
        self._others_mean = 0.0
        self.seen_ms = 0

    def mark(self, source: DrainSource, draining: bool) -> None:
        """Take in what a source says about the server's leaving."""
        if draining:
            self.draining.add(source)
        else:
            self.draining.discard(source)

    def available(self, now_ms: int) -> bool:
        """Whether new work may be sent to the server."""
        return (
            self.up and not self.draining and now_ms >= self.ejected_until_ms
        )

    def link_up(
        self, now_ms: int, identity: backend.Identity, *, fresh: bool
    ) -> None:
        """Take in the answer to ``hello``.

        :param fresh: the balancer itself has just started
        """
        self.up = True
        self.slots = max(1, identity.slots)
        self.connections_limit = max(1, identity.connections)
        if identity.incarnation != self.incarnation:
            self.draining -= {DrainSource.TOLD, DrainSource.REPORT}
            self.failure_ratio = 0.0
            self.results = 0
            self._ejections = 0
            self.ejected_until_ms = self.busy_until_ms = 0
            self._others = self._others_mean = 0.0
            self.warm_from_ms = (
                None if fresh and self.incarnation is None else now_ms
            )
        self.incarnation = identity.incarnation

    def report(self, now_ms: int, load: backend.Load) -> None:
        """Take in a load report."""
        self.mark(DrainSource.REPORT, load.draining)
        self.reported_connections = max(0, load.connections)
        used = max(0, load.slots_used + load.queued)
        self._saw_others(now_ms, min(self.slots, used) - self.in_flight)

    def busy(self, now_ms: int, *, hold_ms: int) -> None:
        """Take in that the server had no free slot."""
        self.tried_ms = now_ms
        self._saw_others(now_ms, self.slots - self.in_flight)
        self.busy_until_ms = max(self.busy_until_ms, now_ms + hold_ms)

    def _saw_others(self, now_ms: int, others: int) -> None:
        self._others = float(max(0, others))
        self._others_mean += 0.1 * (self._others - self._others_mean)
        self.seen_ms = now_ms

    def free_slots(self, now_ms: int, residual_ms: float) -> float:
        """Estimate the free slots.

        What was last seen of the other balancers fades to its mean as the
        work that was seen ends.
        """
        age_ms = max(0, now_ms - self.seen_ms)
        weight = math.exp(-age_ms / max(1.0, residual_ms))
        others = weight * self._others + (1 - weight) * self._others_mean
        return self.slots - self.in_flight - others

    def surely_free(self, now_ms: int) -> bool:
        """Whether a slot was free a moment ago."""
        return (
            now_ms - self.seen_ms <= FRESH_MS
            and self.in_flight + self._others < self.slots
        )

    def warmth(self, now_ms: int, slow_start_ms: int) -> float:
        """Return the part of a slot's time that may be used now."""
        if self.warm_from_ms is None:
            return 1.0
        elapsed_ms = now_ms - self.warm_from_ms
        if elapsed_ms >= slow_start_ms:
            self.warm_from_ms = None
            return 1.0
        return max(COLD_PART, elapsed_ms / slow_start_ms)

    def failed(self, failed: bool) -> None:
        """Take in how a request ended."""
        self.results += 1
        self.failure_ratio += FAILURE_WEIGHT * (failed - self.failure_ratio)

    def eject(self, now_ms: int) -> None:
        """Send nothing for a while, longer each time, then start slowly."""
        duration_ms = min(EJECT_MAX_MS, EJECT_MS << min(10, self._ejections))
        self._ejections += 1
        self.ejected_until_ms = now_ms + duration_ms
        self.warm_from_ms = self.ejected_until_ms
        self.failure_ratio = 0.0
        self.results = 0

    def recovered(self) -> None:
        """Forget earlier ejections."""
        self._ejections = 0


class ServerTable:
    """All servers of a service."""

    def __init__(self) -> None:
        self.by_name: dict[str, Server] = {}
        self._first_up_ms: int | None = None

    def configure(self, configured: Mapping[str, model.Server]) -> None:
        """Apply the configured servers; others get nothing new."""
        for name, server in list(self.by_name.items()):
            if name not in configured:
                server.mark(DrainSource.CONFIG, True)
                if not server.up:
                    del self.by_name[name]
        for name, cfg in configured.items():
            if name not in self.by_name:
                self.by_name[name] = Server(
                    name, slots=cfg.slots, connections=cfg.connections
                )
            self.by_name[name].mark(
                DrainSource.CONFIG, cfg.state is model.ServerState.DRAINING
            )

    def known_leaving(self) -> tuple[str, ...]:
        """Return the servers that this balancer itself saw leaving."""
        own = {DrainSource.TOLD, DrainSource.REPORT}
        return tuple(
            sorted(
                server.name
                for server in self.by_name.values()
                if server.draining & own
            )
        )

    def get(self, name: str) -> Server:
        """Return a server, which may not be configured yet."""
        if name not in self.by_name:
            self.by_name[name] = Server(name, slots=1, connections=1)
        return self.by_name[name]

    def link_up(
        self, now_ms: int, name: str, identity: backend.Identity
    ) -> None:
        """Take in that a link to a server is up."""
        if self._first_up_ms is None:
            self._first_up_ms = now_ms
        fresh = now_ms - self._first_up_ms < FIRST_LINKS_MS
        self.get(name).link_up(now_ms, identity, fresh=fresh)

    def available(self, now_ms: int) -> list[Server]:
        """Return the servers that may get new work."""
        return [
            server
            for server in self.by_name.values()
            if server.available(now_ms)
        ]

    def result(self, now_ms: int, server: Server, *, failed: bool) -> bool:
        """Take in how a request ended; True when the server is ejected.

        Never more than a third of the servers are ejected at a time, and
        only a server that fails more than the others.
        """
        server.failed(failed)
        if not failed:
            if server.failure_ratio < 0.1 and server.warm_from_ms is None:
                server.recovered()
            return False
        if (
            server.results < EJECT_MIN_RESULTS
            or server.failure_ratio < EJECT_FAILURE_RATIO
            or now_ms < server.ejected_until_ms
        ):
            return False
        others = [
            other.failure_ratio
            for other in self.by_name.values()
            if other is not server and other.up
        ]
        ejected = sum(
            now_ms < other.ejected_until_ms for other in self.by_name.values()
        )
        if (
            not others
            or server.failure_ratio < 2 * sum(others) / len(others)
            or 3 * (ejected + 1) > len(self.by_name)
        ):
            return False
        server.eject(now_ms)
        return True
