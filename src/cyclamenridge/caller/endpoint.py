"""UDP socket of a caller: matches responses to requests."""

import asyncio
from collections.abc import Callable
import random
from typing import cast

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge import errors
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc

Responder = Callable[[rpc.Response], None]
EventSink = Callable[[caller.Event], None]
_MSGID_LIMIT = 2**32
_SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


class Endpoint(asyncio.DatagramProtocol):
    """Sends each datagram to a random balancer."""

    def __init__(
        self, balancers: tuple[address_lib.Address, ...], rng: random.Random
    ) -> None:
        if not balancers:
            raise errors.CallerError("no balancer address was given")
        self.balancers = balancers
        self.malformed = 0
        self._rng = rng
        self._next_msgid = rng.randrange(_MSGID_LIMIT)
        self._responders: dict[int, Responder] = {}
        self._feeds: dict[int, EventSink] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=("0.0.0.0", 0)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a response or an event to whoever waits for it."""
        try:
            message = rpc.decode(data)
            if isinstance(message, rpc.Response):
                responder = self._responders.get(message.msgid)
                if responder is not None:
                    responder(message)
            elif (
                isinstance(message, rpc.Notification)
                and message.method == "event"
            ):
                event = msgspec.msgpack.decode(
                    message.params, type=caller.Event
                )
                sink = self._feeds.get(event.feed_id)
                if sink is not None:
                    sink(event)
        except (errors.WireError, msgspec.MsgspecError):
            self.malformed += 1

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: the next datagram goes elsewhere."""

    def register(self, responder: Responder) -> int:
        """Return a new message id whose responses go to ``responder``."""
        self._next_msgid = (self._next_msgid + 1) % _MSGID_LIMIT
        self._responders[self._next_msgid] = responder
        return self._next_msgid

    def release(self, msgid: int) -> None:
        """Ignore further responses with this message id."""
        self._responders.pop(msgid, None)

    def listen(self, feed_id: int, sink: EventSink) -> None:
        """Pass the events of a feed to ``sink``."""
        self._feeds[feed_id] = sink

    def unlisten(self, feed_id: int) -> None:
        """Ignore further events of a feed."""
        self._feeds.pop(feed_id, None)

    def request(self, msgid: int, method: str, params: msgspec.Struct) -> None:
        """Send a request to a random balancer."""
        self._send(rpc.request(msgid, method, params))

    def notify(self, method: str, params: msgspec.Struct) -> None:
        """Send a notification to a random balancer."""
        self._send(rpc.notification(method, params))

    def notify_twice(self, method: str, params: msgspec.Struct) -> None:
        """Send a notification to two balancers, as one may be gone."""
        self._send(rpc.notification(method, params), copies=2)

    def _send(self, data: bytes, *, copies: int = 1) -> None:
        assert self._transport is not None
        copies = min(copies, len(self.balancers))
        for dest in self._rng.sample(self.balancers, copies):
            self._transport.sendto(data, dest.as_tuple())
