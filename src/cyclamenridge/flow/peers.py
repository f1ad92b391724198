"""Gossip between balancers: load, versions and membership."""

import collections
import random

import msgspec

import cyclamenridge.errors as errors
from cyclamenridge.flow import core as core_lib
from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import evacuation
from cyclamenridge.flow import fields
from cyclamenridge.flow import position as position_lib
from cyclamenridge.flow import routes as routes_lib

BEACON_INTERVAL_MS = 200
# Peers that each beacon is sent to, so that the traffic of a process does not
# grow with the fleet.
GOSSIP_FANOUT = 4
# The load in a peer's last beacon expires after this time.
LOAD_TTL_MS = 1200
# Weight of a new beacon in the load of a peer.
LOAD_SMOOTHING = 0.25
# A smaller load of a peer at a server is dropped.
MIN_LOAD = 0.05
# A peer without a beacon for this long is removed.
PEER_TIMEOUT_MS = 4000
# Interval of beacons to seeds and to members without a beacon so far.
SEED_INTERVAL_MS = 1000
# Maximum entries of a beacon, so that it fits one datagram.
MAX_LOADS = 24
MAX_DEMANDS = 24
MAX_MEMBERS = 6
# Minimum time between two fetches of snapshots.
PULL_INTERVAL_MS = 500
# The same while only orders are missing here. A process of a version without
# orders never sends them; a fetch of 147 servers takes about 25 KB.
ORDERS_PULL_INTERVAL_MS = 10_000


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Pending requests of the sender at a backend server."""

    token: int
    waiting: int


class Beacon(msgspec.Struct, frozen=True, array_like=True):
    """State that a balancer announces in one datagram.

    :param asks: whether the receiver shall reply at once
    :param version: version of the configuration in force, 0 for none
    :param revision: store revision up to which changes are applied
    :param members: addresses of some of the sender's peers
    :param epoch: epoch of the store that the revision belongs to
    :param demand: requests in progress and waiting by service, None if the
        sender does not tell
    :param leaving: whether this is the sender's last beacon
    """

    name: str
    failure_domain: str
    asks: bool
    version: fields.Version
    revision: fields.Version
    loads: list[Load]
    members: list[str]
    epoch: fields.Version = 0
    demand: dict[str, int] | None = None
    leaving: bool = False


class Snapshot(msgspec.Struct, frozen=True):
    """Configuration and servers that a balancer transfers to a peer.

    :param removed: removed servers whose flows may still be open
    :param epoch: epoch of the store that the revision belongs to
    :param evacuations: None if the sender's version does not know of orders
    """

    routes: routes_lib.RouteTable | None
    revision: fields.Version
    servers: list[directory_lib.ServerEntry]
    removed: list[directory_lib.ServerEntry]
    epoch: fields.Version = 0
    evacuations: evacuation.OrderSnapshot | None = None


class BeaconAction(msgspec.Struct, frozen=True):
    """What the caller has to do after a beacon.

    :param reply: reply with a beacon
    :param pull: fetch the sender's snapshot
    """

    reply: bool = False
    pull: bool = False


class _Peer:
    __slots__ = ("failure_domain", "last_beacon_ms", "loads", "name")

    def __init__(self) -> None:
        self.name = ""
        self.failure_domain = ""
        self.last_beacon_ms = 0
        # Requests that were added to the statistics, by server name.
        self.loads: dict[str, float] = {}


_beacons = msgspec.msgpack.Decoder(Beacon)
_snapshots = msgspec.msgpack.Decoder(Snapshot)
_encode = msgspec.msgpack.Encoder().encode


class Peers:
    """Other balancers that this one receives beacons of."""

    def __init__(
        self,
        core: core_lib.FlowCore,
        *,
        name: str,
        failure_domain: str,
        host: str,
        seeds: tuple[str, ...],
        lag_tolerance_ms: int,
        rng: random.Random,
    ) -> None:
        """Create the state without any peer.

        :param host: own address
        :param seeds: addresses of peers to contact first
        :param lag_tolerance_ms: time that a peer may be ahead, while the
            store works, before its snapshot is fetched
        """
        self._core = core
        self._name = name
        self._failure_domain = failure_domain
        self._host = host
        self._lag_tolerance_ms = lag_tolerance_ms
        self._rng = rng
        self._core.warmup.members.join(host, failure_domain)
        self.set_seeds(seeds)
        self._peers: dict[str, _Peer] = {}
        # Members named in beacons of others, which have sent none here yet.
        self._unheard_hosts: dict[str, int] = {}
        self._next_seed_ms = 0
        self._next_pull_ms = 0
        self._next_orders_pull_ms = 0
        # Own version and position at the first beacon of a peer ahead of them.
        self._lagging_at: (
            tuple[int, position_lib.Position, position_lib.Position] | None
        ) = None
        self._lagging_since_ms = 0

    def __len__(self) -> int:
        return len(self._peers)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds."""
        self._seeds = tuple(seed for seed in seeds if seed != self._host)
        self._core.warmup.members.set_seeds(self._seeds)

    def names(self) -> dict[str, str]:
        """Return the names of the peers by address."""
        return {host: peer.name for host, peer in self._peers.items()}

    def beacon_targets(self, now_ms: int) -> list[str]:
        """Remove expired peers; return the addresses to send a beacon to."""
        for host, peer in list(self._peers.items()):
            if now_ms - peer.last_beacon_ms > PEER_TIMEOUT_MS:
                self._replace_loads(peer, {})
                del self._peers[host]
            elif peer.loads and now_ms - peer.last_beacon_ms > LOAD_TTL_MS:
                self._replace_loads(peer, {})
        self._core.warmup.sweep(now_ms)
        self._update_peer_scale(now_ms)
        hosts = list(self._peers)
        if len(hosts) > GOSSIP_FANOUT:
            hosts = self._rng.sample(hosts, GOSSIP_FANOUT)
        if now_ms >= self._next_seed_ms:
            self._next_seed_ms = now_ms + SEED_INTERVAL_MS
            extra = [*self._seeds, *self._unheard_hosts]
            self._unheard_hosts.clear()
            hosts += [
                host
                for host in dict.fromkeys(extra)
                if host not in self._peers
            ][:GOSSIP_FANOUT]
        return hosts

    def _update_peer_scale(self, now_ms: int) -> None:
        """Tell the admission how many peers the known loads stand for."""
        recent = sum(
            now_ms - peer.last_beacon_ms <= LOAD_TTL_MS
            for peer in self._peers.values()
        )
        admission = self._core.admission
        # Only a part of a large fleet is heard within PEER_TIMEOUT_MS.
        admission.balancers = max(
            len(self._peers) + 1, self._core.warmup.members.count
        )
        if not self._peers:
            admission.peer_scale = 1.0
        elif recent:
            admission.peer_scale = len(self._peers) / recent
        else:
            admission.peer_scale = None

    def hosts(self) -> list[str]:
        """Return the addresses of all peers."""
        return list(self._peers)

    def encode_beacon(
        self, *, request_reply: bool = False, leaving: bool = False
    ) -> bytes:
        """Return a beacon with the current state."""
        loads = []
        for name, stats in self._core.server_stats.items():
            server = self._core.directory.get(name)
            if stats.pending > 0 and server is not None:
                loads.append(Load(server.token, stats.pending))
        if len(loads) > MAX_LOADS:
            loads.sort(key=lambda load: -load.waiting)
            del loads[MAX_LOADS:]
        demand = self._core.admission.demand()
        if len(demand) > MAX_DEMANDS:
            # The highest: a service that is left out counts as idle here.
            highest = sorted(demand.items(), key=lambda item: -item[1])
            demand = dict(highest[:MAX_DEMANDS])
        members = list(self._peers)
        if len(members) > MAX_MEMBERS:
            members = self._rng.sample(members, MAX_MEMBERS)
        return _encode(
            Beacon(
                self._name,
                self._failure_domain,
                request_reply,
                self._version,
                self._core.directory.position.revision,
                loads,
                members,
                self._core.directory.position.epoch,
                demand,
                leaving,
            )
        )

    def handle_beacon(
        self, now_ms: int, host: str, data: bytes
    ) -> BeaconAction:
        """Process a beacon of the balancer at ``host``.

        :raises ControlError: when the datagram cannot be decoded
        """
        try:
            beacon = _beacons.decode(data)
        except fields.DECODING_ERRORS as exc:
            raise errors.ControlError(
                f"cannot decode beacon of {host}: {exc}"
            ) from exc
        if beacon.leaving:
            self._remove_leaver(host, beacon.failure_domain)
            return BeaconAction()
        peer = self._peers.get(host)
        is_new = peer is None
        if peer is None:
            peer = self._peers[host] = _Peer()
        peer.name = beacon.name
        peer.failure_domain = beacon.failure_domain
        peer.last_beacon_ms = now_ms
        self._core.reachability.record_beacon(now_ms, beacon.failure_domain)
        self._core.admission.peer_demand.record(
            now_ms,
            self._sum_by_service(beacon.loads)
            if beacon.demand is None
            else beacon.demand,
        )
        self._core.warmup.members.record_beacon(
            now_ms, host, beacon.failure_domain, beacon.members[:MAX_MEMBERS]
        )
        self._set_loads(peer, beacon.loads)
        for member in beacon.members[:MAX_MEMBERS]:
            if member != self._host and member not in self._peers:
                self._unheard_hosts[member] = now_ms
        pull = self._is_behind(now_ms, beacon) and now_ms >= self._next_pull_ms
        if pull:
            self._next_pull_ms = now_ms + PULL_INTERVAL_MS
        return BeaconAction(reply=beacon.asks or is_new, pull=pull)

    def _remove_leaver(self, host: str, failure_domain: str) -> None:
        """Remove a peer that ends as planned.

        Its silence must not look like a cut of its failure domain.
        """
        peer = self._peers.pop(host, None)
        if peer is not None:
            self._replace_loads(peer, {})
        self._unheard_hosts.pop(host, None)
        if not any(
            other.failure_domain == failure_domain
            for other in self._peers.values()
        ):
            self._core.reachability.forget_beacons(failure_domain)

    def _is_behind(self, now_ms: int, beacon: Beacon) -> bool:
        """Return whether to catch up from a peer instead of the store."""
        directory = self._core.directory
        orders_position = directory.evacuations.position
        own = self._version, directory.position, orders_position
        announced = position_lib.Position(beacon.epoch, beacon.revision)
        if beacon.version <= own[0] and announced <= directory.position:
            next_pull_ms = max(self._next_pull_ms, self._next_orders_pull_ms)
            if announced <= orders_position or now_ms < next_pull_ms:
                return False
            self._next_orders_pull_ms = now_ms + ORDERS_PULL_INTERVAL_MS
            return True
        if not self._core.can_place_flows or self._core.store_lost:
            return True
        if own != self._lagging_at:
            self._lagging_at = own
            self._lagging_since_ms = now_ms
        return now_ms - self._lagging_since_ms >= self._lag_tolerance_ms

    def encode_snapshot(self) -> bytes:
        """Return the encoded snapshot that peers fetch."""
        directory = self._core.directory
        return _encode(
            Snapshot(
                self._core.routes,
                directory.position.revision,
                [
                    server.entry
                    for server in directory
                    if server.removed_ms is None
                ],
                [
                    server.entry
                    for server in directory
                    if server.removed_ms is not None
                ],
                directory.position.epoch,
                directory.evacuations.snapshot(),
            )
        )

    def apply_snapshot(self, now_ms: int, data: bytes) -> bool:
        """Apply a peer's snapshot; return whether it changed anything.

        :raises ControlError: when it cannot be decoded
        """
        try:
            snapshot = _snapshots.decode(data)
        except fields.DECODING_ERRORS as exc:
            raise errors.ControlError(
                f"cannot decode snapshot of a peer: {exc}"
            ) from exc
        is_changed = False
        if snapshot.routes is not None:
            is_changed = self._core.configure(
                snapshot.routes, is_current=False
            )
        directory = self._core.directory
        position = position_lib.Position(snapshot.epoch, snapshot.revision)
        if position > directory.position:
            for entry in snapshot.removed:
                if directory.get(entry.name) is None:
                    directory.put(now_ms, entry)
                directory.remove(now_ms, entry.name, position)
            directory.replace(now_ms, position, snapshot.servers)
            is_changed = True
        if snapshot.evacuations is not None:
            is_changed |= directory.evacuations.apply_snapshot(
                now_ms, snapshot.evacuations
            )
        return is_changed

    @property
    def _version(self) -> int:
        routes = self._core.routes
        return 0 if routes is None else routes.version

    def _sum_by_service(self, loads: list[Load]) -> dict[str, float]:
        """Return the load of a peer that does not tell its demand."""
        demand: dict[str, float] = collections.defaultdict(float)
        for load in loads:
            server = self._core.directory.by_token(load.token)
            if server is not None:
                demand[server.entry.service] += load.waiting
        return demand

    def _set_loads(self, peer: _Peer, loads: list[Load]) -> None:
        """Replace the load of a peer by a moving average with new values.

        A beacon is older than most requests. Its plain values would send all
        balancers to the same few servers at the same time.
        """
        sample: dict[str, float] = {}
        for load in loads:
            server = self._core.directory.by_token(load.token)
            if server is not None:
                name = server.entry.name
                sample[name] = sample.get(name, 0) + load.waiting
        average = {}
        for name in peer.loads.keys() | sample.keys():
            value = peer.loads.get(name, 0.0)
            value += LOAD_SMOOTHING * (sample.get(name, 0) - value)
            if value >= MIN_LOAD:
                average[name] = value
        self._replace_loads(peer, average)

    def _replace_loads(self, peer: _Peer, loads: dict[str, float]) -> None:
        table = self._core.server_stats
        for sign, items in ((-1, peer.loads), (1, loads)):
            for name, requests in items.items():
                if sign > 0 or table.find(name) is not None:
                    table.for_server(name).peer_pending += sign * requests
        peer.loads = loads
