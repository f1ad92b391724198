"""Division of the slots of a service among the members of its home set.

The members send each other their demands, and each member computes the whole
division from them. Within a kind of work, slots are divided by max-min
fairness.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

import xxhash

from cyclamenridge.scheduling import types

# Demands are sent every second, so a single lost message has no effect.
DECAY_AFTER_MS = 2500
EXPIRED_AFTER_MS = 5000
# A smaller rest is a rounding error, not slots that no member wants.
MIN_SPARE_SLOTS = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What a member wants.

    :param demand: slots by kind
    :param reserved: part of the member's even share that is set aside
        because no recent demand is known, from 0 to 1
    """

    demand: Mapping[str, float]
    reserved: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """Slots of one member.

    :param kind_slots: slots by kind
    :param floor_slots: the part of ``kind_slots`` that no kind of higher
        precedence may take
    :param spare: slots that nobody asked for
    :param reserved: slots set aside because no recent demand is known
    """

    kind_slots: Mapping[str, float]
    floor_slots: Mapping[str, float]
    spare: float = 0.0
    reserved: float = 0.0

    @property
    def total(self) -> float:
        """Return all slots of the member."""
        return sum(self.kind_slots.values()) + self.spare + self.reserved


class PeerDemands:
    """Latest demand of each other member, with the time of its receipt."""

    def __init__(self) -> None:
        self._received: dict[str, tuple[int, types.ServiceDemand]] = {}

    def retain(self, members: Sequence[str]) -> None:
        """Forget members that left the home set."""
        self._received = {
            peer: received
            for peer, received in self._received.items()
            if peer in members
        }

    def store(
        self, now_ms: int, peer: str, demand: types.ServiceDemand
    ) -> None:
        """Store the demand that a peer sent."""
        self._received[peer] = (now_ms, demand)

    def claim(self, now_ms: int, peer: str) -> Claim:
        """Return the claim of a peer.

        While no demand comes, the last one decays to zero and the reserved
        part grows to the even share. Slots that are not finite or not
        positive are ignored.
        """
        if peer not in self._received:
            return Claim({}, reserved=1.0)
        received_ms, demand = self._received[peer]
        reserved = (now_ms - received_ms - DECAY_AFTER_MS) / (
            EXPIRED_AFTER_MS - DECAY_AFTER_MS
        )
        reserved = min(1.0, max(0.0, reserved))
        return Claim(
            {
                item.kind: item.slots * (1 - reserved)
                for item in demand.kinds
                if math.isfinite(item.slots) and item.slots > 0
            },
            reserved,
        )

    def draining_servers(self, now_ms: int) -> frozenset[str]:
        """Return the servers that drain according to a recent demand."""
        return frozenset(
            server
            for received_ms, demand in self._received.values()
            if now_ms - received_ms < EXPIRED_AFTER_MS
            for server in demand.draining
        )


def member_order(service: str, members: Sequence[str]) -> tuple[str, ...]:
    """Return the members in the order that the division uses.

    The order depends on the service, so that the member with one slot less
    is not the same one for all services.
    """
    return tuple(
        sorted(
            set(members),
            key=lambda name: (
                xxhash.xxh64_intdigest(f"{service}/{name}".encode()),
                name,
            ),
        )
    )


def max_min_fair(
    pool: float,
    demands: Mapping[str, float],
    held: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Divide a pool by max-min fairness.

    The smallest totals become as large as possible (water filling).

    :param held: what each member has already, which counts in its total
    """
    held = held or {}
    # The level to which totals are filled rises. A member is active between
    # what it holds and the sum of what it holds and wants.
    steps = sorted(
        step
        for member, wanted in demands.items()
        if wanted > 0
        for step in (
            (held.get(member, 0.0), 1),
            (held.get(member, 0.0) + wanted, -1),
        )
    )
    level, active = 0.0, 0
    for height, change in steps:
        if active:
            if pool <= active * (height - level):
                level += pool / active
                break
            pool -= active * (height - level)
        level = height
        active += change
    return {
        member: min(max(0.0, wanted), max(0.0, level - held.get(member, 0.0)))
        for member, wanted in demands.items()
    }


def even_split(capacity: int, count: int) -> list[int]:
    """Divide the slots evenly among ``count`` members."""
    return [
        capacity // count + (index < capacity % count)
        for index in range(count)
    ]


def allocate(
    capacity: int,
    *,
    members: Sequence[str],
    claims: Mapping[str, Claim],
    precedence: Sequence[str],
    floor_fractions: Mapping[str, float],
) -> dict[str, Allocation]:
    """Divide the slots by floor, then by precedence, then evenly.

    :param members: in the order that ``member_order`` returns
    :param floor_fractions: part of the capacity by kind, from 0 to 1
    """
    even = dict(zip(members, even_split(capacity, len(members)), strict=True))
    reserved = {name: claims[name].reserved * even[name] for name in members}
    pool = capacity - sum(reserved.values())
    kind_slots: dict[str, dict[str, float]] = {name: {} for name in members}
    floor_slots: dict[str, dict[str, float]] = {name: {} for name in members}
    scale = min(1.0, 1 / max(sum(floor_fractions.values()), 1e-9))
    free = pool
    for kind in precedence:
        wanted = {name: claims[name].demand.get(kind, 0.0) for name in members}
        floor = min(free, pool * scale * floor_fractions.get(kind, 0.0))
        for name, part in max_min_fair(floor, wanted).items():
            floor_slots[name][kind] = kind_slots[name][kind] = part
            free -= part
    for kind in precedence:
        wanted = {
            name: claims[name].demand.get(kind, 0.0) - kind_slots[name][kind]
            for name in members
        }
        held = {name: sum(kind_slots[name].values()) for name in members}
        for name, part in max_min_fair(max(0.0, free), wanted, held).items():
            kind_slots[name][kind] += part
            free -= part
    if free < MIN_SPARE_SLOTS:
        free = 0.0
    total_spare_weight = (
        sum(1 - claims[name].reserved for name in members) or 1.0
    )
    return {
        name: Allocation(
            kind_slots[name],
            floor_slots[name],
            spare=free * (1 - claims[name].reserved) / total_spare_weight,
            reserved=reserved[name],
        )
        for name in members
    }


def round_to_whole_slots(
    members: Sequence[str],
    allocations: Mapping[str, Allocation],
    capacity: int,
    *,
    precedence: Sequence[str],
) -> dict[str, int]:
    """Round allocations to whole slots, at most the capacity in all.

    The largest remainders are rounded up. Under overload of all members they
    are equal, and members with more work of high precedence come first.
    """
    totals = {name: allocations[name].total for name in members}
    counts = {name: math.floor(totals[name] + 1e-6) for name in members}
    left = min(capacity, round(sum(totals.values()))) - sum(counts.values())
    weights = {kind: -index for index, kind in enumerate(precedence)}
    by_remainder = sorted(
        members,
        key=lambda name: (
            -round(totals[name] - counts[name], 3),
            -round(
                sum(
                    slots * weights[kind]
                    for kind, slots in allocations[name].kind_slots.items()
                ),
                3,
            ),
            members.index(name),
        ),
    )
    for name in by_remainder[: max(0, left)]:
        counts[name] += 1
    return counts


def assign_slots(
    members: Sequence[str],
    counts: Mapping[str, int],
    servers: Mapping[str, int],
) -> dict[str, dict[str, int]]:
    """Return how many slots of each server each member owns.

    An even division assigns the slots to the members in turn, one slot of
    each server after the other. A member gets its slots of this division
    before any that other members do not need, so that a change of demand
    moves few slots.

    :param counts: slots of each member
    :param servers: slots of each server
    """
    slots = [
        server
        for index in range(max(servers.values(), default=0))
        for server in sorted(servers)
        if index < servers[server]
    ]
    owned: dict[str, dict[str, int]] = {name: {} for name in members}
    used = dict.fromkeys(members, 0)
    free: list[str] = []
    for index, server in enumerate(slots):
        name = members[index % len(members)]
        if used[name] < counts[name]:
            used[name] += 1
            owned[name][server] = owned[name].get(server, 0) + 1
        else:
            free.append(server)
    remaining = iter(free)
    for name in members:
        for server in (
            next(remaining, None) for _ in range(counts[name] - used[name])
        ):
            if server is not None:
                owned[name][server] = owned[name].get(server, 0) + 1
    return owned
