import asyncio
import collections
import contextlib
import random

from cyclamenridge.adapters import backend_link
import cyclamenridge.address as address_lib
import cyclamenridge.clock as clock_lib
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.wire import backend
from cyclamenridge.wire import framing
from cyclamenridge.wire import rpc
from tests.standins import server as server_lib
from tests.standins import server_model
from tests.standins import waiting

REF = events.ServerRef("album", "album-1")


class Fixture:
    def __init__(self):
        self.counters = collections.Counter()
        self.events = asyncio.Queue()
        self.links = backend_link.TcpLinkTransport(
            "b1", counters=self.counters
        )
        self.links.set_receiver(self.events.put_nowait)

    async def next_event(self):
        return await asyncio.wait_for(self.events.get(), 4)

    def open(self, address, link_id=1):
        self.links.open(effects.OpenLink(REF, link_id, address))


@contextlib.asynccontextmanager
async def backend_server(server="album-1"):
    model = server_model.ServerModel(
        "album",
        server,
        profile=server_model.Profile(default_ms=1),
        rng=random.Random(1),
    )
    process = server_lib.Server(model, clock_lib.MonotonicClock())
    await process.start(address_lib.Address("127.0.0.1", 0))
    sockname = process._server.sockets[0].getsockname()
    try:
        yield process, address_lib.Address(*sockname)
    finally:
        await process.stop()


@contextlib.asynccontextmanager
async def raw_server(reply):
    """Run a server that responds to the first data with ``reply``."""

    async def serve(reader, writer):
        await reader.read(1000)
        writer.write(reply)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield address_lib.Address(*server.sockets[0].getsockname())
    finally:
        server.close()


def test_request_is_run_and_lost_link_is_reported():
    async def run():
        fixture = Fixture()
        async with backend_server() as (process, address):
            fixture.open(address)
            up = await fixture.next_event()
            assert up.identity.slots == 2
            params = backend.Run(1, 1, "edit", "c", 1000, b"p")
            data = rpc.request(5, "run", params)
            fixture.links.send(effects.SendLink(REF, 1, data))
            message = (await fixture.next_event()).message
            assert (message.msgid, message.error) == (5, None)
            assert process.records().wrong_links == 0
        down = await fixture.next_event()
        assert isinstance(down, events.LinkDown)
        await fixture.links.stop()

    asyncio.run(run())


def test_server_with_other_identity_receives_no_request():
    """Guards against requests to another server that reuses the address.

    The link must be closed before anything is sent on it (P2).
    """

    async def run():
        fixture = Fixture()
        async with backend_server("album-2") as (process, address):
            fixture.open(address)
            down = await fixture.next_event()
            assert "identity mismatch" in down.reason
            data = rpc.request(5, "load", backend.Empty())
            fixture.links.send(effects.SendLink(REF, 1, data))
            assert process.model.records == []
            assert process.records().wrong_links == 1
        assert fixture.counters == {
            "identity_mismatch": 1,
            "link_messages_without_link": 1,
        }
        await fixture.links.stop()

    asyncio.run(run())


def test_closed_link_emits_no_event():
    async def run():
        fixture = Fixture()
        async with backend_server() as (process, address):
            fixture.open(address)
            await fixture.next_event()
            fixture.links.close(effects.CloseLink(REF, 1))
            await waiting.until(lambda: not process.model.connections)
        assert fixture.events.empty()
        await fixture.links.stop()

    asyncio.run(run())


def test_invalid_hello_response_ends_the_link():
    """Guards against invalid responses that stop the balancer."""

    async def run():
        for reply in (
            b"\xff\xff\xff\xff",
            framing.encode(b"\xc1"),
            framing.encode(rpc.error_response(0, "no")),
            framing.encode(rpc.response(0, backend.Empty())),
            b"HTTP/1.1 400 Bad Request\r\n\r\n",
        ):
            fixture = Fixture()
            async with raw_server(reply) as address:
                fixture.open(address)
                assert isinstance(await fixture.next_event(), events.LinkDown)
            await fixture.links.stop()

    asyncio.run(run())


def test_unreachable_server_is_reported():
    async def run():
        fixture = Fixture()
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        address = address_lib.Address(*server.sockets[0].getsockname())
        server.close()
        await server.wait_closed()
        fixture.open(address)
        assert isinstance(await fixture.next_event(), events.LinkDown)
        await fixture.links.stop()

    asyncio.run(run())


def test_reason_tells_a_refused_hello_from_another_message():
    """Guards against a search for a refusal that the server never sent."""

    async def run():
        for reply, reason in (
            (rpc.error_response(0, "no"), "the server refused hello: no"),
            (
                rpc.notification("draining", backend.Empty()),
                "expected the response to hello, received a notification",
            ),
            (
                rpc.request(0, "hello", backend.Empty()),
                "expected the response to hello, received a request",
            ),
            (
                rpc.response(7, backend.Empty()),
                "expected the response to hello, received a response",
            ),
        ):
            fixture = Fixture()
            async with raw_server(framing.encode(reply)) as address:
                fixture.open(address)
                assert (await fixture.next_event()).reason.startswith(reason)
            await fixture.links.stop()

    asyncio.run(run())
