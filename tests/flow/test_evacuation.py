"""Orders to evacuate failure domains: state, restored store, effects."""

import msgspec
import pytest

from cyclamenridge.flow import directory
from cyclamenridge.flow import effects
from cyclamenridge.flow import evacuation
from cyclamenridge.flow import holds
from cyclamenridge.flow import reachability
from cyclamenridge.flow import routes
from tests.flow import builders

HOLD_MS = holds.entry_hold_ms(1200)


def server(number, domain, **changes):
    return builders.server_entry(number, failure_domain=domain, **changes)


def make_core(*entries, **kwargs):
    """Return a core with two servers in bne and two in syd."""
    entries = entries or (
        server(1, "bne"),
        server(2, "bne"),
        server(3, "syd"),
        server(4, "syd"),
    )
    return builders.make_core(*entries, **kwargs)


def order(core, domain, revision, *, epoch=0, now_ms=0):
    return core.directory.evacuations.order(
        now_ms, domain, builders.at(revision, epoch), source="store"
    )


def withdraw(core, domain, revision, *, epoch=0, now_ms=0):
    return core.directory.evacuations.withdraw(
        now_ms, domain, builders.at(revision, epoch), source="store"
    )


def read(core, revision, epoch, *, now_ms=0, **listed):
    """Apply a full read that lists orders with the given revisions."""
    core.directory.evacuations.replace(
        now_ms,
        builders.at(revision, epoch),
        {name: builders.at(at, epoch) for name, at in listed.items()},
        source="store",
    )


def evacuated(core):
    return set(core.directory.evacuations.domains())


def ready(core):
    return {s.entry.ident for s in core.directory.ready_servers("counter")}


def events(core, name):
    return [fields for event, fields in core._log.events if event == name]


def is_held(core, domain):
    return core.directory.evacuations.dump(0)[domain]["held"]


def targets(out):
    return {item.token for item in builders.forwards(out)}


def test_servers_of_an_evacuated_domain_accept_no_new_flows():
    """The keys were dropped: flows opened there until the day ended."""
    core = make_core()
    assert ready(core) == {1, 2, 3, 4}
    assert order(core, "bne", 40)
    assert ready(core) == {3, 4}
    assert core.directory.ready_slots("counter") == 4
    assert len(core.directory.listed_servers("counter")) == 4
    assert withdraw(core, "bne", 41)
    assert ready(core) == {1, 2, 3, 4}
    assert core.directory.ready_slots("counter") == 8


def test_older_changes_do_not_replace_newer_ones():
    core = make_core()
    order(core, "bne", 40)
    assert not withdraw(core, "bne", 39)
    assert evacuated(core) == {"bne"}
    withdraw(core, "bne", 50)
    assert not order(core, "bne", 45)
    assert evacuated(core) == set()
    assert core.directory.evacuations.changes == 2


def test_a_repeated_order_is_one_change():
    core = make_core()
    assert order(core, "bne", 40)
    assert not order(core, "bne", 41)
    assert not withdraw(core, "bne", 40)
    assert evacuated(core) == {"bne"}
    assert len(events(core, "evacuation_ordered")) == 1


def test_a_list_without_the_order_withdraws_it():
    """A watch with a gap misses the removal of the key."""
    core = make_core()
    order(core, "bne", 40, epoch=1)
    read(core, 60, 1)
    assert evacuated(core) == set()
    assert not order(core, "bne", 50, epoch=1)


def test_a_list_does_not_undo_a_newer_order():
    """A paged read takes longer than the notice of a peer."""
    core = make_core()
    order(core, "bne", 70, epoch=1)
    read(core, 60, 1)
    assert evacuated(core) == {"bne"}


def test_a_list_that_began_before_a_withdrawal_is_not_held():
    """Without a restore nothing contradicts what is known."""
    core = make_core()
    order(core, "bne", 40, epoch=1)
    withdraw(core, "bne", 70, epoch=1)
    read(core, 60, 1, bne=40)
    assert evacuated(core) == set()
    assert events(core, "evacuation_held") == []


def test_evacuations_overlap():
    core = make_core()
    order(core, "bne", 40)
    order(core, "syd", 41)
    assert ready(core) == set()
    withdraw(core, "bne", 42)
    assert ready(core) == {1, 2}
    withdraw(core, "syd", 43)
    assert ready(core) == {1, 2, 3, 4}


def test_an_order_for_an_unknown_domain_is_kept_and_logged_once():
    """Its servers may register later."""
    core = make_core()
    for revision in (40, 42):
        order(core, "mel", revision)
        withdraw(core, "mel", revision + 1)
    order(core, "mel", 50)
    assert events(core, "evacuation_unknown_domain") == [{"domain": "mel"}]
    core.directory.put(10, server(9, "mel", revision=51))
    assert 9 not in ready(core)


def test_an_empty_domain_name_is_ignored_and_logged_once():
    core = make_core(server(1, ""), server(2, "bne"))
    assert not order(core, "", 40)
    assert not order(core, "", 41)
    assert not withdraw(core, "", 42)
    assert ready(core) == {1, 2}
    assert len(events(core, "evacuation_without_domain")) == 1


def test_the_log_names_position_and_source():
    core = make_core()
    order(core, "bne", 40, epoch=2)
    withdraw(core, "bne", 41, epoch=2)
    assert events(core, "evacuation_ordered") == [
        {"domain": "bne", "epoch": 2, "revision": 40, "source": "store"}
    ]
    assert events(core, "evacuation_withdrawn") == [
        {"domain": "bne", "epoch": 2, "revision": 41, "source": "store"}
    ]


def test_remembered_withdrawals_are_bounded():
    """Names of domains that never come back would fill snapshots."""
    core = make_core()
    order(core, "bne", 1)
    for number in range(3 * evacuation.MAX_WITHDRAWN):
        order(core, f"d-{number}", 10 + 2 * number)
        withdraw(core, f"d-{number}", 11 + 2 * number)
    snapshot = core.directory.evacuations.snapshot()
    assert len(snapshot.withdrawn) == evacuation.MAX_WITHDRAWN
    assert f"d-{3 * evacuation.MAX_WITHDRAWN - 1}" in snapshot.withdrawn
    assert evacuated(core) == {"bne"}


def test_an_order_that_the_copy_lacks_stays_in_force():
    """A restore filled an evacuated domain again."""
    core = make_core()
    order(core, "bne", 90, epoch=1)
    read(core, 20, 2)
    read(core, 25, 2, now_ms=10)
    core.directory.settle(100 * HOLD_MS)
    read(core, 30, 2, now_ms=101 * HOLD_MS)
    assert evacuated(core) == {"bne"}
    assert is_held(core, "bne")
    assert events(core, "evacuation_held") == [
        {"domain": "bne", "epoch": 2, "revision": 20, "listed": False}
    ]


def test_an_order_that_the_copy_lacks_ends_with_a_removal():
    core = make_core()
    order(core, "bne", 90, epoch=1)
    read(core, 20, 2)
    assert withdraw(core, "bne", 22, epoch=2)
    assert evacuated(core) == set()
    core.directory.settle(100 * HOLD_MS)
    assert evacuated(core) == set()


def test_an_order_that_was_written_again_ends_with_a_list_that_lacks_it():
    core = make_core()
    order(core, "bne", 90, epoch=1)
    read(core, 20, 2)
    order(core, "bne", 21, epoch=2)
    read(core, 30, 2)
    assert evacuated(core) == set()


def make_withdrawn_core():
    """Return a core that knows a withdrawal of the first epoch."""
    core = make_core()
    order(core, "bne", 15, epoch=1)
    withdraw(core, "bne", 90, epoch=1)
    read(core, 95, 1)
    return core


def test_a_withdrawn_order_in_the_copy_is_held():
    """A restore took a domain out of service that had work to do."""
    core = make_withdrawn_core()
    read(core, 20, 2, now_ms=10, bne=15)
    assert evacuated(core) == set()
    core.directory.settle(10 + HOLD_MS - 1)
    assert evacuated(core) == set()
    assert len(events(core, "evacuation_held")) == 1
    core.directory.settle(10 + HOLD_MS)
    assert evacuated(core) == {"bne"}
    assert core.directory.evacuations.find("bne").position == builders.at(
        15, 2
    )


def test_a_held_order_ends_with_its_removal():
    core = make_withdrawn_core()
    read(core, 20, 2, bne=15)
    assert is_held(core, "bne")
    withdraw(core, "bne", 21, epoch=2)
    assert not is_held(core, "bne")
    core.directory.settle(100 * HOLD_MS)
    assert evacuated(core) == set()


def test_a_held_order_ends_with_a_list_that_lacks_it():
    core = make_withdrawn_core()
    read(core, 20, 2, bne=15)
    read(core, 25, 2)
    core.directory.settle(100 * HOLD_MS)
    assert evacuated(core) == set()


def test_an_order_that_is_written_after_the_restore_is_in_force_at_once():
    core = make_withdrawn_core()
    read(core, 20, 2, bne=15)
    order(core, "bne", 21, epoch=2)
    assert evacuated(core) == {"bne"}
    assert not is_held(core, "bne")
    core.directory.settle(100 * HOLD_MS)
    assert core.directory.evacuations.find("bne").position == builders.at(
        21, 2
    )


def test_a_list_with_an_order_that_follows_the_last_read_is_not_held():
    """The order would have taken effect later than the bound."""
    core = make_withdrawn_core()
    read(core, 20, 2)
    read(core, 30, 2, bne=25)
    assert evacuated(core) == {"bne"}


def test_a_listed_order_above_the_withdrawal_is_not_from_the_copy():
    """An order in a copy has a smaller revision than its withdrawal."""
    core = make_withdrawn_core()
    read(core, 100, 2, bne=91)
    assert evacuated(core) == {"bne"}


def test_the_hold_starts_anew_when_the_store_was_away_again():
    core = make_withdrawn_core()
    read(core, 20, 2, bne=15)
    core.record_store_failure()
    core.record_store_answer(60_000)
    core.directory.settle(60_000)
    assert evacuated(core) == set()
    core.directory.settle(60_000 + HOLD_MS)
    assert evacuated(core) == {"bne"}


def test_a_second_restore_between_order_and_withdrawal():
    core = make_core()
    order(core, "bne", 90, epoch=1)
    read(core, 20, 2)
    withdraw(core, "bne", 25, epoch=2)
    read(core, 22, 3, bne=21)
    assert evacuated(core) == set()
    withdraw(core, "bne", 23, epoch=3)
    core.directory.settle(100 * HOLD_MS)
    assert evacuated(core) == set()


@pytest.mark.parametrize("seed", range(5))
def test_syns_and_their_retransmissions_go_elsewhere(seed):
    """Servers without an answer so far also get hedged SYNs."""
    core = make_core(seed=seed)
    flows = [builders.Flow(core, client_port=n) for n in range(20)]
    for flow in flows[:10]:
        flow.syn(0)
    order(core, "bne", 40)
    for flow in flows:
        retransmission = 0 if flow.client_port >= 10 else 1
        out = flow.syn(200, retransmission=retransmission)
        assert targets(out) <= {3, 4}
        assert targets(flow.syn(600, retransmission=2)) <= {3, 4}


def test_an_unresponsive_server_of_an_evacuated_domain_is_not_probed():
    core = make_core()
    for number in range(3):
        for name in ("i-00000001", "i-00000002"):
            core.server_stats.for_server(name).record_retransmission(
                100, number
            )
    order(core, "bne", 40)
    for number in range(20):
        out = builders.Flow(core, client_port=number).syn(2000 + number)
        assert targets(out) <= {3, 4}


def test_a_syn_that_waited_goes_elsewhere():
    core = make_core(server(1, "bne", slots=1), server(3, "syd", slots=1))
    waiting = []
    for number in range(30):
        flow = builders.Flow(core, client_port=number)
        if not builders.forwards(flow.syn(0)):
            waiting.append(flow)
    assert waiting
    order(core, "bne", 40)
    released = core.release_all(100)
    assert len(released) == len(waiting)
    assert any(item.effects for item in released)
    for item in released:
        assert targets(item.effects) <= {3}


def test_without_another_server_the_order_is_obeyed():
    """SYNs are reset at once, so that clients go on elsewhere."""
    core = make_core()
    order(core, "bne", 40)
    order(core, "syd", 41)
    assert builders.Flow(core).syn(0) == effects.RESET
    late = builders.Flow(core, client_port=9).syn(0, retransmission=1)
    assert late == effects.DROP


def test_open_flows_to_an_evacuated_domain_go_on():
    """Planned work never breaks a flow; its requests do not wait."""
    core = make_core(server(1, "bne", slots=1))
    flows = [builders.Flow(core, client_port=n) for n in range(20)]
    for number, flow in enumerate(flows):
        flow.token = 1
        flow.send(number, 16)
    assert not all(
        builders.forwards(flow.request(100)) for flow in flows[:10]
    ), "requests wait while a service has no slot"
    order(core, "bne", 40, now_ms=150)
    for flow in flows[10:]:
        assert targets(flow.request(200)) == {1}
    assert core.counters["flows_given_up"] == 0


def test_a_balancer_of_the_evacuated_domain_serves_others():
    core = make_core(failure_domain="bne")
    order(core, "bne", 40)
    assert targets(builders.Flow(core).syn(0)) <= {3, 4}
    assert core.can_place_flows


def test_an_order_with_a_release_and_a_removal_in_the_same_domain():
    """An entry of a later incarnation must not end the evacuation."""
    core = make_core()
    order(core, "bne", 40)
    core.directory.put(
        5, server(1, "bne", revision=41, state=directory.ServerState.DRAINING)
    )
    core.directory.put(6, server(5, "bne", revision=42))
    core.directory.remove(7, "i-00000002", builders.at(43))
    core.directory.put(8, server(1, "bne", revision=44, born_ms=2))
    assert ready(core) == {3, 4}
    withdraw(core, "bne", 45)
    assert ready(core) == {1, 3, 4, 5}


def test_one_domain_is_evacuated_while_another_is_cut_off():
    core = make_core(
        *(server(number, "bne") for number in (1, 2)),
        *(server(number, "syd") for number in (3, 4)),
        *(server(number, "mel") for number in (5, 6)),
        failure_domain="mel",
    )
    core.reachability.record_beacon(0, "syd")
    for now_ms in range(0, 2001, 100):
        core.reachability.record_activity(now_ms)
    for name in ("i-00000003", "i-00000004"):
        core.reachability.record_retransmission(1900, "syd", name)
    assert core.reachability.is_unreachable(2000, "syd")
    order(core, "bne", 40)
    first = [
        builders.forwards(builders.Flow(core, client_port=n).syn(2000))[0]
        for n in range(4)
    ]
    assert {forward.token for forward in first} <= {5, 6}


def test_a_process_that_wakes_up_reads_the_order_before_it_sends_a_syn():
    """The socket holds SYNs, and the order is not read yet."""
    core = make_core()
    for now_ms in range(0, 1000, 100):
        core.release(now_ms)
    flow = builders.Flow(core)
    assert not builders.forwards(flow.syn(31_000))
    assert not core.release(31_010)
    order(core, "bne", 40, now_ms=31_020)
    now_ms = 31_000 + reachability.RESUME_SETTLE_MS
    (released,) = core.release(now_ms)
    assert targets(released.effects) <= {3, 4}
    assert targets(released.effects)


def test_an_order_at_a_process_without_servers_is_kept():
    core = builders.make_core()
    order(core, "bne", 5)
    core.directory.replace(0, builders.at(40), [server(1, "bne")])
    assert ready(core) == set()


def test_servers_count_as_cold_when_their_domain_is_taken_back():
    """The entries that report the warm-up may be late."""
    config = msgspec.structs.replace(
        builders.CONFIG, warmups={"counter": routes.Warmup(2000, 1)}
    )
    core = builders.make_core(server(1, "bne", revision=20), config=config)
    listed = core.directory.get("i-00000001")
    evacuations = core.directory.evacuations
    evacuations.order(0, "bne", builders.at(30), source="store")
    assert not core.warmup.is_limited(100, listed)
    evacuations.withdraw(1000, "bne", builders.at(40), source="store")
    assert core.warmup.is_limited(2900, listed)
    assert not core.warmup.is_limited(3000, listed)
