"""The store comes back from an older copy and gives out revisions again."""

import asyncio
import contextlib
import json
import random

from cyclamenridge import address as address_lib
from cyclamenridge import clock as clock_lib
from cyclamenridge.flow import peers as peers_lib
from cyclamenridge.platform import records
from cyclamenridge.platform import store as store_lib
import cyclamenridge.store_follower as store_follower
from tests.flow import builders
from tests.standins import metadata_store
from tests.standins import waiting

# Time in which a change is in force although the store was away before.
IN_FORCE_S = 2.0
# Calls in ``IN_FORCE_S``: a watch that is refused, a read, the first call of
# the next watch, and the watch itself every second.
MAX_CALLS = 6


def server_value(*, state="ready", born=1, port=8000):
    return json.dumps(
        {
            "service": "counter",
            "address": f"10.9.0.1:{port}",
            "zone": "bne",
            "slots": 2,
            "state": state,
            "warmup_left_ms": 0,
            "born": born,
        }
    ).encode()


def config_value(version):
    return json.dumps(
        {
            "version": version,
            "routes": [],
            "services": [{"name": "counter"}],
            "limits": {"idle_timeout_ms": 15_000},
        }
    ).encode()


class Process:
    """A core that follows the store, and its peers."""

    def __init__(self, port, number):
        self.host = f"10.0.0.{number}"
        self.log = builders.ListLog()
        self.core = builders.make_core(seed=number, config=None)
        self.peers = peers_lib.Peers(
            self.core,
            name=f"node-{number}",
            failure_domain="bne",
            host=self.host,
            seeds=(),
            lag_tolerance_ms=1500,
            rng=random.Random(number),
        )
        self.follower = store_follower.StoreFollower(
            store_lib.PlatformStore(
                address_lib.Address("127.0.0.1", port), watch_wait_ms=1000
            ),
            records.PlatformRecordDecoder(),
            self.core,
            clock=clock_lib.MonotonicClock(),
            rng=random.Random(number),
            log=self.log,
            coalesce_ms=1,
            on_update=lambda: None,
        )

    @property
    def ready(self):
        servers = self.core.directory.ready_servers("counter")
        return {server.entry.name for server in servers}

    def sweep(self):
        self.core.sweep(clock_lib.MonotonicClock().now_ms())

    def exchange(self, now_ms, other):
        """Receive a beacon; apply the sender's snapshot if it is ahead."""
        beacon = other.peers.encode_beacon()
        if self.peers.handle_beacon(now_ms, other.host, beacon).pull:
            self.peers.apply_snapshot(now_ms, other.peers.encode_snapshot())


@contextlib.asynccontextmanager
async def running_store():
    store = metadata_store.MetadataStore()
    port = await store.start()
    store.put("op/config", config_value(2))
    for name in ("a1", "a2"):
        store.put(f"servers/{name}", server_value())
    try:
        yield store, port
    finally:
        await store.stop()


@contextlib.asynccontextmanager
async def running_process(port, number=1):
    process = Process(port, number)
    await process.follower.start()
    try:
        await until(lambda: process.core.can_place_flows)
        yield process
    finally:
        await process.follower.stop()


async def until(condition):
    await waiting.until(condition, timeout_s=IN_FORCE_S)


@contextlib.asynccontextmanager
async def outage(store):
    store.busy = 503
    await asyncio.sleep(0.2)
    yield
    store.busy = 0
    store.calls.clear()


def write_many(store, count):
    for _ in range(count):
        store.put("servers/a9", server_value())


async def write_and_lose(store, process, *, count):
    """Write what a process learns and a restore of an older copy loses."""
    write_many(store, count)
    store.put("servers/a1", server_value())
    await until(
        lambda: process.core.directory.position.revision == store.revision
    )


def test_a_drain_with_a_revision_that_was_given_out_before_is_in_force():
    """New flows went on to servers that had said that they leave."""

    async def run():
        async with running_store() as (store, port):
            older = store.take_copy()
            async with running_process(port) as process:
                await write_and_lose(store, process, count=20)
                async with outage(store):
                    store.restore(older)
                store.put("servers/a1", server_value(state="draining"))
                await until(lambda: "a1" not in process.ready)
                assert "a2" in process.ready

    asyncio.run(run())


def test_a_removal_with_a_revision_that_was_given_out_before_is_in_force():
    async def run():
        async with running_store() as (store, port):
            older = store.take_copy()
            async with running_process(port) as process:
                await write_and_lose(store, process, count=20)
                async with outage(store):
                    store.restore(older)
                store.remove("servers/a1")
                # A server that the copy lacks has 2 s to register again.
                await waiting.until(
                    lambda: process.sweep() or "a1" not in process.ready,
                    timeout_s=4,
                )
                assert "a2" in process.ready

    asyncio.run(run())


def test_calls_after_a_restore_are_bounded():
    """All keys were read ten times a second until the day ended."""

    async def run():
        async with running_store() as (store, port):
            older = store.take_copy()
            async with running_process(port) as process:
                await write_and_lose(store, process, count=20)
                async with outage(store):
                    store.restore(older)
                await asyncio.sleep(IN_FORCE_S)
                assert len(store.calls) <= MAX_CALLS, store.calls

    asyncio.run(run())


def test_changes_are_not_missed_if_the_restored_store_passed_the_revision():
    """The watch went on from a revision that meant another state."""

    async def run():
        async with running_store() as (store, port):
            older = store.take_copy()
            async with running_process(port) as process:
                await write_and_lose(store, process, count=3)
                async with outage(store):
                    store.restore(older)
                    store.put("servers/a3", server_value())
                    store.put("op/config", config_value(5))
                    store.put("servers/a1", server_value(state="draining"))
                    write_many(store, 5)
                await until(lambda: "a1" not in process.ready)
                await until(lambda: "a3" in process.ready)
                await until(lambda: process.core.routes.version == 5)

    asyncio.run(run())


def test_a_snapshot_of_the_lost_history_does_not_replace_the_new_one():
    """A process that started after the restore went back to its peers'."""

    async def run():
        async with running_store() as (store, port):
            older = store.take_copy()
            async with running_process(port, 1) as cut_off:
                await write_and_lose(store, cut_off, count=20)
                await cut_off.follower.stop()
                store.restore(older)
                store.put("servers/a1", server_value(state="draining"))
                store.put("servers/a3", server_value())
                async with running_process(port, 2) as started:
                    await until(lambda: started.ready == {"a2", "a3"})
                    for now_ms in range(0, 4000, 100):
                        started.exchange(now_ms, cut_off)
                        assert started.ready == {"a2", "a3"}
                    for now_ms in range(0, 4000, 100):
                        cut_off.exchange(now_ms, started)
                    assert "a1" not in cut_off.ready
                    assert "a3" in cut_off.ready

    asyncio.run(run())
