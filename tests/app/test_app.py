import asyncio
import collections
import os
import signal

import aiohttp
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cyclamenridge.adapters import admin
from cyclamenridge.adapters import backend_link
from cyclamenridge.adapters import metrics as metrics_adapter
from cyclamenridge.adapters import udp
import cyclamenridge.address as address_lib
import cyclamenridge.app as app_lib
import cyclamenridge.clock as clock_lib
import cyclamenridge.errors as errors
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.ports import metrics as metrics_port
from cyclamenridge.ports import platform as platform_port
from tests.standins import waiting

LOOPBACK = address_lib.Address("127.0.0.1", 0)


class Core:
    """Core that echoes datagrams, raises on some, and stops on request."""

    def __init__(self):
        self.counters = collections.Counter()
        self.latencies = {}
        self.events = []

    def start(self, now_ms):
        return [effects.ReadStore(), effects.WatchStore(True)]

    def handle(self, now_ms, event):
        self.events.append(event)
        if isinstance(event, events.CallerDatagram):
            if event.data == b"wire":
                raise errors.WireError("bad datagram")
            if event.data == b"bug":
                raise KeyError("bug")
            return [effects.SendCaller(event.source, event.data)]
        if isinstance(event, events.StopRequested):
            return [effects.Stopped(3)] if self.stop_at_once else []
        return []

    stop_at_once = True

    def dump(self, now_ms):
        return {"name": "b1"}


class Platform(platform_port.Platform):
    def __init__(self):
        self.calls = []

    async def start(self):
        self.calls.append("start")

    async def stop(self):
        self.calls.append("stop")

    def set_receiver(self, receiver):
        self.calls.append("receiver")

    def read(self):
        self.calls.append("read")

    def watch(self, *, active):
        self.calls.append(f"watch {active}")

    def write(self, effect):
        self.calls.append("write")


class Fixture:
    def __init__(self):
        self.core = Core()
        self.caller_endpoint = self._udp("caller")
        self.platform = Platform()
        self.app = app_lib.Application(
            self.core,
            clock=clock_lib.MonotonicClock(),
            caller_endpoint=self.caller_endpoint,
            peer_endpoint=self._udp("peer"),
            links=backend_link.TcpLinkTransport(
                "b1", counters=self.core.counters
            ),
            platform=self.platform,
        )

    def _udp(self, name):
        return udp.UdpDatagrams(
            LOOPBACK, name=name, max_bytes=1400, counters=self.core.counters
        )

    async def start_and_wait(self):
        task = asyncio.create_task(self.app.run())
        await waiting.until(lambda: self.app.state == "serving")
        return task


def test_signal_starts_a_graceful_stop():
    """Guards against a SIGTERM that bypasses the core or its exit code."""

    async def run():
        fixture = Fixture()
        task = await fixture.start_and_wait()
        os.kill(os.getpid(), signal.SIGTERM)
        assert await asyncio.wait_for(task, 3) == 3
        assert fixture.app.state == "stopped"
        assert fixture.platform.calls == [
            "receiver",
            "start",
            "read",
            "watch True",
            "stop",
        ]

    asyncio.run(run())


def test_second_signal_exits_at_once():
    async def run():
        fixture = Fixture()
        fixture.core.stop_at_once = False
        task = await fixture.start_and_wait()
        os.kill(os.getpid(), signal.SIGTERM)
        await waiting.until(lambda: fixture.app.state == "leaving")
        os.kill(os.getpid(), signal.SIGTERM)
        assert await asyncio.wait_for(task, 3) == 4

    asyncio.run(run())


def test_repeated_drain_requests_one_stop():
    async def run():
        fixture = Fixture()
        fixture.core.stop_at_once = False
        task = await fixture.start_and_wait()
        fixture.app.drain()
        fixture.app.drain()
        stops = [
            event
            for event in fixture.core.events
            if isinstance(event, events.StopRequested)
        ]
        assert len(stops) == 1
        fixture.app.request_stop()
        fixture.app.request_stop()
        await asyncio.wait_for(task, 3)

    asyncio.run(run())


@settings(derandomize=True, max_examples=5, deadline=None)
@given(junk=st.lists(st.sampled_from([b"wire", b"bug", b"x"]), max_size=30))
def test_input_that_raises_is_counted_and_does_not_stop_the_process(junk):
    async def run():
        fixture = Fixture()
        task = await fixture.start_and_wait()
        client = udp.UdpDatagrams(
            LOOPBACK, name="c", max_bytes=1400, counters=fixture.core.counters
        )
        got = []
        client.open(lambda source, data: got.append(data))
        for data in [*junk, b"last"]:
            client.send(fixture.caller_endpoint.address, data)
        await waiting.until(lambda: b"last" in got)
        client.close()
        fixture.app.drain()
        await asyncio.wait_for(task, 3)
        assert got == [data for data in junk if data == b"x"] + [b"last"]
        counters = fixture.core.counters
        assert counters["events_refused"] == junk.count(b"wire")
        assert counters["internal_errors"] == junk.count(b"bug")

    asyncio.run(run())


def test_admin_interface():
    async def run():
        drained = []
        sample = metrics_port.MetricsSnapshot({"identity_mismatch": 2}, {}, {})
        server = admin.AdminServer(
            LOOPBACK,
            status=lambda: {"state": "serving"},
            dump=lambda: {7: events.ServerRef("album", "album-1")},
            drain=lambda: drained.append(True),
            metrics_port=metrics_adapter.PrometheusMetrics(lambda: sample),
        )
        await server.start()
        host, port = server.addresses[0]
        base = f"http://{host}:{port}"
        async with aiohttp.ClientSession() as http:
            async with http.get(f"{base}/status") as got:
                assert await got.json() == {"state": "serving"}
            async with http.get(f"{base}/metrics") as got:
                text = await got.text()
                assert "cyclamenridge_identity_mismatch_total 2.0" in text
            async with http.get(f"{base}/dump") as got:
                server_ref = {"service": "album", "server": "album-1"}
                assert await got.json() == {"7": server_ref}
            async with http.get(f"{base}/drain") as got:
                assert got.status == 405
            async with http.post(f"{base}/drain") as got:
                assert got.status == 200
        assert drained == [True]
        await server.stop()

    asyncio.run(run())
