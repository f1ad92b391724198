"""A feed continues as long as its server is running."""

from tests.node import world as world_lib


def assert_continues(world, feed, limit_ms=15_000):
    """Wait until new events arrive."""
    last_seq = feed.last_seq
    world.fleet.until(lambda: feed.last_seq > last_seq + 2, limit_ms)
    assert not feed.lost
    world.oracle.verify()


def test_owner_dies_and_another_server_is_removed():
    """Guards against losing feeds when a crash and a change coincide."""
    world = world_lib.World(nodes=5)
    session = world.open()
    feeds = [world.subscribe(session) for _ in range(4)]
    remaining = {
        r: a for r, a in world_lib.SERVERS.items() if r.server != "c1"
    }
    world.fleet.apply(world_lib.body(remaining))
    world.fleet.kill_node(world.owner(feeds[0].token))
    for feed in feeds:
        assert_continues(world, feed)


def test_paused_owner_does_not_reclaim_the_feed():
    """Guards against two owners of a feed after a process pause."""
    world = world_lib.World()
    feed = world.subscribe(world.open())
    owner = world.owner(feed.token)
    world.fleet.pause_node(owner)
    world.caller.reachable_nodes = [n for n in world.fleet.nodes if n != owner]
    world.fleet.run(8000)
    assert_continues(world, feed)
    assert world.owner(feed.token) != owner
    world.fleet.resume_node(owner)
    world.caller.reachable_nodes = None
    world.fleet.run(70_000)
    assert_continues(world, feed)


def test_late_keepalive_does_not_end_the_feed():
    """Guards against ending a feed that a late datagram moved.

    The node that takes over receives nothing more from the caller. When the
    feed becomes idle there, it must not detach the flow.
    """
    world = world_lib.World()
    feed = world.subscribe(world.open())
    owner = world.owner(feed.token)
    old_token = feed.token
    world.fleet.kill_node(owner)
    world.fleet.run(6000)
    assert_continues(world, feed)
    second = world.owner(feed.token)
    other = next(n for n in world.fleet.nodes if n not in (owner, second))
    world.fleet.block(other, second)
    world.fleet.run(8000)
    token, feed.token = feed.token, old_token
    for _ in range(2):
        world.caller.keepalive(feed, other)
    world.caller.pending.clear()
    feed.token = token
    world.caller.reachable_nodes = [second]
    world.fleet.run(1000)
    world.fleet.heal()
    for _ in range(6):
        world.fleet.run(20_000)
        assert_continues(world, feed)


def test_owner_reclaims_a_feed_without_events_after_a_late_keepalive():
    """Guards against losing a feed without events to a late keepalive.

    No event or acknowledgement tells its owner that the feed has moved.
    """
    world = world_lib.World(event_interval_ms=0)
    session = world.open()
    feed = world.caller.subscribe(session, "door")
    world.fleet.until(lambda: feed.token is not None)
    first, old_token = world.owner(feed.token), feed.token
    world.fleet.kill_node(first)
    world.fleet.until(lambda: world.owner(feed.token) != first)
    second = world.owner(feed.token)
    other = next(n for n in world.fleet.nodes if n not in (first, second))
    for source, dest in ((other, second), (second, other)):
        world.fleet.block(source, dest)
    world.caller.reachable_nodes = [second]
    world.fleet.run(8000)
    token, feed.token = feed.token, old_token
    world.caller.keepalive(feed, other)
    world.caller.pending.clear()
    feed.token = token
    world.fleet.run(500)
    ref = world.server_of_feed(feed)
    flow = world.fleet.servers[ref].model.flows[feed.ident]
    assert flow.balancer == other
    world.fleet.heal()
    world.fleet.run(100_000)
    assert flow.balancer == second
    world.fleet.emit(ref, feed.ident)
    world.fleet.run(3000)
    assert feed.last_seq == 1
    world.oracle.verify()


def test_feed_continues_on_a_replaced_link():
    """Guards against feeds that stay on a half-open link."""
    world = world_lib.World()
    feed = world.subscribe(world.open())
    owner = world.owner(feed.token)
    server = world.server_of_feed(feed).server
    world.fleet.block(server, owner)
    world.fleet.run(5000)
    world.fleet.heal()
    assert_continues(world, feed)


def test_feeds_are_attached_again_right_after_a_link_reset():
    """Guards against feeds that wait for a keepalive after a link reset."""
    world = world_lib.World()
    feed = world.subscribe(world.open())
    world.caller.feeds.clear()
    owner, ref = world.owner(feed.token), world.server_of_feed(feed)
    sent = world.fleet.nodes[owner].core.counters
    world.fleet.reset_links(ref)
    world.fleet.run(300)
    before = sent["events_sent"]
    world.fleet.run(2000)
    assert sent["events_sent"] >= before + 2


def test_partition_between_owner_and_server_moves_the_feed():
    """Guards against a feed that stays with an owner without a link."""
    world = world_lib.World()
    feed = world.subscribe(world.open())
    owner = world.owner(feed.token)
    server = world.server_of_feed(feed).server
    world.fleet.block(server, owner)
    world.fleet.block(owner, server)
    assert_continues(world, feed)
    assert world.owner(feed.token) != owner


def test_lost_events_are_retransmitted():
    """Guards against gaps in a feed when datagrams are lost."""
    world = world_lib.World(loss=0.3)
    feed = world.subscribe(world.open())
    for _ in range(5):
        assert_continues(world, feed)


def test_death_of_the_server_is_reported_to_the_caller():
    """Guards against a feed that stays silent after its server died."""
    world = world_lib.World()
    feed = world.subscribe(world.open())
    ref = world.server_of_feed(feed)
    address = str(world.fleet.servers[ref].address)
    world.fleet.kill_server(ref)
    world.fleet.start_server(ref.service, ref.server, address)
    world.fleet.until(lambda: feed.lost)
    world.oracle.verify()


def test_removed_server_keeps_its_feeds():
    """Guards against ending feeds when the config drops their server."""
    world = world_lib.World()
    feed = world.subscribe(world.open())
    ref = world.server_of_feed(feed)
    remaining = {r: a for r, a in world_lib.SERVERS.items() if r != ref}
    world.fleet.apply(world_lib.body(remaining))
    world.fleet.run(5000)
    assert_continues(world, feed)
    world.fleet.kill_node(world.owner(feed.token))
    world.fleet.run(5000)
    assert_continues(world, feed)


def test_owner_reclaims_the_feed_when_a_successor_dies():
    """Guards against a feed that stays silent for too long.

    A partitioned node takes the feed over and dies before the caller gets
    its token, so the caller keeps using the token of the first owner.
    """
    world = world_lib.World()
    fleet = world.fleet
    feed = world.subscribe(world.open())
    owner = world.owner(feed.token)
    successor = next(name for name in fleet.nodes if name != owner)
    others = [name for name in fleet.nodes if name != successor]
    world.caller.reachable_nodes = others
    for name in others:
        fleet.block(name, successor)
        fleet.block(successor, name)
    fleet.block(successor, str(world.caller.address))
    fleet.run(8000)
    world.caller.keepalive(feed, successor)
    fleet.run(100)
    server = fleet.servers[world.server_of_feed(feed)]
    assert server.model.flows[feed.ident].balancer == successor
    fleet.kill_node(successor)
    fleet.heal()
    assert_continues(world, feed, 6000)
    assert world.owner(feed.token) == owner
