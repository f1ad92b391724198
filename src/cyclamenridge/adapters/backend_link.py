"""Connections to backend servers over TCP."""

import asyncio
import collections

import msgspec

from cyclamenridge import errors
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.ports import links
from cyclamenridge.wire import backend
from cyclamenridge.wire import framing
from cyclamenridge.wire import rpc

_HELLO_TIMEOUT_S = 2.0
_READ_BYTES = 256 * 1024
# A link is aborted when the server leaves more than this unread, so that its
# backlog cannot exhaust memory. Two frames of the maximum size fit.
_MAX_UNSENT_BYTES = 2 * framing.MAX_FRAME_BYTES
_HELLO_MSGID = 0
_MAX_ERROR_CHARS = 200


class TcpLinkTransport(links.LinkTransport):
    """Runs one task with one TCP connection per link."""

    def __init__(
        self, balancer: str, *, counters: collections.Counter[str]
    ) -> None:
        self._balancer = balancer
        self._counters = counters
        self._receiver: links.Receiver | None = None
        self._tasks: dict[tuple[events.ServerRef, int], asyncio.Task] = {}
        self._writers: dict[
            tuple[events.ServerRef, int], asyncio.StreamWriter
        ] = {}

    def set_receiver(self, receiver: links.Receiver) -> None:
        """Set the callback for the events of all links."""
        self._receiver = receiver

    def open(self, effect: effects.OpenLink) -> None:
        """Connect and exchange ``hello``; results in LinkUp or LinkDown."""
        key = (effect.server, effect.link_id)
        self._tasks[key] = asyncio.get_running_loop().create_task(
            self._run_link(effect), name=f"link {effect.server.server}"
        )

    def send(self, effect: effects.SendLink) -> None:
        """Send a message if the link still exists."""
        writer = self._writers.get((effect.server, effect.link_id))
        if writer is None:
            self._counters["link_messages_without_link"] += 1
            return
        writer.write(framing.encode(effect.data))
        if writer.transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
            self._counters["link_backlog_exceeded"] += 1
            writer.transport.abort()

    def close(self, effect: effects.CloseLink) -> None:
        """Close a link; no LinkDown follows."""
        key = (effect.server, effect.link_id)
        task = self._tasks.pop(key, None)
        if task is not None:
            task.cancel()
        writer = self._writers.pop(key, None)
        if writer is not None:
            # Still sends what is buffered, for example a final ``detach``.
            writer.close()

    async def stop(self) -> None:
        """Close all links."""
        tasks = list(self._tasks.values())
        self._tasks.clear()
        for writer in self._writers.values():
            writer.close()
        self._writers.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_link(self, effect: effects.OpenLink) -> None:
        key = (effect.server, effect.link_id)
        try:
            reason = await self._connect_and_receive(effect)
        except (OSError, errors.LinkError, errors.WireError) as exc:
            reason = str(exc) or type(exc).__name__
        finally:
            writer = self._writers.pop(key, None)
            if writer is not None:
                writer.transport.abort()
        if self._tasks.pop(key, None) is not None:
            self._emit(events.LinkDown(*key, reason))

    async def _connect_and_receive(self, effect: effects.OpenLink) -> str:
        """Connect, receive until the link ends and return the reason."""
        key = (effect.server, effect.link_id)
        decoder = framing.FrameDecoder()
        try:
            async with asyncio.timeout(_HELLO_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    effect.address.host, effect.address.port
                )
                try:
                    identity, remaining_frames = await self._exchange_hello(
                        effect.server, reader, writer, decoder
                    )
                except BaseException:
                    writer.transport.abort()
                    raise
        except TimeoutError as exc:
            raise errors.LinkError(
                "timed out while connecting or waiting for hello"
            ) from exc
        self._writers[key] = writer
        self._emit(events.LinkUp(*key, identity))
        for frame in remaining_frames:
            self._emit(events.LinkMessage(*key, rpc.decode(frame)))
        while data := await reader.read(_READ_BYTES):
            for frame in decoder.feed(data):
                self._emit(events.LinkMessage(*key, rpc.decode(frame)))
        return "closed by the server"

    async def _exchange_hello(
        self,
        server: events.ServerRef,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        decoder: framing.FrameDecoder,
    ) -> tuple[backend.Identity, list[bytes]]:
        hello = backend.Hello(server.service, server.server, self._balancer)
        writer.write(framing.encode(rpc.request(_HELLO_MSGID, "hello", hello)))
        frames: list[bytes] = []
        while not frames:
            data = await reader.read(_READ_BYTES)
            if not data:
                raise errors.LinkError(
                    "connection closed before the response to hello"
                )
            frames = decoder.feed(data)
        response = rpc.decode(frames[0])
        if not isinstance(response, rpc.Response):
            raise errors.LinkError(
                "expected the response to hello, received a "
                f"{type(response).__name__.lower()}"
            )
        if response.msgid != _HELLO_MSGID:
            raise errors.LinkError(
                "expected the response to hello, received a response to "
                f"message {response.msgid}"
            )
        if response.error is not None:
            # The server may send any text; the reason is one short log field.
            error = " ".join(str(response.error).split())
            raise errors.LinkError(
                f"the server refused hello: {error[:_MAX_ERROR_CHARS]}"
            )
        try:
            identity = msgspec.msgpack.decode(
                response.result, type=backend.Identity
            )
        except msgspec.MsgspecError as exc:
            raise errors.LinkError(
                f"invalid response to hello: {exc}"
            ) from exc
        if (identity.service, identity.server) != (
            server.service,
            server.server,
        ):
            self._counters["identity_mismatch"] += 1
            raise errors.LinkError(
                f"identity mismatch: connected to {identity.service}/"
                f"{identity.server}"
            )
        return identity, frames[1:]

    def _emit(self, event: links.LinkEvent) -> None:
        assert self._receiver is not None
        self._receiver(event)
