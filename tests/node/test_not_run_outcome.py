"""The outcome "not_run" is reported only if the request never runs."""

from cyclamenridge.wire import rpc
from tests.node import callers
from tests.node import fleet as fleet_lib
from tests.node import world as world_lib

Outcome = callers.Outcome


def test_cancel_before_the_request_fences_its_number():
    """Guards against running a request that its cancel overtook."""
    world = world_lib.World()
    session = world.open()
    request = callers.Request(
        session, 1, "change", b"counter:x", 77, world.fleet.now_ms
    )
    params = callers.caller.Cancel(session.token, 1)
    world.caller.requests.append(request)
    world.caller.send(rpc.request(77, "cancel", params))
    world.fleet.run(100)
    assert world.finish(request) is Outcome.NOT_RUN
    assert not world.oracle.log


def test_cancelled_request_that_is_running_is_answered():
    """Guards against "not_run" for a request that the server started."""
    world = world_lib.World()
    session = world.open()
    request = world.caller.call(session, "change")
    world.fleet.until(lambda: world.oracle.log)
    world.caller.cancel(request)
    assert world.finish(request) is Outcome.ANSWERED


def test_refusal_after_a_lost_attempt_is_unknown():
    """Guards against "not_run" when an earlier attempt may have run."""
    world = world_lib.World()
    for ref in (r for r in world_lib.SERVERS if r.service == "counter"):
        if ref.server != "c0":
            world.fleet.kill_server(ref)
    world.fleet.run(500)
    session = world.open()
    request = world.caller.call(session, "read")
    world.fleet.until(lambda: world.oracle.log)
    world.fleet.kill_server(fleet_lib.ServerRef("counter", "c0"))
    assert world.finish(request) is Outcome.UNKNOWN


def test_late_run_after_a_partition_is_fenced():
    """Guards against a run after "not_run" has been reported.

    The ``run`` message is delayed in the network while its link is replaced.
    """
    world = world_lib.World()
    session = world.open()
    owner = world.owner(session.token)
    for ref in world_lib.SERVERS:
        world.fleet.block(owner, ref.server)
    request = world.caller.call(
        session, "change", node=owner, deadline_ms=2000
    )
    world.fleet.run(2600)
    world.fleet.heal()
    world.finish(request)
    world.fleet.run(5000)
    world.oracle.verify()


def test_fenced_request_runs_at_another_server():
    """Guards against giving up, or running twice, a request not yet run."""
    world = world_lib.World()
    session = world.open()
    owner = world.owner(session.token)
    for ref in world_lib.SERVERS:
        world.fleet.block(owner, ref.server)
    request = world.caller.call(session, "change", node=owner)
    world.fleet.run(300)
    for ref in world_lib.SERVERS:
        world.fleet.reset_links(ref)
    world.fleet.run(200)
    world.fleet.heal()
    assert world.finish(request) is Outcome.ANSWERED
    assert len(world.oracle.log) == 1


def test_outcome_is_unknown_after_the_death_of_the_owner():
    """Guards against "not_run" from a node that does not own the session."""
    world = world_lib.World()
    session = world.open()
    owner = world.owner(session.token)
    request = world.caller.call(session, "change", node=owner)
    world.fleet.until(lambda: world.oracle.log)
    world.fleet.kill_node(owner)
    assert world.finish(request) is Outcome.UNKNOWN
    assert request.reason is callers.Reason.OWNER_LOST
    assert len(world.oracle.log) == 1


def test_request_that_expired_in_the_queue_never_runs():
    """Guards against running a late copy after "not_run" was reported."""
    world = world_lib.World()
    session = world.open()
    requests = []
    for _ in range(40):
        request = world.caller.call(session, "change", deadline_ms=100)
        requests.append(request)
    late_copies = [world.caller.encode(r, 0) for r in requests]
    for request in requests:
        world.finish(request)
    for late_copy in late_copies:
        world.caller.send(late_copy)
    world.fleet.run(5000)
    assert world.oracle.outcomes[Outcome.NOT_RUN] > 0
    world.oracle.verify()
