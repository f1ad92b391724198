"""Failure detection by direct and indirect probes."""

import collections
import dataclasses
import random

from cyclamenridge import address as address_lib
from cyclamenridge.control import membership

Address = address_lib.Address

PERIOD_MS = 500
# If a direct probe is not acknowledged within this time, other members probe
# the target too. Without an Ack by the end of the period the probe has failed.
DIRECT_TIMEOUT_MS = 200
INDIRECT_MEMBERS = 3
# Bounds the indirect probes that this node makes for other members.
MAX_RELAYS = 64
RELAY_TIMEOUT_MS = 1000

# Dead members, and seeds and listed instances that are not members, are
# probed to reconnect. The period is the shortest mean interval of these probes
# of one node. It is longer in a large fleet, which sends about two a second to
# each address in total, so that a member that returns is not flooded.
RECONNECT_PERIOD_MS = 1500
RECONNECT_PROBES_PER_S = 2
# Bounds the dead members that are probed first because a peer reported them
# alive.
MAX_PRIORITY_RECONNECTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A ping to send.

    :param reconnect: the address does not belong to a live member
    """

    address: Address
    nonce: int = 0
    reconnect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A request to other members to ping a member for this node."""

    name: str
    address: Address
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A member acknowledged neither the direct nor an indirect probe."""

    name: str


Action = Probe | IndirectProbe | ProbeFailed


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """An indirect probe that this node makes for another member."""

    requester: Address
    requester_nonce: int
    target: str
    deadline_ms: int


class Prober:
    """Chooses the member to probe in each period and tracks its answer."""

    def __init__(
        self,
        my_address: Address,
        seeds: tuple[Address, ...],
        table: membership.MemberTable,
        rng: random.Random,
    ) -> None:
        self._my_address = my_address
        self._seeds = tuple(seed for seed in seeds if seed != my_address)
        self._candidates: dict[Address, None] = {}
        self._table = table
        self._rng = rng
        self._nonce = rng.getrandbits(31)
        self._probe_order: list[str] = []
        self._target: membership.Entry | None = None
        self._target_name = ""
        self._target_nonce = 0
        self._acknowledged = False
        self._indirect_sent = False
        self._next_probe_ms = 0
        self._next_reconnect_ms = 0
        self._priority_reconnects: collections.deque[str] = collections.deque(
            maxlen=MAX_PRIORITY_RECONNECTS
        )
        self._relays: collections.OrderedDict[int, Relay] = (
            collections.OrderedDict()
        )

    def start(self, now_ms: int) -> None:
        """Schedule the first probes at random points of the period."""
        self._next_probe_ms = now_ms + self._rng.randrange(PERIOD_MS)
        self._next_reconnect_ms = now_ms + self._rng.randrange(PERIOD_MS)

    def set_candidates(self, addresses: tuple[Address, ...]) -> None:
        """Set the addresses of the balancers that the platform lists."""
        self._candidates = dict.fromkeys(
            address for address in addresses if address != self._my_address
        )

    def prioritize_reconnect(self, name: str) -> None:
        """Probe a dead member soon, because a peer reported it alive."""
        if name not in self._priority_reconnects:
            self._priority_reconnects.append(name)

    def probe_next(self, name: str) -> None:
        """Probe a member next, because a peer reported it unreachable."""
        if self._probe_order[-1:] != [name]:
            self._probe_order.append(name)

    def reset(self, now_ms: int) -> None:
        """Discard the probe in progress, because this node was stalled."""
        self._target = None
        self._next_probe_ms = now_ms

    def new_nonce(self) -> int:
        """Return a nonce that no recent ping carried."""
        self._nonce = (self._nonce + 1) & 0xFFFFFFFF
        return self._nonce

    def record_ack(self, name: str, nonce: int) -> None:
        """Record an Ack of a member, direct or through another one."""
        if (name, nonce) == (self._target_name, self._target_nonce):
            self._acknowledged = True

    def add_relay(
        self,
        now_ms: int,
        requester: Address,
        requester_nonce: int,
        target: str,
    ) -> int:
        """Record an indirect probe; return the nonce of its ping."""
        nonce = self.new_nonce()
        self._relays[nonce] = Relay(
            requester, requester_nonce, target, now_ms + RELAY_TIMEOUT_MS
        )
        if len(self._relays) > MAX_RELAYS:
            self._relays.popitem(last=False)
        return nonce

    def pop_relay(self, now_ms: int, name: str, nonce: int) -> Relay | None:
        """Remove and return the indirect probe that an Ack answers."""
        relay = self._relays.get(nonce)
        if relay is None or relay.target != name:
            return None
        del self._relays[nonce]
        return relay if now_ms <= relay.deadline_ms else None

    def tick(self, now_ms: int) -> list[Action]:
        """Return the probes to send now."""
        actions: list[Action] = []
        target = self._target
        if now_ms >= self._next_probe_ms:
            if target is not None and not self._acknowledged:
                actions.append(ProbeFailed(self._target_name))
            # Missed periods are skipped, so that a late tick is not followed
            # by a burst of probes.
            self._next_probe_ms = (
                max(self._next_probe_ms, now_ms - PERIOD_MS) + PERIOD_MS
            )
            actions.extend(self._next_probe(now_ms))
        elif (
            target is not None
            and not self._acknowledged
            and not self._indirect_sent
            and now_ms >= self._next_probe_ms - PERIOD_MS + DIRECT_TIMEOUT_MS
        ):
            self._indirect_sent = True
            actions.append(
                IndirectProbe(
                    self._target_name, target.address, self._target_nonce
                )
            )
        if now_ms >= self._next_reconnect_ms:
            actions.extend(self._reconnect_probe(now_ms))
        return actions

    def _next_probe(self, now_ms: int) -> list[Action]:
        self._target = None
        while self._probe_order or self._table.live_count:
            if not self._probe_order:
                self._probe_order = self._table.live_names()
                self._rng.shuffle(self._probe_order)
            name = self._probe_order.pop()
            if not self._table.is_live(name):
                continue
            entry = self._table.entries[name]
            self._target = entry
            self._target_name = name
            self._target_nonce = self.new_nonce()
            self._acknowledged = False
            self._indirect_sent = False
            return [Probe(entry.address, self._target_nonce)]
        return []

    def _reconnect_probe(self, now_ms: int) -> list[Action]:
        address, choice_count = self._choose_reconnect()
        if not self._table.live_count:
            # No live member: others learn of this node only from its probes.
            interval_ms = PERIOD_MS
        else:
            fleet_interval_ms = 1000 * (self._table.live_count + 1)
            interval_ms = max(
                RECONNECT_PERIOD_MS,
                fleet_interval_ms
                // (RECONNECT_PROBES_PER_S * max(1, choice_count)),
            )
            interval_ms = interval_ms if choice_count else RECONNECT_PERIOD_MS
        self._next_reconnect_ms = now_ms + self._rng.randint(
            interval_ms // 2, interval_ms * 3 // 2
        )
        if address is None:
            return []
        return [Probe(address, reconnect=True)]

    def _choose_reconnect(self) -> tuple[Address | None, int]:
        """Return an address to probe, if any, and the number of choices."""
        while self._priority_reconnects:
            name = self._priority_reconnects.popleft()
            if name in self._table.dead:
                return self._table.entries[name].address, len(self._table.dead)
        choices = [
            self._table.entries[name].address for name in self._table.dead
        ]
        choices.extend(
            address
            for address in (*self._seeds, *self._candidates)
            if address not in self._table.by_address
        )
        return (self._rng.choice(choices) if choices else None), len(choices)
