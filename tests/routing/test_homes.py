from cyclamenridge import address
from cyclamenridge.routing import homes


def make_balancers(count, domains):
    return tuple(
        homes.Balancer(
            f"b{number}",
            domains[number % len(domains)],
            address.Address("127.0.0.1", 7000 + number),
            1,
        )
        for number in range(count)
    )


def test_each_domain_with_servers_has_a_member():
    """Guards against a domain that is cut off without a home balancer."""
    balancers = make_balancers(60, ("a", "b", "c", "d"))
    members = homes.home_set(
        "counter", 5, balancers, frozenset({"a", "b", "c"})
    )
    assert len(members) == 5
    assert {"a", "b", "c"} <= {m.failure_domain for m in members}


def test_loss_of_an_outsider_does_not_change_the_home_set():
    """Guards against sessions that move when an unrelated instance dies."""
    balancers = make_balancers(60, ("a", "b", "c"))
    domains = frozenset({"a", "b", "c"})
    members = homes.home_set("counter", 5, balancers, domains)
    for lost in set(balancers) - set(members):
        rest = tuple(b for b in balancers if b != lost)
        assert homes.home_set("counter", 5, rest, domains) == members


def test_small_fleet_is_its_own_home_set():
    balancers = make_balancers(4, ("a",))
    members = homes.home_set("counter", 5, balancers, frozenset({"a"}))
    assert set(members) == set(balancers)
    assert homes.owner(b"key", members) in members
