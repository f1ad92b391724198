"""Flows without a routing token keep their server."""

from cyclamenridge import address as address_lib
from cyclamenridge.node import events
from cyclamenridge.wire import backend
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from tests.node import deployment as deployment_lib

COUNTER = [ref for ref in deployment_lib.SERVERS if ref.service == "counter"]
SOURCES = [
    address_lib.Address("10.0.0.9", 1000 + number) for number in range(120)
]


def send_all(deployment):
    """Send a packet from each source to a random node."""
    names = [
        n.name for n in deployment.fleet.nodes.values() if n.core is not None
    ]
    for source in SOURCES:
        data = rpc.notification("datagram", caller.Datagram("counter", b"x"))
        deployment.fleet.send_from_caller(
            source, data, deployment.fleet.rng.choice(names)
        )
    deployment.fleet.run_for(200)


def servers_by_source(deployment):
    """Return the servers that got the packets of each source."""
    servers = {}
    for ref in COUNTER:
        for packet in deployment.fleet.servers[ref].model.datagrams:
            source = address_lib.Address(packet.host, packet.port)
            servers.setdefault(source, []).append(ref)
    return servers


def test_packets_keep_their_server_when_their_node_dies_after_a_drain():
    """Guards against a flow that changes its server with its node."""
    deployment = deployment_lib.Deployment()
    send_all(deployment)
    before = servers_by_source(deployment)
    assert set(before) == set(SOURCES)
    deployment.fleet.write_config(
        deployment_lib.config_text(draining=(COUNTER[0],))
    )
    deployment.fleet.run_for(5_000)
    deployment.fleet.kill_node("n0")
    deployment.fleet.run_for(6_000)
    send_all(deployment)
    after = servers_by_source(deployment)
    assert all(set(after[s]) == set(before[s]) for s in SOURCES)
    assert sum(len(refs) for refs in after.values()) == 2 * len(SOURCES)


def test_new_packets_avoid_a_draining_server():
    """Guards against new flows at a draining server."""
    deployment = deployment_lib.Deployment()
    deployment.fleet.drain_server(COUNTER[0])
    deployment.fleet.run_for(3_000)
    send_all(deployment)
    assert deployment.fleet.servers[COUNTER[0]].model.datagrams == []


def test_packets_to_all_draining_servers_are_dropped():
    """Guards against new flows when all servers are draining."""
    deployment = deployment_lib.Deployment()
    deployment.fleet.write_config(
        deployment_lib.config_text(draining=tuple(COUNTER))
    )
    deployment.fleet.run_for(3_000)
    send_all(deployment)
    assert servers_by_source(deployment) == {}


def test_server_sends_only_to_callers_that_sent_it_packets():
    """Guards against packets to addresses that never sent one."""
    deployment = deployment_lib.Deployment()
    node = deployment.fleet.nodes["n0"]
    link = node.core.dump(deployment.fleet.now_ms).links[0]
    ref = events.ServerRef(link.service, link.server)
    packet = rpc.notification(
        "datagram", backend.Datagram(SOURCES[0].host, 1, b"x")
    )
    conn = next(
        c
        for c in deployment.fleet._conns.values()
        if c.node is node and c.ref == ref
    )
    before = node.core.counters["packets_without_caller"]
    deployment.fleet._send_tcp(conn, "down", packet)
    deployment.fleet.run_for(100)
    assert node.core.counters["packets_without_caller"] == before + 1
