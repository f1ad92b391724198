"""Limits on the memory and time that requests take."""

from cyclamenridge.session import memory as memory_lib
from cyclamenridge.session import owner as owner_lib
from cyclamenridge.wire import caller
from tests.node import callers
from tests.node import deployment as deployment_lib


def sessions_of(deployment, session):
    """Return the session owner behind a token."""
    node = deployment.fleet.nodes[deployment.owner(session.token)]
    return node.core._sessions


def test_payloads_beyond_the_limit_are_not_run(monkeypatch):
    """Guards against a node that open requests drive out of memory."""
    monkeypatch.setattr(memory_lib, "MAX_NODE_BYTES", 60_000)
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = sessions_of(deployment, session)
    for _ in range(10):
        deployment.caller.call(session, "dump", 20_000)
        deployment.fleet.run_for(20)
        assert owner.buffered_bytes <= 60_000
    deployment.fleet.run_for(8000)
    assert deployment.oracle.outcomes[caller.Outcome.NOT_RUN] > 0
    assert deployment.oracle.outcomes[caller.Outcome.ANSWERED] > 0
    deployment.oracle.verify()


def test_memory_of_acknowledged_requests_is_released():
    """Guards against a memory leak by acknowledged replies."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = sessions_of(deployment, session)
    for _ in range(300):
        deployment.wait_for_outcome(
            deployment.caller.call(session, "dump", 3000)
        )
    deployment.fleet.run_for(500)
    assert owner.buffered_bytes <= 2000
    deployment.fleet.run_for(130_000)
    assert owner.buffered_bytes == 0
    assert len(owner.table) == 0


def test_too_large_request_is_refused():
    """Guards against requests above the configured size of their kind."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    request = deployment.caller.call(session, "change", 4200)
    assert deployment.wait_for_outcome(request) is caller.Outcome.NOT_RUN
    assert request.reason is caller.Reason.TOO_LARGE


def test_deadline_is_capped_by_the_limit_of_the_kind():
    """Guards against a request that occupies a slot for minutes."""
    deployment = deployment_lib.Deployment(work_ms=60_000)
    session = deployment.open()
    request = callers.Request(
        session, 1, "change", b"counter:x", 77, deployment.fleet.now_ms
    )
    request.deadline_ms = 60_000
    deployment.caller.requests.append(request)
    assert (
        deployment.wait_for_outcome(request, 8_000) is callers.Outcome.UNKNOWN
    )


def test_buffer_of_a_request_of_many_parts_is_charged():
    """Guards against a node that requests of many parts drive out of
    memory: the list of parts takes 8 bytes for each that is announced.
    """
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = sessions_of(deployment, session)
    request = deployment.caller.call(
        session, "dump", 50 * caller.MAX_PART_BYTES
    )
    deployment.fleet.run_until(lambda: owner._partial_records)
    (record,) = owner._partial_records.values()
    expected = owner_lib.RECORD_BYTES + record.part_buffer.size + 8 * 50
    assert owner.buffered_bytes >= expected
    deployment.fleet.run_until(lambda: not owner._partial_records)
    assert deployment.wait_for_outcome(request) is caller.Outcome.ANSWERED
    deployment.fleet.run_for(130_000)
    assert owner.buffered_bytes == 0


def test_request_of_one_part_needs_room_for_its_payload(monkeypatch):
    """Guards against a bound that each small request may exceed by its
    payload, because admission asks for a single byte.
    """
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = sessions_of(deployment, session)
    request = deployment.caller.call(session, "dump", 900)
    assert len(request.parts) == 1
    needed = owner_lib.RECORD_BYTES + len(request.payload)
    limit = owner.buffered_bytes + needed
    monkeypatch.setattr(memory_lib, "MAX_NODE_BYTES", limit - 1)
    assert deployment.wait_for_outcome(request) is caller.Outcome.NOT_RUN
    assert request.reason is caller.Reason.OVERLOADED
    monkeypatch.setattr(memory_lib, "MAX_NODE_BYTES", 3 * limit)
    request = deployment.caller.call(session, "dump", 900)
    assert deployment.wait_for_outcome(request) is caller.Outcome.ANSWERED
