import asyncio
import collections
import contextlib
import random

from cyclamenridge.adapters import etcd
from cyclamenridge.adapters import instances
from cyclamenridge.adapters import store_platform
import cyclamenridge.address as address_lib
from cyclamenridge.config import document as document_lib
from cyclamenridge.config import operator
from cyclamenridge.control import store_schedule
from cyclamenridge.node import effects
from cyclamenridge.node import events
from tests.standins import platform
from tests.standins import waiting

FORMAT = store_platform.DocumentFormat(
    config_key=operator.KEY,
    decode_document=document_lib.decode,
    encode_document=document_lib.encode,
)
LISTED = events.ListedInstance(
    "b1", "balancer", address_lib.Address("127.0.0.11", 7000), "d1"
)


def make_document(revision):
    body = f"revision: {revision}\n"
    return document_lib.Document(
        revision, document_lib.digest(body), f"apply-{revision}", (), body
    )


@contextlib.asynccontextmanager
async def running_platform():
    stand_in = platform.Platform()
    await stand_in.start()
    counters = collections.Counter()
    adapter = store_platform.StorePlatform(
        etcd.EtcdStore((stand_in.url,), call_timeout_ms=300),
        FORMAT,
        rng=random.Random(1),
        counters=counters,
    )
    emitted = []
    adapter.set_receiver(emitted.append)
    try:
        yield stand_in, adapter, emitted, counters
    finally:
        await adapter.stop()
        await stand_in.close()


def revisions(emitted):
    return [
        event.document.revision if event.document else None
        for event in emitted
        if isinstance(event, events.StoreRead)
    ]


def test_watch_emits_documents_and_instances():
    async def run():
        async with running_platform() as (
            stand_in,
            adapter,
            emitted,
            counters,
        ):
            adapter.watch(active=True)
            await waiting.until(lambda: len(emitted) >= 2)
            assert revisions(emitted) == [None]
            key = operator.KEY
            stand_in.put(key, document_lib.encode(make_document(1)))
            stand_in.set_instance("b1", instances.encode(LISTED))
            stand_in.set_instance("junk", b"{")
            await waiting.until(
                lambda: (
                    revisions(emitted) == [None, 1]
                    and emitted[-1] == events.InstancesListed((LISTED,))
                    and counters["instances_malformed"] >= 1
                )
            )
            stand_in.set_instance("b1", None)
            await waiting.until(
                lambda: emitted[-1] == events.InstancesListed(())
            )
            adapter.watch(active=False)
            await asyncio.sleep(0.05)
            stand_in.put(key, document_lib.encode(make_document(2)))
            await asyncio.sleep(0.1)
            assert revisions(emitted) == [None, 1]

    asyncio.run(run())


def test_renumbered_document_replaces_the_one_of_the_restored_store():
    """Guards against a renumbered file that the store does not take, or that
    two balancers renumber one after the other.
    """

    async def run():
        async with running_platform() as (stand_in, adapter, emitted, _):
            first = document_lib.successor(None, body="1", apply_id="0-a")
            lost = document_lib.successor(first, body="2", apply_id="1-b")
            another = document_lib.successor(first, body="3", apply_id="1-c")
            stand_in.put(operator.KEY, document_lib.encode(first))
            stand_in.take_snapshot()
            stand_in.put(operator.KEY, document_lib.encode(lost))
            stand_in.restore_snapshot()
            stand_in.put(operator.KEY, document_lib.encode(another))
            adapter.read()
            await waiting.until(lambda: emitted)
            watcher = store_schedule.StoreWatcher(
                "b1", random.Random(1), collections.Counter()
            )
            (write,) = watcher.handle_read(0, emitted[0], lost)
            adapter.write(write)
            adapter.write(write)
            await waiting.until(lambda: len(emitted) == 3)
            renumbered = document_lib.renumbered(another, lost)
            assert renumbered.history == ((2, "1-b"), (1, "0-a"))
            assert [event.document for event in emitted[1:]] == [
                renumbered,
                renumbered,
            ]
            entry = stand_in.state.entries[operator.KEY.encode()]
            assert document_lib.decode(entry.value) == renumbered
            assert entry.version == 3
            assert not watcher.handle_read(10, emitted[2], renumbered)

    asyncio.run(run())


def test_document_that_is_too_large_to_write_is_a_failure():
    """Guards against an exception that nobody handles: the apply ids of two
    histories can make a document too large for the store.
    """

    async def run():
        async with running_platform() as (_, adapter, emitted, counters):
            body = "x" * document_lib.MAX_ENCODED_BYTES
            document = document_lib.successor(None, body=body, apply_id="a")
            adapter.write(effects.WriteStore(document, 0))
            await waiting.until(lambda: emitted)
            assert isinstance(emitted[0], events.StoreFailed)
            assert counters["store_failures"] == 1

    asyncio.run(run())


def test_watch_resumes_after_an_outage():
    """Guards against missing a change made while the store is down."""

    async def run():
        async with running_platform() as (
            stand_in,
            adapter,
            emitted,
            counters,
        ):
            adapter.watch(active=True)
            await waiting.until(lambda: revisions(emitted) == [None])
            # Wait for both watches: one that is accepted just as the outage
            # begins would survive it.
            await waiting.until(lambda: stand_in.watches == 2)
            await stand_in.set_outage(True)
            stand_in.put(operator.KEY, document_lib.encode(make_document(7)))
            await waiting.until(lambda: counters["store_failures"] >= 2)
            assert any(isinstance(e, events.StoreFailed) for e in emitted)
            await stand_in.set_outage(False)
            await waiting.until(lambda: revisions(emitted)[-1:] == [7])

    asyncio.run(run())


def test_write_requires_the_expected_revision():
    """Guards against a write that replaces a newer document (P8)."""

    async def run():
        async with running_platform() as (_, adapter, emitted, _):
            adapter.write(effects.WriteStore(make_document(1), 0))
            await waiting.until(lambda: revisions(emitted) == [1])
            first = emitted[-1].mod_revision
            adapter.write(effects.WriteStore(make_document(3), first))
            await waiting.until(lambda: revisions(emitted) == [1, 3])
            adapter.write(effects.WriteStore(make_document(2), first))
            await waiting.until(lambda: revisions(emitted) == [1, 3, 3])

    asyncio.run(run())


def test_concurrent_reads_are_merged_and_bad_documents_reported():
    async def run():
        async with running_platform() as (
            stand_in,
            adapter,
            emitted,
            counters,
        ):
            adapter.read()
            adapter.read()
            await waiting.until(lambda: emitted)
            assert emitted == [events.StoreRead(None, 0)]
            stand_in.put(operator.KEY, b"not a document")
            adapter.read()
            await waiting.until(lambda: len(emitted) == 2)
            assert isinstance(emitted[-1], events.StoreFailed)
            assert counters["store_failures"] == 1

    asyncio.run(run())


def test_a_write_back_replaces_nothing_that_got_its_revision_again():
    """A confirmed file was overwritten after the store was restored."""

    async def run():
        async with running_platform() as (stand_in, adapter, emitted, _):
            stand_in.take_snapshot()
            stand_in.put(operator.KEY, document_lib.encode(make_document(1)))
            adapter.read()
            await waiting.until(lambda: revisions(emitted) == [1])
            mod_revision = emitted[0].mod_revision
            stand_in.restore_snapshot()
            confirmed = document_lib.encode(make_document(2))
            assert stand_in.put(operator.KEY, confirmed) == mod_revision
            adapter.write(
                effects.WriteStore(
                    make_document(3), mod_revision, emitted[0].value
                )
            )
            await waiting.until(lambda: revisions(emitted) == [1, 2])
            stored = stand_in.state.entries[operator.KEY.encode()]
            assert stored.value == confirmed

    asyncio.run(run())
