"""Limits on the memory and time that requests take."""

from cyclamenridge.session import memory as memory_lib
from cyclamenridge.wire import caller
from tests.node import callers
from tests.node import world as world_lib


def sessions_of(world, session):
    """Return the session owner behind a token."""
    node = world.fleet.nodes[world.owner(session.token)]
    return node.core._sessions


def test_payloads_beyond_the_limit_are_not_run(monkeypatch):
    """Guards against a node that open requests drive out of memory."""
    monkeypatch.setattr(memory_lib, "MAX_NODE_BYTES", 60_000)
    world = world_lib.World()
    session = world.open()
    owner = sessions_of(world, session)
    for _ in range(10):
        world.caller.call(session, "dump", 20_000)
        world.fleet.run(20)
        assert owner.buffered_bytes <= 60_000
    world.fleet.run(8000)
    assert world.oracle.outcomes[caller.Outcome.NOT_RUN] > 0
    assert world.oracle.outcomes[caller.Outcome.ANSWERED] > 0
    world.oracle.verify()


def test_memory_of_acknowledged_requests_is_released():
    """Guards against a memory leak by acknowledged replies."""
    world = world_lib.World()
    session = world.open()
    owner = sessions_of(world, session)
    for _ in range(300):
        world.finish(world.caller.call(session, "dump", 3000))
    world.fleet.run(500)
    assert owner.buffered_bytes <= 2000
    world.fleet.run(130_000)
    assert owner.buffered_bytes == 0
    assert len(owner.table) == 0


def test_too_large_request_is_refused():
    """Guards against requests above the configured size of their kind."""
    world = world_lib.World()
    session = world.open()
    request = world.caller.call(session, "change", 4200)
    assert world.finish(request) is caller.Outcome.NOT_RUN
    assert request.reason is caller.Reason.TOO_LARGE


def test_deadline_is_capped_by_the_limit_of_the_kind():
    """Guards against a request that occupies a slot for minutes."""
    world = world_lib.World(work_ms=60_000)
    session = world.open()
    request = callers.Request(
        session, 1, "change", b"counter:x", 77, world.fleet.now_ms
    )
    request.deadline_ms = 60_000
    world.caller.requests.append(request)
    assert world.finish(request, 8_000) is callers.Outcome.UNKNOWN
