from cyclamenridge.wire import caller
from tests.node import deployment as deployment_lib


def test_request_and_feed_through_any_node():
    """Guards against datagrams that are not forwarded to their owner."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    for node in deployment.fleet.nodes:
        request = deployment.caller.call(session, "change", node=node)
        assert deployment.wait_for_outcome(request) is caller.Outcome.ANSWERED
    feed = deployment.subscribe(session)
    deployment.fleet.run_for(5000)
    assert feed.last_seq >= 5
    deployment.oracle.verify()
