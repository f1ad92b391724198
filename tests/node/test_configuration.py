"""An accepted configuration applies on every node within 3 s."""

from cyclamenridge.wire import caller
from tests.node import world as world_lib

LIMIT_MS = 3000


def test_new_server_is_used_everywhere():
    """Guards against nodes that miss a configuration change."""
    world = world_lib.World()
    ref = world_lib.ServerRef("counter", "c9")
    address = "127.0.0.109:7101"
    world.fleet.start_server(ref.service, ref.server, address)
    world.fleet.apply(world_lib.body({**world_lib.SERVERS, ref: address}))
    world.fleet.run(LIMIT_MS)
    for node in world.fleet.nodes.values():
        dump = node.core.dump(world.fleet.now_ms)
        assert dump.revision == 2
        assert "c9" in {k.server for k in dump.links if k.state == "up"}


def test_invalid_document_changes_nothing():
    """Guards against losing the configuration to an invalid document."""
    world = world_lib.World()
    session = world.open()
    world.fleet.apply("deployment: [\n")
    world.fleet.run(LIMIT_MS)
    counters = [n.core.counters for n in world.fleet.nodes.values()]
    assert all(c["config_refused"] == 1 for c in counters)
    request = world.caller.call(session, "change")
    assert world.finish(request) is caller.Outcome.ANSWERED


def test_removed_kind_is_refused():
    """Guards against running queued requests of a removed kind."""
    world = world_lib.World()
    session = world.open()
    kinds = {k: v for k, v in world_lib.KINDS.items() if k != "change"}
    requests = [world.caller.call(session, "change") for _ in range(20)]
    world.fleet.run(10)
    world.fleet.apply(world_lib.body(kinds=kinds))
    for request in requests:
        world.finish(request)
    world.fleet.run(LIMIT_MS)
    late = world.caller.call(session, "change")
    assert world.finish(late) is caller.Outcome.NOT_RUN
    assert late.reason is caller.Reason.BAD_REQUEST


def test_smaller_home_set_keeps_sessions_and_feeds():
    """Guards against losing the state of a node that leaves the home set."""
    world = world_lib.World(nodes=4)
    sessions = [world.open() for _ in range(8)]
    feeds = [world.subscribe(session) for session in sessions]
    world.fleet.apply(world_lib.body(home_set_size=1))
    world.fleet.run(LIMIT_MS)
    for session in sessions:
        request = world.caller.call(session, "change")
        assert world.finish(request) is caller.Outcome.ANSWERED
    world.fleet.run(40_000)
    for feed in feeds:
        last_seq = feed.last_seq
        world.fleet.run(2000)
        assert feed.last_seq > last_seq
        assert not feed.lost
