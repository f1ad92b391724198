"""Messages for one service never reach another service."""

from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from tests.node import deployment as deployment_lib
from tests.node import fleet as fleet_lib


def swap_addresses(deployment):
    """Restart c0 and a0 at each other's address."""
    counter = fleet_lib.ServerRef("counter", "c0")
    album = fleet_lib.ServerRef("album", "a0")
    deployment.fleet.kill_server(counter)
    deployment.fleet.kill_server(album)
    for ref, previous_ref in ((counter, album), (album, counter)):
        address = deployment_lib.SERVERS[previous_ref]
        deployment.fleet.start_server(ref.service, ref.server, address)


def test_reused_address_gets_no_payload():
    """Guards against sending requests to an address without its identity."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    swap_addresses(deployment)
    for _ in range(10):
        deployment.wait_for_outcome(deployment.caller.call(session, "change"))
    deployment.fleet.run_for(3000)
    counters = [n.core.counters for n in deployment.fleet.nodes.values()]
    assert all(c["identity_mismatch"] for c in counters if c["runs_sent"])
    assert sum(c["identity_mismatch"] for c in counters) > 0
    assert {r.server for r in deployment.oracle.run_log} <= {"c1", "c2"}
    for ref in (
        fleet_lib.ServerRef("album", "a0"),
        fleet_lib.ServerRef("counter", "c0"),
    ):
        assert not deployment.fleet.servers[ref].model.flows
        assert not deployment.fleet.servers[ref].model.refusals[
            "wrong_service"
        ]


def test_kind_of_another_service_is_refused():
    """Guards against using a session for another service."""
    deployment = deployment_lib.Deployment()
    session = deployment.open("counter")
    request = deployment.caller.call(session, "edit")
    assert deployment.wait_for_outcome(request) is caller.Outcome.NOT_RUN
    assert request.reason is caller.Reason.BAD_REQUEST
    assert not deployment.oracle.run_log


def test_feed_token_is_refused_as_a_session_token():
    """Guards against accepting a token of another type."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    feed = deployment.subscribe(session)
    session.token, token = feed.token, session.token
    deployment.caller.call(session, "change")
    deployment.fleet.run_for(100)
    session.token = token
    assert not deployment.oracle.run_log
    counters = [n.core.counters for n in deployment.fleet.nodes.values()]
    assert sum(c["datagrams_malformed"] for c in counters) > 0


def test_packets_reach_only_their_service():
    """Guards against routing packets without a token to another service."""
    deployment = deployment_lib.Deployment()
    for service in ("counter", "album"):
        packet = caller.Datagram(service, service.encode())
        data = rpc.notification("datagram", packet)
        for node in deployment.fleet.nodes:
            deployment.caller.send(data, node)
    deployment.fleet.run_for(200)
    seen = 0
    for ref, server in deployment.fleet.servers.items():
        for packet in server.model.datagrams:
            assert packet.payload == ref.service.encode()
            seen += 1
    assert seen == 2 * len(deployment.fleet.nodes)
