"""Which addresses are probed, and what a missing answer means."""

import collections
import dataclasses
import random

from cyclamenridge import address as address_lib
from cyclamenridge.control import membership

Address = address_lib.Address

PERIOD_MS = 500
# A direct probe that is not answered within this time is repeated through
# other members; the period's end decides.
DIRECT_TIMEOUT_MS = 200
INDIRECT_MEMBERS = 3
# Bounds the probes that this node repeats for others.
MAX_RELAYS = 64
RELAY_TIMEOUT_MS = 1000

# Dead members, seeds and listed instances that were not heard are probed at
# this rate by a node; the whole fleet sends each of them about two probes a
# second, so that a member that returns is not flooded.
LOST_PERIOD_MS = 1500
LOST_PROBES_PER_S = 2
# Claims that a dead member lives, to be checked first.
MAX_RECHECKS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A ping to send.

    :param lost: the address is not one of a member that is known to live
    """

    address: Address
    nonce: int = 0
    lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A request to other members to ping a member."""

    name: str
    address: Address
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """A member answered neither direct nor indirect probes."""

    name: str


Step = Probe | IndirectProbe | Unanswered


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A probe made for another member."""

    asker: Address
    asker_nonce: int
    target: str
    deadline_ms: int


class Prober:
    """Chooses a member to probe in each period."""

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
        self._round: list[str] = []
        self._target: membership.Entry | None = None
        self._target_name = ""
        self._target_nonce = 0
        self._answered = False
        self._asked_others = False
        self._next_ms = 0
        self._next_lost_ms = 0
        self._rechecks: collections.deque[str] = collections.deque(
            maxlen=MAX_RECHECKS
        )
        self._relays: collections.OrderedDict[int, Relay] = (
            collections.OrderedDict()
        )

    def start(self, now_ms: int) -> None:
        """Begin at a random point of the period."""
        self._next_ms = now_ms + self._rng.randrange(PERIOD_MS)
        self._next_lost_ms = now_ms + self._rng.randrange(PERIOD_MS)

    def set_candidates(self, addresses: tuple[Address, ...]) -> None:
        """Replace the addresses that the platform lists."""
        self._candidates = dict.fromkeys(
            address for address in addresses if address != self._my_address
        )

    def recheck(self, name: str) -> None:
        """Probe a dead member soon, because a peer says that it lives."""
        if name not in self._rechecks:
            self._rechecks.append(name)

    def verify(self, name: str) -> None:
        """Probe a member next, because peers do not reach it."""
        if self._round[-1:] != [name]:
            self._round.append(name)

    def woke(self, now_ms: int) -> None:
        """Forget the probe in progress after this node stood still."""
        self._target = None
        self._next_ms = now_ms

    def new_nonce(self) -> int:
        """Return a number that no recent ping carried."""
        self._nonce = (self._nonce + 1) & 0xFFFFFFFF
        return self._nonce

    def answered(self, name: str, nonce: int) -> None:
        """Note an answer about the member that is being probed."""
        if (name, nonce) == (self._target_name, self._target_nonce):
            self._answered = True

    def relay(
        self, now_ms: int, asker: Address, asker_nonce: int, target: str
    ) -> int:
        """Remember a probe for another member; return its nonce."""
        nonce = self.new_nonce()
        self._relays[nonce] = Relay(
            asker, asker_nonce, target, now_ms + RELAY_TIMEOUT_MS
        )
        if len(self._relays) > MAX_RELAYS:
            self._relays.popitem(last=False)
        return nonce

    def relayed(self, now_ms: int, name: str, nonce: int) -> Relay | None:
        """Return who asked for the probe that was just answered."""
        relay = self._relays.get(nonce)
        if relay is None or relay.target != name:
            return None
        del self._relays[nonce]
        return relay if now_ms <= relay.deadline_ms else None

    def tick(self, now_ms: int) -> list[Step]:
        """Return the probes to send now."""
        steps: list[Step] = []
        target = self._target
        if now_ms >= self._next_ms:
            if target is not None and not self._answered:
                steps.append(Unanswered(self._target_name))
            # A late tick must not be followed by a burst of probes.
            self._next_ms = max(self._next_ms, now_ms - PERIOD_MS) + PERIOD_MS
            steps.extend(self._next_probe(now_ms))
        elif (
            target is not None
            and not self._answered
            and not self._asked_others
            and now_ms >= self._next_ms - PERIOD_MS + DIRECT_TIMEOUT_MS
        ):
            self._asked_others = True
            steps.append(
                IndirectProbe(
                    self._target_name, target.address, self._target_nonce
                )
            )
        if now_ms >= self._next_lost_ms:
            steps.extend(self._lost_probe(now_ms))
        return steps

    def _next_probe(self, now_ms: int) -> list[Step]:
        self._target = None
        while self._round or self._table.live_count:
            if not self._round:
                self._round = self._table.live_names()
                self._rng.shuffle(self._round)
            name = self._round.pop()
            if not self._table.is_live(name):
                continue
            entry = self._table.entries[name]
            self._target = entry
            self._target_name = name
            self._target_nonce = self.new_nonce()
            self._answered = False
            self._asked_others = False
            return [Probe(entry.address, self._target_nonce)]
        return []

    def _lost_probe(self, now_ms: int) -> list[Step]:
        address, pool = self._choose_lost()
        if not self._table.live_count:
            # Alone: the others find this node only by its own probes.
            base_ms = PERIOD_MS
        else:
            fleet_ms = 1000 * (self._table.live_count + 1)
            base_ms = max(
                LOST_PERIOD_MS, fleet_ms // (LOST_PROBES_PER_S * max(1, pool))
            )
            base_ms = base_ms if pool else LOST_PERIOD_MS
        self._next_lost_ms = now_ms + self._rng.randint(
            base_ms // 2, base_ms * 3 // 2
        )
        if address is None:
            return []
        return [Probe(address, lost=True)]

    def _choose_lost(self) -> tuple[Address | None, int]:
        """Return an address to try and how many there are to try."""
        while self._rechecks:
            name = self._rechecks.popleft()
            if name in self._table.dead:
                return self._table.entries[name].address, len(self._table.dead)
        pool = [self._table.entries[name].address for name in self._table.dead]
        pool.extend(
            address
            for address in (*self._seeds, *self._candidates)
            if address not in self._table.by_address
        )
        return (self._rng.choice(pool) if pool else None), len(pool)
