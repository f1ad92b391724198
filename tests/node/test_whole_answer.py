"""A caller receives the whole answer to its own request or none."""

from cyclamenridge.wire import caller
from tests.node import world as world_lib

Outcome = caller.Outcome


def test_parts_arrive_whole_over_a_bad_network():
    """Guards against answers with missing, doubled or mixed parts."""
    world = world_lib.World(loss=0.1, copies=0.2, slow=0.05)
    session = world.open()
    requests = [
        world.caller.call(session, "dump", size)
        for size in (1, 1024, 1025, 5000, 40_000)
    ]
    for request in requests:
        world.finish(request)
    answered = [r for r in requests if r.outcome is Outcome.ANSWERED]
    assert answered
    for request in answered:
        assert request.answer.endswith(request.payload[:4096])


def test_request_with_missing_part_is_not_run():
    """Guards against running a request that did not arrive whole."""
    world = world_lib.World()
    session = world.open()
    request = world.caller.call(session, "dump", 5000)
    world.caller.requests.clear()
    world.fleet.run(500)
    request.parts = request.parts[:2]
    assert len(world.oracle.log) == 1  # this one arrived whole
    broken = world.caller.call(session, "dump", 3000, seq=9)
    broken.check ^= 1
    world.caller.resend(broken)
    world.fleet.run(1000)
    assert len(world.oracle.log) == 2
    forged = world.caller.call(session, "dump", 10, seq=10)
    forged.parts = [b"counter:forged"]
    world.fleet.run(1000)
    assert all(run.payload != b"counter:forged" for run in world.oracle.log)


def test_two_requests_in_flight_are_not_mixed_up():
    """Guards against an answer delivered to another request."""
    world = world_lib.World(slow=0.3, copies=0.3, callers_count=3)
    sessions = [world.open(caller=c) for c in world.callers]
    requests = []
    for _ in range(5):
        for owner, session in zip(world.callers, sessions, strict=True):
            requests.append(owner.call(session, "change", 200))
    for request in requests:
        world.finish(request)
    assert world.oracle.outcomes[Outcome.ANSWERED] > 0
