"""UDP endpoint of a caller: dispatches responses and events."""

import asyncio
from collections.abc import Callable
import random
from typing import cast

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge import errors
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc

ResponseHandler = Callable[[rpc.Response], None]
EventHandler = Callable[[caller.Event], None]
_MSGID_LIMIT = 2**32
_SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


class Endpoint(asyncio.DatagramProtocol):
    """UDP socket that sends each datagram to a random balancer."""

    def __init__(
        self, balancers: tuple[address_lib.Address, ...], rng: random.Random
    ) -> None:
        if not balancers:
            raise errors.CallerError("no balancer address was given")
        self.balancers = balancers
        self.malformed_count = 0
        self._rng = rng
        self._next_msgid = rng.randrange(_MSGID_LIMIT)
        self._response_handlers: dict[int, ResponseHandler] = {}
        self._event_handlers: dict[int, EventHandler] = {}
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
        """Store the transport, which is needed for sending."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a response or an event to its handler."""
        try:
            message = rpc.decode(data)
            if isinstance(message, rpc.Response):
                on_response = self._response_handlers.get(message.msgid)
                if on_response is not None:
                    on_response(message)
            elif (
                isinstance(message, rpc.Notification)
                and message.method == "event"
            ):
                event = msgspec.msgpack.decode(
                    message.params, type=caller.Event
                )
                on_event = self._event_handlers.get(event.feed_id)
                if on_event is not None:
                    on_event(event)
        except (errors.WireError, msgspec.MsgspecError):
            self.malformed_count += 1

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: a resend goes to a random balancer again."""

    def add_response_handler(self, handler: ResponseHandler) -> int:
        """Return a new message id whose responses go to ``handler``."""
        self._next_msgid = (self._next_msgid + 1) % _MSGID_LIMIT
        self._response_handlers[self._next_msgid] = handler
        return self._next_msgid

    def remove_response_handler(self, msgid: int) -> None:
        """Ignore further responses with this message id."""
        self._response_handlers.pop(msgid, None)

    def add_event_handler(self, feed_id: int, handler: EventHandler) -> None:
        """Pass the events of a feed to ``handler``."""
        self._event_handlers[feed_id] = handler

    def remove_event_handler(self, feed_id: int) -> None:
        """Ignore further events of a feed."""
        self._event_handlers.pop(feed_id, None)

    def request(self, msgid: int, method: str, params: msgspec.Struct) -> None:
        """Send a request to a random balancer."""
        self._send(rpc.request(msgid, method, params))

    def notify(self, method: str, params: msgspec.Struct) -> None:
        """Send a notification to a random balancer."""
        self._send(rpc.notification(method, params))

    def notify_twice(self, method: str, params: msgspec.Struct) -> None:
        """Send a notification to two balancers, as one may have stopped."""
        self._send(rpc.notification(method, params), copies=2)

    def _send(self, data: bytes, *, copies: int = 1) -> None:
        assert self._transport is not None
        copies = min(copies, len(self.balancers))
        for dest in self._rng.sample(self.balancers, copies):
            self._transport.sendto(data, dest.as_tuple())
