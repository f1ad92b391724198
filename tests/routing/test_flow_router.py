import struct

import hypothesis
from hypothesis import strategies

from cyclamenridge.routing import flow_router
from cyclamenridge.routing import pinned_flows
from cyclamenridge.routing import rendezvous

SERVERS = ("s1", "s2", "s3", "s4")
MEMBERS = ("b1", "b2", "b3")
KEYS = [struct.pack(">I", number) for number in range(3_000)]


def make_router(name):
    router = flow_router.FlowRouter(name, flow_limit=10_000, idle_ms=1_000)
    router.set_servers(0, SERVERS, SERVERS)
    router.set_members(0, MEMBERS)
    return router


def deliver_filters(router, peers):
    """Deliver all filters of ``router`` to the members they are for."""
    filter_targets = []
    while (
        not filter_targets
        or not filter_targets[-1].filter.is_completion_marker
    ):
        filter_targets.extend(router.scan_step(500))
    for target in filter_targets:
        if target.member in peers:
            peers[target.member].add_filter(router._me, target.filter)


def test_successor_keeps_moved_flows_with_their_server():
    """Guards against broken flows when a home is lost after a drain."""
    home, successor = make_router("b1"), make_router("b2")
    server_by_key = {key: home.route(0, key) for key in KEYS}
    for router in (home, successor):
        router.set_servers(100, SERVERS[1:], SERVERS)
    deliver_filters(home, {"b2": successor})
    successor.set_members(200, ("b2",))
    announced = [
        key
        for key in KEYS
        if next(m for m in rendezvous.ranked(key, MEMBERS) if m != "b1")
        == "b2"
    ]
    moved = [
        k for k in announced if successor.route(300, k) != server_by_key[k]
    ]
    assert len(announced) > 1_000
    assert moved == []


def test_unannounced_change_is_not_applied_to_flows_of_a_lost_home():
    """Guards against broken flows when a home is lost during a drain.

    The home could not announce the flows that the drain moves.
    """
    home, successor = make_router("b1"), make_router("b2")
    server_by_key = {
        key: home.route(0, key)
        for key in KEYS
        if home.home_balancer(key) == "b1"
    }
    successor.set_members(100, ("b2", "b3"))
    successor.set_servers(200, SERVERS[1:], SERVERS)
    for key, server in server_by_key.items():
        assert successor.route(300, key, opening=False) == server


def test_home_that_is_lost_before_any_servers_are_known_names_none():
    """Guards against an exception for each packet of a service whose
    servers are not known yet when a home is lost.
    """
    router = flow_router.FlowRouter("b2", flow_limit=10, idle_ms=1_000)
    router.set_members(0, MEMBERS)
    router.set_members(100, ("b2", "b3"))
    assert {router.route(200, key) for key in KEYS[:50]} == {None}
    assert len(router) == 0


def test_filters_of_a_replaced_balancer_are_dropped():
    """Guards against memory that grows with each replaced balancer.

    The filters of a balancer outside the home set are not stored either.
    """
    home, successor = make_router("b1"), make_router("b2")
    for key in KEYS:
        home.route(0, key)
    home.set_servers(100, SERVERS[1:], SERVERS)
    deliver_filters(home, {"b2": successor})
    assert successor._pinned_flows
    successor.set_members(200, ("b2", "b3"))
    for now_ms in (1_000, 2_500, 4_000):
        successor.route(now_ms, KEYS[0])
    assert not successor._pinned_flows
    outsider = make_router("b9")
    outsider.set_servers(100, SERVERS[1:], SERVERS)
    deliver_filters(outsider, {"b2": successor})
    assert not successor._announced_digests.get("b9")


def test_new_flow_never_goes_to_a_draining_server():
    """Guards against new flows at a server that is draining."""
    router = make_router("b1")
    router.set_servers(100, SERVERS[1:], SERVERS)
    assert all(router.route(200, key) != "s1" for key in KEYS)


def test_stored_flows_are_bounded_under_many_keys():
    """Guards against memory used up by packets with spoofed sources."""
    router = flow_router.FlowRouter("b1", flow_limit=100, idle_ms=1_000)
    router.set_servers(0, SERVERS, SERVERS)
    for key in KEYS:
        router.route(0, key)
    assert len(router) == 100
    router.route(1_000, KEYS[0])
    router.route(2_000, KEYS[0])
    router.route(3_000, KEYS[0])
    assert len(router) == 1


@hypothesis.given(strategies.sets(strategies.binary(min_size=1), min_size=1))
@hypothesis.settings(derandomize=True, deadline=None)
def test_filters_contain_every_key_and_fit_one_datagram(keys):
    """Guards against a moved flow that is missing in its filter.

    A filter must also fit into the payload of one datagram.
    """
    filters = list(pinned_flows.build_filters("s1", sorted(keys)))
    pinned_set = pinned_flows.PinnedSet("s1", filters[0].parts)
    for item in filters:
        assert len(item.data) <= 1_100
        pinned_set.add(item)
    assert all(key in pinned_set for key in keys)


@hypothesis.given(
    strategies.binary(), strategies.sets(strategies.text(), min_size=2)
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_choose_returns_the_first_of_ranked(key, names):
    """Guards against balancers that choose differently for the same key."""
    order = sorted(names)
    first = rendezvous.choose(key, order)
    assert first == rendezvous.ranked(key, order)[0]
    assert first == rendezvous.choose(key, order[::-1])
    rest = [name for name in order if name != first]
    assert rendezvous.choose(key, rest) == rendezvous.ranked(key, order)[1]
