"""A server that is leaving gets no new work after 3 s."""

import pytest

from cyclamenridge.node import events
from tests.node import world as world_lib

LIMIT_MS = 3000
REF = events.ServerRef("counter", "c0")


def report_leaving(world, source):
    """Let one source report that c0 is leaving."""
    if source == "server":
        world.fleet.drain_server(REF)
    elif source == "instances":
        world.fleet.leaving_servers.add(REF)
    else:
        world.fleet.apply(world_lib.body(draining={REF}))


@pytest.mark.parametrize("source", ["server", "instances", "config"])
def test_no_new_work_after_the_limit(source):
    """Guards against ignoring one of the sources that report leaving."""
    world = world_lib.World()
    sessions = [world.open() for _ in range(6)]
    feed = world.subscribe(sessions[0])
    report_leaving(world, source)
    if source == "server":
        # Otherwise the server itself would refuse the work, which would
        # hide that a balancer still sent it.
        world.fleet.servers[REF].model.draining = False
    world.fleet.run(LIMIT_MS)
    limit_reached_ms = world.fleet.now_ms
    requests = []
    for session in sessions * 4:
        requests.append(world.caller.call(session, "change"))
        world.caller.subscribe(session, "door")
    for request in requests:
        world.finish(request)
    assert not [
        run
        for run in world.oracle.log
        if run.server == REF.server and run.started_ms >= limit_reached_ms
    ]
    model = world.fleet.servers[REF].model
    assert set(model.flows) <= {feed.ident}
    assert not model.refusals


def test_flows_of_a_leaving_server_continue():
    """Guards against ending the feeds of a draining server."""
    world = world_lib.World()
    session = world.open()
    feeds = [world.subscribe(session) for _ in range(6)]
    ref = world.server_of_feed(feeds[0])
    world.fleet.drain_server(ref)
    world.fleet.run(5000)
    world.fleet.kill_node(world.owner(feeds[0].token))
    world.fleet.run(6000)
    for feed in feeds:
        last_seq = feed.last_seq
        world.fleet.run(3000)
        assert feed.last_seq > last_seq
        assert not feed.lost


def test_leaving_server_is_announced_to_a_home_set_without_watchers():
    """Guards against new work on a server that only the list has as leaving.

    No member of the home set watches the platform's instance list.
    """
    world = world_lib.World(nodes=8, single_domain=True)
    fleet = world.fleet
    fleet.run(5_000)
    watching = {n.name for n in fleet.nodes.values() if n.watching}
    assert len(watching) == 3
    dumps = [n.core.dump(fleet.now_ms) for n in fleet.nodes.values()]
    home = next(
        service.home
        for dump in dumps
        for service in dump.services
        if service.service == "counter"
    )
    for name in home:
        if name in watching:
            fleet.nodes[name].watching = False
    fleet.leaving_servers.add(REF)
    fleet.run(3_000)
    assert count_runs_on_c0(world) == 0
    fleet.leaving_servers.discard(REF)
    fleet.run(8_000)
    assert count_runs_on_c0(world) > 0


def count_runs_on_c0(world):
    """Send 32 requests at once and return how many run on c0."""
    before = sum(r.server == REF.server for r in world.oracle.log)
    sessions = [world.open() for _ in range(8)]
    for request in [
        world.caller.call(session, "change")
        for session in sessions
        for _ in range(4)
    ]:
        world.finish(request)
    after = sum(r.server == REF.server for r in world.oracle.log)
    return after - before
