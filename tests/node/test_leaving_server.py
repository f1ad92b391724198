from tests.node import world as world_lib

COUNTER = [ref for ref in world_lib.SERVERS if ref.service == "counter"]


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
    ref = COUNTER[0]
    fleet.leaving.add(ref)
    fleet.run(3_000)
    assert work_of(world, ref) == 0
    fleet.leaving.discard(ref)
    fleet.run(8_000)
    assert work_of(world, ref) > 0


def work_of(world, ref):
    """Return how many of many requests at once run on a server."""
    before = sum(r.server == ref.server for r in world.oracle.log)
    sessions = [world.open() for _ in range(8)]
    for request in [
        world.caller.call(session, "change")
        for session in sessions
        for _ in range(4)
    ]:
        world.finish(request)
    after = sum(r.server == ref.server for r in world.oracle.log)
    return after - before
