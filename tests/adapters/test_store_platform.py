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
from cyclamenridge.node import effects
from cyclamenridge.node import events
from tests.standins import platform
from tests.standins import waiting

FORMAT = store_platform.Format(
    config_key=operator.KEY,
    decode_document=document_lib.decode,
    encode_document=document_lib.encode,
)
LISTED = events.ListedInstance(
    "b1", "balancer", address_lib.Address("127.0.0.11", 7000), "d1"
)


def document(revision):
    body = f"revision: {revision}\n"
    return document_lib.Document(
        revision, document_lib.digest(body), f"apply-{revision}", (), body
    )


@contextlib.asynccontextmanager
async def driver():
    stand_in = platform.Platform()
    await stand_in.start()
    counters = collections.Counter()
    out = store_platform.StorePlatform(
        etcd.EtcdStore((stand_in.url,), call_timeout_ms=300),
        FORMAT,
        rng=random.Random(1),
        counters=counters,
    )
    got = []
    out.set_receiver(got.append)
    try:
        yield stand_in, out, got, counters
    finally:
        await out.stop()
        await stand_in.close()


def revisions(got):
    return [
        event.document.revision if event.document else None
        for event in got
        if isinstance(event, events.StoreRead)
    ]


def test_watch_tells_documents_and_instances():
    async def run():
        async with driver() as (stand_in, out, got, counters):
            out.watch(active=True)
            await waiting.until(lambda: len(got) >= 2)
            assert revisions(got) == [None]
            key = operator.KEY
            stand_in.put(key, document_lib.encode(document(1)))
            stand_in.set_instance("b1", instances.encode(LISTED))
            stand_in.set_instance("junk", b"{")
            await waiting.until(
                lambda: (
                    revisions(got) == [None, 1]
                    and got[-1] == events.InstancesListed((LISTED,))
                    and counters["instances_malformed"] >= 1
                )
            )
            stand_in.set_instance("b1", None)
            await waiting.until(lambda: got[-1] == events.InstancesListed(()))
            out.watch(active=False)
            await asyncio.sleep(0.05)
            stand_in.put(key, document_lib.encode(document(2)))
            await asyncio.sleep(0.1)
            assert revisions(got) == [None, 1]

    asyncio.run(run())


def test_watch_goes_on_after_an_outage():
    """A change during an outage of the store must not be missed."""

    async def run():
        async with driver() as (stand_in, out, got, counters):
            out.watch(active=True)
            await waiting.until(lambda: revisions(got) == [None])
            # A watch whose connection is accepted while the outage begins
            # would live through it.
            await waiting.until(lambda: stand_in.watches == 2)
            await stand_in.set_outage(True)
            stand_in.put(operator.KEY, document_lib.encode(document(7)))
            await waiting.until(lambda: counters["store_failures"] >= 2)
            assert any(isinstance(e, events.StoreFailed) for e in got)
            await stand_in.set_outage(False)
            await waiting.until(lambda: revisions(got)[-1:] == [7])

    asyncio.run(run())


def test_write_needs_the_expected_revision():
    """A write back must not replace a newer document (P8)."""

    async def run():
        async with driver() as (_, out, got, _):
            out.write(effects.WriteStore(document(1), 0))
            await waiting.until(lambda: revisions(got) == [1])
            first = got[-1].mod_revision
            out.write(effects.WriteStore(document(3), first))
            await waiting.until(lambda: revisions(got) == [1, 3])
            out.write(effects.WriteStore(document(2), first))
            await waiting.until(lambda: revisions(got) == [1, 3, 3])

    asyncio.run(run())


def test_read_is_answered_once_and_bad_documents_are_failures():
    async def run():
        async with driver() as (stand_in, out, got, counters):
            out.read()
            out.read()
            await waiting.until(lambda: got)
            assert got == [events.StoreRead(None, 0)]
            stand_in.put(operator.KEY, b"not a document")
            out.read()
            await waiting.until(lambda: len(got) == 2)
            assert isinstance(got[-1], events.StoreFailed)
            assert counters["store_failures"] == 1

    asyncio.run(run())
