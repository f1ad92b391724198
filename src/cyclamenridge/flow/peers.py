"""What balancers tell one another: load, versions and who is there."""

import random

import msgspec

import cyclamenridge.errors as errors
from cyclamenridge.flow import core as core_lib
from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import routes as routes_lib

BEACON_MS = 200
# Beacons of a process go to this many peers, so that its traffic does not
# grow with the fleet.
FAN_OUT = 4
# A report on load is used for this long.
LOAD_MS = 1200
# A peer that was not heard for this long is not sent to any more.
GONE_MS = 4000
SEED_MS = 1000
# Entries of a beacon, so that it fits one datagram.
MAX_LOADS = 24
MAX_MEMBERS = 6
PULL_MS = 500


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Requests of the sender that wait at a backend server."""

    token: int
    waiting: int


class Beacon(msgspec.Struct, frozen=True, array_like=True):
    """State of a balancer in one datagram.

    :param asks: whether the receiver shall answer at once
    :param version: configuration in force, 0 for none
    :param revision: store revision that the list of servers has reached
    :param members: addresses of other balancers that the sender hears
    """

    name: str
    failure_domain: str
    asks: bool
    version: int
    revision: int
    loads: list[Load]
    members: list[str]


class Snapshot(msgspec.Struct, frozen=True):
    """All that a balancer knows of configuration and servers.

    :param removed: servers that are not listed any more; their flows may
        still be open
    """

    routes: routes_lib.RouteTable | None
    revision: int
    servers: list[directory_lib.Listing]
    removed: list[directory_lib.Listing]


class Action(msgspec.Struct, frozen=True):
    """What to do about a beacon.

    :param reply: answer with a beacon
    :param pull: fetch the sender's snapshot
    """

    reply: bool = False
    pull: bool = False


class _Peer:
    __slots__ = ("failure_domain", "heard_ms", "loads", "name")

    def __init__(self) -> None:
        self.name = ""
        self.failure_domain = ""
        self.heard_ms = 0
        self.loads: list[Load] = []


_beacons = msgspec.msgpack.Decoder(Beacon)
_snapshots = msgspec.msgpack.Decoder(Snapshot)
_encode = msgspec.msgpack.Encoder().encode


class Peers:
    """The other balancers, as far as this one hears them."""

    def __init__(
        self,
        core: core_lib.FlowCore,
        *,
        name: str,
        failure_domain: str,
        host: str,
        seeds: tuple[str, ...],
        behind_ms: int,
        rng: random.Random,
    ) -> None:
        """Wait ``behind_ms`` for the store before a peer is asked."""
        self._core = core
        self._name = name
        self._failure_domain = failure_domain
        self._host = host
        self._behind_wait_ms = behind_ms
        self._rng = rng
        self._seeds = tuple(seed for seed in seeds if seed != host)
        self._peers: dict[str, _Peer] = {}
        # Addresses that others named and that were not heard yet.
        self._named: dict[str, int] = {}
        self._seed_ms = 0
        self._pull_ms = 0
        # What was in force here when a peer was first seen ahead of it.
        self._behind: tuple[int, int] | None = None
        self._behind_ms = 0

    def __len__(self) -> int:
        return len(self._peers)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take the seeds of newer settings."""
        self._seeds = tuple(seed for seed in seeds if seed != self._host)

    def names(self) -> dict[str, str]:
        """Return the names of the peers by address."""
        return {host: peer.name for host, peer in self._peers.items()}

    def targets(self, now_ms: int) -> list[str]:
        """Return whom to send a beacon to now."""
        for host, peer in list(self._peers.items()):
            if now_ms - peer.heard_ms > GONE_MS:
                self._set_loads(peer, [])
                del self._peers[host]
            elif peer.loads and now_ms - peer.heard_ms > LOAD_MS:
                self._set_loads(peer, [])
        hosts = list(self._peers)
        if len(hosts) > FAN_OUT:
            hosts = self._rng.sample(hosts, FAN_OUT)
        if now_ms >= self._seed_ms:
            self._seed_ms = now_ms + SEED_MS
            extra = [*self._seeds, *self._named]
            self._named.clear()
            hosts += [
                host
                for host in dict.fromkeys(extra)
                if host not in self._peers
            ][:FAN_OUT]
        return hosts

    def beacon(self, *, asks: bool = False) -> bytes:
        """Return the beacon of this moment."""
        loads = []
        for name, seen in self._core.observations.items():
            known = self._core.directory.get(name)
            if seen.waiting > 0 and known is not None:
                loads.append(Load(known.token, seen.waiting))
        if len(loads) > MAX_LOADS:
            loads.sort(key=lambda load: -load.waiting)
            del loads[MAX_LOADS:]
        members = list(self._peers)
        if len(members) > MAX_MEMBERS:
            members = self._rng.sample(members, MAX_MEMBERS)
        return _encode(
            Beacon(
                self._name,
                self._failure_domain,
                asks,
                self._version,
                self._core.directory.revision,
                loads,
                members,
            )
        )

    def received(self, now_ms: int, host: str, data: bytes) -> Action:
        """Take a beacon of the balancer at ``host``.

        :raises ControlError: when the datagram is no beacon
        """
        try:
            beacon = _beacons.decode(data)
        except msgspec.MsgspecError as exc:
            raise errors.ControlError(f"beacon of {host}: {exc}") from exc
        peer = self._peers.get(host)
        is_new = peer is None
        if peer is None:
            peer = self._peers[host] = _Peer()
        peer.name = beacon.name
        peer.failure_domain = beacon.failure_domain
        peer.heard_ms = now_ms
        self._core.reach.beacon(now_ms, beacon.failure_domain)
        self._set_loads(peer, beacon.loads)
        for member in beacon.members[:MAX_MEMBERS]:
            if member != self._host and member not in self._peers:
                self._named[member] = now_ms
        pull = self._is_behind(now_ms, beacon) and now_ms >= self._pull_ms
        if pull:
            self._pull_ms = now_ms + PULL_MS
        return Action(reply=beacon.asks or is_new, pull=pull)

    def _is_behind(self, now_ms: int, beacon: Beacon) -> bool:
        """Return whether the store has failed to tell what a peer knows."""
        mine = self._version, self._core.directory.revision
        if beacon.version <= mine[0] and beacon.revision <= mine[1]:
            return False
        if not self._core.serving or self._core.store_lost:
            return True
        if mine != self._behind:
            self._behind = mine
            self._behind_ms = now_ms
        return now_ms - self._behind_ms >= self._behind_wait_ms

    def snapshot(self) -> bytes:
        """Return what this process knows, for a peer that asks."""
        directory = self._core.directory
        return _encode(
            Snapshot(
                self._core.routes,
                directory.revision,
                [k.listing for k in directory if k.removed_ms is None],
                [k.listing for k in directory if k.removed_ms is not None],
            )
        )

    def apply(self, now_ms: int, data: bytes) -> bool:
        """Take a peer's snapshot; return whether it brought news.

        :raises ControlError: when it cannot be read
        """
        try:
            snapshot = _snapshots.decode(data)
        except msgspec.MsgspecError as exc:
            raise errors.ControlError(f"snapshot of a peer: {exc}") from exc
        news = False
        if snapshot.routes is not None:
            news = self._core.configure(snapshot.routes)
        directory = self._core.directory
        if snapshot.revision > directory.revision:
            for listing in snapshot.removed:
                if directory.get(listing.name) is None:
                    directory.put(now_ms, listing)
            directory.replace(now_ms, snapshot.revision, snapshot.servers)
            news = True
        return news

    @property
    def _version(self) -> int:
        routes = self._core.routes
        return 0 if routes is None else routes.version

    def _set_loads(self, peer: _Peer, loads: list[Load]) -> None:
        for sign, entries in ((-1, peer.loads), (1, loads)):
            for load in entries:
                known = self._core.directory.by_token(load.token)
                if known is not None:
                    seen = self._core.observations.of(known.listing.name)
                    seen.foreign = max(0, seen.foreign + sign * load.waiting)
        peer.loads = loads
