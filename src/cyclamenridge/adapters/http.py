"""Small HTTP/1.1 client and server on asyncio streams and httptools.

Importing aiohttp takes 0.4 s of CPU time, which would delay the restart of a
process that is limited to a fifth of a core by two seconds.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import socket

import httptools
import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge import errors
from cyclamenridge.ports import component

# TCP keepalive detects a dead connection after about three seconds.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_TCP_USER_TIMEOUT_MS = 2500

_READ_BYTES = 65_536
_MAX_BODY_BYTES = 64 * 1024 * 1024
_MAX_REQUEST_BYTES = 16 * 1024
# A client that sends nothing for this long is disconnected.
_IDLE_TIMEOUT_S = 30
_MAX_CONNECTIONS = 64
# A client whose unread responses exceed this is disconnected.
_MAX_UNSENT_BYTES = 1024 * 1024


class ConnectError(errors.CyclamenridgeError):
    """The connection failed, so the request was not sent."""


class NoResponseError(errors.CyclamenridgeError):
    """The request was sent, but no complete response was received."""


class Response(msgspec.Struct, frozen=True):
    """A response that the client received.

    :param headers: values by name in lower case, the last one if repeated
    """

    status: int
    body: bytes
    headers: Mapping[str, str]


def enable_keepalive(sock: socket.socket) -> None:
    """Enable TCP keepalive, so that the kernel detects a dead peer."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)


class HttpClient:
    """Sends one request at a time on a connection that is opened on demand."""

    def __init__(self, server: address_lib.Address) -> None:
        self._server = server
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None
        self._lock = asyncio.Lock()

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout_ms: int,
        connect_timeout_ms: int,
    ) -> Response:
        """Send a request and wait for its response.

        :raises ConnectError: when nothing was sent
        :raises NoAnswerError: when the request may have been carried out
        """
        async with self._lock:
            reader, writer = await self._connect(connect_timeout_ms)
            keep_connection = False
            try:
                async with asyncio.timeout(timeout_ms / 1000):
                    writer.write(
                        self._encode_head(method, target, body) + body
                    )
                    response, keep_connection = await _read_response(reader)
            except (OSError, TimeoutError, httptools.HttpParserError) as exc:
                raise NoResponseError(
                    f"{method} {target}: {exc or type(exc).__name__}"
                ) from exc
            finally:
                if not keep_connection:
                    self.close()
            return response

    def close(self) -> None:
        """Abort the connection; the next request opens a new one."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def _connect(
        self, connect_timeout_ms: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is not None and not (
            self._streams[0].at_eof() or self._streams[1].is_closing()
        ):
            return self._streams
        self.close()
        try:
            async with asyncio.timeout(connect_timeout_ms / 1000):
                streams = await asyncio.open_connection(
                    *self._server.as_tuple()
                )
        except (OSError, TimeoutError) as exc:
            raise ConnectError(
                f"{self._server}: {exc or type(exc).__name__}"
            ) from exc
        enable_keepalive(streams[1].get_extra_info("socket"))
        self._streams = streams
        return streams

    def _encode_head(self, method: str, target: str, body: bytes) -> bytes:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self._server}"]
        if body:
            lines.append("Content-Type: application/json")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode()


class _ParserCallbacks:
    """Callbacks of the HTTP parser; collects one message."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.headers: dict[str, str] = {}
        self.is_complete = False
        self.keep_connection = False
        self.target = b""
        self.parser: (
            httptools.HttpRequestParser | httptools.HttpResponseParser | None
        ) = None

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        # The parser discards the headers after this call.
        assert self.parser is not None
        self.keep_connection = self.parser.should_keep_alive()
        self.is_complete = True


async def _read_response(
    reader: asyncio.StreamReader,
) -> tuple[Response, bool]:
    callbacks = _ParserCallbacks()
    parser = callbacks.parser = httptools.HttpResponseParser(callbacks)
    while not callbacks.is_complete:
        data = await reader.read(_READ_BYTES)
        if not data:
            raise ConnectionResetError("connection closed before the response")
        parser.feed_data(data)
        if len(callbacks.body) > _MAX_BODY_BYTES:
            raise ConnectionAbortedError("response is too long")
    response = Response(
        parser.get_status_code(), bytes(callbacks.body), callbacks.headers
    )
    return response, callbacks.keep_connection


class Page(msgspec.Struct, frozen=True):
    """A response of the server."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


Handler = Callable[[str], Page]


class HttpServer(component.Component):
    """Serves GET requests; one task per connection."""

    def __init__(self, bind: address_lib.Address, handler: Handler) -> None:
        self._bind = bind
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening.

        :raises ConfigError: when the address cannot be bound
        """
        try:
            self._server = await asyncio.start_server(
                self._handle_connection,
                *self._bind.as_tuple(),
                limit=_MAX_REQUEST_BYTES,
            )
        except OSError as exc:
            raise errors.ConfigError(
                f"cannot listen on {self._bind}: {exc.strerror}"
            ) from exc

    @property
    def address(self) -> address_lib.Address:
        """Address that the server is bound to."""
        assert self._server is not None
        return address_lib.Address(*self._server.sockets[0].getsockname())

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) >= _MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            enable_keepalive(writer.get_extra_info("socket"))
            while await self._handle_request(reader, writer):
                pass
        except (OSError, TimeoutError, httptools.HttpParserError):
            # The client disconnected, timed out or does not speak HTTP.
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        callbacks = _ParserCallbacks()
        parser = callbacks.parser = httptools.HttpRequestParser(callbacks)
        received = 0
        while not callbacks.is_complete:
            async with asyncio.timeout(_IDLE_TIMEOUT_S):
                data = await reader.read(_READ_BYTES)
            if not data:
                return False
            received += len(data)
            if received > _MAX_REQUEST_BYTES:
                return False
            parser.feed_data(data)
        if parser.get_method() == b"GET":
            page = self._handler(callbacks.target.decode("latin-1"))
        else:
            page = Page(405)
        keep_connection = callbacks.keep_connection
        if writer.transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
            return False
        writer.write(_encode_response(page, keep_connection=keep_connection))
        return keep_connection


def _encode_response(page: Page, *, keep_connection: bool) -> bytes:
    reason = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}
    head = (
        f"HTTP/1.1 {page.status} {reason.get(page.status, 'Error')}\r\n"
        f"Content-Type: {page.content_type}\r\n"
        f"Content-Length: {len(page.body)}\r\n"
        f"Connection: {'keep-alive' if keep_connection else 'close'}\r\n\r\n"
    )
    return head.encode() + page.body
