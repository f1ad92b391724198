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


def platform_test(**options):
    """Run a coroutine as a test with a simulated platform and a client.

    :param options: options of the client
    """

    def decorate(test_coro):
        def test():
            async def run():
                platform = platform_lib.Platform()
                await platform.start()
                client = etcd.EtcdStore((platform.url,), **options)
                try:
                    async with asyncio.timeout(10):
                        await test_coro(platform, client)
                finally:
                    await client.close()
                    await platform.close()

            asyncio.run(run())

        test.__name__ = test_coro.__name__
        test.__doc__ = test_coro.__doc__
        return test

    return decorate


@platform_test()
async def test_compare_and_put_requires_the_expected_revision(
    platform, client
):
    """Guards against overwriting a file that another operator wrote."""
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


@platform_test()
async def test_values_over_one_megabyte_are_refused(platform, client):
    with pytest.raises(errors.StoreError, match="1000001 bytes"):
        await client.compare_and_put(KEY, b"x" * 1_000_001, mod_revision=0)
    assert not platform.calls


@platform_test()
async def test_range_reads_exactly_the_prefix(platform, client):
    for key in ("/a", "/p/1", "/p/2", "/p0"):
        platform.put(key, b"v")
    response = await client.range("/p/")
    assert [entry.key for entry in response.entries] == ["/p/1", "/p/2"]
    assert response.revision == platform.state.revision


@platform_test(call_timeout_ms=100)
async def test_write_errors_tell_whether_it_may_have_taken_effect(
    platform, client
):
    """Guards against reporting "no effect" for a write that had one (P4)."""
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


@platform_test()
async def test_next_endpoint_is_used_while_one_is_down(platform, client):
    other = platform_lib.Platform()
    await other.start()
    both = etcd.EtcdStore((other.url, platform.url))
    await other.set_outage(True)
    assert (await both.compare_and_put(KEY, b"1", mod_revision=0)).written
    assert (await both.get(KEY)).entry.value == b"1"
    # A write whose response was lost must not be retried.
    platform.faults.drop_writes = 1
    await other.set_outage(False)
    with pytest.raises(errors.StoreOutcomeUnknownError):
        await both.compare_and_put(KEY, b"2", mod_revision=0)
    assert not other.state.entries
    await both.close()
    await other.close()


@platform_test(watch_idle_timeout_ms=150)
async def test_watch_delivers_each_change_exactly_once(platform, client):
    """Guards against losing or repeating changes when a watch is reopened."""
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


@platform_test(watch_idle_timeout_ms=50)
async def test_idle_watch_is_reopened(platform, client):
    """Guards against a half-open watch that hides new revisions."""
    batches = client.watch(KEY, start_revision=1)
    for _ in range(3):
        assert (await anext(batches)).changes == ()
    assert platform.calls["/v3/watch"] == 3
    await batches.aclose()


async def wait_for_change(batches):
    async for batch in batches:
        if batch.changes:
            return batch.changes


@platform_test()
async def test_watch_that_cannot_continue_raises(platform, client):
    """Guards against watches that wait forever for a revision."""
    first = platform.put(KEY, b"1")
    platform.take_snapshot()
    last = platform.put(KEY, b"2")
    platform.put(KEY, b"3")
    batches = client.watch(KEY, start_revision=last + 2)
    await anext(batches)
    waiting = asyncio.create_task(wait_for_change(batches))
    await asyncio.sleep(0.02)
    assert platform.watches == 1
    platform.restore_snapshot()
    with pytest.raises(errors.StoreUnavailableError):
        await waiting
    with pytest.raises(store.WatchLostError, match="older"):
        await wait_for_change(client.watch(KEY, start_revision=last + 1))
    platform.compact()
    platform.put(KEY, b"4")
    with pytest.raises(store.WatchLostError, match="compacted"):
        await wait_for_change(client.watch(KEY, start_revision=first))
    with pytest.raises(store.CompactedError):
        await client.get(KEY, revision=first - 1)


@platform_test()
async def test_expired_or_revoked_lease_deletes_its_key(platform, client):
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
    with pytest.raises(store.LeaseExpiredError):
        await client.keep_lease_alive(lease.lease_id)
    with pytest.raises(errors.StoreError):
        await client.compare_and_put(
            KEY, b"1", mod_revision=0, lease_id=lease.lease_id
        )


@platform_test()
async def test_instance_list_skips_malformed_entries(platform, client):
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


MALFORMED_RESPONSES = [
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


def check_with_response(response, check, *, status=200):
    """Run a check against a server that responds once per connection."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Length: {len(response)}\r\n\r\n"
        )
        with contextlib.suppress(ConnectionError):
            writer.write(head.encode() + response)
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


@pytest.mark.parametrize(
    "response", MALFORMED_RESPONSES, ids=range(len(MALFORMED_RESPONSES))
)
def test_malformed_response_is_an_error(response):
    """Guards against accepting malformed data as a configuration."""

    async def check(client):
        with pytest.raises(errors.StoreError):
            await client.get("a")
        if b"kvs" not in response:
            with pytest.raises(errors.StoreOutcomeUnknownError):
                await client.compare_and_put("a", b"", mod_revision=0)

    check_with_response(response, check)


@pytest.mark.parametrize("status", [500, 503])
def test_server_error_leaves_the_outcome_of_a_write_unknown(status):
    """Guards against reporting "not applied" after a timeout in the store."""

    async def check(client):
        with pytest.raises(errors.StoreOutcomeUnknownError):
            await client.compare_and_put("a", b"", mod_revision=0)
        with pytest.raises(errors.StoreUnavailableError):
            await client.get("a")

    check_with_response(
        b'{"code": 4, "message": "timed out"}', check, status=status
    )


def test_response_size_is_limited(monkeypatch):
    """Guards against a response that exhausts memory."""
    monkeypatch.setattr(etcd, "_MAX_RESPONSE_BYTES", 1000)

    async def check(client):
        with pytest.raises(errors.StoreUnavailableError, match="too long"):
            await client.get("a")
        with pytest.raises(errors.StoreUnavailableError, match="too long"):
            await anext(client.watch("a", start_revision=1))

    check_with_response(b"x" * 2000, check)


def test_each_call_opens_a_new_connection():
    """Guards against a write on a connection that the store is closing."""

    async def check(client):
        for _ in range(2):
            response = await client.compare_and_put("a", b"", mod_revision=0)
            assert not response.written

    check_with_response(b'{"header": {"revision": "3"}}', check)


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
def test_invalid_endpoint_is_a_config_error(url):
    with pytest.raises(errors.ConfigError):
        etcd.EtcdStore((url,))
