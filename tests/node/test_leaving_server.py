"""A server that is leaving gets no new work after 3 s."""

import pytest

from cyclamenridge.node import events
from tests.node import deployment as deployment_lib

LIMIT_MS = 3000
REF = events.ServerRef("counter", "c0")


def report_leaving(deployment, source):
    """Let one source report that c0 is leaving."""
    if source == "server":
        deployment.fleet.drain_server(REF)
    elif source == "instances":
        deployment.fleet.leaving_servers.add(REF)
    else:
        deployment.fleet.write_config(
            deployment_lib.config_text(draining={REF})
        )


@pytest.mark.parametrize("source", ["server", "instances", "config"])
def test_no_new_work_after_the_limit(source):
    """Guards against ignoring one of the sources that report leaving."""
    deployment = deployment_lib.Deployment()
    sessions = [deployment.open() for _ in range(6)]
    feed = deployment.subscribe(sessions[0])
    report_leaving(deployment, source)
    if source == "server":
        # Otherwise the server itself would refuse the work, which would
        # hide that a balancer still sent it.
        deployment.fleet.servers[REF].model.draining = False
    deployment.fleet.run_for(LIMIT_MS)
    limit_reached_ms = deployment.fleet.now_ms
    requests = []
    for session in sessions * 4:
        requests.append(deployment.caller.call(session, "change"))
        deployment.caller.subscribe(session, "door")
    for request in requests:
        deployment.wait_for_outcome(request)
    assert not [
        run
        for run in deployment.oracle.run_log
        if run.server == REF.server and run.started_ms >= limit_reached_ms
    ]
    model = deployment.fleet.servers[REF].model
    assert set(model.flows) <= {feed.ident}
    assert not model.refusals


def test_flows_of_a_leaving_server_continue():
    """Guards against ending the feeds of a draining server."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    feeds = [deployment.subscribe(session) for _ in range(6)]
    ref = deployment.server_of_feed(feeds[0])
    deployment.fleet.drain_server(ref)
    deployment.fleet.run_for(5000)
    deployment.fleet.kill_node(deployment.owner(feeds[0].token))
    deployment.fleet.run_for(6000)
    for feed in feeds:
        last_seq = feed.last_seq
        deployment.fleet.run_for(3000)
        assert feed.last_seq > last_seq
        assert not feed.lost


def test_leaving_server_is_announced_to_a_home_set_without_watchers():
    """Guards against new work on a server that only the list has as leaving.

    No member of the home set watches the platform's instance list.
    """
    deployment = deployment_lib.Deployment(nodes=8, single_domain=True)
    fleet = deployment.fleet
    fleet.run_for(5_000)
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
    fleet.run_for(3_000)
    assert count_runs_on_c0(deployment) == 0
    fleet.leaving_servers.discard(REF)
    fleet.run_for(8_000)
    assert count_runs_on_c0(deployment) > 0


def count_runs_on_c0(deployment):
    """Send 32 requests at once and return how many run on c0."""
    before = sum(r.server == REF.server for r in deployment.oracle.run_log)
    sessions = [deployment.open() for _ in range(8)]
    for request in [
        deployment.caller.call(session, "change")
        for session in sessions
        for _ in range(4)
    ]:
        deployment.wait_for_outcome(request)
    after = sum(r.server == REF.server for r in deployment.oracle.run_log)
    return after - before
