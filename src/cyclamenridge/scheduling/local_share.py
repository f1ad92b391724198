"""The part of a service's slots that this balancer may use."""

from collections.abc import Mapping

from cyclamenridge.scheduling import options as options_lib
from cyclamenridge.scheduling import queue as queue_lib
from cyclamenridge.scheduling import servers
from cyclamenridge.scheduling import shares
from cyclamenridge.scheduling import types
from cyclamenridge.scheduling import usage

UPDATE_INTERVAL_MS = 500
# The demand is sent to the other members, and thus measured, every second.
# This longer interval applies to a balancer without other members.
DEMAND_INTERVAL_MS = 2000


class LocalShare:
    """Keeps the share of this balancer current from all members' demands.

    :param me: name of this balancer
    """

    def __init__(
        self, service: str, *, me: str, options: options_lib.Options
    ) -> None:
        self.peer_demands = shares.PeerDemands()
        self.allocation = shares.Allocation({}, {})
        self.owned_by_server: Mapping[str, int] = {}
        self.owned_total = 0
        self.allocated_slots = 0.0
        self.demand: dict[str, float] = {}
        self.floor_fractions: dict[str, float] = {}
        self._service = service
        self._me = me
        self._options = options
        self._members: tuple[str, ...] = (me,)
        self._demand_ms: int | None = None
        self._updated_ms: int | None = None

    def set_members(self, members: tuple[str, ...]) -> None:
        """Set the home set."""
        self._members = shares.member_order(
            self._service, (*members, self._me)
        )
        self.peer_demands.retain(self._members)
        self.invalidate()

    def set_peer_demand(
        self, now_ms: int, peer: str, demand: types.ServiceDemand
    ) -> None:
        """Store the demand that a member sent."""
        if peer in self._members and peer != self._me:
            self.peer_demands.store(now_ms, peer, demand)
            self.invalidate()

    def invalidate(self) -> None:
        """Have the share computed again before its next use."""
        self._updated_ms = None

    def update_due(self, now_ms: int) -> bool:
        """Whether the share must be computed again."""
        return (
            self._updated_ms is None
            or now_ms - self._updated_ms >= UPDATE_INTERVAL_MS
        )

    def demand_due(self, now_ms: int) -> bool:
        """Whether the own demand must be measured again."""
        return (
            self._demand_ms is None
            or now_ms - self._demand_ms >= DEMAND_INTERVAL_MS
        )

    def measure_demand(
        self,
        now_ms: int,
        kind_usage: usage.KindUsage,
        queue: queue_lib.ServiceQueue,
    ) -> None:
        """Compute the own demand."""
        self._demand_ms = now_ms
        self.invalidate()
        self.demand = {
            kind: kind_usage.demand(now_ms, kind, kind_queue.length)
            for kind, kind_queue in queue.kinds.items()
        }
        # A member with little work still needs a slot to run it in.
        for kind, slots in self.demand.items():
            if slots > 0:
                self.demand[kind] = max(1.0, slots)
                break

    def update(self, now_ms: int, server_table: servers.ServerTable) -> None:
        """Compute the own share."""
        self._updated_ms = now_ms
        draining = self.peer_demands.draining_servers(now_ms)
        slots = {}
        for server in server_table.by_name.values():
            server.set_draining(
                servers.DrainSource.PEER, server.name in draining
            )
            if server.up and not server.drain_sources:
                slots[server.name] = server.slots
        capacity = sum(slots.values())
        precedence = tuple(self.floor_fractions)
        claims = {
            peer: (
                self.peer_demands.claim(now_ms, peer)
                if self._options.demand_exchange
                else shares.Claim({}, reserved=1.0)
            )
            for peer in self._members
        }
        claims[self._me] = shares.Claim(self.demand)
        allocations = shares.allocate(
            capacity,
            members=self._members,
            claims=claims,
            precedence=precedence,
            floor_fractions=self.floor_fractions,
        )
        counts = shares.round_to_whole_slots(
            self._members, allocations, capacity, precedence=precedence
        )
        self.allocation = allocations[self._me]
        self.allocated_slots = self.allocation.total
        self.owned_by_server = shares.assign_slots(
            self._members, counts, slots
        )[self._me]
        self.owned_total = counts[self._me]

    def available_slots(self, kind: str) -> float:
        """Return the slots of the share that a kind may use."""
        allocation = self.allocation
        return (
            allocation.kind_slots.get(kind, 0.0)
            + allocation.spare
            + allocation.reserved
        )
