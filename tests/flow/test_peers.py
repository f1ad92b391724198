import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from cyclamenridge import address as address_lib
from cyclamenridge import compose_flows
from cyclamenridge import errors
from cyclamenridge.flow import peers as peers_lib
from cyclamenridge.flow import routes
from tests.flow import builders

LAG_TOLERANCE_MS = 1500


class Node:
    """A core and its peers at an address."""

    def __init__(self, number, *entries, config=builders.CONFIG, seeds=()):
        self.host = f"10.0.0.{number}"
        self.core = builders.make_core(*entries, seed=number, config=config)
        self.peers = peers_lib.Peers(
            self.core,
            name=f"node-{number}",
            failure_domain="bne",
            host=self.host,
            seeds=seeds,
            lag_tolerance_ms=LAG_TOLERANCE_MS,
            rng=random.Random(number),
        )

    def receive_beacon(self, now_ms, other, **kwargs):
        return self.peers.handle_beacon(
            now_ms, other.host, other.peers.encode_beacon(**kwargs)
        )


SERVERS = [builders.server_entry(1), builders.server_entry(2)]


def peer_requests(node):
    """Return the requests of peers by server, in the order of SERVERS."""
    table = node.core.server_stats
    return [table.for_server(item.name).peer_pending for item in SERVERS]


def test_load_at_peers_is_averaged_and_expires():
    """The load of a dead peer must not keep servers unused.

    Plain values of a beacon sent all balancers to the server that had been
    idle at the time of the beacon.
    """
    here, there = Node(1, *SERVERS), Node(2, *SERVERS)
    for number in range(3):
        builders.Flow(there.core, client_port=number).syn(0)
    here.receive_beacon(0, there)
    assert sum(peer_requests(here)) == 3 * peers_lib.LOAD_SMOOTHING
    for now_ms in range(200, 6000, 200):
        here.receive_beacon(now_ms, there)
    assert 2.9 < sum(peer_requests(here)) <= 3
    here.peers.beacon_targets(5800 + peers_lib.LOAD_TTL_MS + 1)
    assert sum(peer_requests(here)) == 0


def test_the_load_of_a_peer_ends_with_its_requests():
    here, there = Node(1, *SERVERS), Node(2, *SERVERS)
    flow = builders.Flow(there.core)
    (forward,) = builders.forwards(flow.syn(0))[:1]
    here.receive_beacon(0, there)
    flow.complete_handshake(10, forward)
    for now_ms in range(200, 6000, 200):
        here.receive_beacon(now_ms, there)
    assert sum(peer_requests(here)) == 0


def test_load_at_a_server_that_was_unknown_is_never_subtracted():
    """A beacon may name a server that this process learns of later."""
    here, there = Node(1, SERVERS[0]), Node(2, SERVERS[1])
    builders.Flow(there.core).syn(0)
    here.receive_beacon(0, there)
    here.core.directory.put(100, SERVERS[1])
    builders.Flow(here.core, client_port=9).syn(150)
    here.peers.beacon_targets(peers_lib.LOAD_TTL_MS + 1)
    assert peer_requests(here) == [0, 0]


def test_the_admission_knows_for_how_many_peers_the_loads_stand():
    here = Node(1, *SERVERS)
    for number in range(2, 6):
        here.receive_beacon(0 if number < 4 else 3000, Node(number, *SERVERS))
    here.peers.beacon_targets(3000)
    assert here.core.admission.balancers == 5
    assert here.core.admission.peer_scale == 2


def test_balancers_that_others_name_share_the_slots():
    """With 93 balancers a process hears 55 in 4 s, with 540 it hears 44.

    Each then used the part of the slots of a fleet of that size.
    """
    here, there = Node(1, *SERVERS), Node(2, *SERVERS)
    for number in range(3, 60):
        there.receive_beacon(0, Node(number, *SERVERS))
    for now_ms in range(0, 4001, 50):
        there.peers.beacon_targets(0)
        here.receive_beacon(now_ms, there)
    here.peers.beacon_targets(4000)
    assert here.core.admission.balancers == 59


@pytest.mark.parametrize(("others", "balancers"), [(1, 1), (2, 2), (32, 17)])
def test_silence_does_not_give_a_balancer_all_slots(others, balancers):
    """Beacons may be lost while all balancers still reach the servers.

    Each took all slots once its last peer had expired after 4 s. Twice the
    slots fit the queues of the servers, and if half died none are idle.
    """
    here = Node(1, *SERVERS)
    for number in range(2, 2 + others):
        here.receive_beacon(0, Node(number, *SERVERS))
    for now_ms in range(0, 60_001, peers_lib.BEACON_INTERVAL_MS):
        here.peers.beacon_targets(now_ms)
    assert len(here.peers) == 0
    assert here.core.admission.balancers == balancers


def test_balancers_that_left_do_not_keep_their_slots():
    here = Node(1, *SERVERS)
    nodes = [Node(number, *SERVERS) for number in range(2, 6)]
    for now_ms in range(0, 30_001, peers_lib.BEACON_INTERVAL_MS):
        for node in nodes[: 4 if now_ms < 2000 else 2]:
            here.receive_beacon(now_ms, node)
        here.peers.beacon_targets(now_ms)
        if now_ms in (2000, 10_000, 30_000):
            assert here.core.admission.balancers == (
                5 if now_ms == 2000 else 3
            )


def test_a_beacon_with_many_services_fits_a_datagram():
    """A longer one is cut off, and its sender counts as dead."""
    node = Node(1, *SERVERS)
    for number in range(300):
        node.core.admission.window(f"service-{number}").in_progress = (
            1 + number
        )
    data = node.peers.encode_beacon()
    assert len(data) <= compose_flows.MAX_BEACON_BYTES
    demand = msgspec.msgpack.decode(data, type=peers_lib.Beacon).demand
    assert demand["service-299"] == 300


def test_a_new_process_loads_the_state_of_its_peers():
    """The store may be unavailable when a process starts."""
    informed = Node(1, *SERVERS)
    informed.core.directory.advance(builders.at(40))
    informed.core.directory.remove(5, SERVERS[0].name, builders.at(41))
    informed.core.directory.advance(builders.at(41))
    fresh = Node(2, config=None)
    action = fresh.receive_beacon(0, informed)
    assert action.pull and action.reply
    assert fresh.peers.apply_snapshot(0, informed.peers.encode_snapshot())
    assert fresh.core.can_place_flows
    assert fresh.core.routes == builders.CONFIG
    assert [
        k.entry.ident for k in fresh.core.directory.listed_servers("counter")
    ] == [2]
    # Open flows of the removed server are still forwarded.
    flow = builders.Flow(fresh.core)
    flow.token = 1
    assert builders.forwards(flow.request(10))


def test_servers_that_were_removed_in_the_lost_history_are_not_listed():
    """A process that started after a restore took them for missing ones."""
    informed = Node(1, *SERVERS)
    informed.core.directory.remove(5, SERVERS[0].name, builders.at(41))
    informed.core.directory.advance(builders.at(20, 2))
    fresh = Node(2, config=None)
    assert fresh.peers.apply_snapshot(0, informed.peers.encode_snapshot())
    listed = fresh.core.directory.listed_servers("counter")
    assert [server.entry.ident for server in listed] == [2]
    assert fresh.core.directory.position == builders.at(20, 2)


def test_beacons_and_snapshots_of_the_version_before_are_understood():
    """Balancers are replaced one by one."""
    ahead = Node(2, *SERVERS)
    ahead.core.directory.advance(builders.at(41))
    beacon = msgspec.msgpack.decode(ahead.peers.encode_beacon())
    here = Node(1, SERVERS[0])
    here.core.store_lost = True
    assert here.peers.handle_beacon(
        0, ahead.host, msgspec.msgpack.encode(beacon[:-1])
    ).pull
    snapshot = msgspec.msgpack.decode(ahead.peers.encode_snapshot())
    del snapshot["epoch"]
    for entry in snapshot["servers"]:
        del entry["epoch"]
    del snapshot["routes"]["epoch"]
    assert here.peers.apply_snapshot(0, msgspec.msgpack.encode(snapshot))
    assert len(here.core.directory.listed_servers("counter")) == 2


def test_an_older_snapshot_changes_nothing():
    newer, older = Node(1, *SERVERS), Node(2, SERVERS[0])
    newer.core.directory.advance(builders.at(50))
    older.core.directory.advance(builders.at(40))
    older.core.routes = routes.RouteTable(3, {}, frozenset(), 1)
    assert not newer.peers.apply_snapshot(0, older.peers.encode_snapshot())
    assert newer.core.routes is builders.CONFIG
    assert len(newer.core.directory.listed_servers("counter")) == 2


def orders(node):
    return node.core.directory.evacuations


def set_order(node, domain, revision, *, epoch=0, withdrawn=False):
    """Apply a change of an order as if the store had told of it."""
    position = builders.at(revision, epoch)
    apply = orders(node).withdraw if withdrawn else orders(node).order
    apply(0, domain, position, source="store")
    advance(node, revision, epoch=epoch)


def advance(node, revision, *, epoch=0):
    node.core.directory.advance(builders.at(revision, epoch))
    orders(node).advance(builders.at(revision, epoch))


def pull(node, other, now_ms=0):
    """Receive a beacon; return whether the sender's snapshot was applied."""
    if not node.receive_beacon(now_ms, other).pull:
        return False
    return node.peers.apply_snapshot(now_ms, other.peers.encode_snapshot())


def test_a_process_that_is_cut_from_the_store_gets_orders_from_a_peer():
    """Flows opened in the domain until the process reached the store."""
    here, there = Node(1, *SERVERS), Node(2, *SERVERS)
    here.core.store_lost = True
    advance(here, 40)
    set_order(there, "bne", 41)
    assert pull(here, there)
    assert orders(here).domains() == ["bne"]
    assert here.core.directory.ready_servers("counter") == []
    ordered = dict(here.core._log.events)["evacuation_ordered"]
    assert ordered["source"] == "peer"
    set_order(there, "bne", 42, withdrawn=True)
    assert pull(here, there, 1000)
    assert orders(here).domains() == []


def test_the_snapshot_of_a_peer_that_is_behind_changes_no_order():
    here, older = Node(1, *SERVERS), Node(2, *SERVERS)
    set_order(older, "bne", 41)
    set_order(older, "syd", 42, withdrawn=True)
    set_order(here, "bne", 50, withdrawn=True)
    set_order(here, "syd", 51)
    assert not here.receive_beacon(0, older).pull
    assert not here.peers.apply_snapshot(0, older.peers.encode_snapshot())
    assert orders(here).domains() == ["syd"]


def test_an_order_that_a_peer_ahead_does_not_list_is_withdrawn():
    """The peer may have started after the withdrawal."""
    here, there = Node(1, *SERVERS), Node(2, *SERVERS)
    here.core.store_lost = True
    set_order(here, "bne", 41)
    advance(there, 60)
    assert pull(here, there)
    assert orders(here).domains() == []


def test_an_order_that_a_peer_of_a_later_epoch_lacks_stays_in_force():
    here, there = Node(1, *SERVERS), Node(2, *SERVERS)
    here.core.store_lost = True
    set_order(here, "bne", 41, epoch=1)
    advance(there, 20, epoch=2)
    assert pull(here, there)
    assert orders(here).domains() == ["bne"]


def test_a_withdrawal_that_the_restored_store_lost_is_told_by_a_peer():
    here, there = Node(1, *SERVERS), Node(2, *SERVERS)
    here.core.store_lost = True
    set_order(here, "bne", 41, epoch=1)
    set_order(there, "bne", 41, epoch=1)
    set_order(there, "bne", 60, epoch=1, withdrawn=True)
    orders(there).replace(
        0, builders.at(50, 2), {"bne": builders.at(41, 2)}, source="store"
    )
    there.core.directory.advance(builders.at(50, 2))
    assert pull(here, there)
    assert orders(here).domains() == []


def test_an_order_that_a_peer_holds_is_held_here_too():
    """Without the store, later lists of peers confirm it."""
    here, there = Node(1, *SERVERS), Node(2, *SERVERS)
    here.core.store_lost = True
    set_order(there, "bne", 60, epoch=1, withdrawn=True)
    orders(there).replace(
        0, builders.at(50, 2), {"bne": builders.at(41, 2)}, source="store"
    )
    there.core.directory.advance(builders.at(50, 2))
    assert pull(here, there)
    assert orders(here).domains() == []
    advance(there, 51, epoch=2)
    assert pull(here, there, 60_000)
    assert orders(here).domains() == ["bne"]


def test_a_process_that_starts_without_the_store_takes_the_orders():
    """All machines lost power during an evacuation, the store is down."""
    fresh = [Node(1, config=None), Node(2, config=None)]
    for node in fresh:
        node.core.record_store_failure()
        assert not builders.forwards(builders.Flow(node.core).syn(0))
    assert not pull(fresh[0], fresh[1])
    informed = Node(3, *SERVERS, builders.server_entry(3, failure_domain="s"))
    set_order(informed, "bne", 41)
    assert pull(fresh[0], informed)
    assert pull(fresh[1], fresh[0])
    for node in fresh:
        out = builders.Flow(node.core, client_port=7).syn(100)
        assert {item.token for item in builders.forwards(out)} == {3}


def without_orders(node):
    """Return a snapshot as the version before the orders sends it."""
    snapshot = msgspec.msgpack.decode(node.peers.encode_snapshot())
    del snapshot["evacuations"]
    return msgspec.msgpack.encode(snapshot)


def test_the_snapshot_of_a_version_without_orders_changes_none():
    """A missing field means "not told", never "none"."""
    here, old = Node(1, *SERVERS), Node(2, *SERVERS)
    set_order(here, "bne", 41)
    advance(old, 60)
    assert here.peers.apply_snapshot(0, without_orders(old))
    assert orders(here).domains() == ["bne"]
    assert here.core.directory.position == builders.at(60)
    assert orders(here).position == builders.at(41)


def test_orders_that_an_old_version_did_not_tell_come_from_a_new_one():
    """Old and new versions run side by side, the store is down."""
    fresh, old, new = Node(1, config=None), Node(2, *SERVERS), Node(3)
    fresh.core.record_store_failure()
    for node in (old, new):
        advance(node, 60)
    orders(new).order(0, "bne", builders.at(41), source="store")
    assert fresh.receive_beacon(0, old).pull
    assert fresh.peers.apply_snapshot(0, without_orders(old))
    assert pull(fresh, new, 600)
    assert orders(fresh).domains() == ["bne"]
    assert not fresh.receive_beacon(60_000, new).pull


def test_a_fetch_that_is_too_soon_does_not_put_off_the_next():
    """The process stayed without orders for the longer interval."""
    fresh, old, new = Node(1, config=None), Node(2, *SERVERS), Node(3)
    fresh.core.record_store_failure()
    for node in (old, new):
        advance(node, 60)
    orders(new).order(0, "bne", builders.at(41), source="store")
    assert fresh.receive_beacon(0, old).pull
    assert fresh.peers.apply_snapshot(0, without_orders(old))
    assert not pull(fresh, new, peers_lib.PULL_INTERVAL_MS - 1)
    assert pull(fresh, new, peers_lib.PULL_INTERVAL_MS)
    assert orders(fresh).domains() == ["bne"]


def test_missing_orders_do_not_fetch_snapshots_of_an_old_version_often():
    """Each is about 25 KB, and a process may send 4 KB/s."""
    fresh, old = Node(1, config=None), Node(2, *SERVERS)
    fresh.core.record_store_failure()
    advance(old, 60)
    fetched = 0
    for now_ms in range(0, 30_000, 200):
        if fresh.receive_beacon(now_ms, old).pull:
            fetched += 1
            fresh.peers.apply_snapshot(now_ms, without_orders(old))
    assert fetched <= 1 + 30_000 / peers_lib.ORDERS_PULL_INTERVAL_MS


def test_a_version_without_orders_reads_the_snapshot():
    class OldSnapshot(msgspec.Struct, frozen=True):
        routes: routes.RouteTable | None
        revision: int
        servers: list
        removed: list
        epoch: int = 0

    node = Node(1, *SERVERS)
    set_order(node, "bne", 41)
    old = msgspec.msgpack.decode(
        node.peers.encode_snapshot(), type=OldSnapshot
    )
    assert old.revision == 41 and len(old.servers) == 2


def test_a_peer_that_stays_ahead_is_pulled_although_the_store_answers():
    """A watch may hang without an error."""
    here, ahead = Node(1, *SERVERS), Node(2, *SERVERS)
    here.core.directory.advance(builders.at(40))
    ahead.core.directory.advance(builders.at(41))
    assert not here.receive_beacon(0, ahead).pull
    assert not here.receive_beacon(LAG_TOLERANCE_MS - 1, ahead).pull
    assert here.receive_beacon(LAG_TOLERANCE_MS, ahead).pull
    # One transfer at a time.
    assert not here.receive_beacon(LAG_TOLERANCE_MS + 1, ahead).pull


def test_without_the_store_a_peer_that_is_ahead_is_pulled_at_once():
    here, ahead = Node(1, *SERVERS), Node(2, *SERVERS)
    ahead.core.directory.advance(builders.at(41))
    here.core.store_lost = True
    assert here.receive_beacon(0, ahead).pull


def test_progress_of_the_own_watch_restarts_the_wait():
    here, ahead = Node(1, *SERVERS), Node(2, *SERVERS)
    for step in range(10):
        ahead.core.directory.advance(builders.at(41 + step))
        here.core.directory.advance(builders.at(40 + step))
        assert not here.receive_beacon(step * 500, ahead).pull


def test_peers_are_found_through_seeds_and_through_others():
    seed = Node(1, *SERVERS)
    first = Node(2, *SERVERS, seeds=("10.0.0.1",))
    second = Node(3, *SERVERS, seeds=("10.0.0.1",))
    assert first.peers.beacon_targets(0) == ["10.0.0.1"]
    seed.receive_beacon(0, first)
    assert second.receive_beacon(10, seed).reply
    assert "10.0.0.2" in second.peers.beacon_targets(1000)


def test_beacons_of_a_process_do_not_grow_with_the_fleet():
    node = Node(1, *SERVERS)
    for number in range(2, 200):
        node.receive_beacon(0, Node(number, *SERVERS))
    assert len(node.peers.beacon_targets(100)) <= 2 * peers_lib.GOSSIP_FANOUT
    many = Node(1, *(builders.server_entry(n) for n in range(1, 200)))
    for name in [k.entry.name for k in many.core.directory]:
        many.core.server_stats.for_server(name).pending = 3
    assert len(many.peers.encode_beacon()) < 600


def test_a_peer_without_beacons_is_removed():
    node = Node(1, *SERVERS)
    node.receive_beacon(0, Node(2, *SERVERS))
    assert len(node.peers) == 1
    node.peers.beacon_targets(peers_lib.PEER_TIMEOUT_MS + 1)
    assert len(node.peers) == 0


@hypothesis.given(strategies.binary(max_size=80))
def test_malformed_datagrams_are_refused(data):
    node = Node(1, *SERVERS)
    try:
        node.peers.handle_beacon(0, "10.0.0.9", data)
    except errors.ControlError:
        assert len(node.peers) == 0
    with pytest.raises(errors.ControlError):
        node.peers.apply_snapshot(0, data + b"\xc1")


def test_values_nested_too_deeply_are_refused():
    """Other exceptions than ControlError end the task that decodes them."""
    node = Node(1, *SERVERS)
    nested = b"\x91" * 100_000 + b"\x01"
    beacon = Node(2, *SERVERS).peers.encode_beacon()
    with pytest.raises(errors.ControlError):
        node.peers.handle_beacon(
            0, "10.0.0.9", bytes([beacon[0] + 1]) + beacon[1:] + nested
        )
    snapshot = Node(2, *SERVERS).peers.encode_snapshot()
    with pytest.raises(errors.ControlError):
        node.peers.apply_snapshot(
            0, bytes([snapshot[0] + 1]) + snapshot[1:] + b"\xa1x" + nested
        )


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": 0},
        {"slots": 2**40},
        {"warmup_ms": 2**40},
        {"born_ms": -1},
        {"failure_domain": "x" * 1000},
        {"address": address_lib.Address("localhost", 80)},
        {"address": address_lib.Address("10.0.0.1", 70_000)},
    ],
)
def test_a_snapshot_with_a_value_out_of_range_is_refused(changes):
    """A host that is no address would be looked up by name."""
    node = Node(1, *SERVERS)
    sender = Node(2, builders.server_entry(3, revision=90, **changes))
    sender.core.directory.advance(builders.at(90))
    with pytest.raises(errors.ControlError):
        node.peers.apply_snapshot(0, sender.peers.encode_snapshot())
    assert len(node.core.directory) == 2


def test_the_cost_of_a_beacon_does_not_grow_with_the_fleet():
    """2,700 servers are expected, and a process sends 5 beacons a second."""
    node = Node(
        1, *(builders.server_entry(number) for number in range(1, 2701))
    )
    builders.Flow(node.core).open(0)
    node.peers.encode_beacon()
    assert len(list(node.core.server_stats.items())) <= 64
