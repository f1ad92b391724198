"""A server that is leaving gets no new work after 3 s."""

import pytest

from cyclamenridge.node import events
from tests.node import world as world_lib

LIMIT_MS = 3000
REF = events.ServerRef("counter", "c0")


def say(world, source):
    """Let one source say that c0 is leaving."""
    if source == "server":
        world.fleet.drain_server(REF)
    elif source == "instances":
        world.fleet.leaving.add(REF)
    else:
        world.fleet.apply(world_lib.body(draining={REF}))


@pytest.mark.parametrize("source", ["server", "instances", "config"])
def test_no_new_work_after_the_limit(source):
    """Guards against a source of the news that is not heard."""
    world = world_lib.World()
    sessions = [world.open() for _ in range(6)]
    feed = world.subscribe(sessions[0])
    say(world, source)
    if source == "server":
        # The server refuses by itself; the balancers must not ask it.
        world.fleet.servers[REF].model.draining = False
    world.fleet.run(LIMIT_MS)
    begun_ms = world.fleet.now_ms
    requests = []
    for session in sessions * 4:
        requests.append(world.caller.call(session, "change"))
        world.caller.subscribe(session, "door")
    for request in requests:
        world.finish(request)
    assert not [
        run
        for run in world.oracle.log
        if run.server == REF.server and run.started_ms >= begun_ms
    ]
    model = world.fleet.servers[REF].model
    assert set(model.flows) <= {feed.ident}
    assert not model.refusals


def test_flows_of_a_leaving_server_go_on():
    """Guards against cutting feeds of a server that drains."""
    world = world_lib.World()
    session = world.open()
    feeds = [world.subscribe(session) for _ in range(6)]
    ref = world.server_of(feeds[0])
    world.fleet.drain_server(ref)
    world.fleet.run(5000)
    world.fleet.kill_node(world.owner(feeds[0].token))
    world.fleet.run(6000)
    for feed in feeds:
        last_seq = feed.last_seq
        world.fleet.run(3000)
        assert feed.last_seq > last_seq
        assert not feed.lost


def test_leaving_server_is_known_where_nobody_watches_the_list():
    """Guards against new work on a server that only the list calls leaving.

    No member of the home set watches the platform's list.
    """
    world = world_lib.World(nodes=8, one_domain=True)
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
    fleet.leaving.add(REF)
    fleet.run(3_000)
    assert work_of(world) == 0
    fleet.leaving.discard(REF)
    fleet.run(8_000)
    assert work_of(world) > 0


def work_of(world):
    """Return how many of many requests at once run on c0."""
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
