import asyncio
import collections
import socket

from cyclamenridge.adapters import udp
import cyclamenridge.address as address_lib
from tests.standins import waiting

LOOPBACK = address_lib.Address("127.0.0.1", 0)


def make(counters):
    return udp.UdpDatagrams(
        LOOPBACK, name="caller", max_bytes=1400, counters=counters
    )


def test_datagrams_arrive_and_oversized_ones_are_counted():
    """A datagram above the limit must not be cut and then accepted."""

    async def run():
        counters = collections.Counter()
        left, right = make(counters), make(counters)
        got = []
        left.open(lambda source, data: got.append((source, data)))
        right.open(lambda source, data: None)
        for number in range(200):
            right.send(left.address, b"%d" % number)
        right.send(left.address, bytes(1401))
        right.send(left.address, bytes(1400))
        await waiting.until(lambda: len(got) == 201)
        assert got[0] == (right.address, b"0")
        assert counters == {"caller_datagrams_oversized": 1}
        left.close()
        right.close()

    asyncio.run(run())


class BlockedSocket:
    """Refuses to send, as a socket with a full buffer does."""

    def __init__(self, sock):
        self._sock = sock

    def sendto(self, data, dest):
        raise BlockingIOError

    def __getattr__(self, name):
        return getattr(self._sock, name)


def test_send_queue_is_bounded_and_drops_are_counted():
    async def run():
        counters = collections.Counter()
        port = make(counters)
        port.open(lambda source, data: None)
        sock = port._sock
        port._sock = BlockedSocket(sock)
        for _ in range(udp._QUEUE_DATAGRAMS + 7):
            port.send(port.address, b"x")
        assert counters == {"caller_datagrams_send_queue_full": 7}
        port._sock = sock
        await waiting.until(lambda: not port._queue)
        port.close()

    asyncio.run(run())


def test_error_of_an_earlier_send_does_not_stop_reception():
    """An ICMP port-unreachable must not end the reader."""

    async def run():
        counters = collections.Counter()
        port = make(counters)
        got = []
        port.open(lambda source, data: got.append(data))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as closed:
            closed.bind(("127.0.0.1", 0))
            dead = address_lib.Address(*closed.getsockname())
        port.send(dead, b"x")
        await asyncio.sleep(0.01)
        port.send(port.address, b"y")
        await waiting.until(lambda: got == [b"y"])
        port.close()

    asyncio.run(run())
