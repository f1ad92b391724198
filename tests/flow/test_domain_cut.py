"""Resets of flows in a failure domain that sends no beacons."""

import asyncio
import itertools
import random

import pytest

from cyclamenridge import address as address_lib
from cyclamenridge import clock as clock_lib
from cyclamenridge.flow import effects
from cyclamenridge.flow import peers as peers_lib
import cyclamenridge.peer_link as peer_link
from tests.flow import builders

# Clients retransmit a packet at these times after they sent it.
RETRANSMISSIONS_MS = (200, 600, 1400)
LEAVER = "10.0.0.9"


def make_core():
    """Return a core in bne; the servers 3 to 6 are in too."""
    core = builders.make_core(
        *(builders.server_entry(n, slots=100) for n in (1, 2)),
        *(
            builders.server_entry(
                n, slots=100, failure_domain="too", service=service
            )
            for n, service in (
                (3, "counter"),
                (4, "counter"),
                (5, "workshop"),
                (6, "workshop"),
            )
        ),
    )
    for now_ms in range(0, 2000, 100):
        core.reachability.record_activity(now_ms)
    return core


def make_peers(core, host="10.0.0.1", domain="bne"):
    return peers_lib.Peers(
        core,
        name=host,
        failure_domain=domain,
        host=host,
        seeds=(),
        lag_tolerance_ms=1500,
        rng=random.Random(1),
    )


def flow_at(core, ident, number):
    """Return a flow that another balancer opened at a server."""
    flow = builders.Flow(core, client_port=number)
    flow.token = ident
    flow.ack = 5000
    return flow


class Traffic:
    """Requests with answers in bne, and some in too.

    Calls of ``at`` have to be in the order of time.
    """

    def __init__(self, core):
        self.core = core
        self.now_ms = 2000
        self._healthy = flow_at(core, 1, 1)
        self._numbers = itertools.count(100)

    def at(self, now_ms):
        """Let time pass in which servers of bne answer."""
        for step_ms in range(self.now_ms, now_ms, 100):
            self._healthy.request(step_ms)
            self._healthy.acknowledge(step_ms + 40)
        self.now_ms = now_ms

    def new_flow(self, ident):
        return flow_at(self.core, ident, next(self._numbers))


def end_of_beacons(core, how):
    """End the beacons of the only balancer of too at 2000 ms."""
    peers, leaver = make_peers(core), make_peers(core, LEAVER, "too")
    peers.handle_beacon(2000, LEAVER, leaver.encode_beacon())
    if how == "leaves":
        peers.handle_beacon(2001, LEAVER, leaver.encode_beacon(leaving=True))


@pytest.mark.parametrize("how", ["leaves", "dies"])
def test_slow_requests_of_a_domain_without_balancers_are_not_reset(how):
    """Requests over 200 ms were reset once their domain had no balancer."""
    core = make_core()
    traffic = Traffic(core)
    end_of_beacons(core, how)
    flows = [traffic.new_flow(3), traffic.new_flow(4)]
    for start_ms in range(3000, 9000, 1000):
        traffic.at(start_ms)
        for flow in flows:
            assert builders.forwards(flow.request(start_ms))
        traffic.at(start_ms + 200)
        for flow in flows:
            # The server acknowledges the second packet, and answers later.
            assert builders.forwards(flow.retransmit(start_ms + 200))
        traffic.at(start_ms + 330)
        for flow in flows:
            flow.acknowledge(start_ms + 330)


def test_flows_of_a_domain_that_is_cut_off_are_reset():
    """Beacons, answers and retransmitted packets are missing."""
    core = make_core()
    traffic = Traffic(core)
    end_of_beacons(core, "dies")
    first = [traffic.new_flow(3), traffic.new_flow(4)]
    traffic.at(2040)
    for flow in first:
        flow.request(2040)
    for delay_ms in RETRANSMISSIONS_MS[:2]:
        traffic.at(2040 + delay_ms)
        for flow in first:
            assert builders.forwards(flow.retransmit(2040 + delay_ms))
    later = traffic.new_flow(3)
    traffic.at(2650)
    assert builders.forwards(later.request(2650))
    traffic.at(2850)
    assert later.retransmit(2850) == effects.RESET
    traffic.at(3440)
    assert first[0].retransmit(3440) == effects.RESET


def test_retransmissions_that_are_read_at_once_prove_no_loss():
    """A process that was paused has forwarded none of them before."""
    core = make_core()
    traffic = Traffic(core)
    end_of_beacons(core, "dies")
    flows = [traffic.new_flow(3), traffic.new_flow(4)]
    traffic.at(3000)
    for flow in flows:
        flow.request(3000)
    traffic.at(3600)
    for _ in range(2):
        for flow in flows:
            assert builders.forwards(flow.retransmit(3600))
    traffic.at(3700)
    late = traffic.new_flow(3)
    late.request(3700)
    traffic.at(3900)
    assert builders.forwards(late.retransmit(3900))


def test_unanswered_syns_prove_no_loss():
    """A server that is full answers no SYN."""
    core = make_core()
    traffic = Traffic(core)
    end_of_beacons(core, "dies")
    for start_ms in (3000, 3900):
        for number in range(20):
            syn = builders.Flow(
                core,
                port=builders.DUMP_PORT,
                client_port=start_ms + number,
            )
            syn.syn(start_ms)
            syn.syn(start_ms + 200, retransmission=1)
            syn.syn(start_ms + 600, retransmission=2)
    assert core.reachability.is_unreachable(4600, "too")
    flow = traffic.new_flow(3)
    traffic.at(4500)
    flow.request(4500)
    traffic.at(4700)
    assert builders.forwards(flow.retransmit(4700))


def test_a_domain_that_other_balancers_of_it_left_can_be_cut_off():
    core = make_core()
    peers = make_peers(core)
    for host in ("10.0.0.8", LEAVER):
        peers.handle_beacon(
            2000, host, make_peers(core, host, "too").encode_beacon()
        )
    leaver = make_peers(core, LEAVER, "too")
    for now_ms in (2001, 2002):
        peers.handle_beacon(now_ms, LEAVER, leaver.encode_beacon(leaving=True))
    assert len(peers) == 1
    for name in ("i-00000003", "i-00000004"):
        core.reachability.record_retransmission(2700, "too", name)
        core.reachability.record_loss(2700, "too", name)
    assert core.reachability.is_cut_off(2800, "too")
    peers.handle_beacon(
        2801,
        "10.0.0.8",
        make_peers(core, "10.0.0.8", "too").encode_beacon(leaving=True),
    )
    assert not core.reachability.is_cut_off(3600, "too")
    peers.handle_beacon(3700, LEAVER, leaver.encode_beacon())
    for name in ("i-00000003", "i-00000004"):
        core.reachability.record_retransmission(4500, "too", name)
        core.reachability.record_loss(4500, "too", name)
    assert core.reachability.is_cut_off(4600, "too")


class ListEndpoint:
    """Datagram endpoint that keeps what is sent."""

    def __init__(self):
        self.sent = []

    def open(self, receiver):
        pass

    def close(self):
        self.sent.append(None)

    def send(self, dest, data):
        self.sent.append((dest, data))


class NoServer:
    async def start(self):
        pass

    async def stop(self):
        pass


def test_a_balancer_that_stops_tells_all_its_peers():
    """Without it, its domain looks cut off until it starts again."""
    core = make_core()
    peers = make_peers(core)
    hosts = [f"10.0.0.{number}" for number in range(20, 40)]
    for host in hosts:
        peers.handle_beacon(
            0, host, make_peers(core, host, "too").encode_beacon()
        )
    endpoint = ListEndpoint()

    async def run():
        link = peer_link.PeerLink(
            peers,
            core,
            port=7720,
            beacons=endpoint,
            server=NoServer(),
            clock=clock_lib.ManualClock(),
            log=builders.ListLog(),
            on_update=lambda: None,
        )
        await link.start()
        await link.stop()

    asyncio.run(run())
    *sent, closed = endpoint.sent
    assert closed is None
    assert [dest for dest, _ in sent] == [
        address_lib.Address(host, 7720) for host in hosts
    ]
    receiver = make_core()
    receiver_peers = make_peers(receiver, "10.0.0.20", "too")
    receiver_peers.handle_beacon(0, "10.0.0.1", peers.encode_beacon())
    receiver_peers.handle_beacon(1, "10.0.0.1", sent[0][1])
    assert len(receiver_peers) == 0
