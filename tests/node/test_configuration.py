"""An accepted configuration applies on every node within 3 s."""

from cyclamenridge.wire import caller
from tests.node import deployment as deployment_lib

LIMIT_MS = 3000


def test_new_server_is_used_everywhere():
    """Guards against nodes that miss a configuration change."""
    deployment = deployment_lib.Deployment()
    ref = deployment_lib.ServerRef("counter", "c9")
    address = "127.0.0.109:7101"
    deployment.fleet.start_server(ref.service, ref.server, address)
    deployment.fleet.write_config(
        deployment_lib.config_text({**deployment_lib.SERVERS, ref: address})
    )
    deployment.fleet.run_for(LIMIT_MS)
    for node in deployment.fleet.nodes.values():
        dump = node.core.dump(deployment.fleet.now_ms)
        assert dump.revision == 2
        assert "c9" in {k.server for k in dump.links if k.state == "up"}


def test_invalid_document_changes_nothing():
    """Guards against losing the configuration to an invalid document."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    deployment.fleet.write_config("deployment: [\n")
    deployment.fleet.run_for(LIMIT_MS)
    counters = [n.core.counters for n in deployment.fleet.nodes.values()]
    assert all(c["config_refused"] == 1 for c in counters)
    request = deployment.caller.call(session, "change")
    assert deployment.wait_for_outcome(request) is caller.Outcome.ANSWERED


def test_removed_kind_is_refused():
    """Guards against running queued requests of a removed kind."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    kinds = {k: v for k, v in deployment_lib.KINDS.items() if k != "change"}
    requests = [deployment.caller.call(session, "change") for _ in range(20)]
    deployment.fleet.run_for(10)
    deployment.fleet.write_config(deployment_lib.config_text(kinds=kinds))
    for request in requests:
        deployment.wait_for_outcome(request)
    deployment.fleet.run_for(LIMIT_MS)
    late = deployment.caller.call(session, "change")
    assert deployment.wait_for_outcome(late) is caller.Outcome.NOT_RUN
    assert late.reason is caller.Reason.BAD_REQUEST


def test_smaller_home_set_keeps_sessions_and_feeds():
    """Guards against losing the state of a node that leaves the home set."""
    deployment = deployment_lib.Deployment(nodes=4)
    sessions = [deployment.open() for _ in range(8)]
    feeds = [deployment.subscribe(session) for session in sessions]
    deployment.fleet.write_config(deployment_lib.config_text(home_set_size=1))
    deployment.fleet.run_for(LIMIT_MS)
    for session in sessions:
        request = deployment.caller.call(session, "change")
        assert deployment.wait_for_outcome(request) is caller.Outcome.ANSWERED
    deployment.fleet.run_for(40_000)
    for feed in feeds:
        last_seq = feed.last_seq
        deployment.fleet.run_for(2000)
        assert feed.last_seq > last_seq
        assert not feed.lost
