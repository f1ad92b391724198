"""Messages for one service never reach another service."""

from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from tests.node import fleet as fleet_lib
from tests.node import world as world_lib


def swap_addresses(world):
    """Restart c0 and a0 at each other's address."""
    counter = fleet_lib.ServerRef("counter", "c0")
    album = fleet_lib.ServerRef("album", "a0")
    world.fleet.kill_server(counter)
    world.fleet.kill_server(album)
    for ref, previous_ref in ((counter, album), (album, counter)):
        address = world_lib.SERVERS[previous_ref]
        world.fleet.start_server(ref.service, ref.server, address)


def test_reused_address_gets_no_payload():
    """Guards against sending requests to an address without its identity."""
    world = world_lib.World()
    session = world.open()
    swap_addresses(world)
    for _ in range(10):
        world.finish(world.caller.call(session, "change"))
    world.fleet.run(3000)
    counters = [n.core.counters for n in world.fleet.nodes.values()]
    assert all(c["identity_mismatch"] for c in counters if c["runs_sent"])
    assert sum(c["identity_mismatch"] for c in counters) > 0
    assert {r.server for r in world.oracle.log} <= {"c1", "c2"}
    for ref in (
        fleet_lib.ServerRef("album", "a0"),
        fleet_lib.ServerRef("counter", "c0"),
    ):
        assert not world.fleet.servers[ref].model.flows
        assert not world.fleet.servers[ref].model.refusals["wrong_service"]


def test_kind_of_another_service_is_refused():
    """Guards against using a session for another service."""
    world = world_lib.World()
    session = world.open("counter")
    request = world.caller.call(session, "edit")
    assert world.finish(request) is caller.Outcome.NOT_RUN
    assert request.reason is caller.Reason.BAD_REQUEST
    assert not world.oracle.log


def test_feed_token_is_refused_as_a_session_token():
    """Guards against accepting a token of another type."""
    world = world_lib.World()
    session = world.open()
    feed = world.subscribe(session)
    session.token, token = feed.token, session.token
    world.caller.call(session, "change")
    world.fleet.run(100)
    session.token = token
    assert not world.oracle.log
    counters = [n.core.counters for n in world.fleet.nodes.values()]
    assert sum(c["datagrams_malformed"] for c in counters) > 0


def test_packets_reach_only_their_service():
    """Guards against routing packets without a token to another service."""
    world = world_lib.World()
    for service in ("counter", "album"):
        packet = caller.Datagram(service, service.encode())
        data = rpc.notification("datagram", packet)
        for node in world.fleet.nodes:
            world.caller.send(data, node)
    world.fleet.run(200)
    seen = 0
    for ref, server in world.fleet.servers.items():
        for packet in server.model.datagrams:
            assert packet.payload == ref.service.encode()
            seen += 1
    assert seen == 2 * len(world.fleet.nodes)
