"""Builds cores with servers and packets for tests."""

import random

from cyclamenridge import address as address_lib
from cyclamenridge.flow import choice
from cyclamenridge.flow import core as core_lib
from cyclamenridge.flow import directory
from cyclamenridge.flow import effects
from cyclamenridge.flow import log
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import routes

HOST = 0xC6120001
FEED_PORT = 8443
PUSH_PORT = 8080
DUMP_PORT = 9000
CLIENT = 0x64400007
CONFIG = routes.RouteTable(
    version=4,
    routes={
        (HOST, port): routes.Route(
            name,
            HOST,
            port,
            (routes.Target(service, 1),),
            idempotent,
            2500,
            150,
            rank,
        )
        for name, port, service, idempotent, rank in (
            ("feed", FEED_PORT, "counter", True, 2),
            ("push", PUSH_PORT, "counter", False, 1),
            ("dump", DUMP_PORT, "workshop", False, 2),
        )
    },
    services=frozenset({"counter", "workshop"}),
    idle_ms=15_000,
)


class ListLog(log.FlowLog):
    """Keeps the names of events."""

    def __init__(self):
        self.events = []

    def opening(self, now_ms, packet, known, seen, version):
        self.events.append(("flow_opening", known.listing.name))

    def flow(self, now_ms, event, packet, **basis):
        self.events.append((event, packet_lib.flow_id(packet)))

    def server(self, now_ms, event, name):
        self.events.append((event, name))

    def process(self, event, **fields):
        self.events.append((event, fields))


def listing(number, **changes):
    """Return the entry of a server; a number is one address and id."""
    fields = {
        "name": f"i-{number:08x}",
        "ident": number,
        "service": "counter",
        "address": address_lib.Address(f"10.9.0.{number & 255}", 8080),
        "failure_domain": "bne",
        "slots": 2,
        "state": directory.ServerState.READY,
        "warmup_ms": 0,
        "born_ms": 1,
        "revision": 10 + number,
    }
    fields.update(changes)
    return directory.Listing(**fields)


def make_core(*listings, seed=1, config=CONFIG, failure_domain="bne"):
    """Return a core that knows servers and a configuration."""
    rng = random.Random(seed)
    core = core_lib.FlowCore(
        failure_domain=failure_domain,
        longest_flow_ms=60_000,
        chooser=choice.LeastLoaded(failure_domain, rng),
        rng=rng,
        log=ListLog(),
    )
    if config is not None:
        core.configure(config)
    for item in listings:
        core.directory.put(0, item)
    return core


class Flow:
    """A client's end of a flow, reduced to the packets that it sends."""

    def __init__(self, core, *, port=FEED_PORT, client_port=40_001):
        self.core = core
        self.port = port
        self.client_port = client_port
        self.seq = 1000
        self.ack = 0
        self.token = 0

    def send(self, now_ms, flags, *, length=0, seq=None, ack=None):
        return self.core.packet(
            now_ms,
            packet_lib.Packet(
                CLIENT,
                self.client_port,
                HOST,
                self.port,
                flags,
                self.seq if seq is None else seq,
                self.ack if ack is None else ack,
                length,
                self.token,
            ),
        )

    def syn(self, now_ms, copy=0):
        return self.send(now_ms, packet_lib.SYN, ack=copy)

    def open(self, now_ms):
        """Open the flow at the server that the first copy goes to."""
        (forward,) = forwards(self.syn(now_ms))[:1]
        self.accept(now_ms + 6, forward)
        return forward

    def accept(self, now_ms, forward):
        """Take the handshake of a server."""
        self.token = forward.token
        self.seq += 1
        self.ack = 5000
        return self.send(now_ms, packet_lib.ACK)

    def request(self, now_ms, length=200):
        """Send a request; a repeat is ``send`` with an older ``seq``."""
        out = self.send(now_ms, packet_lib.ACK, length=length)
        self.seq += length
        return out

    def repeat(self, now_ms, length=200):
        return self.send(
            now_ms, packet_lib.ACK, length=length, seq=self.seq - length
        )

    def answered(self, now_ms, length=2000):
        self.ack += length
        return self.send(now_ms, packet_lib.ACK)


def forwards(out):
    """Return the effects that send the packet on."""
    return [item for item in out if isinstance(item, effects.Forward)]
