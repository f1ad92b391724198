import hypothesis
from hypothesis import strategies
import pytest

from cyclamenridge.scheduling import shares
from cyclamenridge.scheduling import types
from tests.scheduling import scheduler_harness

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
MEMBERS = ("b0", "b1", "b2", "b3", "b4")
KINDS = scheduler_harness.KINDS
# Demands are multiples of an eighth of a slot.
slots = strategies.integers(0, 400).map(lambda value: value / 8)
demands = strategies.fixed_dictionaries(dict.fromkeys(KINDS, slots))
capacities = strategies.integers(0, 40)


def divide(capacity, claims, members=MEMBERS, floor_fractions=None):
    allocations = shares.allocate(
        capacity,
        members=members,
        claims=claims,
        precedence=KINDS,
        floor_fractions=floor_fractions or {"view": 0.1, "dump": 0.1},
    )
    return allocations, shares.round_to_whole_slots(
        members, allocations, capacity, precedence=KINDS
    )


@SETTINGS
@hypothesis.given(
    capacities,
    strategies.fixed_dictionaries(
        {
            name: strategies.builds(
                shares.Claim, demands, strategies.floats(0, 1)
            )
            for name in MEMBERS
        }
    ),
)
def test_shares_never_exceed_capacity(capacity, claims):
    """Guards against slots that two members with equal data both own."""
    allocations, counts = divide(capacity, claims)
    assert (
        sum(allocation.total for allocation in allocations.values())
        <= capacity + 1e-6
    )
    assert sum(counts.values()) <= capacity
    assert min(counts.values()) >= 0


@SETTINGS
@hypothesis.given(
    capacities,
    strategies.lists(
        strategies.integers(0, 2),
        min_size=len(MEMBERS),
        max_size=len(MEMBERS),
    ),
    strategies.fixed_dictionaries(dict.fromkeys(MEMBERS, demands)),
)
def test_shares_never_exceed_capacity_in_a_partition(
    capacity, partition_ids, wanted
):
    """Guards against slots that members on both sides of a partition own."""
    partitions = dict(zip(MEMBERS, partition_ids, strict=True))
    servers = {f"s{index}": 2 for index in range(capacity // 2)}
    capacity = sum(servers.values())
    used = dict.fromkeys(servers, 0)
    for me in MEMBERS:
        claims = {
            name: shares.Claim(wanted[name])
            if partitions[name] == partitions[me]
            else shares.Claim({}, reserved=1.0)
            for name in MEMBERS
        }
        _, counts = divide(capacity, claims)
        for server, owned in shares.assign_slots(MEMBERS, counts, servers)[
            me
        ].items():
            used[server] += owned
    assert all(used[name] <= servers[name] for name in servers)


@SETTINGS
@hypothesis.given(
    strategies.integers(1, 40),
    strategies.fixed_dictionaries(dict.fromkeys(MEMBERS, demands)),
)
def test_floor_and_precedence_hold_in_the_division(capacity, wanted):
    """Guards against starved kinds and against priority inversion."""
    floor_fractions = {"view": 0.1, "dump": 0.2}
    allocations, _ = divide(
        capacity,
        {n: shares.Claim(wanted[n]) for n in MEMBERS},
        floor_fractions=floor_fractions,
    )
    granted = {
        kind: sum(
            allocation.kind_slots[kind] for allocation in allocations.values()
        )
        for kind in KINDS
    }
    wanted_total = {
        kind: sum(demand[kind] for demand in wanted.values()) for kind in KINDS
    }
    for index, kind in enumerate(KINDS):
        floor = min(
            wanted_total[kind], floor_fractions.get(kind, 0) * capacity
        )
        assert granted[kind] >= floor - 1e-6
        if granted[kind] < wanted_total[kind] - 1e-6:
            for lower in KINDS[index + 1 :]:
                assert (
                    granted[lower] <= floor_fractions[lower] * capacity + 1e-6
                )


@SETTINGS
@hypothesis.given(
    strategies.floats(0, 50),
    strategies.dictionaries(strategies.sampled_from(MEMBERS), slots),
    strategies.dictionaries(strategies.sampled_from(MEMBERS), slots),
)
def test_max_min_uses_the_whole_pool(pool, wanted, held):
    """Guards against a sum of parts that differs from the pool."""
    parts = shares.max_min_fair(pool, wanted, held)
    assert sum(parts.values()) == pytest.approx(
        min(pool, sum(wanted.values()))
    )
    assert all(0 <= parts[n] <= wanted[n] + 1e-9 for n in wanted)


def test_rounding_leaves_no_spare():
    """Guards against foreign slots used while all members are overloaded.

    A rounding error that is taken for spare slots would allow it.
    """
    claims = {
        name: shares.Claim(
            {"edit": 0.7 + 0.1 * index, "view": 0.7, "dump": 90.0}
        )
        for index, name in enumerate(MEMBERS)
    }
    allocations, _ = divide(14, claims)
    assert {allocation.spare for allocation in allocations.values()} == {0.0}


def test_silent_peer_decays_to_its_even_share():
    """Guards against a silent peer's last demand that counts for ever.

    Its even share must stay reserved, since the peer may still use it.
    """
    peers = shares.PeerDemands()
    peers.store(0, "b1", scheduler_harness.demand(8.0))
    assert peers.claim(2500, "b1") == shares.Claim({"edit": 8.0}, 0.0)
    assert peers.claim(3750, "b1") == shares.Claim({"edit": 4.0}, 0.5)
    assert peers.claim(5000, "b1").reserved == 1.0
    assert peers.claim(5000, "never") == shares.Claim({}, 1.0)


def test_hostile_demand_is_ignored():
    """Guards against an infinite or negative share from a peer's message."""
    peers = shares.PeerDemands()
    peers.store(
        0,
        "b1",
        types.ServiceDemand(
            scheduler_harness.SERVICE,
            (
                types.KindDemand("edit", float("inf")),
                types.KindDemand("view", float("nan")),
                types.KindDemand("dump", -3.0),
            ),
        ),
    )
    assert peers.claim(0, "b1") == shares.Claim({}, 0.0)


def test_small_change_of_demand_moves_few_slots():
    """Guards against ``busy`` answers after every exchange of demands.

    A slot that moves may still run a request of its former owner.
    """
    servers = {f"s{index}": 2 for index in range(7)}
    before = shares.assign_slots(
        MEMBERS, dict(zip(MEMBERS, (3, 3, 3, 3, 2), strict=True)), servers
    )
    after = shares.assign_slots(
        MEMBERS, dict(zip(MEMBERS, (3, 3, 2, 3, 3), strict=True)), servers
    )
    moved = sum(
        max(0, count - before[name].get(server, 0))
        for name in MEMBERS
        for server, count in after[name].items()
    )
    assert moved == 1
