"""Division of the slots of a service among the members of its home set."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

import xxhash

from cyclamenridge.scheduling import types

# Demands are told every second; one lost message changes nothing.
SILENT_AFTER_MS = 2500
FORGOTTEN_AFTER_MS = 5000
# Less than this is left by rounding, not by members that want less.
MIN_SPARE_SLOTS = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What a member wants.

    :param demand: slots by kind
    :param reserved: part of the member's even share that is set aside
        because the member is silent, from 0 to 1
    """

    demand: Mapping[str, float]
    reserved: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """Slots of one member.

    :param kinds: slots by kind
    :param floors: the part of ``kinds`` that no higher kind may take
    :param spare: slots that nobody asked for
    :param reserved: slots set aside because the member is silent
    """

    kinds: Mapping[str, float]
    floors: Mapping[str, float]
    spare: float = 0.0
    reserved: float = 0.0

    @property
    def total(self) -> float:
        """Return all slots of the member."""
        return sum(self.kinds.values()) + self.spare + self.reserved


class PeerDemands:
    """Demands told by the other members, and how old they are."""

    def __init__(self) -> None:
        self._told: dict[str, tuple[int, types.ServiceDemand]] = {}

    def keep(self, members: Sequence[str]) -> None:
        """Forget members that left the home set."""
        self._told = {
            peer: told for peer, told in self._told.items() if peer in members
        }

    def told(
        self, now_ms: int, peer: str, demand: types.ServiceDemand
    ) -> None:
        """Store what a peer told."""
        self._told[peer] = (now_ms, demand)

    def claim(self, now_ms: int, peer: str) -> Claim:
        """Return the claim of a peer, which decays while it is silent."""
        if peer not in self._told:
            return Claim({}, reserved=1.0)
        told_ms, demand = self._told[peer]
        reserved = (now_ms - told_ms - SILENT_AFTER_MS) / (
            FORGOTTEN_AFTER_MS - SILENT_AFTER_MS
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

    def draining(self, now_ms: int) -> frozenset[str]:
        """Return the servers that a peer heard from lately calls leaving."""
        return frozenset(
            server
            for told_ms, demand in self._told.values()
            if now_ms - told_ms < FORGOTTEN_AFTER_MS
            for server in demand.draining
        )


def member_order(service: str, members: Sequence[str]) -> tuple[str, ...]:
    """Return the members in the order in which all of them deal out slots.

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


def max_min(
    pool: float,
    demands: Mapping[str, float],
    held: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Divide a pool so that the smallest totals are as large as possible.

    :param held: what each member has already, which counts in its total
    """
    held = held or {}
    # The level to which totals are filled rises; a member takes part from
    # what it holds up to what it holds and wants.
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


def even_slots(capacity: int, count: int) -> list[int]:
    """Return the slots of each of ``count`` members in an even division."""
    return [
        capacity // count + (index < capacity % count)
        for index in range(count)
    ]


def allocate(
    capacity: int,
    *,
    order: Sequence[str],
    claims: Mapping[str, Claim],
    precedence: Sequence[str],
    floors: Mapping[str, float],
) -> dict[str, Allocation]:
    """Divide the slots by floor, then by precedence, then evenly.

    :param order: the members, see ``member_order``
    :param floors: part of the capacity by kind, from 0 to 1
    """
    even = dict(zip(order, even_slots(capacity, len(order)), strict=True))
    reserved = {name: claims[name].reserved * even[name] for name in order}
    pool = capacity - sum(reserved.values())
    kinds: dict[str, dict[str, float]] = {name: {} for name in order}
    floor_parts: dict[str, dict[str, float]] = {name: {} for name in order}
    scale = min(1.0, 1 / max(sum(floors.values()), 1e-9))
    free = pool
    for kind in precedence:
        wanted = {name: claims[name].demand.get(kind, 0.0) for name in order}
        floor = min(free, pool * scale * floors.get(kind, 0.0))
        for name, part in max_min(floor, wanted).items():
            floor_parts[name][kind] = kinds[name][kind] = part
            free -= part
    for kind in precedence:
        wanted = {
            name: claims[name].demand.get(kind, 0.0) - kinds[name][kind]
            for name in order
        }
        held = {name: sum(kinds[name].values()) for name in order}
        for name, part in max_min(max(0.0, free), wanted, held).items():
            kinds[name][kind] += part
            free -= part
    if free < MIN_SPARE_SLOTS:
        free = 0.0
    heard = sum(1 - claims[name].reserved for name in order) or 1.0
    return {
        name: Allocation(
            kinds[name],
            floor_parts[name],
            spare=free * (1 - claims[name].reserved) / heard,
            reserved=reserved[name],
        )
        for name in order
    }


def whole_slots(
    order: Sequence[str],
    allocations: Mapping[str, Allocation],
    capacity: int,
    *,
    precedence: Sequence[str],
) -> dict[str, int]:
    """Round allocations to whole slots, at most the capacity in all.

    The largest remainders are rounded up. In a flood they are equal, and
    the members with more work of high kinds come first.
    """
    totals = {name: allocations[name].total for name in order}
    counts = {name: math.floor(totals[name] + 1e-6) for name in order}
    left = min(capacity, round(sum(totals.values()))) - sum(counts.values())
    weights = {kind: -index for index, kind in enumerate(precedence)}
    by_remainder = sorted(
        order,
        key=lambda name: (
            -round(totals[name] - counts[name], 3),
            -round(
                sum(
                    slots * weights[kind]
                    for kind, slots in allocations[name].kinds.items()
                ),
                3,
            ),
            order.index(name),
        ),
    )
    for name in by_remainder[: max(0, left)]:
        counts[name] += 1
    return counts


def owned_slots(
    order: Sequence[str],
    counts: Mapping[str, int],
    servers: Mapping[str, int],
) -> dict[str, dict[str, int]]:
    """Return how many slots of each server each member owns.

    Slots are dealt out one per server in turn. A member keeps the slots of
    the even division before it takes those that others leave, so that a
    change of demand moves few slots.

    :param servers: slots by server
    """
    slots = [
        server
        for index in range(max(servers.values(), default=0))
        for server in sorted(servers)
        if index < servers[server]
    ]
    owned: dict[str, dict[str, int]] = {name: {} for name in order}
    used = dict.fromkeys(order, 0)
    free: list[str] = []
    for index, server in enumerate(slots):
        name = order[index % len(order)]
        if used[name] < counts[name]:
            used[name] += 1
            owned[name][server] = owned[name].get(server, 0) + 1
        else:
            free.append(server)
    remaining = iter(free)
    for name in order:
        for server in (
            next(remaining, None) for _ in range(counts[name] - used[name])
        ):
            if server is not None:
                owned[name][server] = owned[name].get(server, 0) + 1
    return owned
