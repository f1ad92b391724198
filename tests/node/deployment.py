"""Simulated deployment with two services, shared by the tests."""

import yaml

from cyclamenridge.node import events
from cyclamenridge.wire import token as token_lib
from tests.node import callers
from tests.node import fleet as fleet_lib
from tests.node import oracle as oracle_lib

ServerRef = events.ServerRef
IDEMPOTENT = frozenset({"read", "look"})
SERVERS = {
    ServerRef("counter", "c0"): "127.0.0.100:7101",
    ServerRef("counter", "c1"): "127.0.0.101:7101",
    ServerRef("counter", "c2"): "127.0.0.102:7101",
    ServerRef("album", "a0"): "127.0.0.110:7101",
    ServerRef("album", "a1"): "127.0.0.111:7101",
}
KINDS = {
    "change": ("counter", "request", False, 4096),
    "read": ("counter", "request", True, 4096),
    "dump": ("counter", "bulk", False, 60_000),
    "door": ("counter", "feed", False, 1024),
    "edit": ("album", "request", False, 4096),
    "look": ("album", "request", True, 4096),
    "proof": ("album", "feed", False, 1024),
}


def config_text(
    servers=SERVERS, *, draining=(), nodes=5, home_set_size=3, kinds=KINDS
):
    """Return the text of a configuration file.

    :param draining: servers whose configured state is draining
    :param nodes: number of failure domains with balancers
    """
    services = {}
    for ref, address in servers.items():
        service = services.setdefault(
            ref.service,
            {
                "home_set_size": home_set_size,
                "servers": {},
                "slow_start_ms": 0,
            },
        )
        service["servers"][ref.server] = {
            "address": address,
            "failure_domain": "d10",
            "state": "draining" if ref in draining else "active",
        }
    kind_cfgs = {
        name: {
            "service": service,
            "mode": mode,
            "idempotent": idempotent,
            "max_bytes": max_bytes,
        }
        for name, (service, mode, idempotent, max_bytes) in kinds.items()
    }
    return yaml.safe_dump(
        {
            "deployment": "test",
            "failure_domains": {
                f"d{10 + i}": {"region": "r", "networks": ["127.0.0.0/24"]}
                for i in range(nodes)
            },
            "services": services,
            "kinds": kind_cfgs,
            "customers": {"outfit": {}},
            "precedence": list(kinds),
        }
    )


class Deployment:
    """Fleet, callers and oracle; the constructor waits until all are ready.

    :param network: further parameters of the fleet
    """

    def __init__(self, seed=1, *, nodes=3, caller_count=1, **network):
        self.oracle = oracle_lib.Oracle(IDEMPOTENT)
        self.fleet = fleet_lib.Fleet(seed, nodes=nodes, **network)
        self.fleet.records = self.oracle.run_log
        self.fleet.write_config(config_text())
        for ref, address in SERVERS.items():
            self.fleet.start_server(ref.service, ref.server, address)
        for name in self.fleet.nodes:
            self.fleet.start_node(name)
        self.callers = [
            callers.Caller(self.fleet, self.oracle, index)
            for index in range(caller_count)
        ]
        self.caller = self.callers[0]
        self.fleet.run_until(self.is_ready, 30_000)

    def is_ready(self):
        """Tell whether all nodes are configured and know all members."""
        dumps = [
            node.core.dump(self.fleet.now_ms)
            for node in self.fleet.nodes.values()
            if node.core is not None
        ]
        return any(dump.links for dump in dumps) and all(
            dump.revision is not None
            and len(dump.members) == len(self.fleet.nodes)
            and all(link.state == "up" for link in dump.links)
            for dump in dumps
        )

    def open(self, service="counter", caller=None):
        """Open a session and wait until it is granted."""
        session = (caller or self.caller).open(service)
        self.fleet.run_until(lambda: session.token is not None)
        return session

    def subscribe(self, session, kind="door"):
        """Open a feed and wait for its first event."""
        feed = self.caller.subscribe(session, kind)
        self.fleet.run_until(lambda: feed.last_seq > 0)
        return feed

    def wait_for_outcome(self, request, limit_ms=15_000):
        """Wait for the outcome of a request and return it."""
        self.fleet.run_until(lambda: request.done, limit_ms)
        self.oracle.verify()
        return request.outcome

    def owner(self, token):
        """Return the name of the node that granted a token."""
        host = callers.TOKEN_CODEC.decode(token).owner.host
        return next(
            n.name for n in self.fleet.nodes.values() if n.peer.host == host
        )

    def server_of_feed(self, feed):
        """Return the server that holds the flow of a feed."""
        server_hash = callers.TOKEN_CODEC.decode(feed.token).server
        for ref, server in self.fleet.servers.items():
            if (
                server.model is not None
                and feed.ident in server.model.flows
                and token_lib.name_hash(ref.server) == server_hash
            ):
                return ref
        return None
