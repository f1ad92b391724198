"""A non-idempotent request runs at most once."""

from tests.node import callers
from tests.node import deployment as deployment_lib
from tests.node import fleet as fleet_lib

Outcome = callers.Outcome


def test_retransmissions_to_all_nodes_run_once():
    """Guards against a second run when retransmissions reach other nodes."""
    deployment = deployment_lib.Deployment(duplication=0.5)
    session = deployment.open()
    request = deployment.caller.call(session, "change")
    for node in deployment.fleet.nodes:
        deployment.caller.transmit(request, node)
    assert deployment.wait_for_outcome(request) is Outcome.ANSWERED
    late_copy = deployment.caller.encode(request, 0)
    deployment.caller.send(late_copy)
    deployment.fleet.run_for(1000)
    assert len(deployment.oracle.run_log) == 1
    deployment.oracle.verify()


def test_request_of_a_restarted_owner_is_not_run():
    """Guards against a run by a new process without the old one's records."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = deployment.owner(session.token)
    deployment.wait_for_outcome(deployment.caller.call(session, "change"))
    request = deployment.caller.call(session, "change")
    deployment.fleet.kill_node(owner)
    deployment.fleet.start_node(owner)
    assert deployment.wait_for_outcome(request) is Outcome.UNKNOWN
    assert len(deployment.oracle.run_log) <= 2


def test_lost_link_does_not_lead_to_a_second_run():
    """Guards against running a request again whose answer was lost."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = deployment.owner(session.token)
    request = deployment.caller.call(session, "change", node=owner)
    deployment.fleet.run_until(lambda: deployment.oracle.run_log)
    server = deployment.oracle.run_log[0].server
    deployment.fleet.block(server, owner)
    deployment.fleet.block(owner, server)
    deployment.fleet.run_for(2500)
    deployment.fleet.heal()
    assert deployment.wait_for_outcome(request) is Outcome.ANSWERED
    assert len(deployment.oracle.run_log) == 1


def test_server_restart_makes_the_outcome_unknown():
    """Guards against a retry when the only process that knows has ended."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    request = deployment.caller.call(session, "change")
    deployment.fleet.run_until(lambda: deployment.oracle.run_log)
    ref = fleet_lib.ServerRef("counter", deployment.oracle.run_log[0].server)
    address = str(deployment.fleet.servers[ref].address)
    deployment.fleet.kill_server(ref)
    deployment.fleet.start_server(ref.service, ref.server, address)
    assert deployment.wait_for_outcome(request) is Outcome.UNKNOWN
    assert len(deployment.oracle.run_log) == 1


def test_idempotent_request_is_retried_at_another_server():
    """Guards against giving up requests that may safely run twice."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    request = deployment.caller.call(session, "read")
    deployment.fleet.run_until(lambda: deployment.oracle.run_log)
    ref = fleet_lib.ServerRef("counter", deployment.oracle.run_log[0].server)
    deployment.fleet.kill_server(ref)
    assert deployment.wait_for_outcome(request) is Outcome.ANSWERED
    assert len(deployment.oracle.run_log) == 2


def test_sequence_number_below_the_window_is_not_run():
    """Guards against running a late copy whose record was dropped."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    first = deployment.caller.call(session, "change")
    deployment.wait_for_outcome(first)
    late_copy = deployment.caller.encode(first, 0)
    for _ in range(3):
        deployment.wait_for_outcome(deployment.caller.call(session, "change"))
    deployment.caller.send(late_copy)
    deployment.wait_for_outcome(
        deployment.caller.call(session, "change", seq=600)
    )
    deployment.caller.send(late_copy)
    deployment.fleet.run_for(500)
    assert len(deployment.oracle.run_log) == 5
    deployment.oracle.verify()


def test_reused_sequence_number_is_refused():
    """Guards against running two payloads under one sequence number."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    deployment.caller.call(session, "change", seq=2)
    deployment.fleet.run_until(lambda: deployment.oracle.run_log)
    reused = deployment.caller.call(session, "change", seq=2)
    assert deployment.wait_for_outcome(reused) is Outcome.NOT_RUN
    assert reused.reason is callers.Reason.SEQ_REUSED
    deployment.fleet.run_for(1000)
    assert len(deployment.oracle.run_log) == 1
