import asyncio
import contextlib

import pytest

from cyclamenridge.adapters import http
import cyclamenridge.address as address_lib

LOOPBACK = address_lib.Address("127.0.0.1", 0)
TIMES = {"timeout_ms": 300, "connect_ms": 300}


@contextlib.asynccontextmanager
async def serving(handler):
    server = http.HttpServer(LOOPBACK, handler)
    await server.start()
    client = http.HttpClient(server.address)
    try:
        yield server, client
    finally:
        client.close()
        await server.stop()


def page(target):
    if target == "/big":
        return http.Page(200, b"x" * 3_000_000)
    return http.Page(200 if target == "/ready" else 404, target.encode())


def test_requests_share_a_connection():
    async def run():
        async with serving(page) as (server, client):
            for _ in range(3):
                answer = await client.request("GET", "/ready", **TIMES)
                assert (answer.status, answer.body) == (200, b"/ready")
            assert len(server._open) == 1
            answer = await client.request("GET", "/big", **TIMES)
            assert len(answer.body) == 3_000_000
            answer = await client.request("POST", "/ready", b"{}", **TIMES)
            assert answer.status == 405

    asyncio.run(run())


def test_a_caller_that_asks_for_it_is_disconnected_after_the_answer():
    async def run():
        async with serving(page) as (server, _):
            reader, writer = await asyncio.open_connection(
                *server.address.as_tuple()
            )
            writer.write(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
            data = await asyncio.wait_for(reader.read(), 2)
            assert data.startswith(b"HTTP/1.1 200 OK")
            assert b"Connection: close" in data
            writer.close()

    asyncio.run(run())


def test_a_connection_that_the_server_closed_is_opened_again():
    async def run():
        async with serving(page) as (server, client):
            await client.request("GET", "/ready", **TIMES)
            for writer in list(server._open):
                writer.close()
            await asyncio.sleep(0.05)
            answer = await client.request("GET", "/ready", **TIMES)
            assert answer.status == 200

    asyncio.run(run())


def test_an_answer_that_does_not_come_is_told_from_no_connection():
    """Only without a connection is it sure that nothing was done."""

    async def run():
        quiet = await asyncio.start_server(
            lambda reader, writer: asyncio.sleep(9), "127.0.0.1", 0
        )
        port = quiet.sockets[0].getsockname()[1]
        client = http.HttpClient(address_lib.Address("127.0.0.1", port))
        with pytest.raises(http.NoAnswerError):
            await client.request("GET", "/", **TIMES)
        quiet.close()
        with pytest.raises(http.ConnectError):
            await client.request("GET", "/", **TIMES)

    asyncio.run(run())


@pytest.mark.parametrize(
    "answer",
    [b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"],
)
def test_a_broken_answer_is_no_answer(answer):
    async def serve(reader, writer):
        await reader.read(100)
        writer.write(answer)
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = http.HttpClient(address_lib.Address("127.0.0.1", port))
        with pytest.raises(http.NoAnswerError):
            await client.request("GET", "/", **TIMES)
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "data", [b"\x00\xff\r\n\r\n", b"GET / HTTP/1.1\r\nA: " + b"x" * 20_000]
)
def test_a_strange_caller_is_disconnected(data):
    async def run():
        async with serving(page) as (server, _):
            reader, writer = await asyncio.open_connection(
                *server.address.as_tuple()
            )
            writer.write(data)
            assert await asyncio.wait_for(reader.read(), 2) == b""
            writer.close()

    asyncio.run(run())


def test_a_scraper_that_never_reads_is_disconnected():
    async def run():
        async with serving(page) as (server, _):
            _, writer = await asyncio.open_connection(
                *server.address.as_tuple()
            )
            for _ in range(5):
                with contextlib.suppress(OSError):
                    writer.write(b"GET /big HTTP/1.1\r\n\r\n")
                    await writer.drain()
                await asyncio.sleep(0.05)
            for _ in range(40):
                if not server._open:
                    break
                await asyncio.sleep(0.05)
            assert not server._open
            writer.transport.abort()

    asyncio.run(run())
