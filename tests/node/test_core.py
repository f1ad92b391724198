from cyclamenridge.wire import caller
from tests.node import world as world_lib


def test_request_and_feed_through_any_node():
    """Guards against datagrams that are not forwarded to their owner."""
    world = world_lib.World()
    session = world.open()
    for node in world.fleet.nodes:
        request = world.caller.call(session, "change", node=node)
        assert world.finish(request) is caller.Outcome.ANSWERED
    feed = world.subscribe(session)
    world.fleet.run(5000)
    assert feed.last_seq >= 5
    world.oracle.verify()
