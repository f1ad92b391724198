import asyncio
import base64
import contextlib
import copy

import pytest

from cyclamenridge.adapters import etcd
import cyclamenridge.errors as errors
from tests.standins import platform


def test_reset_cancels_delayed_writes():
    """A delayed write once took effect in the scenario after its own."""

    async def run():
        stand_in = platform.Platform()
        await stand_in.start()
        store = etcd.EtcdStore((stand_in.url,), call_timeout_ms=300)
        try:
            stand_in.faults.late_writes = 1
            stand_in.faults.late_ms = 50
            with contextlib.suppress(errors.StoreError):
                await store.compare_and_put("key", b"late", mod_revision=0)
            await stand_in.reset()
            await asyncio.sleep(0.15)
            assert stand_in.state.entries == {}
        finally:
            await store.close()
            await stand_in.close()

    asyncio.run(run())


def put_request(key, **values):
    return {
        "request_put": {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(b"value").decode(),
        }
        | values
    }


def test_transaction_writes_everything_at_one_revision_or_nothing():
    """Guards against tests that pass with a half transaction, which the
    real store never leaves.
    """

    async def run():
        stand_in = platform.Platform()
        await stand_in.start()
        try:
            for refused in (
                put_request(b"b", lease="5"),
                put_request(b"b", value="A" * 2_000_000),
                put_request(b"a"),
            ):
                before = copy.deepcopy(stand_in.state)
                with pytest.raises(platform.GatewayError):
                    stand_in._txn({"success": [put_request(b"a"), refused]})
                assert stand_in.state == before
            requests = [put_request(b"a"), put_request(b"b")]
            response = stand_in._txn({"success": requests})
            revision = before.revision + 1
            assert response["header"]["revision"] == str(revision)
            assert stand_in.state.revision == revision
            entries = stand_in.state.entries
            assert {key: e.mod_revision for key, e in entries.items()} == {
                b"a": revision,
                b"b": revision,
            }
        finally:
            await stand_in.close()

    asyncio.run(run())


def test_watch_gets_all_changes_of_a_transaction():
    """Guards against a watch that skips the second key of a revision."""

    async def run():
        stand_in = platform.Platform()
        await stand_in.start()
        store = etcd.EtcdStore((stand_in.url,), call_timeout_ms=300)
        try:
            watch = store.watch("k", start_revision=2, prefix=True)
            await anext(watch)
            requests = [put_request(b"k1"), put_request(b"k2")]
            stand_in._txn({"success": requests})
            async with asyncio.timeout(3):
                batch = await anext(watch)
            assert [change.key for change in batch.changes] == ["k1", "k2"]
            await watch.aclose()
        finally:
            await store.close()
            await stand_in.close()

    asyncio.run(run())
