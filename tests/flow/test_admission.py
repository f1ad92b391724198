import msgspec
import pytest

from cyclamenridge.flow import admission
from cyclamenridge.flow import demand as demand_lib
from cyclamenridge.flow import directory
from cyclamenridge.flow import effects
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import routes
from cyclamenridge.flow import service_window
from cyclamenridge.flow import syn_wait
from cyclamenridge.flow import tracking
from cyclamenridge.flow import waiting
from tests.flow import builders

SERVERS = [builders.server_entry(number) for number in range(1, 4)]
FEED = builders.CONFIG.routes[builders.HOST, builders.FEED_PORT]
PUSH = builders.CONFIG.routes[builders.HOST, builders.PUSH_PORT]


def open_idle_flow(core):
    """Return a flow whose first request was answered, and its server."""
    flow = builders.Flow(core, client_port=1)
    forward = flow.open(0)
    flow.request(0)
    flow.acknowledge(30)
    return flow, forward


def fill(core, *, now_ms=0):
    """Open flows with a request each until a SYN of any route has to wait."""
    flows = []
    for port, first in (
        (builders.FEED_PORT, 10_000),
        (builders.PUSH_PORT, 20_000),
    ):
        for number in range(100):
            flow = builders.Flow(core, port=port, client_port=first + number)
            out = builders.forwards(flow.syn(now_ms))
            if not out:
                break
            flow.complete_handshake(now_ms, out[0])
            flow.request(now_ms)
            flows.append(flow)
    core.admission.window("counter").foreign_part = 0.0
    return flows


def released(core, now_ms):
    """Return client port and effects of the packets that waited."""
    return [
        (item.packet.client_port, item.effects)
        for item in core.release(now_ms)
    ]


def released_until(core, start_ms, end_ms):
    """Call ``release`` as a running process does; return all it returned."""
    outs = {}
    for now_ms in [*range(start_ms, end_ms, 100), end_ms]:
        outs.update(released(core, now_ms))
    return outs


def make_item(now_ms, route=FEED, server=None, *, late_ms=100, work_ms=0.0):
    return waiting.Waiting(
        now_ms,
        service="counter",
        route=route,
        record=tracking.FlowRecord(now_ms, route),
        server=server,
        is_preferred=route is PUSH,
        late_ms=now_ms + late_ms,
        expires_ms=now_ms + 2 * late_ms,
        work_ms=work_ms,
    )


REPORT = msgspec.structs.replace(FEED, name="report", port=9443)


def test_short_requests_of_a_rank_precede_long_ones():
    """One long request took the slot of several short ones."""
    queue = waiting.WaitingQueue()
    server = builders.make_core(*SERVERS).directory.get(SERVERS[0].name)
    for _ in range(3):
        queue.push(make_item(0, REPORT, work_ms=300))
    queue.push(make_item(0, FEED, work_ms=30))
    queue.push(make_item(0, REPORT, server, work_ms=300))
    queue.push(make_item(0, PUSH, work_ms=400))
    names = [
        (item.route.name, item.server is None) for item in pop_all(queue, 1)
    ]
    # The first start is one of those that lower ranks get.
    assert names[:4] == [
        ("report", False),
        ("push", True),
        ("feed", True),
        ("report", True),
    ]


def test_long_requests_get_one_of_eight_starts():
    """Many short requests of their rank must not stop them."""
    queue = waiting.WaitingQueue()
    for _ in range(4):
        queue.push(make_item(0, REPORT, work_ms=300))
    for _ in range(40):
        queue.push(make_item(0, FEED, work_ms=30))
    names = [item.route.name for item in pop_all(queue, 1)]
    interval = waiting.FLOOR_INTERVAL
    for start in range(0, 4 * interval, interval):
        assert names[start : start + interval].count("report") == 1


def test_a_long_request_that_does_not_fit_is_refused_before_short_ones():
    """A slot that it takes serves several short ones in time."""
    core = builders.make_core(*SERVERS)
    work = core.admission.work
    for _ in range(100):
        work.record("feed", 20)
        work.record("report", 100)
    window = core.admission.window("counter")
    window.limit = 10.0
    for _ in range(2):
        window.queue.push(make_item(0, FEED, work_ms=work.service_ms("feed")))
    waits = core.admission.syn_wait
    assert not waits.wait_ms(window, FEED, is_preferred=False)[1]
    for _ in range(10):
        window.queue.push(
            make_item(0, REPORT, work_ms=work.service_ms("report"))
        )
    # Long requests in front do not keep a short one from its slot.
    assert not waits.wait_ms(window, FEED, is_preferred=False)[1]
    assert waits.wait_ms(window, REPORT, is_preferred=False)[1]


def pop_all(queue, now_ms):
    items = []
    while (item := queue.pop(now_ms, lambda item: True)) is not None:
        items.append(item)
    return items


def test_a_syn_waits_for_a_slot_and_is_then_sent():
    core = builders.make_core(*SERVERS)
    busy = fill(core)
    flow = builders.Flow(core, client_port=1)
    assert flow.syn(0) == effects.DROP
    assert core.release(5) == []
    for other in busy[:6]:
        other.acknowledge(10)
    ports = [port for port, out in released(core, 10) if out[0].ident]
    assert 1 in ports


def test_a_released_packet_is_returned_with_its_datagram():
    core = builders.make_core(*SERVERS)
    busy = fill(core)
    packet = packet_lib.Packet(
        builders.CLIENT,
        7,
        builders.HOST,
        builders.PUSH_PORT,
        packet_lib.SYN,
        1000,
        0,
        0,
        0,
    )
    while core.handle_packet(0, packet, b"datagram") != effects.DROP:
        packet.client_port += 1
    for other in busy:
        other.acknowledge(10)
    items = {item.packet.client_port: item for item in core.release(10)}
    assert items[packet.client_port].datagram == b"datagram"


def test_a_syn_that_cannot_be_served_in_time_is_refused_at_once():
    """Its client would learn nothing before its time budget is over."""
    core = builders.make_core(*SERVERS)
    fill(core)
    core.admission.work.record("feed", 75)
    for number in range(20):
        builders.Flow(core, client_port=500 + number).syn(0)
    flow = builders.Flow(core, client_port=1)
    assert flow.syn(0) == effects.DROP
    assert dict(released(core, syn_wait.MIN_SYN_WAIT_MS))[1] == effects.RESET
    assert core.counters["openings_refused"] >= 1
    assert core.counters["openings_surplus"] >= 1
    # Copies that were in queues, and the retransmission, open no flow.
    assert flow.syn(syn_wait.MIN_SYN_WAIT_MS) == effects.RESET
    assert flow.syn(200, retransmission=1) == effects.RESET


def test_a_surplus_syn_uses_a_slot_that_comes_free_early():
    """It was refused although a server was idle."""
    core = builders.make_core(*SERVERS)
    busy = fill(core)
    core.admission.work.record("feed", 75)
    for number in range(20):
        builders.Flow(core, client_port=500 + number).syn(0)
    core.admission.syn_wait.rng.uniform = lambda low, high: high
    flow = builders.Flow(core, client_port=1)
    assert flow.syn(0) == effects.DROP
    for other in busy:
        other.acknowledge(syn_wait.MIN_SYN_WAIT_MS // 2)
    core.admission.window("counter").is_full = lambda *_: False
    outs = dict(released(core, syn_wait.MIN_SYN_WAIT_MS // 2))
    assert isinstance(outs[1][0], effects.Forward)


def test_a_syn_that_may_be_served_in_time_waits_for_a_slot():
    """A part of its spare time is left for the client's other tries."""
    core = builders.make_core(*SERVERS)
    fill(core)
    list(core.release(150))
    window = core.admission.window("counter")
    assert not len(window.queue)
    flow = builders.Flow(core, client_port=1)
    assert flow.syn(150) == effects.DROP
    spare_ms = FEED.aim_ms - window.handshake_ms
    spare_ms -= core.admission.work.answer_ms(FEED)
    wait_ms = round(syn_wait.SYN_WAIT_PART * spare_ms)
    assert 1 not in dict(released(core, 150 + wait_ms - 1))
    assert dict(released(core, 150 + wait_ms))[1] == effects.RESET


def test_no_syn_is_refused_while_answers_pass_other_balancers():
    """With packets spread at random, the count of requests is too high."""
    core = builders.make_core(*SERVERS)
    fill(core)
    window = core.admission.window("counter")
    window.foreign_part = service_window.MAX_FOREIGN_PART + 0.2
    flow = builders.Flow(core, client_port=1)
    assert flow.syn(0) == effects.DROP
    assert builders.forwards(dict(released(core, 100))[1])


def test_flows_that_others_opened_show_that_packets_are_spread():
    """Found by the soak: five flows in a row were refused at low load.

    All packets had passed one balancer until the others were back.
    """
    core = builders.make_core(*SERVERS)
    fill(core)
    assert core.admission.can_refuse("counter")
    for number in range(2):
        foreign = builders.Flow(core, client_port=500 + number)
        foreign.token = 1
        foreign.send(5, packet_lib.ACK)
    assert not core.admission.can_refuse("counter")


def test_slow_answers_do_not_stop_refusals():
    """Requests at full servers once counted as answered elsewhere.

    No SYN was refused then, which kept the servers full.
    """
    core = builders.make_core(*SERVERS)
    flows = fill(core)
    for now_ms in range(100, 3000, 100):
        core.release(now_ms)
        builders.Flow(core, client_port=now_ms).syn(now_ms)
    assert len(flows) > 4
    assert core.admission.can_refuse("counter")


def test_a_syn_that_was_reset_is_never_sent_to_a_server():
    """The reset said that the request does not run."""
    core = builders.make_core(*SERVERS)
    busy = fill(core)
    flow = builders.Flow(core, client_port=1)
    flow.syn(0)
    assert dict(released(core, 100))[1] == effects.RESET
    for other in busy:
        other.acknowledge(110)
    assert core.release(120) == []
    for copy, now_ms in ((1, 200), (2, 600)):
        assert flow.syn(now_ms, copy) == effects.RESET


def test_a_syn_that_may_be_open_elsewhere_is_never_reset():
    """Another balancer may have forwarded the first SYN.

    A reset could then reach the client after the handshake.
    """
    core = builders.make_core(*SERVERS)
    fill(core)
    flow = builders.Flow(core, client_port=1)
    assert flow.syn(0, retransmission=1) == effects.DROP
    assert builders.forwards(dict(released(core, 100))[1])


def close_by_evacuation(core, entry):
    core.directory.evacuations.order(
        10, entry.failure_domain, builders.at(500), source="store"
    )


def close_by_drain(core, entry):
    core.directory.put(
        10,
        msgspec.structs.replace(
            entry, state=directory.ServerState.DRAINING, revision=500
        ),
    )


def close_by_removal(core, entry):
    core.directory.remove(10, entry.name, builders.at(500))


@pytest.mark.parametrize(
    "close", [close_by_evacuation, close_by_drain, close_by_removal]
)
def test_requests_at_servers_without_new_flows_take_no_slot(close):
    """Their slots do not count, so that others waited for their answers.

    Balancers do not announce these requests either.
    """
    closed = msgspec.structs.replace(SERVERS[0], failure_domain="syd")
    core = builders.make_core(closed, *SERVERS[1:])
    window = core.admission.window("counter")
    core.admission.can_start(0, "counter", None, is_preferred=True)
    items = [
        window.record_start(0, server=closed.name, is_syn=False, aim_ms=150)
        for _ in range(20)
    ]
    core.server_stats.for_server(closed.name)
    core.admission.balancers = 2
    assert not core.admission.can_start(1, "counter", None, is_preferred=True)
    close(core, closed)
    for now_ms in range(150, 5000, 100):
        core.admission.peer_demand.record(now_ms, {})
        items.append(
            window.record_start(
                now_ms, server=closed.name, is_syn=False, aim_ms=150
            )
        )
        assert core.admission.can_start(
            now_ms, "counter", None, is_preferred=True
        )
        assert window.in_progress == 0
        assert core.admission.demand() == {}
    open_item = window.record_start(
        5000, server=SERVERS[1].name, is_syn=False, aim_ms=150
    )
    for item in items:
        window.record_end(5001, item, answer=service_window.Answer())
    assert window.in_progress == 1
    window.record_end(5002, open_item, answer=service_window.Answer())
    assert window.in_progress == 0
    # The even part of the two other servers, and what peers leave unused.
    assert window.limit > window.per_slot * 4 / core.admission.balancers


def test_requests_count_again_when_an_order_is_withdrawn():
    closed = msgspec.structs.replace(SERVERS[0], failure_domain="syd")
    core = builders.make_core(closed, *SERVERS[1:])
    window = core.admission.window("counter")
    core.server_stats.for_server(closed.name)
    close_by_evacuation(core, closed)
    core.admission.can_start(0, "counter", None, is_preferred=True)
    for _ in range(4):
        window.record_start(90, server=closed.name, is_syn=False, aim_ms=150)
    assert window.in_progress == 0
    core.directory.evacuations.withdraw(
        95, "syd", builders.at(501), source="store"
    )
    core.admission.can_start(100, "counter", None, is_preferred=True)
    assert window.in_progress == 4


def test_a_syn_that_was_reset_without_a_server_stays_refused():
    """The reset promised that the request does not run."""
    entry = msgspec.structs.replace(SERVERS[0], failure_domain="syd")
    core = builders.make_core(entry)
    close_by_evacuation(core, entry)
    flow = builders.Flow(core)
    assert flow.syn(20) == effects.RESET
    core.directory.evacuations.withdraw(
        30, "syd", builders.at(501), source="store"
    )
    assert flow.syn(40, retransmission=1) == effects.RESET


def test_a_syn_that_waited_too_long_is_not_reset_without_a_server():
    """Another balancer may have forwarded the client's retransmission."""
    core = builders.make_core(*SERVERS)
    fill(core)
    flow = builders.Flow(core, client_port=1)
    assert flow.syn(0) == effects.DROP
    close_by_evacuation(core, SERVERS[0])
    assert dict(released(core, 250))[1] == effects.DROP


@pytest.mark.parametrize("copy", [0, 1])
def test_a_syn_without_any_server_is_reset_only_if_it_was_not_sent(copy):
    core = builders.make_core(*SERVERS)
    flow = builders.Flow(core, client_port=1)
    if copy:
        assert builders.forwards(flow.syn(0))
    for item in SERVERS:
        core.directory.remove(10, item.name, builders.at(500))
    out = flow.syn(200, copy)
    assert out == (effects.DROP if copy else effects.RESET)


def test_a_request_on_an_open_flow_waits_and_is_sent_to_its_server():
    core = builders.make_core(*SERVERS)
    flow, forward = open_idle_flow(core)
    busy = fill(core, now_ms=40)
    assert flow.request(50) == effects.DROP
    assert flow.acknowledge(55) == (forward,), "an ACK never waits"
    for other in busy:
        other.acknowledge(60)
    assert dict(released(core, 60))[1] == (forward,)


def test_a_copy_of_a_waiting_request_is_not_sent():
    """Its server would get the request twice, before and after the wait."""
    core = builders.make_core(*SERVERS)
    flow, _ = open_idle_flow(core)
    busy = fill(core, now_ms=40)
    flow.request(50)
    assert flow.retransmit(250) == effects.DROP
    for other in busy:
        other.acknowledge(260)
    assert [port for port, _ in released(core, 260)].count(1) == 1


def test_all_packets_of_a_waiting_request_are_sent_in_order():
    core = builders.make_core(*SERVERS)
    flow, forward = open_idle_flow(core)
    busy = fill(core, now_ms=40)
    for length in (1200, 1200, 300):
        assert flow.request(50, length) == effects.DROP
    assert flow.send(51, packet_lib.FIN | packet_lib.ACK) == effects.DROP
    for other in busy:
        other.acknowledge(60)
    items = [
        item
        for item in core.release(60)
        if item.packet.client_port == flow.client_port
    ]
    assert [item.packet.length for item in items] == [1200, 1200, 300, 0]
    assert all(item.effects == (forward,) for item in items)


def test_a_request_on_an_open_flow_is_never_reset():
    """Only its server can refuse it, so it gets there in time for that."""
    core = builders.make_core(*SERVERS)
    flow, forward = open_idle_flow(core)
    fill(core, now_ms=40)
    flow.request(50)
    # All slots stay taken.
    core.admission.window("counter").refresh = lambda *_, **__: None
    core.admission.window("counter").is_full = lambda *_: True
    wait_ms = round(FEED.deadline_ms * admission.OPEN_FLOW_WAIT_PART)
    assert 1 not in released_until(core, 60, 50 + wait_ms - 1)
    assert released_until(core, 50 + wait_ms, 50 + wait_ms)[1] == (forward,)


def test_a_request_is_dropped_when_its_time_budget_is_over():
    """A paused process must not send a request that was given up long ago.

    It has to look at the clock again when it wakes up.
    """
    core = builders.make_core(*SERVERS)
    flow, _ = open_idle_flow(core)
    fill(core, now_ms=40)
    flow.request(50)
    resumed_ms = 50 + FEED.deadline_ms
    assert 1 not in released_until(core, resumed_ms, resumed_ms + 200)
    assert core.counters["requests_dropped"] == 1


def test_a_client_that_resets_its_flow_takes_its_request_back():
    core = builders.make_core(*SERVERS)
    flow, forward = open_idle_flow(core)
    busy = fill(core, now_ms=40)
    flow.request(50)
    assert flow.send(55, packet_lib.RST) == (forward,)
    for other in busy:
        other.acknowledge(60)
    assert 1 not in dict(released(core, 60))


def test_nothing_waits_after_the_process_stopped_accepting():
    """A planned stop must not cut off requests that were accepted."""
    core = builders.make_core(*SERVERS)
    flow, forward = open_idle_flow(core)
    fill(core, now_ms=40)
    flow.request(50)
    opening = builders.Flow(core, client_port=2)
    opening.syn(50)
    outs = {
        item.packet.client_port: item.effects for item in core.release_all(60)
    }
    assert outs[1] == (forward,)
    assert builders.forwards(outs[2])
    assert core.admission.waiting_count == 0


def test_higher_ranks_go_first_and_lower_ones_keep_a_floor():
    queue = waiting.WaitingQueue()
    for number in range(40):
        queue.push(make_item(number, FEED))
        queue.push(make_item(number, PUSH))
    popped = [item.route for item in pop_all(queue, 45)]
    assert popped[:40].count(PUSH) >= 34
    assert popped[:40].count(FEED) >= 40 // waiting.FLOOR_INTERVAL


def test_the_newest_request_goes_first_once_the_queue_stands():
    queue = waiting.WaitingQueue()
    for arrived_ms in (0, 10, 20):
        queue.push(make_item(arrived_ms))
    popped = pop_all(queue, waiting.STANDING_QUEUE_MS)
    assert [item.arrived_ms for item in popped] == [20, 10, 0]
    for arrived_ms in (100, 101, 102):
        queue.push(make_item(arrived_ms))
    popped = pop_all(queue, 105)
    assert [item.arrived_ms for item in popped] == [100, 101, 102]


def test_open_flows_precede_new_ones_and_timely_requests_late_ones():
    core = builders.make_core(*SERVERS)
    server = core.directory.get(SERVERS[0].name)
    queue = waiting.WaitingQueue()
    late = make_item(0, server=server, late_ms=5)
    opening, request = make_item(8), make_item(9, server=server)
    for item in (late, opening, request):
        queue.push(item)
    assert pop_all(queue, 10) == [request, opening, late]


def test_a_request_for_a_busy_server_does_not_stop_the_others():
    core = builders.make_core(*SERVERS)
    server = core.directory.get(SERVERS[0].name)
    queue = waiting.WaitingQueue()
    request, opening = make_item(0, server=server), make_item(1)
    queue.push(request)
    queue.push(opening)
    assert queue.pop(2, lambda item: item.server is None) is opening


def test_a_full_queue_refuses_new_flows(monkeypatch):
    """The memory of the queue is bounded."""
    monkeypatch.setattr(admission, "MAX_WAITING", 3)
    core = builders.make_core(*SERVERS)
    fill(core)
    outs = [
        builders.Flow(core, client_port=number).syn(1) for number in range(5)
    ]
    assert outs.count(effects.RESET) >= 2
    assert core.admission.waiting_count <= 3


def make_window(**options):
    window = service_window.ServiceWindow()
    arguments = {"slots": 14, "peer_demand": 0.0, "balancers": 5} | options
    window.refresh(0, **arguments)
    return window, arguments


def test_a_balancer_may_always_use_its_even_part_of_the_slots():
    """Loads of peers may be wrong, or come from balancers that died."""
    window, arguments = make_window(peer_demand=1000.0)
    for now_ms in range(100, 3000, 100):
        window.refresh(now_ms, **arguments)
    part = service_window.INITIAL_REQUESTS_PER_SLOT * 14 / 5
    assert window.limit == pytest.approx(part)


def test_balancers_share_the_slots_in_proportion_to_their_demand():
    """Together they put no more on the servers than the slots allow."""
    limits = []
    for own_demand in (60, 30, 10):
        window, arguments = make_window(
            peer_demand=100.0 - own_demand, balancers=3
        )
        for now_ms in range(100, 6000, 100):
            items = [
                window.record_start(
                    now_ms, server="s", is_syn=True, aim_ms=150
                )
                for _ in range(own_demand)
            ]
            assert window.is_full(now_ms, own_demand)
            window.refresh(now_ms, **arguments)
            for item in items:
                window.record_end(now_ms, item, answer=None)
        limits.append(window.limit)
    total = window.per_slot * 14
    # Each may always use its even part.
    assert limits == pytest.approx([0.6 * total, total / 3, total / 3])


def test_a_balancer_uses_the_slots_that_its_peers_leave():
    """All the load of a domain may come through one balancer."""
    window, arguments = make_window()
    for now_ms in range(100, 6000, 100):
        for _ in range(100):
            window.record_start(now_ms, server="s", is_syn=True, aim_ms=150)
        assert window.is_full(now_ms, window.limit)
        window.refresh(now_ms, **arguments)
    assert window.limit >= service_window.INITIAL_REQUESTS_PER_SLOT * 14


def test_a_balancer_without_beacons_keeps_to_its_even_part():
    window, arguments = make_window(peer_demand=None)
    for now_ms in range(100, 3000, 100):
        assert window.is_full(now_ms, 0)
        window.refresh(now_ms, **arguments)
    assert window.limit == pytest.approx(window.per_slot * 14 / 5, rel=0.05)


def test_late_answers_lower_the_limit_and_timely_ones_raise_it():
    window, arguments = make_window()

    def answer_all(elapsed_ms, until_ms, start_ms):
        for now_ms in range(start_ms, until_ms, 10):
            item = window.record_start(
                now_ms, server="s", is_syn=False, aim_ms=150
            )
            window.record_end(
                now_ms + elapsed_ms, item, answer=service_window.Answer()
            )
            if now_ms % 100 == 0:
                window.refresh(now_ms, **arguments)

    answer_all(140, 2000, 10)
    assert window.per_slot == service_window.MIN_REQUESTS_PER_SLOT
    answer_all(40, 8000, 2000)
    assert window.per_slot >= service_window.INITIAL_REQUESTS_PER_SLOT


def test_refusals_lower_the_limit_and_do_not_count_as_fast_answers():
    """Servers refused a third of the arrivals while the limit rose."""
    window, arguments = make_window()
    for now_ms in range(10, 2000, 10):
        item = window.record_start(
            now_ms, server="s", is_syn=False, aim_ms=150
        )
        window.record_end(
            now_ms + 2,
            item,
            answer=service_window.Answer(is_refusal=now_ms % 40 == 0),
        )
        assert window.is_full(now_ms, 0)
        if now_ms % 100 == 0:
            window.refresh(now_ms, **arguments)
    assert window.per_slot < service_window.INITIAL_REQUESTS_PER_SLOT


def test_an_answer_that_is_acknowledged_late_has_left_its_slot():
    """A quarter of the slots was idle while requests waited."""
    window, _ = make_window()
    for now_ms in range(0, 200, 10):
        item = window.record_start(
            now_ms - 80, server="s", is_syn=False, aim_ms=150
        )
        window.record_end(
            now_ms, item, answer=service_window.Answer(is_single_packet=True)
        )
    for _ in range(10):
        window.record_start(195, server="s", is_syn=False, aim_ms=150)
    acknowledged = service_window.ACK_DELAY_MS // 10
    assert window.is_full(195, 10 - acknowledged)
    assert not window.is_full(195, 11 - acknowledged)


def test_requests_whose_answer_passes_another_balancer_are_not_counted_long():
    """After a change of the routers, most flows move to other balancers."""
    window, _ = make_window()
    for now_ms in range(100):
        item = window.record_start(
            now_ms, server="s", is_syn=False, aim_ms=150
        )
        window.record_end(now_ms + 40, item, answer=service_window.Answer())
    for _ in range(10):
        window.record_start(200, server="s", is_syn=False, aim_ms=150)
    assert window.is_full(220, 10)
    overdue_ms = 200 + 40 * service_window.OVERDUE_FACTOR
    assert not window.is_full(overdue_ms + 20, 10)


def test_a_process_that_was_paused_reads_changes_before_it_places_flows():
    """It would send them to servers that have left in the meantime."""
    core = builders.make_core(*SERVERS)
    for now_ms in range(0, 1000, 100):
        core.sweep(now_ms)
    resumed_ms = 4000
    flow = builders.Flow(core, client_port=1)
    assert flow.syn(resumed_ms) == effects.DROP
    assert core.release(resumed_ms + 10) == []
    for item in SERVERS[1:]:
        core.directory.remove(resumed_ms + 20, item.name, builders.at(500))
    outs = released_until(core, resumed_ms + 50, resumed_ms + 60)
    assert [item.ident for item in builders.forwards(outs[1])] == [1]


def test_a_request_that_was_released_late_is_no_second_order():
    """After a change of the routers two balancers hold the same request.

    Both send the same bytes to the same server, which keeps one copy.
    """
    first = builders.make_core(*SERVERS)
    flow = builders.Flow(first, client_port=1)
    forward = flow.open(0)
    flow.request(0)
    flow.acknowledge(30)
    busy = fill(first, now_ms=40)
    assert flow.request(50) == effects.DROP
    flow.core = builders.make_core(*SERVERS, seed=2)
    assert flow.retransmit(250) == (forward,)
    for other in busy:
        other.acknowledge(260)
    (late,) = [
        item
        for item in first.release(260)
        if item.packet.client_port == flow.client_port
    ]
    assert late.effects == (forward,)
    assert late.packet.seq == flow.seq - 200


@pytest.mark.parametrize("copy", [0, 1])
def test_clients_are_told_at_once_while_no_state_can_be_had(copy):
    """After a loss of power with the store silent, they waited for 8 s."""
    core = builders.make_core(config=None)
    flow = builders.Flow(core, client_port=1)
    assert flow.syn(0, copy) == effects.DROP
    core.record_store_failure()
    out = flow.syn(10, copy)
    assert out == (effects.DROP if copy else effects.RESET)


def test_a_syn_that_was_read_late_is_never_reset():
    """Found by the soak: a paused balancer reset a flow that was open.

    The client's retransmission had opened the flow through another balancer
    while the first SYN waited in the socket.
    """
    core = builders.make_core(*SERVERS)
    for now_ms in range(0, 1000, 100):
        core.sweep(now_ms)
    fill(core, now_ms=1000)
    # All slots stay taken.
    core.admission.window("counter").is_full = lambda *_: True
    flow = builders.Flow(core, client_port=1)
    assert flow.syn(1400) == effects.DROP
    outs = released_until(core, 1410, 1500)
    assert builders.forwards(outs[1])


def test_a_syn_that_waited_through_a_pause_is_never_reset():
    core = builders.make_core(*SERVERS)
    fill(core)
    flow = builders.Flow(core, client_port=1)
    assert flow.syn(10) == effects.DROP
    outs = released_until(core, 700, 800)
    assert builders.forwards(outs[1])


@pytest.mark.parametrize("target", [None, "workshop"])
def test_a_syn_that_waited_follows_the_newest_configuration(target):
    """Its route may have been dropped or moved while it waited."""
    core = builders.make_core(
        *SERVERS, builders.server_entry(9, service="workshop")
    )
    fill(core)
    flow = builders.Flow(core, client_port=1)
    assert flow.syn(0) == effects.DROP
    table = {
        key: route
        for key, route in builders.CONFIG.routes.items()
        if route.name != "feed"
    }
    if target is not None:
        moved = msgspec.structs.replace(
            FEED, targets=(routes.Target(target, 1),)
        )
        table[builders.HOST, builders.FEED_PORT] = moved
    assert core.configure(
        routes.RouteTable(
            9, table, builders.CONFIG.services, builders.CONFIG.idle_ms
        )
    )
    core.admission.window("counter").is_full = lambda *_: False
    out = dict(released(core, 10))[1]
    if target is None:
        assert out == effects.RESET
    else:
        assert builders.forwards(out)[0].ident == 9


def test_a_retransmitted_syn_is_held_only_while_others_wait():
    """Its first server may be cut off, which fills the window as well."""
    core = builders.make_core(*SERVERS)
    flow = builders.Flow(core, client_port=1)
    assert builders.forwards(flow.syn(0))
    fill(core)
    core.release_all(10)
    assert builders.forwards(flow.syn(200, 1))
    core.admission.window("counter").is_full = lambda *_: True
    builders.Flow(core, client_port=2).syn(590)
    assert flow.syn(600, 2) == effects.DROP


def test_requests_that_others_saw_answered_do_not_fill_a_server():
    """After a loss of power, open flows waited for seconds.

    Clients retransmit what was pending; its answers pass other balancers, or
    never come.
    """
    core = builders.make_core(*SERVERS)
    for number in range(8):
        lost = builders.Flow(core, client_port=300 + number)
        lost.token = 1
        lost.request(0)
    flow = builders.Flow(core, client_port=1)
    flow.token = 1
    for now_ms in range(100, 500, 100):
        core.sweep(now_ms)
    assert builders.forwards(flow.request(500))


def test_demand_of_peers_does_not_pile_up_without_requests():
    """A balancer without clients kept every beacon: 70,000 an hour."""
    core = builders.make_core(builders.server_entry(1))
    demand = core.admission.peer_demand
    for now_ms in range(0, 60_000, 50):
        demand.record(now_ms, {"counter": 1})
    assert len(demand._samples) <= demand_lib.DEMAND_TTL_MS / 50 + 1


def test_acknowledgements_do_not_pile_up_without_new_flows():
    """Requests at servers that accept no new flows never ask for a slot."""
    window, _ = make_window()
    for now_ms in range(0, 60_000, 10):
        item = window.record_start(
            now_ms, server="a", is_syn=False, aim_ms=150
        )
        answer = service_window.Answer(is_single_packet=True)
        window.record_end(now_ms + 5, item, answer=answer)
    assert len(window._delayed_acks) <= service_window.ACK_DELAY_MS / 10 + 1


def test_a_window_looks_at_the_servers_of_its_service_only(monkeypatch):
    """Each window went through all servers ten times a second."""
    core = builders.make_core(
        builders.server_entry(1),
        *[builders.server_entry(n, service="workshop") for n in range(2, 9)],
    )
    for server in core.directory:
        core.server_stats.for_server(server.entry.name)
    looked_at = []
    get, is_ready = core.directory.get, core.directory.is_ready
    monkeypatch.setattr(
        core.directory, "get", lambda name: looked_at.append(name) or get(name)
    )
    monkeypatch.setattr(
        core.directory,
        "is_ready",
        lambda item: looked_at.append(item.entry.name) or is_ready(item),
    )
    core.directory.ready_servers("counter")
    looked_at.clear()
    core.admission.can_start(0, "counter", None, is_preferred=True)
    assert set(looked_at) <= {"i-00000001"}


def test_requests_at_a_removed_server_are_not_counted():
    core = builders.make_core(*SERVERS)
    flow = builders.Flow(core)
    forward = flow.open(0)
    flow.request(10)
    window = core.admission.window("counter")
    assert window.in_progress == 1
    server = core.directory.by_token(forward.token)
    core.directory.remove(20, server.entry.name, builders.at(90))
    core.admission.can_start(110, "counter", None, is_preferred=True)
    assert window.in_progress == 0


def test_fewer_new_flows_start_while_requests_on_open_flows_are_late():
    """Each new feed brought more requests that could not be refused."""
    core = builders.make_core(*SERVERS)
    fill(core)
    window = core.admission.window("counter")
    window.in_progress = round(window.limit / 2)
    window.late_open_part = 1.0
    assert not core.admission.can_start(5, "counter", None, is_preferred=False)
    window.late_open_part = 0.0
    assert core.admission.can_start(5, "counter", None, is_preferred=False)
