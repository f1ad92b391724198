"""The outcome "not_run" is reported only if the request never runs."""

from cyclamenridge.wire import rpc
from tests.node import callers
from tests.node import deployment as deployment_lib
from tests.node import fleet as fleet_lib

Outcome = callers.Outcome


def test_cancel_before_the_request_fences_its_number():
    """Guards against running a request that its cancel overtook."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    request = callers.Request(
        session, 1, "change", b"counter:x", 77, deployment.fleet.now_ms
    )
    params = callers.caller.Cancel(session.token, 1)
    deployment.caller.requests.append(request)
    deployment.caller.send(rpc.request(77, "cancel", params))
    deployment.fleet.run_for(100)
    assert deployment.wait_for_outcome(request) is Outcome.NOT_RUN
    assert not deployment.oracle.run_log


def test_cancelled_request_that_is_running_is_answered():
    """Guards against "not_run" for a request that the server started."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    request = deployment.caller.call(session, "change")
    deployment.fleet.run_until(lambda: deployment.oracle.run_log)
    deployment.caller.cancel(request)
    assert deployment.wait_for_outcome(request) is Outcome.ANSWERED


def test_refusal_after_a_lost_attempt_is_unknown():
    """Guards against "not_run" when an earlier attempt may have run."""
    deployment = deployment_lib.Deployment()
    for ref in (r for r in deployment_lib.SERVERS if r.service == "counter"):
        if ref.server != "c0":
            deployment.fleet.kill_server(ref)
    deployment.fleet.run_for(500)
    session = deployment.open()
    request = deployment.caller.call(session, "read")
    deployment.fleet.run_until(lambda: deployment.oracle.run_log)
    deployment.fleet.kill_server(fleet_lib.ServerRef("counter", "c0"))
    assert deployment.wait_for_outcome(request) is Outcome.UNKNOWN


def test_late_run_after_a_partition_is_fenced():
    """Guards against a run after "not_run" has been reported.

    The ``run`` message is delayed in the network while its link is replaced.
    """
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = deployment.owner(session.token)
    for ref in deployment_lib.SERVERS:
        deployment.fleet.block(owner, ref.server)
    request = deployment.caller.call(
        session, "change", node=owner, deadline_ms=2000
    )
    deployment.fleet.run_for(2600)
    deployment.fleet.heal()
    deployment.wait_for_outcome(request)
    deployment.fleet.run_for(5000)
    deployment.oracle.verify()


def test_fenced_request_runs_at_another_server():
    """Guards against giving up, or running twice, a request not yet run."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = deployment.owner(session.token)
    for ref in deployment_lib.SERVERS:
        deployment.fleet.block(owner, ref.server)
    request = deployment.caller.call(session, "change", node=owner)
    deployment.fleet.run_for(300)
    for ref in deployment_lib.SERVERS:
        deployment.fleet.reset_links(ref)
    deployment.fleet.run_for(200)
    deployment.fleet.heal()
    assert deployment.wait_for_outcome(request) is Outcome.ANSWERED
    assert len(deployment.oracle.run_log) == 1


def test_outcome_is_unknown_after_the_death_of_the_owner():
    """Guards against "not_run" from a node that does not own the session."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = deployment.owner(session.token)
    request = deployment.caller.call(session, "change", node=owner)
    deployment.fleet.run_until(lambda: deployment.oracle.run_log)
    deployment.fleet.kill_node(owner)
    assert deployment.wait_for_outcome(request) is Outcome.UNKNOWN
    assert request.reason is callers.Reason.OWNER_LOST
    assert len(deployment.oracle.run_log) == 1


def test_request_that_expired_in_the_queue_never_runs():
    """Guards against running a late copy after "not_run" was reported."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    requests = []
    for _ in range(40):
        request = deployment.caller.call(session, "change", deadline_ms=100)
        requests.append(request)
    late_copies = [deployment.caller.encode(r, 0) for r in requests]
    for request in requests:
        deployment.wait_for_outcome(request)
    for late_copy in late_copies:
        deployment.caller.send(late_copy)
    deployment.fleet.run_for(5000)
    assert deployment.oracle.outcomes[Outcome.NOT_RUN] > 0
    deployment.oracle.verify()
