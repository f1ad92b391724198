import random

import pytest

from cyclamenridge.flow import core as core_lib
from cyclamenridge.flow import directory
from cyclamenridge.flow import effects
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import placement
from cyclamenridge.flow import routes
from tests.flow import builders

SERVERS = [builders.server_entry(number) for number in range(1, 8)]


def test_any_process_sends_later_packets_to_the_flow_s_server():
    """A process without a record of the flow must not select a new server."""
    first = builders.make_core(*SERVERS, seed=1)
    flow = builders.Flow(first)
    forward = flow.open(0)
    for seed in range(2, 12):
        flow.core = builders.make_core(*SERVERS, seed=seed)
        for out in (flow.request(100), flow.acknowledge(200)):
            assert out == (forward,)


def test_packets_to_a_removed_server_are_still_forwarded():
    """An entry may expire while its server runs and has open flows."""
    core = builders.make_core(*SERVERS)
    flow = builders.Flow(core)
    forward = flow.open(0)
    server = core.directory.by_token(forward.token)
    core.directory.remove(10, server.entry.name, builders.at(99))
    assert flow.request(20) == (forward,)


def test_a_forwarded_datagram_carries_the_identity_of_its_server():
    """Without it, the next owner of an address gets another server's flow."""
    core = builders.make_core(builders.server_entry(7))
    forward = builders.Flow(core).open(0)
    assert forward.ident == 7
    # The address now belongs to a server of another service.
    core.directory.remove(10, "i-00000007", builders.at(50))
    core.directory.put(
        20,
        builders.server_entry(
            8,
            service="workshop",
            address=forward.address,
            revision=60,
        ),
    )
    later = builders.Flow(core, client_port=5)
    later.token = forward.token
    (out,) = later.request(30)
    assert out.ident == 7


def test_new_flows_go_only_to_servers_of_the_route_s_service():
    core = builders.make_core(
        *SERVERS, builders.server_entry(100, service="workshop")
    )
    for number in range(200):
        flow = builders.Flow(core, port=builders.DUMP_PORT, client_port=number)
        assert flow.open(number).ident == 100


@pytest.mark.parametrize("change", ["draining", "removed"])
def test_a_leaving_server_gets_no_new_flow_and_keeps_its_old_ones(change):
    core = builders.make_core(
        builders.server_entry(1), builders.server_entry(2)
    )
    flow = builders.Flow(core)
    leaving = flow.open(0)
    name = core.directory.by_token(leaving.token).entry.name
    if change == "draining":
        core.directory.put(
            5,
            builders.server_entry(
                leaving.ident,
                state=directory.ServerState.DRAINING,
                revision=70,
            ),
        )
    else:
        core.directory.remove(5, name, builders.at(70))
    for number in range(50):
        other = builders.Flow(core, client_port=number)
        assert other.open(10 + number).ident != leaving.ident
    assert flow.request(100) == (leaving,)


def test_syn_retransmissions_go_to_other_servers():
    """A server that does not answer must not get all three SYNs."""
    core = builders.make_core(*SERVERS)
    flow = builders.Flow(core)
    idents = [
        builders.forwards(flow.syn(now_ms, retransmission))[0].ident
        for retransmission, now_ms in enumerate((0, 200, 600))
    ]
    assert len(set(idents)) == 3


def test_retransmissions_that_are_read_at_once_are_no_evidence():
    """After a pause a process reads a SYN and its retransmissions at once.

    They once made the server count as silent, and each was sent to another
    server.
    """
    core = builders.make_core(*SERVERS)
    flows = [builders.Flow(core, client_port=number) for number in range(9)]
    for flow in flows:
        assert builders.forwards(flow.syn(5000))
        assert flow.syn(5001, retransmission=1) == effects.DROP
        assert flow.syn(5149, retransmission=2) == effects.DROP
    assert {event for event, _ in core._log.events} == {"flow_opening"}
    assert builders.forwards(flows[0].syn(5200, retransmission=1))


def test_a_syn_that_arrives_after_the_handshake_is_dropped():
    core = builders.make_core(*SERVERS)
    flow = builders.Flow(core)
    flow.open(0)
    flow.seq = 1000
    assert flow.syn(200, retransmission=1) == effects.DROP


def test_the_flow_belongs_to_the_server_whose_handshake_was_completed():
    """Load has to be counted at the server that the token identifies."""
    core = builders.make_core(*SERVERS)
    flow = builders.Flow(core)
    first = builders.forwards(flow.syn(0))
    second = builders.forwards(flow.syn(200, 1))[0]
    assert second not in first
    flow.complete_handshake(210, second)
    waiting = {
        name: stats.pending
        for name, stats in core.server_stats.items()
        if stats.pending
    }
    assert waiting == {}
    name = core.directory.by_token(second.token).entry.name
    assert core.server_stats.for_server(name).open_flows == 1


def test_load_is_spread_over_servers_by_pending_requests():
    """Requests that pile up at one server are refused."""
    servers = [
        builders.server_entry(number, slots=4) for number in range(1, 8)
    ]
    core = builders.make_core(*servers)
    for number in range(28):
        flow = builders.Flow(core, client_port=number)
        flow.open(number)
        flow.request(number + 10)
    waiting = [
        core.server_stats.for_server(item.name).pending for item in servers
    ]
    assert sum(waiting) == 28
    assert max(waiting) - min(waiting) <= 2


def test_load_of_other_balancers_counts():
    core = builders.make_core(
        builders.server_entry(1), builders.server_entry(2)
    )
    core.server_stats.for_server("i-00000001").peer_pending = 6
    for number in range(4):
        assert builders.Flow(core, client_port=number).open(0).ident == 2


def test_a_server_that_warms_up_gets_fewer_flows():
    core = builders.make_core(
        builders.server_entry(1, slots=40), builders.server_entry(2, slots=40)
    )
    core.directory.put(
        0,
        builders.server_entry(
            1, slots=40, warmup_ms=2000, revision=90, born_ms=2
        ),
    )
    chosen = []
    for number in range(40):
        flow = builders.Flow(core, port=builders.PUSH_PORT, client_port=number)
        chosen.append(flow.open(number).ident)
        flow.request(number)
    assert 0 < chosen.count(1) < chosen.count(2)


def test_preferred_routes_precede_another_one_of_a_service():
    def route(port, rank, *services):
        targets = tuple(routes.Target(service, 1) for service in services)
        return routes.Route("r", 1, port, targets, True, 1, 1, rank)

    found = [
        route(1, 1, "counter"),
        route(2, 3, "counter", "workshop"),
        route(3, 3, "counter"),
        route(4, 2, "workshop"),
        route(5, 0, "alone"),
    ]
    table = routes.RouteTable(
        1, {(1, item.port): item for item in found}, frozenset(), 1
    )
    assert table.preferred_keys() == {(1, 1), (1, 4)}


def test_a_server_without_a_recent_answer_is_tried_with_another_one():
    """A dead server must not delay each client by 200 ms."""
    core = builders.make_core(*SERVERS)
    flow = builders.Flow(core)
    both = builders.forwards(flow.syn(5000))
    assert len({item.ident for item in both}) == 2
    flow.complete_handshake(5010, both[1])
    winner = core.directory.by_token(both[1].token)
    for server in list(core.directory):
        if server is not winner:
            core.directory.remove(5011, server.entry.name, builders.at(500))
    again = builders.Flow(core, client_port=2)
    assert builders.forwards(again.syn(5020)) == [both[1]]


def test_a_server_of_the_own_domain_is_preferred_until_it_is_busier():
    """Preferring the own domain must not overload its servers."""
    core = builders.make_core(
        builders.server_entry(1, slots=10),
        builders.server_entry(2, slots=10, failure_domain="tsv"),
    )
    chosen = []
    for number in range(20):
        flow = builders.Flow(core, client_port=number)
        chosen.append(flow.open(number).ident)
        flow.request(number)
    assert chosen[:3] == [1, 1, 1]
    assert 5 <= chosen.count(2) <= 9


def test_a_route_that_does_not_exist_is_refused_at_once():
    core = builders.make_core(*SERVERS)
    assert builders.Flow(core, port=1).syn(0) == effects.RESET


def test_nothing_is_refused_before_a_configuration_is_known():
    """A process that has just started does not know which routes exist."""
    core = builders.make_core(*SERVERS, config=None)
    assert builders.Flow(core).syn(0) == effects.DROP


def test_a_service_without_servers_is_refused_at_once():
    core = builders.make_core(*SERVERS)
    flow = builders.Flow(core, port=builders.DUMP_PORT)
    assert flow.syn(0) == effects.RESET


def test_flows_of_a_removed_route_are_reset_and_others_continue():
    core = builders.make_core(*SERVERS)
    dropped = builders.Flow(core, port=builders.PUSH_PORT)
    kept = builders.Flow(core, client_port=2)
    dropped.open(0)
    forward = kept.open(0)
    without = {
        key: route
        for key, route in builders.CONFIG.routes.items()
        if route.name != "push"
    }
    assert core.configure(
        routes.RouteTable(
            9, without, builders.CONFIG.services, builders.CONFIG.idle_ms
        )
    )
    assert dropped.request(50) == effects.RESET
    assert kept.request(50) == (forward,)


def test_an_older_configuration_is_never_applied():
    core = builders.make_core(*SERVERS)
    older = routes.RouteTable(3, {}, frozenset(), 1)
    assert not core.configure(older)
    assert not core.configure(builders.CONFIG)
    assert core.routes is builders.CONFIG


def test_the_cost_of_a_syn_does_not_grow_with_the_fleet():
    """Comparing all servers is too slow at 2,700, expected in two years."""
    core = builders.make_core(
        *(builders.server_entry(n) for n in range(1, 400))
    )
    compared = []
    selector = core._opener._placement._selector
    select = selector.select

    def count(now_ms, candidates, server_stats):
        compared.append(len(candidates))
        return select(now_ms, candidates, server_stats)

    selector.select = count
    chosen = {
        builders.Flow(core, client_port=number).open(number).ident
        for number in range(400)
    }
    assert max(compared) <= placement.MAX_CANDIDATES
    assert len(chosen) > 200


def test_new_flows_follow_the_weights_of_a_route():
    table = routes.RouteTable(
        1,
        {
            (builders.HOST, 7): routes.Route(
                "split",
                builders.HOST,
                7,
                (routes.Target("counter", 90), routes.Target("workshop", 10)),
                True,
                2500,
                150,
                1,
            )
        },
        frozenset({"counter", "workshop"}),
        15_000,
    )
    core = builders.make_core(
        builders.server_entry(1),
        builders.server_entry(2, service="workshop"),
        config=table,
    )
    chosen = [
        builders.Flow(core, port=7, client_port=number).open(number).ident
        for number in range(2000)
    ]
    assert 140 < chosen.count(2) < 260


def test_an_unknown_token_is_not_answered_with_a_reset():
    """The server may be new here while the flow is open."""
    core = builders.make_core(*SERVERS)
    flow = builders.Flow(core)
    flow.token = 12345
    assert flow.request(0) == effects.DROP


def make_unresponsive(
    core, idents, *, start_ms=1000, flows=4, port=builders.FEED_PORT
):
    """Leave requests at some servers unanswered while others answer.

    Returns flows with an unanswered request, the time, and the effects of the
    last retransmission.
    """
    unanswered = []
    for number in range(400):
        flow = builders.Flow(core, port=port, client_port=number)
        forward = flow.open(start_ms - 500)
        if forward.ident in idents:
            if len(unanswered) < flows:
                unanswered.append(flow)
        else:
            flow.request(start_ms - 400)
            flow.acknowledge(start_ms - 300)
    assert len(unanswered) == flows
    for flow in unanswered:
        flow.request(start_ms - 200)
    healthy = builders.Flow(core, client_port=1000)
    while healthy.open(start_ms - 100).ident in idents:
        healthy = builders.Flow(core, client_port=healthy.client_port + 1)
    for step in range(0, 1000, 200):
        healthy.request(start_ms + step)
        healthy.acknowledge(start_ms + step + 50)
        for flow in unanswered:
            out = flow.retransmit(start_ms + step + 60)
    return unanswered, start_ms + 1060, out


def test_flows_at_a_single_silent_server_are_never_reset():
    """A server behind a saturated link looks like a dead one.

    An open flow was reset behind a link of 5 Mbit/s, in the benchmark day
    "scale-1" at bellbird-qld-grown. New flows still avoid the server.
    """
    core = builders.make_core(*SERVERS)
    unanswered, now_ms, _ = make_unresponsive(core, {3}, flows=8)
    assert all(
        builders.forwards(flow.retransmit(now_ms)) for flow in unanswered
    )
    assert ("server_silent", "i-00000003") in core._log.events
    for number in range(20):
        chosen = builders.forwards(
            builders.Flow(core, client_port=6000 + number).syn(
                now_ms + 20 * number
            )
        )
        assert chosen[0].ident != 3


def test_a_request_that_must_not_run_twice_is_never_reset():
    """Its client would not repeat it, and the answer may still arrive."""
    core = make_two_domain_core()
    core.reachability.record_beacon(0, "too")
    unanswered, now_ms, _ = make_unresponsive(
        core, {3, 4}, flows=6, port=builders.PUSH_PORT
    )
    assert core.reachability.is_unreachable(now_ms, "too")
    assert builders.forwards(unanswered[0].retransmit(now_ms))


def test_losses_at_several_servers_of_the_own_domain_reset_nothing():
    """A saturated link loses packets to all servers; the flows stay open."""
    core = builders.make_core(*SERVERS)
    unanswered, now_ms, _ = make_unresponsive(core, {2, 3}, flows=8)
    assert all(
        builders.forwards(flow.retransmit(now_ms)) for flow in unanswered
    )


def test_losses_in_other_domains_point_to_a_saturated_link():
    """Such a link can lose three beacons and the packets of two servers.

    Clients then retransmit packets to other domains too, even if these are
    answered later.
    """
    core = make_two_domain_core()
    core.reachability.record_beacon(0, "too")
    other = builders.Flow(core, client_port=9000)
    while other.open(0).ident in {3, 4}:
        other = builders.Flow(core, client_port=other.client_port + 1)
    other.request(100)
    other.retransmit(400)
    other.acknowledge(450)
    unanswered, now_ms, out = make_unresponsive(core, {3, 4}, flows=6)
    assert core.reachability.is_unreachable(now_ms, "too")
    assert builders.forwards(out)
    for step in range(500, 3000, 500):
        core.sweep(now_ms + step)
        for flow in unanswered:
            flow.retransmit(now_ms + step)
    other.request(now_ms + 2900)
    other.acknowledge(now_ms + 2950)
    assert unanswered[0].retransmit(now_ms + 3000) == effects.RESET


def test_a_process_without_any_answer_resets_nothing():
    """The process itself may be disconnected while its flows are open."""
    core = builders.make_core(builders.server_entry(1, slots=9))
    flows = [builders.Flow(core, client_port=n) for n in range(5)]
    for flow in flows:
        flow.open(0)
        flow.request(100)
    for now_ms in (400, 800, 1600, 3200):
        for flow in flows:
            assert builders.forwards(flow.retransmit(now_ms))


def make_two_domain_core():
    return builders.make_core(
        *(builders.server_entry(n) for n in (1, 2)),
        *(builders.server_entry(n, failure_domain="too") for n in (3, 4)),
    )


@pytest.mark.parametrize("beacons", [True, False])
def test_a_domain_is_unreachable_without_beacons_and_answers(beacons):
    """Dead balancers alone do not make a domain's servers unreachable."""
    core = make_two_domain_core()
    core.reachability.record_beacon(0, "too")
    if beacons:
        core.reachability.record_beacon(1900, "too")
    unanswered, now_ms, _ = make_unresponsive(core, {3, 4}, flows=6)
    fresh = builders.Flow(core, client_port=5000)
    if beacons:
        assert builders.forwards(unanswered[0].retransmit(now_ms))
    else:
        assert unanswered[0].retransmit(now_ms) == effects.RESET
        assert fresh.open(now_ms).ident in {1, 2}


def test_evidence_from_before_a_pause_resets_nothing():
    """After a pause, packets of clients may be read before beacons."""
    core = make_two_domain_core()
    core.reachability.record_beacon(0, "too")
    unanswered, now_ms, out = make_unresponsive(core, {3, 4}, flows=6)
    assert out == effects.RESET
    resumed_ms = now_ms + 1400
    healthy = builders.Flow(core, client_port=9000)
    while healthy.open(now_ms).ident in {3, 4}:
        healthy = builders.Flow(core, client_port=healthy.client_port + 1)
    for step in range(0, 900, 100):
        healthy.request(resumed_ms + step)
        healthy.acknowledge(resumed_ms + step + 50)
        for flow in unanswered:
            assert builders.forwards(flow.retransmit(resumed_ms + step + 60))
    assert unanswered[0].retransmit(resumed_ms + 1020) == effects.RESET


def test_the_first_packet_of_a_request_is_never_answered_with_a_reset():
    """The state of a domain may be stale while the flow is open.

    The only balancer of a domain restarted and one of its servers had died;
    six flows at its other servers were reset at the first packet of a
    request, in the benchmark day hunt-c0b1-11 at fjordbind-prod.
    """
    core = make_two_domain_core()
    core.reachability.record_beacon(0, "too")
    _, now_ms, out = make_unresponsive(core, {3, 4}, flows=6)
    assert out == effects.RESET
    fresh = builders.Flow(core, client_port=7000)
    fresh.token = 3
    assert builders.forwards(fresh.request(now_ms))
    assert fresh.retransmit(now_ms + 200) == effects.RESET


def test_one_dead_server_does_not_make_its_domain_unreachable():
    core = make_two_domain_core()
    core.reachability.record_beacon(0, "too")
    _, now_ms, _ = make_unresponsive(core, {3}, flows=6)
    assert core.reachability.is_unreachable(now_ms, "too") is False
    fresh = builders.Flow(core, client_port=7000)
    fresh.token = 4
    fresh.request(now_ms)
    assert builders.forwards(fresh.retransmit(now_ms + 200))


def test_old_retransmissions_do_not_make_a_domain_unreachable():
    core = make_two_domain_core()
    core.reachability.record_beacon(0, "too")
    _, now_ms, _ = make_unresponsive(core, {3, 4}, flows=6)
    assert core.reachability.is_unreachable(now_ms, "too")
    assert not core.reachability.is_unreachable(now_ms + 1500, "too")


def test_a_silent_server_is_probed_beside_one_that_answers():
    """A probe alone would delay its client by 200 ms."""
    core = builders.make_core(*SERVERS)
    _, now_ms, _ = make_unresponsive(core, {3})
    tried = 0
    for number in range(200):
        flow = builders.Flow(core, client_port=6000 + number)
        idents = [
            item.ident
            for item in builders.forwards(flow.syn(now_ms + 10 * number))
        ]
        assert idents[0] != 3
        tried += 3 in idents
    assert 1 <= tried <= 3


def test_reordered_data_is_no_evidence_against_a_server():
    """Uploads send 16 packets at once, and the network reorders them."""
    core = builders.make_core(*SERVERS)
    for number in range(20):
        flow = builders.Flow(core, port=builders.PUSH_PORT, client_port=number)
        flow.open(900)
        for step in range(10):
            now_ms = 1000 + 10 * step
            flow.request(now_ms, 1200)
            flow.request(now_ms, 1200)
            flow.send(
                now_ms + 1, packet_lib.ACK, length=1200, seq=flow.seq - 2400
            )
    assert core.counters["packets_repeated"] == 0
    assert not any(
        stats.unanswered_flows for _, stats in core.server_stats.items()
    )
    flow.retransmit(1500, 1200)
    assert core.counters["packets_repeated"] == 1


def test_an_answer_ends_the_silence_of_a_server():
    core = builders.make_core(*SERVERS)
    unanswered, now_ms, _ = make_unresponsive(core, {3})
    unanswered[0].acknowledge(now_ms)
    assert builders.forwards(unanswered[1].retransmit(now_ms + 1))
    assert ("server_heard", "i-00000003") in core._log.events


def test_sweep_drops_idle_flows_and_their_load():
    core = builders.make_core(*SERVERS)
    flow = builders.Flow(core)
    flow.open(0)
    flow.request(10)
    opening = builders.Flow(core, client_port=2)
    opening.syn(0)
    core.sweep(1000)
    assert core.flow_count == 2
    core.sweep(core_lib.OPENING_TIMEOUT_MS + 10)
    assert core.flow_count == 1
    core.sweep(20_000)
    assert core.flow_count == 0
    assert not any(
        stats.pending or stats.open_flows
        for _, stats in core.server_stats.items()
    )


def test_random_packets_never_raise_and_keep_load_in_balance():
    """Packets may arrive in any order, repeated, and at any process."""
    rng = random.Random(7)
    core = builders.make_core(*SERVERS)
    tokens = [0, 99, *(item.ident for item in SERVERS)]
    for now_ms in range(0, 40_000, 4):
        core.handle_packet(
            now_ms,
            packet_lib.Packet(
                rng.randrange(3),
                rng.randrange(20),
                builders.HOST,
                rng.choice([builders.FEED_PORT, builders.PUSH_PORT, 5]),
                rng.randrange(16),
                rng.choice([0, 1, 1000, 2**32 - 1]),
                rng.choice([0, 5, 2**31, 2**32 - 1]),
                rng.choice([0, 0, 1200]),
                rng.choice(tokens),
            ),
        )
        if now_ms % 500 == 0:
            core.sweep(now_ms)
        assert all(
            stats.pending >= 0 and stats.open_flows >= 0
            for _, stats in core.server_stats.items()
        )
    core.sweep(100_000)
    assert core.flow_count == 0
    assert not any(
        stats.pending or stats.open_flows
        for _, stats in core.server_stats.items()
    )
