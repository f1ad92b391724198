import asyncio
import contextlib

import pytest

from cyclamenridge.adapters import etcd
from cyclamenridge.adapters import instances
import cyclamenridge.address as address
import cyclamenridge.errors as errors
from cyclamenridge.node import events
from cyclamenridge.ports import store
from tests.standins import platform as platform_lib

KEY = "/cyclamenridge/config"


def scenario(**options):
    """Run a coroutine with a stand-in of the platform and a client."""

    def decorate(body):
        def test():
            async def run():
                platform = platform_lib.Platform()
                await platform.start()
                client = etcd.EtcdStore((platform.url,), **options)
                try:
                    async with asyncio.timeout(10):
                        await body(platform, client)
                finally:
                    await client.close()
                    await platform.close()

            asyncio.run(run())

        test.__name__ = body.__name__
        test.__doc__ = body.__doc__
        return test

    return decorate


@scenario()
async def test_compare_and_put_writes_only_at_its_base(platform, client):
    """Guards against a write that replaces another operator's file."""
    value = b"\x00\xff" * 500_000
    first = await client.compare_and_put(KEY, value, mod_revision=0)
    assert first.written
    second = await client.compare_and_put(KEY, b"b", mod_revision=0)
    assert not second.written
    assert second.current == store.KeyValue(KEY, value, first.revision)
    third = await client.compare_and_put(KEY, b"", mod_revision=first.revision)
    assert third.written
    now = await client.get(KEY)
    assert now.entry == store.KeyValue(KEY, b"", third.revision)
    before = await client.get(KEY, revision=third.revision - 1)
    assert before.entry.value == value
    assert (await client.get(KEY + "x")).entry is None
    assert platform.calls["/v3/kv/txn"] == 3


@scenario()
async def test_values_over_one_megabyte_are_refused(platform, client):
    with pytest.raises(errors.StoreError, match="1000001 bytes"):
        await client.compare_and_put(KEY, b"x" * 1_000_001, mod_revision=0)
    assert not platform.calls


@scenario()
async def test_range_reads_exactly_the_prefix(platform, client):
    for key in ("/a", "/p/1", "/p/2", "/p0"):
        platform.put(key, b"v")
    answer = await client.range("/p/")
    assert [entry.key for entry in answer.entries] == ["/p/1", "/p/2"]
    assert answer.revision == platform.state.revision


@scenario(call_timeout_ms=100)
async def test_failure_of_a_write_is_told_by_its_effect(platform, client):
    """Guards against "no effect" where the write did take effect (P4)."""
    unknown = errors.StoreOutcomeUnknownError
    platform.faults.lose_answers = 1
    with pytest.raises(unknown):
        await client.compare_and_put(KEY, b"1", mod_revision=0)
    entry = (await client.get(KEY)).entry
    assert entry.value == b"1"
    platform.faults.drop_writes = 1
    with pytest.raises(unknown):
        await client.compare_and_put(
            KEY, b"2", mod_revision=entry.mod_revision
        )
    assert (await client.get(KEY)).entry == entry
    platform.faults.delay_ms = 200
    with pytest.raises(unknown):
        await client.compare_and_put(KEY, b"3", mod_revision=0)
    with pytest.raises(errors.StoreUnavailableError):
        await client.get(KEY)
    platform.faults.delay_ms = 0
    await platform.set_outage(True)
    for call in (
        client.compare_and_put(KEY, b"4", mod_revision=0),
        client.get(KEY),
        client.range("/"),
        client.grant_lease(5),
    ):
        with pytest.raises(errors.StoreUnavailableError):
            await call
    await platform.set_outage(False)
    assert (await client.get(KEY)).entry == entry


@scenario()
async def test_next_endpoint_is_used_while_one_is_down(platform, client):
    other = platform_lib.Platform()
    await other.start()
    both = etcd.EtcdStore((other.url, platform.url))
    await other.set_outage(True)
    assert (await both.compare_and_put(KEY, b"1", mod_revision=0)).written
    assert (await both.get(KEY)).entry.value == b"1"
    # A write whose answer was lost must not be sent a second time.
    platform.faults.drop_writes = 1
    await other.set_outage(False)
    with pytest.raises(errors.StoreOutcomeUnknownError):
        await both.compare_and_put(KEY, b"2", mod_revision=0)
    assert not other.state.entries
    await both.close()
    await other.close()


@scenario(watch_silence_ms=150)
async def test_watch_tells_each_change_once_without_gap(platform, client):
    """Guards against changes that are lost when a watch is reopened."""
    start = platform.put("/p/0", b"0")
    platform.put("/q", b"other")
    platform.faults.watch_lag_ms = 50
    seen = []
    async with contextlib.aclosing(
        client.watch("/p/", start_revision=start, prefix=True)
    ) as batches:
        async for batch in batches:
            seen.extend(batch.changes)
            if batch.changes and len(seen) < 3:
                await asyncio.sleep(0.2)
                platform.put("/p/1", None if len(seen) > 1 else b"1")
            elif batch.changes:
                break
    assert [(c.key, c.value) for c in seen] == [
        ("/p/0", b"0"),
        ("/p/1", b"1"),
        ("/p/1", None),
    ]
    assert len({c.mod_revision for c in seen}) == 3


@scenario(watch_silence_ms=50)
async def test_silent_watch_is_opened_again(platform, client):
    """Guards against a half-open watch that hides new revisions."""
    batches = client.watch(KEY, start_revision=1)
    for _ in range(3):
        assert (await anext(batches)).changes == ()
    assert platform.calls["/v3/watch"] == 3
    await batches.aclose()


async def next_change(batches):
    async for batch in batches:
        if batch.changes:
            return batch.changes


@scenario()
async def test_watch_that_cannot_continue_says_so(platform, client):
    """Guards against watchers that wait for a revision for ever."""
    first = platform.put(KEY, b"1")
    platform.take_snapshot()
    last = platform.put(KEY, b"2")
    platform.put(KEY, b"3")
    batches = client.watch(KEY, start_revision=last + 2)
    await anext(batches)
    waiting = asyncio.create_task(next_change(batches))
    await asyncio.sleep(0.02)
    assert platform.watches == 1
    platform.restore_snapshot()
    with pytest.raises(errors.StoreUnavailableError):
        await waiting
    with pytest.raises(store.WatchLostError, match="older"):
        await next_change(client.watch(KEY, start_revision=last + 1))
    platform.compact()
    platform.put(KEY, b"4")
    with pytest.raises(store.WatchLostError, match="compacted"):
        await next_change(client.watch(KEY, start_revision=first))
    with pytest.raises(store.CompactedError):
        await client.get(KEY, revision=first - 1)


@scenario()
async def test_lease_deletes_its_key_unless_it_is_renewed(platform, client):
    lease = await client.grant_lease(1)
    written = await client.compare_and_put(
        KEY, b"1", mod_revision=0, lease_id=lease.lease_id
    )
    assert written.written
    await asyncio.sleep(0.6)
    assert (await client.keep_lease_alive(lease.lease_id)) == lease
    await asyncio.sleep(0.6)
    assert (await client.get(KEY)).entry is not None
    await client.revoke_lease(lease.lease_id)
    assert (await client.get(KEY)).entry is None
    await client.revoke_lease(lease.lease_id)
    with pytest.raises(store.LeaseLapsedError):
        await client.keep_lease_alive(lease.lease_id)
    with pytest.raises(errors.StoreError):
        await client.compare_and_put(
            KEY, b"1", mod_revision=0, lease_id=lease.lease_id
        )


@scenario()
async def test_instance_list_lags_and_passes_over_bad_entries(
    platform, client
):
    leaving = events.ListedInstance(
        "b1", "balancer", address.Address("127.0.0.1", 7001), "d", "leaving"
    )
    platform.faults.instance_lag_ms = 50
    platform.set_instance("b1", instances.encode(leaving))
    platform.set_instance("b2", b'{"address": "localhost"}')
    assert not (await client.range(instances.PREFIX)).entries
    await asyncio.sleep(0.1)
    read = instances.decode((await client.range(instances.PREFIX)).entries)
    assert read == instances.InstanceList((leaving,), 1)


BAD_ANSWERS = [
    b"",
    b"[]",
    b"{}",
    b'{"header": {"revision": "x"}}',
    b'{"header": {"revision": "0"}}',
    b'{"header": {"revision": "%s"}}' % (b"9" * 5000),
    b'{"header": {"revision": "3"}, "kvs": [{"key": "!"}]}',
    b'{"header": {"revision": "3"}, "kvs": [{"key": "/w=="}]}',
    b'{"header": {"revision": "3"}, "kvs": [{"key": "Yg=="}]}',
    b"[" * 100_000,
]


def with_answer(answer, check, *, status=200):
    """Run a check against a server that answers each connection once."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(answer)}\r\n\r\n"
        with contextlib.suppress(ConnectionError):
            writer.write(head.encode() + answer)
            await writer.drain()
            await reader.read()
        writer.close()

    async def run():
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = etcd.EtcdStore((f"http://127.0.0.1:{port}",))
        await check(client)
        await client.close()
        server.close()
        await server.wait_closed()

    asyncio.run(run())


@pytest.mark.parametrize("answer", BAD_ANSWERS, ids=range(len(BAD_ANSWERS)))
def test_answer_of_another_form_is_an_error(answer):
    """Guards against wrong data that is taken for a configuration."""

    async def check(client):
        with pytest.raises(errors.StoreError):
            await client.get("a")
        if b"kvs" not in answer:
            with pytest.raises(errors.StoreOutcomeUnknownError):
                await client.compare_and_put("a", b"", mod_revision=0)

    with_answer(answer, check)


@pytest.mark.parametrize("status", [500, 503])
def test_server_error_leaves_the_outcome_of_a_write_unknown(status):
    """Guards against "not applied" after a time-out inside the store."""

    async def check(client):
        with pytest.raises(errors.StoreOutcomeUnknownError):
            await client.compare_and_put("a", b"", mod_revision=0)
        with pytest.raises(errors.StoreUnavailableError):
            await client.get("a")

    with_answer(b'{"code": 4, "message": "timed out"}', check, status=status)


def test_answer_without_end_is_cut(monkeypatch):
    """Guards against an answer that fills the memory."""
    monkeypatch.setattr(etcd, "_MAX_ANSWER_BYTES", 1000)

    async def check(client):
        with pytest.raises(errors.StoreUnavailableError, match="too long"):
            await client.get("a")
        with pytest.raises(errors.StoreUnavailableError, match="too long"):
            await anext(client.watch("a", start_revision=1))

    with_answer(b"x" * 2000, check)


def test_each_call_has_a_connection_of_its_own():
    """Guards against a write on a connection that the store gives up."""

    async def check(client):
        for _ in range(2):
            answer = await client.compare_and_put("a", b"", mod_revision=0)
            assert not answer.written

    with_answer(b'{"header": {"revision": "3"}}', check)


@pytest.mark.parametrize(
    "url",
    [
        "",
        "127.0.0.1:1",
        "ftp://h:1",
        "http://",
        "http://h:99999999",
        "http://name:secret@h:1",
        "http://h:1/path",
        "http://h:1/?a",
    ],
)
def test_bad_endpoint_is_a_config_error(url):
    with pytest.raises(errors.ConfigError):
        etcd.EtcdStore((url,))
