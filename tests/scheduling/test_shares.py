import hypothesis
from hypothesis import strategies
import pytest

from cyclamenridge.scheduling import shares
from cyclamenridge.scheduling import types
from tests.scheduling import bench

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
MEMBERS = ("b0", "b1", "b2", "b3", "b4")
KINDS = bench.KINDS
# Demands are told in eighths of a slot.
slots = strategies.integers(0, 400).map(lambda value: value / 8)
demands = strategies.fixed_dictionaries(dict.fromkeys(KINDS, slots))
capacities = strategies.integers(0, 40)


def counts(capacity, claims, order=MEMBERS, floors=None):
    parts = shares.allocate(
        capacity,
        order=order,
        claims=claims,
        precedence=KINDS,
        floors=floors or {"view": 0.1, "dump": 0.1},
    )
    return parts, shares.whole_slots(order, parts, capacity, precedence=KINDS)


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
    """Guards against slots promised twice when members share a view."""
    parts, whole = counts(capacity, claims)
    assert sum(part.total for part in parts.values()) <= capacity + 1e-6
    assert sum(whole.values()) <= capacity
    assert min(whole.values()) >= 0


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
def test_shares_never_exceed_capacity_in_a_partition(capacity, side, wanted):
    """Guards against parts that both use the slots of the other part."""
    sides = dict(zip(MEMBERS, side, strict=True))
    servers = {f"s{index}": 2 for index in range(capacity // 2)}
    capacity = sum(servers.values())
    used = dict.fromkeys(servers, 0)
    for me in MEMBERS:
        claims = {
            name: shares.Claim(wanted[name])
            if sides[name] == sides[me]
            else shares.Claim({}, reserved=1.0)
            for name in MEMBERS
        }
        _, whole = counts(capacity, claims)
        for server, owned in shares.owned_slots(MEMBERS, whole, servers)[
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
    """Guards against starved kinds, and low ones served before high ones."""
    floors = {"view": 0.1, "dump": 0.2}
    parts, _ = counts(
        capacity, {n: shares.Claim(wanted[n]) for n in MEMBERS}, floors=floors
    )
    got = {
        kind: sum(part.kinds[kind] for part in parts.values())
        for kind in KINDS
    }
    asked = {
        kind: sum(demand[kind] for demand in wanted.values()) for kind in KINDS
    }
    for index, kind in enumerate(KINDS):
        floor = min(asked[kind], floors.get(kind, 0) * capacity)
        assert got[kind] >= floor - 1e-6
        if got[kind] < asked[kind] - 1e-6:
            for lower in KINDS[index + 1 :]:
                assert got[lower] <= floors[lower] * capacity + 1e-6


@SETTINGS
@hypothesis.given(
    strategies.floats(0, 50),
    strategies.dictionaries(strategies.sampled_from(MEMBERS), slots),
    strategies.dictionaries(strategies.sampled_from(MEMBERS), slots),
)
def test_max_min_uses_the_whole_pool(pool, wanted, held):
    """Guards against slots lost or invented in the division of a kind."""
    parts = shares.max_min(pool, wanted, held)
    assert sum(parts.values()) == pytest.approx(
        min(pool, sum(wanted.values()))
    )
    assert all(0 <= parts[n] <= wanted[n] + 1e-9 for n in wanted)


def test_rounding_leaves_no_spare():
    """Guards against use of others' slots during a flood by all members."""
    claims = {
        name: shares.Claim(
            {"edit": 0.7 + 0.1 * index, "view": 0.7, "dump": 90.0}
        )
        for index, name in enumerate(MEMBERS)
    }
    parts, _ = counts(14, claims)
    assert {part.spare for part in parts.values()} == {0.0}


def test_silent_peer_decays_to_its_even_share():
    """Guards against a dead peer's demand kept, or forgotten, for ever."""
    peers = shares.PeerDemands()
    peers.told(0, "b1", bench.demand(8.0))
    assert peers.claim(2500, "b1") == shares.Claim({"edit": 8.0}, 0.0)
    assert peers.claim(3750, "b1") == shares.Claim({"edit": 4.0}, 0.5)
    assert peers.claim(5000, "b1").reserved == 1.0
    assert peers.claim(5000, "never") == shares.Claim({}, 1.0)


def test_hostile_demand_is_ignored():
    """Guards against a share that becomes infinite or negative."""
    peers = shares.PeerDemands()
    peers.told(
        0,
        "b1",
        types.ServiceDemand(
            bench.SERVICE,
            (
                types.KindDemand("edit", float("inf")),
                types.KindDemand("view", float("nan")),
                types.KindDemand("dump", -3.0),
            ),
        ),
    )
    assert peers.claim(0, "b1") == shares.Claim({}, 0.0)


def test_small_change_of_demand_moves_few_slots():
    """Guards against collisions after every exchange of demands."""
    servers = {f"s{index}": 2 for index in range(7)}
    before = shares.owned_slots(
        MEMBERS, dict(zip(MEMBERS, (3, 3, 3, 3, 2), strict=True)), servers
    )
    after = shares.owned_slots(
        MEMBERS, dict(zip(MEMBERS, (3, 3, 2, 3, 3), strict=True)), servers
    )
    moved = sum(
        max(0, count - before[name].get(server, 0))
        for name in MEMBERS
        for server, count in after[name].items()
    )
    assert moved == 1
