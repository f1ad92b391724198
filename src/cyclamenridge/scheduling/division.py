"""The part of a service's slots that this balancer may use."""

from collections.abc import Mapping

from cyclamenridge.scheduling import options as options_lib
from cyclamenridge.scheduling import queue
from cyclamenridge.scheduling import servers
from cyclamenridge.scheduling import shares
from cyclamenridge.scheduling import types
from cyclamenridge.scheduling import usage

SHARES_INTERVAL_MS = 500
# Members are told every second; only a balancer that tells nobody gets here.
DEMAND_INTERVAL_MS = 2000


class SlotDivision:
    """Keeps the own share up to date from the demands of all members."""

    def __init__(
        self, service: str, *, me: str, options: options_lib.Options
    ) -> None:
        self.peers = shares.PeerDemands()
        self.allocation = shares.Allocation({}, {})
        self.owned: Mapping[str, int] = {}
        self.owned_total = 0
        self.total = 0.0
        self.demand: dict[str, float] = {}
        self.floors: dict[str, float] = {}
        self._service = service
        self._me = me
        self._options = options
        self._order: tuple[str, ...] = (me,)
        self._demand_ms: int | None = None
        self._shares_ms: int | None = None

    def set_members(self, members: tuple[str, ...]) -> None:
        """Set the home set."""
        self._order = shares.member_order(self._service, (*members, self._me))
        self.peers.keep(self._order)
        self.outdate()

    def told(
        self, now_ms: int, peer: str, demand: types.ServiceDemand
    ) -> None:
        """Take in the demand of a member."""
        if peer in self._order and peer != self._me:
            self.peers.told(now_ms, peer, demand)
            self.outdate()

    def outdate(self) -> None:
        """Have the share computed again before it is used."""
        self._shares_ms = None

    def due(self, now_ms: int) -> bool:
        """Whether the share must be computed again."""
        return (
            self._shares_ms is None
            or now_ms - self._shares_ms >= SHARES_INTERVAL_MS
        )

    def demand_due(self, now_ms: int) -> bool:
        """Whether nobody asked for the own demand lately."""
        return (
            self._demand_ms is None
            or now_ms - self._demand_ms >= DEMAND_INTERVAL_MS
        )

    def measure_demand(
        self, now_ms: int, use: usage.KindUsage, waiting: queue.RankedQueue
    ) -> None:
        """Compute the own demand."""
        self._demand_ms = now_ms
        self.outdate()
        self.demand = {
            kind: use.demand(now_ms, kind, kind_queue.length)
            for kind, kind_queue in waiting.kinds.items()
        }
        # A member with little work still needs a slot to run it in.
        for kind, slots in self.demand.items():
            if slots > 0:
                self.demand[kind] = max(1.0, slots)
                break

    def update(self, now_ms: int, table: servers.ServerTable) -> None:
        """Compute the own share."""
        self._shares_ms = now_ms
        leaving = self.peers.draining(now_ms)
        slots = {}
        for server in table.by_name.values():
            server.mark(servers.DrainSource.PEER, server.name in leaving)
            if server.up and not server.draining:
                slots[server.name] = server.slots
        capacity = sum(slots.values())
        precedence = tuple(self.floors)
        claims = {
            peer: (
                self.peers.claim(now_ms, peer)
                if self._options.exchange
                else shares.Claim({}, reserved=1.0)
            )
            for peer in self._order
        }
        claims[self._me] = shares.Claim(self.demand)
        allocations = shares.allocate(
            capacity,
            order=self._order,
            claims=claims,
            precedence=precedence,
            floors=self.floors,
        )
        counts = shares.whole_slots(
            self._order, allocations, capacity, precedence=precedence
        )
        self.allocation = allocations[self._me]
        self.total = self.allocation.total
        self.owned = shares.owned_slots(self._order, counts, slots)[self._me]
        self.owned_total = counts[self._me]

    def rate(self, kind: str) -> float:
        """Return the slots that a kind can count on."""
        part = self.allocation
        return part.kinds.get(kind, 0.0) + part.spare + part.reserved
