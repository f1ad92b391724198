import asyncio
import contextlib

import pytest

from cyclamenridge.adapters import http
import cyclamenridge.address as address_lib

LOOPBACK = address_lib.Address("127.0.0.1", 0)
TIMEOUTS = {"timeout_ms": 300, "connect_timeout_ms": 300}


@contextlib.asynccontextmanager
async def running_server(handler):
    server = http.HttpServer(LOOPBACK, handler)
    await server.start()
    client = http.HttpClient(server.address)
    try:
        yield server, client
    finally:
        client.close()
        await server.stop()


def serve_page(target):
    if target == "/big":
        return http.Page(200, b"x" * 3_000_000)
    return http.Page(200 if target == "/ready" else 404, target.encode())


def test_requests_reuse_the_connection():
    async def run():
        async with running_server(serve_page) as (server, client):
            for _ in range(3):
                response = await client.request("GET", "/ready", **TIMEOUTS)
                assert (response.status, response.body) == (200, b"/ready")
            assert len(server._writers) == 1
            response = await client.request("GET", "/big", **TIMEOUTS)
            assert len(response.body) == 3_000_000
            response = await client.request(
                "POST", "/ready", b"{}", **TIMEOUTS
            )
            assert response.status == 405

    asyncio.run(run())


def test_connection_close_header_is_honored():
    async def run():
        async with running_server(serve_page) as (server, _):
            reader, writer = await asyncio.open_connection(
                *server.address.as_tuple()
            )
            writer.write(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
            data = await asyncio.wait_for(reader.read(), 2)
            assert data.startswith(b"HTTP/1.1 200 OK")
            assert b"Connection: close" in data
            writer.close()

    asyncio.run(run())


def test_client_reconnects_after_the_server_closed_the_connection():
    async def run():
        async with running_server(serve_page) as (server, client):
            await client.request("GET", "/ready", **TIMEOUTS)
            for writer in list(server._writers):
                writer.close()
            await asyncio.sleep(0.05)
            response = await client.request("GET", "/ready", **TIMEOUTS)
            assert response.status == 200

    asyncio.run(run())


def test_missing_response_differs_from_failed_connection():
    """Guards against treating a timed-out request as never sent.

    Only a failed connection proves that the request had no effect.
    """

    async def run():
        unresponsive = await asyncio.start_server(
            lambda reader, writer: asyncio.sleep(9), "127.0.0.1", 0
        )
        port = unresponsive.sockets[0].getsockname()[1]
        client = http.HttpClient(address_lib.Address("127.0.0.1", port))
        with pytest.raises(http.NoResponseError):
            await client.request("GET", "/", **TIMEOUTS)
        unresponsive.close()
        with pytest.raises(http.ConnectError):
            await client.request("GET", "/", **TIMEOUTS)

    asyncio.run(run())


@pytest.mark.parametrize(
    "response",
    [b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"],
)
def test_malformed_or_truncated_response_is_an_error(response):
    async def serve(reader, writer):
        await reader.read(100)
        writer.write(response)
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = http.HttpClient(address_lib.Address("127.0.0.1", port))
        with pytest.raises(http.NoResponseError):
            await client.request("GET", "/", **TIMEOUTS)
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "data", [b"\x00\xff\r\n\r\n", b"GET / HTTP/1.1\r\nA: " + b"x" * 20_000]
)
def test_client_with_invalid_request_is_disconnected(data):
    async def run():
        async with running_server(serve_page) as (server, _):
            reader, writer = await asyncio.open_connection(
                *server.address.as_tuple()
            )
            writer.write(data)
            assert await asyncio.wait_for(reader.read(), 2) == b""
            writer.close()

    asyncio.run(run())


def test_client_that_never_reads_is_disconnected():
    async def run():
        async with running_server(serve_page) as (server, _):
            _, writer = await asyncio.open_connection(
                *server.address.as_tuple()
            )
            for _ in range(5):
                with contextlib.suppress(OSError):
                    writer.write(b"GET /big HTTP/1.1\r\n\r\n")
                    await writer.drain()
                await asyncio.sleep(0.05)
            for _ in range(40):
                if not server._writers:
                    break
                await asyncio.sleep(0.05)
            assert not server._writers
            writer.transport.abort()

    asyncio.run(run())
