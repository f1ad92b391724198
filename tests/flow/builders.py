"""Builders of cores, servers, flows and packets for tests."""

import random

from cyclamenridge import address as address_lib
from cyclamenridge.flow import core as core_lib
from cyclamenridge.flow import directory
from cyclamenridge.flow import effects
from cyclamenridge.flow import log
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import position as position_lib
from cyclamenridge.flow import routes
from cyclamenridge.flow import selection

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
    """Records the events in a list."""

    def __init__(self):
        self.events = []

    def flow_opening(self, now_ms, packet, server, stats, version):
        self.events.append(("flow_opening", server.entry.name))

    def flow_event(self, now_ms, event, packet, **basis):
        self.events.append((event, packet_lib.flow_id(packet)))

    def server_event(self, now_ms, event, name):
        self.events.append((event, name))

    def process_event(self, event, **fields):
        self.events.append((event, fields))


def at(revision, epoch=0):
    """Return a position in the history of the store."""
    return position_lib.Position(epoch, revision)


def server_entry(number, **changes):
    """Return the entry of a server whose number is its id and address."""
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
    return directory.ServerEntry(**fields)


def make_core(*entries, seed=1, config=CONFIG, failure_domain="bne"):
    """Return a core with servers and a configuration."""
    rng = random.Random(seed)
    core = core_lib.FlowCore(
        failure_domain=failure_domain,
        longest_flow_ms=60_000,
        report_interval_ms=1200,
        selector=selection.SampledLoadSelector(failure_domain, rng),
        rng=rng,
        log=ListLog(),
    )
    if config is not None:
        core.configure(config)
    for item in entries:
        core.directory.put(0, item)
    return core


class Flow:
    """Client side of a flow, reduced to the packets that it sends."""

    def __init__(self, core, *, port=FEED_PORT, client_port=40_001):
        self.core = core
        self.port = port
        self.client_port = client_port
        self.seq = 1000
        self.ack = 0
        self.token = 0

    def send(self, now_ms, flags, *, length=0, seq=None, ack=None):
        return self.core.handle_packet(
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

    def syn(self, now_ms, retransmission=0):
        return self.send(now_ms, packet_lib.SYN, ack=retransmission)

    def open(self, now_ms):
        """Open the flow at the first server that the SYN is sent to."""
        (forward,) = forwards(self.syn(now_ms))[:1]
        self.complete_handshake(now_ms + 6, forward)
        return forward

    def complete_handshake(self, now_ms, forward):
        """Send the ACK that completes the handshake with a server."""
        self.token = forward.token
        self.seq += 1
        self.ack = 5000
        return self.send(now_ms, packet_lib.ACK)

    def request(self, now_ms, length=200):
        """Send a request as one packet."""
        out = self.send(now_ms, packet_lib.ACK, length=length)
        self.seq += length
        return out

    def retransmit(self, now_ms, length=200):
        return self.send(
            now_ms, packet_lib.ACK, length=length, seq=self.seq - length
        )

    def acknowledge(self, now_ms, length=2000):
        self.ack += length
        return self.send(now_ms, packet_lib.ACK)


def forwards(out):
    """Return the effects that forward the packet."""
    return [item for item in out if isinstance(item, effects.Forward)]
