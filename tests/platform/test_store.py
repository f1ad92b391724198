import asyncio
import contextlib

import pytest

from cyclamenridge import address as address_lib
from cyclamenridge import errors
from cyclamenridge.platform import store as store_lib
from cyclamenridge.ports import store as store_port
from tests.standins import metadata_store


@contextlib.asynccontextmanager
async def running_store(*, page=500, wait_ms=300):
    fake = metadata_store.MetadataStore(page_size=page)
    port = await fake.start()
    store = store_lib.PlatformStore(
        address_lib.Address("127.0.0.1", port), watch_wait_ms=wait_ms
    )
    try:
        yield fake, store
    finally:
        await store.close()
        await fake.stop()


def test_get_distinguishes_missing_keys_from_present_ones():
    async def run():
        async with running_store() as (fake, store):
            fake.put("a", b"\x00\xff")
            result = await store.get("a")
            assert result.entry.value == b"\x00\xff"
            assert result.revision == fake.revision
            assert (await store.get("b")).entry is None

    asyncio.run(run())


def test_range_reads_all_pages_and_keeps_the_first_revision():
    """A watch from the revision of a later page would miss changes."""

    async def run():
        async with running_store(page=2) as (fake, store):
            for number in range(5):
                fake.put(f"servers/{number}", b"x")
            first = fake.revision
            fake.after_page = lambda: fake.put("servers/0", b"y")
            result = await store.range("servers/")
            assert [entry.key for entry in result.entries] == [
                f"servers/{number}" for number in range(5)
            ]
            assert result.revision == first
            assert fake.revision > first

    asyncio.run(run())


def test_a_value_with_invalid_base64_does_not_affect_other_entries():
    async def run():
        async with running_store() as (fake, store):
            fake.put("servers/a", b"good")
            fake.put("servers/b", b"bad")
            fake.items["servers/b"]["value"] = "***"
            result = await store.range("servers/")
            assert [entry.value for entry in result.entries] == [
                b"good",
                b"***",
            ]

    asyncio.run(run())


def test_watch_continues_after_empty_answers_and_reports_removals():
    async def run():
        async with running_store(wait_ms=50) as (fake, store):
            fake.put("a", b"1")
            changes = []

            async def follow():
                async for batch in store.watch(
                    "", start_revision=1, prefix=True
                ):
                    changes.extend(batch.changes)
                    if len(changes) == 3:
                        return

            task = asyncio.create_task(follow())
            await asyncio.sleep(0.2)
            fake.put("a", b"2")
            await asyncio.sleep(0.02)
            fake.remove("a")
            await asyncio.wait_for(task, 2)
            assert [change.value for change in changes] == [b"1", b"2", None]

    asyncio.run(run())


def test_watch_reports_lost_history():
    async def run():
        async with running_store() as (fake, store):
            fake.put("a", b"1")
            fake.compact()
            with pytest.raises(store_port.WatchLostError):
                async for _ in store.watch("", start_revision=1, prefix=True):
                    pass

    asyncio.run(run())


def test_watch_times_out_on_a_dead_connection(monkeypatch):
    """Otherwise a change after an outage is applied too late."""
    monkeypatch.setattr(store_lib, "WATCH_MARGIN_MS", 100)

    async def run():
        async with running_store(wait_ms=50) as (fake, store):
            fake.silent = True
            with pytest.raises(errors.StoreUnavailableError):
                async with asyncio.timeout(2):
                    async for _ in store.watch(
                        "", start_revision=1, prefix=True
                    ):
                        pass

    asyncio.run(run())


@pytest.mark.parametrize("status", [429, 503])
def test_refused_calls_had_no_effect(status):
    async def run():
        async with running_store() as (fake, store):
            fake.busy = status
            with pytest.raises(errors.StoreUnavailableError):
                await store.compare_and_put("a", b"1", mod_revision=0)
            fake.busy = 0
            assert (await store.get("a")).entry is None

    asyncio.run(run())


def test_a_write_without_answer_has_an_unknown_outcome():
    async def run():
        async with running_store() as (fake, store):
            fake.lose = 1
            with pytest.raises(errors.StoreOutcomeUnknownError):
                await store.compare_and_put("a", b"1", mod_revision=0)
            assert (await store.get("a")).entry.value == b"1"

    asyncio.run(run())


def test_a_refused_connection_means_unavailable():
    async def run():
        store = store_lib.PlatformStore(
            address_lib.Address("127.0.0.1", 1), watch_wait_ms=50
        )
        with pytest.raises(errors.StoreUnavailableError):
            await store.compare_and_put("a", b"1", mod_revision=0)

    asyncio.run(run())


def test_compare_and_put_reports_success_and_conflicts():
    async def run():
        async with running_store() as (fake, store):
            put = await store.compare_and_put("a", b"1", mod_revision=0)
            assert put.written and put.revision == fake.revision
            conflict = await store.compare_and_put("a", b"2", mod_revision=0)
            assert not conflict.written
            assert conflict.current.value == b"1"
            missing = await store.compare_and_put("b", b"2", mod_revision=7)
            assert not missing.written and missing.current is None

    asyncio.run(run())


def test_leases_are_granted_renewed_and_revoked():
    async def run():
        async with running_store() as (fake, store):
            lease = await store.grant_lease(2)
            await store.compare_and_put(
                "a", b"1", mod_revision=0, lease_id=lease.lease_id
            )
            renewed = await store.keep_lease_alive(lease.lease_id)
            assert renewed.ttl_s == 2
            await store.revoke_lease(lease.lease_id)
            await store.revoke_lease(lease.lease_id)
            assert "a" not in fake.items
            with pytest.raises(store_port.LeaseExpiredError):
                await store.keep_lease_alive(lease.lease_id)
            with pytest.raises(store_port.LeaseExpiredError):
                await store.compare_and_put(
                    "b", b"1", mod_revision=0, lease_id=lease.lease_id
                )

    asyncio.run(run())


def test_a_restore_between_two_pages_is_no_result():
    """Half of the entries would be those of the lost history."""

    async def run():
        async with running_store(page=2) as (fake, store):
            for number in range(5):
                fake.put(f"servers/{number}", b"x")
            older = fake.take_copy()
            fake.after_page = lambda: fake.restore(older)
            with pytest.raises(errors.StoreError):
                await store.range("servers/")

    asyncio.run(run())


def test_results_tell_the_epoch_of_the_store():
    async def run():
        async with running_store(wait_ms=50) as (fake, store):
            fake.put("a", b"1")
            fake.restore(fake.take_copy())
            assert (await store.get("a")).epoch == 2
            assert (await store.get("b")).epoch == 2
            assert (await store.range("")).epoch == 2
            async for batch in store.watch(
                "", start_revision=3, prefix=True, epoch=2
            ):
                assert batch.epoch == 2
                break

    asyncio.run(run())
