from cyclamenridge import address
from cyclamenridge.feed import state as state_lib
from cyclamenridge.wire import caller
from tests.node import deployment as deployment_lib


def make_feed():
    feed = state_lib.Feed(
        1,
        kind="door",
        customer="outfit",
        epoch=1,
        create=True,
        source=address.Address("10.0.0.1", 5000),
        last_seq=0,
        now_ms=0,
    )
    feed.confirmed = True
    return feed


def test_keepalive_without_new_events_sends_no_attach():
    """Guards against an attach to the server for each keepalive."""
    feed = make_feed()
    assert not feed.needs_attach(10_000, own_token=True)
    feed.sent_seq = 1
    assert feed.needs_attach(10_000, own_token=True)
    feed.last_attach_ms = 9_500
    assert not feed.needs_attach(10_000, own_token=True)


def test_resent_subscription_finds_its_feed():
    """Guards against a second flow after the response was lost."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    feed = deployment.subscribe(session)
    params = caller.Subscribe(session.token, "door", feed.nonce, 0)
    for _ in range(3):
        deployment.caller.send_request("subscribe", params, feed)
    deployment.fleet.run_for(500)
    servers = deployment.fleet.servers.values()
    assert sum(len(server.model.flows) for server in servers) == 1


def test_idle_feed_is_detached():
    """Guards against flows that remain on their server without a caller."""
    deployment = deployment_lib.Deployment()
    feed = deployment.subscribe(deployment.open())
    deployment.caller.feeds.clear()
    deployment.fleet.run_for(70_000)
    servers = deployment.fleet.servers.values()
    assert not sum(len(server.model.flows) for server in servers)
    assert feed.ident is not None
