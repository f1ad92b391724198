import hypothesis
from hypothesis import strategies

from cyclamenridge import address
from cyclamenridge.routing import home_sets


def make_balancers(count, domains):
    return tuple(
        home_sets.Balancer(
            f"b{number}",
            domains[number % len(domains)],
            address.Address("127.0.0.1", 7000 + number),
            1,
        )
        for number in range(count)
    )


def test_each_domain_with_servers_has_a_member():
    """Guards against a domain without a home balancer in a partition."""
    balancers = make_balancers(60, ("a", "b", "c", "d"))
    members = home_sets.home_set(
        "counter", 5, balancers, frozenset({"a", "b", "c"})
    )
    assert len(members) == 5
    assert {"a", "b", "c"} <= {m.failure_domain for m in members}


def test_loss_of_a_non_member_does_not_change_the_home_set():
    """Guards against sessions that move when another balancer is lost."""
    balancers = make_balancers(60, ("a", "b", "c"))
    domains = frozenset({"a", "b", "c"})
    members = home_sets.home_set("counter", 5, balancers, domains)
    for lost in set(balancers) - set(members):
        rest = tuple(b for b in balancers if b != lost)
        assert home_sets.home_set("counter", 5, rest, domains) == members


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sets(strategies.integers(0, 30)),
            strategies.integers(1, 6),
            strategies.sets(strategies.sampled_from("abcd"), min_size=1),
        ),
        max_size=6,
    )
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_incremental_updates_equal_a_full_computation(steps):
    """Guards against a home set that a change of balancers leaves outdated."""
    fleet = make_balancers(31, ("a", "b", "c", "d"))
    sets = home_sets.HomeSets()
    before = {}
    for present, size, domains in steps:
        rule = home_sets.HomeSetParameters(size, frozenset(domains))
        rules = {f"service-{n}": rule for n in range(8)}
        balancers = {fleet[n].name: fleet[n] for n in present}
        changed = sets.update(rules, balancers)
        for name in rules:
            expected = home_sets.home_set(
                name, size, tuple(balancers.values()), rule.server_domains
            )
            assert sets.get(name) == expected
            assert (name in changed) == (before.get(name) != expected)
            before[name] = expected


def test_home_set_of_a_small_fleet_is_the_whole_fleet():
    """Guards against an empty home set when there are too few balancers."""
    balancers = make_balancers(4, ("a",))
    members = home_sets.home_set("counter", 5, balancers, frozenset({"a"}))
    assert set(members) == set(balancers)
    assert home_sets.owner(b"key", members) in members
