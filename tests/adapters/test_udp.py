import asyncio
import collections
import socket

from cyclamenridge.adapters import udp
import cyclamenridge.address as address_lib
from tests.standins import waiting

LOOPBACK = address_lib.Address("127.0.0.1", 0)


def make_endpoint(counters):
    return udp.UdpDatagrams(
        LOOPBACK, name="caller", max_bytes=1400, counters=counters
    )


def test_oversized_datagrams_are_dropped_and_counted():
    """Guards against accepting a truncated oversized datagram."""

    async def run():
        counters = collections.Counter()
        left, right = make_endpoint(counters), make_endpoint(counters)
        received = []
        left.open(lambda source, data: received.append((source, data)))
        right.open(lambda source, data: None)
        for number in range(200):
            right.send(left.address, b"%d" % number)
        right.send(left.address, bytes(1401))
        right.send(left.address, bytes(1400))
        await waiting.until(lambda: len(received) == 201)
        assert received[0] == (right.address, b"0")
        assert counters == {"caller_datagrams_oversized": 1}
        left.close()
        right.close()

    asyncio.run(run())


class BlockedSocket:
    """Socket that behaves as if its send buffer were full."""

    def __init__(self, sock):
        self._sock = sock

    def sendto(self, data, dest):
        raise BlockingIOError

    def __getattr__(self, name):
        return getattr(self._sock, name)


def test_send_queue_is_bounded_and_drops_are_counted():
    async def run():
        counters = collections.Counter()
        endpoint = make_endpoint(counters)
        endpoint.open(lambda source, data: None)
        sock = endpoint._sock
        endpoint._sock = BlockedSocket(sock)
        for _ in range(udp._MAX_QUEUED_DATAGRAMS + 7):
            endpoint.send(endpoint.address, b"x")
        assert counters == {"caller_datagrams_send_queue_full": 7}
        endpoint._sock = sock
        await waiting.until(lambda: not endpoint._queue)
        endpoint.close()

    asyncio.run(run())


def test_icmp_error_does_not_stop_reception():
    """Guards against an ICMP port-unreachable that stops the reader."""

    async def run():
        counters = collections.Counter()
        endpoint = make_endpoint(counters)
        received = []
        endpoint.open(lambda source, data: received.append(data))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as closed:
            closed.bind(("127.0.0.1", 0))
            closed_address = address_lib.Address(*closed.getsockname())
        endpoint.send(closed_address, b"x")
        await asyncio.sleep(0.01)
        endpoint.send(endpoint.address, b"y")
        await waiting.until(lambda: received == [b"y"])
        endpoint.close()

    asyncio.run(run())
