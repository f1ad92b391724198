"""A feed continues as long as its server is running."""

from tests.node import deployment as deployment_lib


def assert_continues(deployment, feed, limit_ms=15_000):
    """Wait until new events arrive."""
    last_seq = feed.last_seq
    deployment.fleet.run_until(lambda: feed.last_seq > last_seq + 2, limit_ms)
    assert not feed.lost
    deployment.oracle.verify()


def test_owner_dies_and_another_server_is_removed():
    """Guards against losing feeds when a crash and a change coincide."""
    deployment = deployment_lib.Deployment(nodes=5)
    session = deployment.open()
    feeds = [deployment.subscribe(session) for _ in range(4)]
    remaining = {
        r: a for r, a in deployment_lib.SERVERS.items() if r.server != "c1"
    }
    deployment.fleet.write_config(deployment_lib.config_text(remaining))
    deployment.fleet.kill_node(deployment.owner(feeds[0].token))
    for feed in feeds:
        assert_continues(deployment, feed)


def test_paused_owner_does_not_reclaim_the_feed():
    """Guards against two owners of a feed after a process pause."""
    deployment = deployment_lib.Deployment()
    feed = deployment.subscribe(deployment.open())
    owner = deployment.owner(feed.token)
    deployment.fleet.pause_node(owner)
    deployment.caller.reachable_nodes = [
        n for n in deployment.fleet.nodes if n != owner
    ]
    deployment.fleet.run_for(8000)
    assert_continues(deployment, feed)
    assert deployment.owner(feed.token) != owner
    deployment.fleet.resume_node(owner)
    deployment.caller.reachable_nodes = None
    deployment.fleet.run_for(70_000)
    assert_continues(deployment, feed)


def test_late_keepalive_does_not_end_the_feed():
    """Guards against ending a feed that a late datagram moved.

    The node that takes over receives nothing more from the caller. When the
    feed becomes idle there, it must not detach the flow.
    """
    deployment = deployment_lib.Deployment()
    feed = deployment.subscribe(deployment.open())
    owner = deployment.owner(feed.token)
    old_token = feed.token
    deployment.fleet.kill_node(owner)
    deployment.fleet.run_for(6000)
    assert_continues(deployment, feed)
    second = deployment.owner(feed.token)
    other = next(n for n in deployment.fleet.nodes if n not in (owner, second))
    deployment.fleet.block(other, second)
    deployment.fleet.run_for(8000)
    token, feed.token = feed.token, old_token
    for _ in range(2):
        deployment.caller.keepalive(feed, other)
    deployment.caller.pending.clear()
    feed.token = token
    deployment.caller.reachable_nodes = [second]
    deployment.fleet.run_for(1000)
    deployment.fleet.heal()
    for _ in range(6):
        deployment.fleet.run_for(20_000)
        assert_continues(deployment, feed)


def test_owner_reclaims_a_feed_without_events_after_a_late_keepalive():
    """Guards against losing a feed without events to a late keepalive.

    No event or acknowledgement tells its owner that the feed has moved.
    """
    deployment = deployment_lib.Deployment(event_interval_ms=0)
    session = deployment.open()
    feed = deployment.caller.subscribe(session, "door")
    deployment.fleet.run_until(lambda: feed.token is not None)
    first, old_token = deployment.owner(feed.token), feed.token
    deployment.fleet.kill_node(first)
    deployment.fleet.run_until(lambda: deployment.owner(feed.token) != first)
    second = deployment.owner(feed.token)
    other = next(n for n in deployment.fleet.nodes if n not in (first, second))
    for source, dest in ((other, second), (second, other)):
        deployment.fleet.block(source, dest)
    deployment.caller.reachable_nodes = [second]
    deployment.fleet.run_for(8000)
    token, feed.token = feed.token, old_token
    deployment.caller.keepalive(feed, other)
    deployment.caller.pending.clear()
    feed.token = token
    deployment.fleet.run_for(500)
    ref = deployment.server_of_feed(feed)
    flow = deployment.fleet.servers[ref].model.flows[feed.ident]
    assert flow.balancer == other
    deployment.fleet.heal()
    deployment.fleet.run_for(100_000)
    assert flow.balancer == second
    deployment.fleet.emit(ref, feed.ident)
    deployment.fleet.run_for(3000)
    assert feed.last_seq == 1
    deployment.oracle.verify()


def test_feed_continues_on_a_replaced_link():
    """Guards against feeds that stay on a half-open link."""
    deployment = deployment_lib.Deployment()
    feed = deployment.subscribe(deployment.open())
    owner = deployment.owner(feed.token)
    server = deployment.server_of_feed(feed).server
    deployment.fleet.block(server, owner)
    deployment.fleet.run_for(5000)
    deployment.fleet.heal()
    assert_continues(deployment, feed)


def test_feeds_are_attached_again_right_after_a_link_reset():
    """Guards against feeds that wait for a keepalive after a link reset."""
    deployment = deployment_lib.Deployment()
    feed = deployment.subscribe(deployment.open())
    deployment.caller.feeds.clear()
    owner, ref = deployment.owner(feed.token), deployment.server_of_feed(feed)
    sent = deployment.fleet.nodes[owner].core.counters
    deployment.fleet.reset_links(ref)
    deployment.fleet.run_for(300)
    before = sent["events_sent"]
    deployment.fleet.run_for(2000)
    assert sent["events_sent"] >= before + 2


def test_partition_between_owner_and_server_moves_the_feed():
    """Guards against a feed that stays with an owner without a link."""
    deployment = deployment_lib.Deployment()
    feed = deployment.subscribe(deployment.open())
    owner = deployment.owner(feed.token)
    server = deployment.server_of_feed(feed).server
    deployment.fleet.block(server, owner)
    deployment.fleet.block(owner, server)
    assert_continues(deployment, feed)
    assert deployment.owner(feed.token) != owner


def test_lost_events_are_retransmitted():
    """Guards against gaps in a feed when datagrams are lost."""
    deployment = deployment_lib.Deployment(loss=0.3)
    feed = deployment.subscribe(deployment.open())
    for _ in range(5):
        assert_continues(deployment, feed)


def test_death_of_the_server_is_reported_to_the_caller():
    """Guards against a feed that stays silent after its server died."""
    deployment = deployment_lib.Deployment()
    feed = deployment.subscribe(deployment.open())
    ref = deployment.server_of_feed(feed)
    address = str(deployment.fleet.servers[ref].address)
    deployment.fleet.kill_server(ref)
    deployment.fleet.start_server(ref.service, ref.server, address)
    deployment.fleet.run_until(lambda: feed.lost)
    deployment.oracle.verify()


def test_removed_server_keeps_its_feeds():
    """Guards against ending feeds when the config drops their server."""
    deployment = deployment_lib.Deployment()
    feed = deployment.subscribe(deployment.open())
    ref = deployment.server_of_feed(feed)
    remaining = {r: a for r, a in deployment_lib.SERVERS.items() if r != ref}
    deployment.fleet.write_config(deployment_lib.config_text(remaining))
    deployment.fleet.run_for(5000)
    assert_continues(deployment, feed)
    deployment.fleet.kill_node(deployment.owner(feed.token))
    deployment.fleet.run_for(5000)
    assert_continues(deployment, feed)


def test_owner_reclaims_the_feed_when_a_successor_dies():
    """Guards against a feed that stays silent for too long.

    A partitioned node takes the feed over and dies before the caller gets
    its token, so the caller keeps using the token of the first owner.
    """
    deployment = deployment_lib.Deployment()
    fleet = deployment.fleet
    feed = deployment.subscribe(deployment.open())
    owner = deployment.owner(feed.token)
    successor = next(name for name in fleet.nodes if name != owner)
    others = [name for name in fleet.nodes if name != successor]
    deployment.caller.reachable_nodes = others
    for name in others:
        fleet.block(name, successor)
        fleet.block(successor, name)
    fleet.block(successor, str(deployment.caller.address))
    fleet.run_for(8000)
    deployment.caller.keepalive(feed, successor)
    fleet.run_for(100)
    server = fleet.servers[deployment.server_of_feed(feed)]
    assert server.model.flows[feed.ident].balancer == successor
    fleet.kill_node(successor)
    fleet.heal()
    assert_continues(deployment, feed, 6000)
    assert deployment.owner(feed.token) == owner
