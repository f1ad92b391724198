"""Rate limit of new flows to servers that are still cold.

All balancers together keep to the rate without asking each other: each of
them derives from the members that it knows whether it may send, and how
often. docs/design/warmup.md explains the rules.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import log as log_port
from cyclamenridge.flow import position as position_lib
from cyclamenridge.flow import routes as routes_lib
from cyclamenridge.flow import tracking
from cyclamenridge.routing import rendezvous

# Time that an allowance is for: the second of the rule and a margin for
# packets that take different times to the server.
WINDOW_MS = 1200
# A balancer counts as a member for this long after its last sign of life, so
# that lost beacons do not make the shares of the others grow.
MEMBER_TIMEOUT_MS = 15_000
# With 540 balancers, 0.7 of them are heard, or named in a beacon, within this
# time; it takes that long to notice that most are lost.
HEARD_MS = 5000
# A process that starts learns the members for at least this long, and until
# it has learnt of no other one for the second time.
MIN_LEARNING_MS = 5000
QUIET_LEARNING_MS = 1500
# Longer gaps between two ticks are pauses, in which nothing is learnt.
MAX_TICK_GAP_MS = 1000
# Minimum interval of log lines for a server.
LOG_INTERVAL_MS = 1000

DEFAULT_OVERAGE = 1.5
DEFAULT_SLACK = 5.0


class _Member:
    """Balancer that sent a beacon or was named in one.

    :ivar failure_domain: None until its first beacon
    """

    __slots__ = ("failure_domain", "seen_ms")

    def __init__(self, now_ms: int, failure_domain: str | None) -> None:
        self.failure_domain = failure_domain
        self.seen_ms = now_ms


class Membership:
    """Other balancers that may send to the same servers.

    It errs on the side of more members: too many make a cold server get less
    than it could, too few make it get more than it may.

    :ivar host: own address, None before ``join``
    :ivar version: rises whenever the members or their domains change
    :ivar count: balancers that were heard or named within ``HEARD_MS`` of the
        last tick, this one included, and at least half of the known ones: all
        others may be alive while beacons are lost
    """

    def __init__(self) -> None:
        self.host: str | None = None
        self.failure_domain = ""
        self.version = 0
        self.count = 1
        self._has_seeds = False
        self._members: dict[str, _Member] = {}
        self._ticked_ms: int | None = None
        self._running_ms = 0
        self._learnt_at_ms = 0
        self._has_learnt = False
        self._heard_ms: int | None = None
        # When most members were last silent.
        self._cut_off_ms = 0

    def join(self, host: str, failure_domain: str) -> None:
        """Set the identity of this balancer."""
        self.host = host
        self.failure_domain = failure_domain
        self.version += 1

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Set the configured peers, without this balancer."""
        self._has_seeds = bool(seeds)

    def record_beacon(
        self, now_ms: int, host: str, failure_domain: str, named: Iterable[str]
    ) -> None:
        """Record a beacon.

        :param named: addresses of the members that the sender hears
        """
        if self._heard_ms is None or now_ms - self._heard_ms > HEARD_MS:
            # Members may have come meanwhile.
            self._running_ms = self._learnt_at_ms = 0
            self._has_learnt = False
        self._heard_ms = now_ms
        self._see(now_ms, host, failure_domain)
        for other in named:
            if other != self.host:
                self._see(now_ms, other, None)

    def _see(self, now_ms: int, host: str, domain: str | None) -> None:
        member = self._members.get(host)
        if member is None:
            self._members[host] = _Member(now_ms, domain)
            self._learnt_at_ms = self._running_ms
            self.version += 1
            return
        member.seen_ms = now_ms
        if domain is not None and domain != member.failure_domain:
            member.failure_domain = domain
            self.version += 1

    def tick(self, now_ms: int) -> None:
        """Drop members without a sign of life; to be called regularly.

        None is dropped while fewer than half of them are heard, because this
        balancer is then cut off rather than most of the others dead. Later,
        each has the whole time to be heard again.
        """
        if self._ticked_ms is not None:
            gap_ms = now_ms - self._ticked_ms
            self._running_ms += min(gap_ms, MAX_TICK_GAP_MS)
        self._ticked_ms = now_ms
        self._has_learnt |= (
            self._running_ms >= MIN_LEARNING_MS
            and self._running_ms - self._learnt_at_ms >= QUIET_LEARNING_MS
        )
        heard = sum(
            now_ms - member.seen_ms <= HEARD_MS
            for member in self._members.values()
        )
        known = len(self._members) + 1
        self.count = max(heard + 1, (known + 1) // 2)
        if 2 * (heard + 1) < known:
            self._cut_off_ms = now_ms
        if now_ms - self._cut_off_ms <= MEMBER_TIMEOUT_MS:
            return
        expired = [
            host
            for host, member in self._members.items()
            if now_ms - member.seen_ms > MEMBER_TIMEOUT_MS
        ]
        for host in expired:
            del self._members[host]
        if expired:
            self.version += 1

    def knows_members(self, now_ms: int) -> bool:
        """Return whether shares may be derived from the known members.

        Does not hold after a start, and while no beacon arrives although
        there are other balancers in the own domain, or seeds that never
        answered.
        """
        if self.host is None or not self._has_learnt:
            return False
        if self._heard_ms is not None and now_ms - self._heard_ms <= HEARD_MS:
            return True
        if not self._members:
            return self._heard_ms is not None or not self._has_seeds
        return all(
            member.failure_domain not in (None, self.failure_domain)
            for member in self._members.values()
        )

    def candidates(self, failure_domain: str) -> tuple[list[str], bool]:
        """Return who shares the allowance of a domain's cold servers.

        Members whose domain is unknown count for each domain.

        :returns: the addresses, and whether they are of the domain; if no
            balancer there is known, all balancers are candidates
        """
        assert self.host is not None
        hosts = [
            host
            for host, member in self._members.items()
            if member.failure_domain in (None, failure_domain)
        ]
        if failure_domain == self.failure_domain:
            hosts.append(self.host)
        if hosts:
            return hosts, True
        return [self.host, *self._members], False


class WarmupReport(msgspec.Struct, frozen=True):
    """State of a cold server for operators.

    :param ms_left: time until the warm-up is expected to end
    :param allowance: flows that this balancer may send in ``WINDOW_MS``, None
        without a limit
    :param sent: flows that it sent in the last ``WINDOW_MS``
    """

    ms_left: int
    allowance: int | None
    sent: int


class _Placeable(msgspec.Struct, frozen=True, gc=False):
    """Last answer of ``WarmupLimiter.can_place`` for a service.

    :param ready: servers that it was derived from
    :param server: server that a new flow may go to, None if there is none
    :param members_version: version of the members, None while they are not
        known
    :param until_ms: when an answer without a server has to be derived anew
    """

    ready: list[directory_lib.Server]
    server: directory_lib.Server | None
    members_version: int | None
    until_ms: int


class WarmupLimiter:
    """Decides whether a new flow may go to a server.

    :ivar members: balancers that share the allowance
    :ivar is_active: whether any service has a limit
    """

    def __init__(
        self,
        *,
        directory: directory_lib.Directory,
        log: log_port.FlowLog,
    ) -> None:
        self.members = Membership()
        self.is_active = False
        self._directory = directory
        self._log = log
        self._overage = DEFAULT_OVERAGE
        self._slack = DEFAULT_SLACK
        self._warmups: dict[str, routes_lib.Warmup] = {}
        # Flows in WINDOW_MS that a group of balancers with one view may send
        # to a cold server, by service.
        self._group_allowances: dict[str, int] = {}
        # Own part of it by server name, service and failure domain, for one
        # version of the members.
        self._shares: dict[tuple[str, str, str], int] = {}
        # Candidates by failure domain, for the same version.
        self._candidates: dict[str, tuple[list[str], bool]] = {}
        self._shares_version = 0
        # Without it, each packet checks all servers for each waiting SYN: 52
        # ms with 40 SYNs and 2,700 cold servers.
        self._placeable: dict[str, _Placeable] = {}
        self._sent: dict[str, collections.deque[int]] = {}
        self._logged_ms: dict[str, int] = {}

    def set_bounds(self, *, overage: float, slack: float) -> None:
        """Set the factor on the rate, and the flows a second on top."""
        self._overage = overage
        self._slack = slack
        self._update_allowances()

    def set_routes(self, table: routes_lib.RouteTable) -> None:
        """Apply the rates of a configuration."""
        self._warmups = {
            service: warmup
            for service, warmup in table.warmups.items()
            if warmup.flows_per_s > 0
        }
        self._update_allowances()

    def _update_allowances(self) -> None:
        # Half for each of two groups of balancers with different views.
        self._group_allowances = {
            service: int(warmup.flows_per_s * self._overage + self._slack) // 2
            for service, warmup in self._warmups.items()
        }
        self.is_active = bool(self._warmups)
        self._shares.clear()
        self._placeable.clear()

    def is_limited(self, now_ms: int, server: directory_lib.Server) -> bool:
        """Return whether a server is cold and its service has a rate."""
        return (
            now_ms < server.warmup_end_ms
            and server.entry.service in self._warmups
        )

    def may_send(self, now_ms: int, server: directory_lib.Server) -> bool:
        """Return whether a new flow may go to a server now."""
        if not self.is_limited(now_ms, server):
            return True
        share = self._share(now_ms, server)
        if share == 0:
            return False
        name = server.entry.name
        sent = self._sent_in_window(now_ms, name)
        if sent < share:
            return True
        logged_ms = self._logged_ms.get(name)
        if logged_ms is None or now_ms - logged_ms >= LOG_INTERVAL_MS:
            self._logged_ms[name] = now_ms
            self._log.process_event(
                "warmup_limited",
                server=name,
                allowance=share,
                sent=sent,
                ms_left=server.warmup_end_ms - now_ms,
            )
        return False

    def allowed(
        self, now_ms: int, servers: list[directory_lib.Server]
    ) -> list[directory_lib.Server]:
        """Return the servers that a new flow may go to."""
        if not self.is_active:
            return servers
        return [server for server in servers if self.may_send(now_ms, server)]

    def can_place(self, now_ms: int, service: str) -> bool:
        """Return whether a new flow may go to any server of a service.

        Also holds if the service has no server at all, which callers handle.
        """
        if service not in self._warmups:
            return True
        ready = self._directory.ready_servers(service)
        if not ready:
            return True
        members = self.members
        version = members.version if members.knows_members(now_ms) else None
        known = self._placeable.get(service)
        if known is not None and known.ready is ready:
            if known.server is not None:
                if self.may_send(now_ms, known.server):
                    return True
            elif known.members_version == version and now_ms < known.until_ms:
                return False
        found = next(
            (server for server in ready if self.may_send(now_ms, server)), None
        )
        self._placeable[service] = _Placeable(
            ready,
            found,
            version,
            now_ms
            if found is not None
            else min(self._limited_until_ms(now_ms, item) for item in ready),
        )
        return found is not None

    def _limited_until_ms(
        self, now_ms: int, server: directory_lib.Server
    ) -> int:
        """Return until when a limited server gets no flow, at least.

        Holds while neither its entry nor the members change.
        """
        times = self._sent.get(server.entry.name)
        if not times or self._share(now_ms, server) == 0:
            return server.warmup_end_ms
        return min(server.warmup_end_ms, times[0] + WINDOW_MS)

    def record(self, now_ms: int, server: directory_lib.Server) -> None:
        """Record a SYN that is sent to a server."""
        if self.is_active and self.is_limited(now_ms, server):
            self._sent.setdefault(
                server.entry.name, collections.deque()
            ).append(now_ms)

    def record_request(
        self,
        now_ms: int,
        server: directory_lib.Server,
        rec: tracking.FlowRecord,
        *,
        is_first: bool,
    ) -> None:
        """Record a request on an open flow.

        Counts the first one, unless its SYN was sent within the window and is
        counted itself. A flow that another balancer opened counts there.
        """
        if (
            self.is_active
            and is_first
            and now_ms - rec.pending_since_ms >= WINDOW_MS
        ):
            self.record(now_ms, server)

    def assume_cold(
        self,
        now_ms: int,
        failure_domain: str,
        position: position_lib.Position,
    ) -> None:
        """Count the servers of a domain as cold.

        To be called when an evacuation of the domain is withdrawn, because
        the entries that report the warm-up may be late.

        :param position: store position of the withdrawal
        """
        self._directory.assume_cold(
            now_ms,
            failure_domain,
            position,
            {
                service: warmup.duration_ms
                for service, warmup in self._warmups.items()
            },
        )

    def sweep(self, now_ms: int) -> None:
        """Update the members, and forget servers without recent flows."""
        self.members.tick(now_ms)
        for name in list(self._sent):
            if not self._sent_in_window(now_ms, name):
                del self._sent[name]
                self._logged_ms.pop(name, None)

    def report(
        self, now_ms: int, server: directory_lib.Server
    ) -> WarmupReport | None:
        """Return the state of a cold server, None if it is warm."""
        if now_ms >= server.warmup_end_ms:
            return None
        return WarmupReport(
            server.warmup_end_ms - now_ms,
            self._share(now_ms, server)
            if self.is_limited(now_ms, server)
            else None,
            self._sent_in_window(now_ms, server.entry.name),
        )

    def _sent_in_window(self, now_ms: int, name: str) -> int:
        times = self._sent.get(name)
        if times is None:
            return 0
        while times and now_ms - times[0] >= WINDOW_MS:
            times.popleft()
        return len(times)

    def _share(self, now_ms: int, server: directory_lib.Server) -> int:
        """Return the flows in ``WINDOW_MS`` that this balancer may send."""
        members = self.members
        if not members.knows_members(now_ms):
            return 0
        if members.version != self._shares_version:
            self._shares.clear()
            self._candidates.clear()
            self._shares_version = members.version
        entry = server.entry
        key = entry.name, entry.service, entry.failure_domain
        share = self._shares.get(key)
        if share is None:
            share = self._shares[key] = self._compute_share(entry)
        return share

    def _compute_share(self, entry: directory_lib.ServerEntry) -> int:
        domain = entry.failure_domain
        if domain not in self._candidates:
            self._candidates[domain] = self.members.candidates(domain)
        hosts, are_local = self._candidates[domain]
        own = self.members.host
        assert own is not None
        if own not in hosts:
            return 0
        allowance = self._group_allowances[entry.service]
        if not are_local:
            # Balancers of the domain may exist without being heard here, and
            # use their part.
            allowance //= 2
        selected = min(len(hosts), allowance)
        if own not in rendezvous.ranked(entry.name.encode(), hosts)[:selected]:
            return 0
        return allowance // selected
