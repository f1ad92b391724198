"""A planned stop interrupts no request and no feed."""

from tests.node import callers
from tests.node import world as world_lib

Outcome = callers.Outcome
Reason = callers.Reason


def test_requests_finish_and_the_exit_code_is_0():
    """Guards against requests interrupted by a stop."""
    world = world_lib.World(work_ms=2000)
    session = world.open()
    owner = world.owner(session.token)
    requests = [world.caller.call(session, "change") for _ in range(4)]
    world.fleet.run(50)
    world.fleet.stop_node(owner)
    for request in requests:
        assert world.finish(request) is Outcome.ANSWERED
    node = world.fleet.nodes[owner]
    world.fleet.until(lambda: node.exit_code is not None)
    assert node.exit_code == 0


def test_refused_requests_of_a_leaving_node_never_run():
    """Guards against a run after "not_run" with the reason leaving."""
    world = world_lib.World()
    session = world.open()
    owner = world.owner(session.token)
    world.fleet.stop_node(owner)
    request = world.caller.call(session, "change")
    assert world.finish(request) is Outcome.NOT_RUN
    assert request.reason is Reason.LEAVING
    new_session = world.open()
    assert world.owner(new_session.token) != owner
    assert world.finish(world.caller.call(new_session, "change")) is (
        Outcome.ANSWERED
    )
    assert len(world.oracle.log) == 1


def test_feeds_move_before_the_exit():
    """Guards against feeds interrupted by a stop."""
    world = world_lib.World()
    session = world.open()
    feeds = [world.subscribe(session) for _ in range(5)]
    world.caller.keepalive_interval_ms = 6000
    owner = world.owner(feeds[0].token)
    node = world.fleet.nodes[owner]
    world.fleet.stop_node(owner)
    world.fleet.until(lambda: node.exit_code is not None)
    assert node.exit_code == 0
    assert all(world.owner(feed.token) != owner for feed in feeds)
    for feed in feeds:
        last_seq = feed.last_seq
        world.fleet.run(8000)
        assert feed.last_seq > last_seq
        assert not feed.lost


def test_leaving_node_forwards_keepalives():
    """Guards against losing feeds if callers reach only the leaving node."""
    world = world_lib.World()
    feed = world.subscribe(world.open())
    owner = world.owner(feed.token)
    world.caller.reachable_nodes = [owner]
    world.fleet.stop_node(owner)
    world.fleet.until(lambda: world.owner(feed.token) != owner, 5000)
    last_seq = feed.last_seq
    world.fleet.run(3000)
    assert feed.last_seq > last_seq


def test_lost_answer_is_retransmitted_before_the_exit():
    """Guards against an exit before the caller has acknowledged an answer."""
    world = world_lib.World()
    session = world.open()
    owner = world.owner(session.token)
    world.fleet.block(owner, str(world.caller.address))
    request = world.caller.call(session, "change")
    world.fleet.run(100)
    world.fleet.stop_node(owner)
    world.fleet.run(1500)
    world.fleet.heal()
    assert world.finish(request) is Outcome.ANSWERED


def test_rolling_restart_of_all_nodes():
    """Guards against losing feeds when all nodes are replaced in turn."""
    world = world_lib.World(nodes=4)
    session = world.open()
    feeds = [world.subscribe(session) for _ in range(5)]
    for name in list(world.fleet.nodes):
        node = world.fleet.nodes[name]
        world.fleet.stop_node(name)
        world.fleet.until(lambda n=node: n.exit_code is not None, 35_000)
        assert node.exit_code == 0
        world.fleet.run(100)
        world.fleet.start_node(name)
        world.fleet.run(4000)
    for feed in feeds:
        last_seq = feed.last_seq
        world.fleet.run(2000)
        assert feed.last_seq > last_seq
        assert not feed.lost
    world.oracle.verify()


def test_unfinished_requests_get_an_outcome_at_the_deadline():
    """Guards against a stop that never ends, or a wrong "not_run"."""
    world = world_lib.World()
    session = world.open()
    owner = world.owner(session.token)
    for ref in world_lib.SERVERS:
        world.fleet.block(ref.server, owner)
    request = world.caller.call(session, "change", node=owner)
    world.fleet.run(300)
    world.fleet.stop_node(owner, 1)
    node = world.fleet.nodes[owner]
    world.fleet.until(lambda: node.exit_code is not None, 15_000)
    assert world.finish(request) is Outcome.UNKNOWN
    world.oracle.verify()


def test_second_stop_request_exits_at_once():
    """Guards against a stop that an operator cannot cut short."""
    world = world_lib.World()
    world.subscribe(world.open())
    name = next(iter(world.fleet.nodes))
    world.fleet.stop_node(name)
    world.fleet.stop_node(name)
    assert world.fleet.nodes[name].exit_code == 4
