"""A caller receives the complete answer to its own request, or none."""

from cyclamenridge.wire import caller
from tests.node import callers
from tests.node import deployment as deployment_lib

Outcome = caller.Outcome


def test_answers_are_reassembled_over_a_lossy_network():
    """Guards against answers with missing, duplicate or mixed parts."""
    deployment = deployment_lib.Deployment(
        loss=0.1, duplication=0.2, long_delay=0.05
    )
    session = deployment.open()
    requests = [
        deployment.caller.call(session, "dump", size)
        for size in (1, 1024, 1025, 5000, 40_000)
    ]
    for request in requests:
        deployment.wait_for_outcome(request)
    answered = [r for r in requests if r.outcome is Outcome.ANSWERED]
    assert answered
    for request in answered:
        assert request.answer.endswith(request.payload[:4096])


def make_request(deployment, session, seq, parts, check):
    """Return a request whose check need not match its parts."""
    payload = b"".join(parts)
    request = callers.Request(
        session, seq, "dump", payload, 100 + seq, deployment.fleet.now_ms
    )
    request.parts = parts
    request.check = check
    request.deadline_ms = 1000
    request.attempt = 1
    return request


def test_request_with_missing_part_is_not_run():
    """Guards against running a request that is incomplete."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    parts = [b"counter:1" + bytes(1015), bytes(1024), b"end"]
    check = caller.payload_check(b"".join(parts))
    request = make_request(deployment, session, 1, parts, check)
    for part in (0, 2, 0):
        deployment.caller.send(deployment.caller.encode(request, part))
    deployment.fleet.run_for(3000)
    deployment.caller.requests.append(request)
    assert deployment.wait_for_outcome(request) is Outcome.NOT_RUN
    assert request.reason is caller.Reason.EXPIRED
    assert not deployment.oracle.run_log


def test_request_with_a_wrong_check_is_not_run():
    """Guards against running a payload assembled from two requests."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    for seq, parts in (
        (1, [b"counter:single"]),
        (2, [b"counter:" + bytes(1016), b"end"]),
    ):
        request = make_request(deployment, session, seq, parts, 12345)
        deployment.caller.requests.append(request)
        assert deployment.wait_for_outcome(request) is Outcome.NOT_RUN
        assert request.reason is caller.Reason.BAD_REQUEST
    assert not deployment.oracle.run_log


def test_concurrent_requests_get_their_own_answers():
    """Guards against an answer delivered to another request."""
    deployment = deployment_lib.Deployment(
        long_delay=0.3, duplication=0.3, caller_count=3
    )
    sessions = [deployment.open(caller=c) for c in deployment.callers]
    requests = []
    for _ in range(5):
        for owner, session in zip(deployment.callers, sessions, strict=True):
            requests.append(owner.call(session, "change", 200))
    for request in requests:
        deployment.wait_for_outcome(request)
    assert deployment.oracle.outcomes[Outcome.ANSWERED] > 0
