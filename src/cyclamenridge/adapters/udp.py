"""Datagram port on a UDP socket."""

import asyncio
import collections
import functools
import socket

from cyclamenridge import address as address_lib
from cyclamenridge.ports import datagrams

# Bounds the time during which one socket keeps the loop from others.
_BATCH = 64
_QUEUE_DATAGRAMS = 4096
_SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

# Address objects are made again for each datagram; most of them come from
# few sources, and building one costs as much as reading the datagram.
_address = functools.lru_cache(maxsize=65536)(address_lib.Address)


class UdpDatagrams(datagrams.Datagrams):
    """Reads many datagrams per wake-up and bounds what waits to be sent."""

    def __init__(
        self,
        bind: address_lib.Address,
        *,
        name: str,
        max_bytes: int,
        counters: collections.Counter[str],
    ) -> None:
        self._name = name
        self._max_bytes = max_bytes
        # One byte more, so that an oversized datagram is recognized
        # instead of being cut to a valid length.
        self._read_bytes = max_bytes + 1
        self._counters = counters
        self._receiver: datagrams.Receiver | None = None
        self._queue: collections.deque[tuple[address_lib.Address, bytes]] = (
            collections.deque()
        )
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._sock.setsockopt(
                socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES
            )
        try:
            self._sock.bind(bind.as_tuple())
        except OSError:
            self._sock.close()
            raise
        self.address = address_lib.Address(*self._sock.getsockname())

    def open(self, receiver: datagrams.Receiver) -> None:
        """Start to pass each datagram that arrives to ``receiver``."""
        self._receiver = receiver
        asyncio.get_running_loop().add_reader(self._sock, self._readable)

    def send(self, dest: address_lib.Address, data: bytes) -> None:
        """Send a datagram, or count it as dropped."""
        if self._queue:
            self._enqueue(dest, data)
            return
        try:
            self._sock.sendto(data, (dest.host, dest.port))
        except BlockingIOError:
            self._enqueue(dest, data)
            asyncio.get_running_loop().add_writer(self._sock, self._writable)
        except OSError:
            self._count("send_failed")

    def close(self) -> None:
        """Send what can be sent at once and release the socket."""
        if self._receiver is not None:
            self._receiver = None
            asyncio.get_running_loop().remove_reader(self._sock)
        if self._queue:
            self._writable()
            asyncio.get_running_loop().remove_writer(self._sock)
        self._sock.close()

    def _readable(self) -> None:
        recvfrom = self._sock.recvfrom
        for _ in range(_BATCH):
            if self._receiver is None:
                return
            try:
                data, source = recvfrom(self._read_bytes)
            except BlockingIOError:
                return
            except OSError:
                # An ICMP error of an earlier send is reported here.
                self._count("receive_failed")
                continue
            if len(data) > self._max_bytes:
                self._count("oversized")
                continue
            self._receiver(_address(*source), data)

    def _writable(self) -> None:
        while self._queue:
            dest, data = self._queue[0]
            try:
                self._sock.sendto(data, (dest.host, dest.port))
            except BlockingIOError:
                return
            except OSError:
                self._count("send_failed")
            self._queue.popleft()
        asyncio.get_running_loop().remove_writer(self._sock)

    def _enqueue(self, dest: address_lib.Address, data: bytes) -> None:
        if len(self._queue) >= _QUEUE_DATAGRAMS:
            self._count("send_queue_full")
            return
        self._queue.append((dest, data))

    def _count(self, what: str) -> None:
        self._counters[f"{self._name}_datagrams_{what}"] += 1
