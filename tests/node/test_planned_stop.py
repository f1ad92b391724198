"""A planned stop interrupts no request and no feed."""

from tests.node import callers
from tests.node import deployment as deployment_lib

Outcome = callers.Outcome
Reason = callers.Reason


def test_requests_finish_and_the_exit_code_is_0():
    """Guards against requests interrupted by a stop."""
    deployment = deployment_lib.Deployment(work_ms=2000)
    session = deployment.open()
    owner = deployment.owner(session.token)
    requests = [deployment.caller.call(session, "change") for _ in range(4)]
    deployment.fleet.run_for(50)
    deployment.fleet.stop_node(owner)
    for request in requests:
        assert deployment.wait_for_outcome(request) is Outcome.ANSWERED
    node = deployment.fleet.nodes[owner]
    deployment.fleet.run_until(lambda: node.exit_code is not None)
    assert node.exit_code == 0


def test_refused_requests_of_a_leaving_node_never_run():
    """Guards against a run after "not_run" with the reason leaving."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = deployment.owner(session.token)
    deployment.fleet.stop_node(owner)
    request = deployment.caller.call(session, "change")
    assert deployment.wait_for_outcome(request) is Outcome.NOT_RUN
    assert request.reason is Reason.LEAVING
    new_session = deployment.open()
    assert deployment.owner(new_session.token) != owner
    assert deployment.wait_for_outcome(
        deployment.caller.call(new_session, "change")
    ) is (Outcome.ANSWERED)
    assert len(deployment.oracle.run_log) == 1


def test_feeds_move_before_the_exit():
    """Guards against feeds interrupted by a stop."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    feeds = [deployment.subscribe(session) for _ in range(5)]
    deployment.caller.keepalive_interval_ms = 6000
    owner = deployment.owner(feeds[0].token)
    node = deployment.fleet.nodes[owner]
    deployment.fleet.stop_node(owner)
    deployment.fleet.run_until(lambda: node.exit_code is not None)
    assert node.exit_code == 0
    assert all(deployment.owner(feed.token) != owner for feed in feeds)
    for feed in feeds:
        last_seq = feed.last_seq
        deployment.fleet.run_for(8000)
        assert feed.last_seq > last_seq
        assert not feed.lost


def test_leaving_node_forwards_keepalives():
    """Guards against losing feeds if callers reach only the leaving node."""
    deployment = deployment_lib.Deployment()
    feed = deployment.subscribe(deployment.open())
    owner = deployment.owner(feed.token)
    deployment.caller.reachable_nodes = [owner]
    deployment.fleet.stop_node(owner)
    deployment.fleet.run_until(
        lambda: deployment.owner(feed.token) != owner, 5000
    )
    last_seq = feed.last_seq
    deployment.fleet.run_for(3000)
    assert feed.last_seq > last_seq


def test_lost_answer_is_retransmitted_before_the_exit():
    """Guards against an exit before the caller has acknowledged an answer."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = deployment.owner(session.token)
    deployment.fleet.block(owner, str(deployment.caller.address))
    request = deployment.caller.call(session, "change")
    deployment.fleet.run_for(100)
    deployment.fleet.stop_node(owner)
    deployment.fleet.run_for(1500)
    deployment.fleet.heal()
    assert deployment.wait_for_outcome(request) is Outcome.ANSWERED


def test_rolling_restart_of_all_nodes():
    """Guards against losing feeds when all nodes are replaced in turn."""
    deployment = deployment_lib.Deployment(nodes=4)
    session = deployment.open()
    feeds = [deployment.subscribe(session) for _ in range(5)]
    for name in list(deployment.fleet.nodes):
        node = deployment.fleet.nodes[name]
        deployment.fleet.stop_node(name)
        deployment.fleet.run_until(
            lambda n=node: n.exit_code is not None, 35_000
        )
        assert node.exit_code == 0
        deployment.fleet.run_for(100)
        deployment.fleet.start_node(name)
        deployment.fleet.run_for(4000)
    for feed in feeds:
        last_seq = feed.last_seq
        deployment.fleet.run_for(2000)
        assert feed.last_seq > last_seq
        assert not feed.lost
    deployment.oracle.verify()


def test_unfinished_requests_get_an_outcome_at_the_deadline():
    """Guards against a stop that never ends, or a wrong "not_run"."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = deployment.owner(session.token)
    for ref in deployment_lib.SERVERS:
        deployment.fleet.block(ref.server, owner)
    request = deployment.caller.call(session, "change", node=owner)
    deployment.fleet.run_for(300)
    deployment.fleet.stop_node(owner, 1)
    node = deployment.fleet.nodes[owner]
    deployment.fleet.run_until(lambda: node.exit_code is not None, 15_000)
    assert deployment.wait_for_outcome(request) is Outcome.UNKNOWN
    deployment.oracle.verify()


def test_second_stop_request_exits_at_once():
    """Guards against a stop that an operator cannot cut short."""
    deployment = deployment_lib.Deployment()
    deployment.subscribe(deployment.open())
    name = next(iter(deployment.fleet.nodes))
    deployment.fleet.stop_node(name)
    deployment.fleet.stop_node(name)
    assert deployment.fleet.nodes[name].exit_code == 4
