"""Datagram endpoint on a UDP socket."""

import asyncio
import collections
import functools
import socket

from cyclamenridge import address as address_lib
from cyclamenridge.ports import datagrams

# Keeps a busy socket from starving the others on the event loop.
_MAX_READS_PER_WAKEUP = 64
_MAX_QUEUED_DATAGRAMS = 4096
_SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

# Most datagrams come from few sources, and creating an Address takes as long
# as reading the datagram.
_cached_address = functools.lru_cache(maxsize=65536)(address_lib.Address)


class UdpDatagrams(datagrams.DatagramEndpoint):
    """Reads datagrams in batches and bounds the send queue."""

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
        # One byte more than allowed, so that an oversized datagram is
        # detected instead of being truncated to a valid length.
        self._read_size_bytes = max_bytes + 1
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
        """Start passing each received datagram to ``receiver``."""
        self._receiver = receiver
        asyncio.get_running_loop().add_reader(self._sock, self._on_readable)

    def send(self, dest: address_lib.Address, data: bytes) -> None:
        """Send or queue a datagram; one that cannot be is counted."""
        if self._queue:
            self._enqueue(dest, data)
            return
        try:
            self._sock.sendto(data, (dest.host, dest.port))
        except BlockingIOError:
            self._enqueue(dest, data)
            asyncio.get_running_loop().add_writer(
                self._sock, self._on_writable
            )
        except OSError:
            self._count("send_failed")

    def close(self) -> None:
        """Send what can be sent without blocking and close the socket."""
        if self._receiver is not None:
            self._receiver = None
            asyncio.get_running_loop().remove_reader(self._sock)
        if self._queue:
            self._on_writable()
            asyncio.get_running_loop().remove_writer(self._sock)
        self._sock.close()

    def _on_readable(self) -> None:
        recvfrom = self._sock.recvfrom
        for _ in range(_MAX_READS_PER_WAKEUP):
            if self._receiver is None:
                return
            try:
                data, source = recvfrom(self._read_size_bytes)
            except BlockingIOError:
                return
            except OSError:
                # The kernel reports an ICMP error for an earlier send here.
                self._count("receive_failed")
                continue
            if len(data) > self._max_bytes:
                self._count("oversized")
                continue
            self._receiver(_cached_address(*source), data)

    def _on_writable(self) -> None:
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
        if len(self._queue) >= _MAX_QUEUED_DATAGRAMS:
            self._count("send_queue_full")
            return
        self._queue.append((dest, data))

    def _count(self, suffix: str) -> None:
        self._counters[f"{self._name}_datagrams_{suffix}"] += 1
