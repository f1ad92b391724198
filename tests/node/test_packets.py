"""Flows without a routing token keep their server."""

from cyclamenridge import address as address_lib
from cyclamenridge.node import events
from cyclamenridge.wire import backend
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from tests.node import world as world_lib

COUNTER = [ref for ref in world_lib.SERVERS if ref.service == "counter"]
SOURCES = [
    address_lib.Address("10.0.0.9", 1000 + number) for number in range(120)
]


def send_all(world):
    """Send a packet from each source to a random node."""
    names = [n.name for n in world.fleet.nodes.values() if n.core is not None]
    for source in SOURCES:
        data = rpc.notification("datagram", caller.Datagram("counter", b"x"))
        world.fleet.send_from_caller(
            source, data, world.fleet.rng.choice(names)
        )
    world.fleet.run(200)


def servers_by_source(world):
    """Return the servers that got the packets of each source."""
    servers = {}
    for ref in COUNTER:
        for packet in world.fleet.servers[ref].model.datagrams:
            source = address_lib.Address(packet.host, packet.port)
            servers.setdefault(source, []).append(ref)
    return servers


def test_packets_keep_their_server_when_their_node_dies_after_a_drain():
    """Guards against a flow that changes its server with its node."""
    world = world_lib.World()
    send_all(world)
    before = servers_by_source(world)
    assert set(before) == set(SOURCES)
    world.fleet.apply(world_lib.body(draining=(COUNTER[0],)))
    world.fleet.run(5_000)
    world.fleet.kill_node("n0")
    world.fleet.run(6_000)
    send_all(world)
    after = servers_by_source(world)
    assert all(set(after[s]) == set(before[s]) for s in SOURCES)
    assert sum(len(refs) for refs in after.values()) == 2 * len(SOURCES)


def test_new_packets_avoid_a_draining_server():
    """Guards against new flows at a draining server."""
    world = world_lib.World()
    world.fleet.drain_server(COUNTER[0])
    world.fleet.run(3_000)
    send_all(world)
    assert world.fleet.servers[COUNTER[0]].model.datagrams == []


def test_packets_to_all_draining_servers_are_dropped():
    """Guards against new flows when all servers are draining."""
    world = world_lib.World()
    world.fleet.apply(world_lib.body(draining=tuple(COUNTER)))
    world.fleet.run(3_000)
    send_all(world)
    assert servers_by_source(world) == {}


def test_server_sends_only_to_callers_that_sent_it_packets():
    """Guards against packets to addresses that never sent one."""
    world = world_lib.World()
    node = world.fleet.nodes["n0"]
    link = node.core.dump(world.fleet.now_ms).links[0]
    ref = events.ServerRef(link.service, link.server)
    packet = rpc.notification(
        "datagram", backend.Datagram(SOURCES[0].host, 1, b"x")
    )
    conn = next(
        c
        for c in world.fleet._conns.values()
        if c.node is node and c.ref == ref
    )
    before = node.core.counters["packets_without_caller"]
    world.fleet._send_tcp(conn, "down", packet)
    world.fleet.run(100)
    assert node.core.counters["packets_without_caller"] == before + 1
