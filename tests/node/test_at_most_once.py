"""A non-idempotent request runs at most once."""

from tests.node import callers
from tests.node import fleet as fleet_lib
from tests.node import world as world_lib

Outcome = callers.Outcome


def test_retransmissions_to_all_nodes_run_once():
    """Guards against a second run when retransmissions reach other nodes."""
    world = world_lib.World(duplication=0.5)
    session = world.open()
    request = world.caller.call(session, "change")
    for node in world.fleet.nodes:
        world.caller.transmit(request, node)
    assert world.finish(request) is Outcome.ANSWERED
    late_copy = world.caller.encode(request, 0)
    world.caller.send(late_copy)
    world.fleet.run(1000)
    assert len(world.oracle.log) == 1
    world.oracle.verify()


def test_request_of_a_restarted_owner_is_not_run():
    """Guards against a run by a new process without the old one's records."""
    world = world_lib.World()
    session = world.open()
    owner = world.owner(session.token)
    world.finish(world.caller.call(session, "change"))
    request = world.caller.call(session, "change")
    world.fleet.kill_node(owner)
    world.fleet.start_node(owner)
    assert world.finish(request) is Outcome.UNKNOWN
    assert len(world.oracle.log) <= 2


def test_lost_link_does_not_lead_to_a_second_run():
    """Guards against running a request again whose answer was lost."""
    world = world_lib.World()
    session = world.open()
    owner = world.owner(session.token)
    request = world.caller.call(session, "change", node=owner)
    world.fleet.until(lambda: world.oracle.log)
    server = world.oracle.log[0].server
    world.fleet.block(server, owner)
    world.fleet.block(owner, server)
    world.fleet.run(2500)
    world.fleet.heal()
    assert world.finish(request) is Outcome.ANSWERED
    assert len(world.oracle.log) == 1


def test_server_restart_makes_the_outcome_unknown():
    """Guards against a retry when the only process that knows has ended."""
    world = world_lib.World()
    session = world.open()
    request = world.caller.call(session, "change")
    world.fleet.until(lambda: world.oracle.log)
    ref = fleet_lib.ServerRef("counter", world.oracle.log[0].server)
    address = str(world.fleet.servers[ref].address)
    world.fleet.kill_server(ref)
    world.fleet.start_server(ref.service, ref.server, address)
    assert world.finish(request) is Outcome.UNKNOWN
    assert len(world.oracle.log) == 1


def test_idempotent_request_is_retried_at_another_server():
    """Guards against giving up requests that may safely run twice."""
    world = world_lib.World()
    session = world.open()
    request = world.caller.call(session, "read")
    world.fleet.until(lambda: world.oracle.log)
    ref = fleet_lib.ServerRef("counter", world.oracle.log[0].server)
    world.fleet.kill_server(ref)
    assert world.finish(request) is Outcome.ANSWERED
    assert len(world.oracle.log) == 2


def test_sequence_number_below_the_window_is_not_run():
    """Guards against running a late copy whose record was dropped."""
    world = world_lib.World()
    session = world.open()
    first = world.caller.call(session, "change")
    world.finish(first)
    late_copy = world.caller.encode(first, 0)
    for _ in range(3):
        world.finish(world.caller.call(session, "change"))
    world.caller.send(late_copy)
    world.finish(world.caller.call(session, "change", seq=600))
    world.caller.send(late_copy)
    world.fleet.run(500)
    assert len(world.oracle.log) == 5
    world.oracle.verify()


def test_reused_sequence_number_is_refused():
    """Guards against running two payloads under one sequence number."""
    world = world_lib.World()
    session = world.open()
    world.caller.call(session, "change", seq=2)
    world.fleet.until(lambda: world.oracle.log)
    reused = world.caller.call(session, "change", seq=2)
    assert world.finish(reused) is Outcome.NOT_RUN
    assert reused.reason is callers.Reason.SEQ_REUSED
    world.fleet.run(1000)
    assert len(world.oracle.log) == 1
