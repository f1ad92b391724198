"""Client of the JSON gateway of etcd v3."""

import asyncio
from collections.abc import AsyncIterator
from typing import TypeVar

import aiohttp
import msgspec

from cyclamenridge.adapters import etcd_messages as messages
from cyclamenridge.config import settings
import cyclamenridge.errors as errors
from cyclamenridge.ports import store

T = TypeVar("T")

CALL_TIMEOUT_MS = 2000
CONNECT_TIMEOUT_MS = 500
# A connection that is half-open looks like a watch without changes, so a
# silent watch is opened again.
WATCH_SILENCE_MS = 30_000

# 3,300 listed instances take about 1.2 MB, a watch may lag by several values.
_MAX_ANSWER_BYTES = 16_000_000
_READ_BYTES = 65_536
_HTTP_OK = 200
_HTTP_SERVER_ERROR = 500
# Codes of gRPC.
_CODE_NOT_FOUND = 5
_CODE_OUT_OF_RANGE = 11
_CODE_UNAVAILABLE = 14
_CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_TRANSPORT_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class _RefusedError(errors.StoreError):
    """The store answered that it refuses the request."""

    def __init__(self, message: str, code: int) -> None:
        super().__init__(message)
        self.code = code


class _SilenceError(Exception):
    """A watch had no message for its longest silence."""


class _Refusal(msgspec.Struct, frozen=True):
    message: str = ""
    error: str = ""
    code: int = 0


class EtcdStore(store.KeyValueStore):
    """The store behind one or several endpoints.

    Reads go to the next endpoint after a failure. A write goes to the next
    endpoint only while no connection was made, because a second copy of a
    write that took effect would fail its comparison and hide that.
    """

    def __init__(
        self,
        endpoints: tuple[str, ...],
        *,
        call_timeout_ms: int = CALL_TIMEOUT_MS,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        watch_silence_ms: int = WATCH_SILENCE_MS,
    ) -> None:
        self._endpoints = tuple(check_endpoint(url) for url in endpoints)
        if not self._endpoints:
            raise errors.ConfigError("no endpoint of the store is given")
        self._preferred = 0
        self._call_timeout = aiohttp.ClientTimeout(
            total=call_timeout_ms / 1000,
            sock_connect=connect_timeout_ms / 1000,
        )
        self._watch_timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=connect_timeout_ms / 1000,
            sock_read=watch_silence_ms / 1000,
        )
        self._session: aiohttp.ClientSession | None = None

    async def get(self, key: str, *, revision: int = 0) -> store.GetResult:
        """Read one key, as it was at a store revision if one is given."""
        request = {"key": messages.encode_bytes(key.encode())}
        if revision:
            request["revision"] = str(revision)
        try:
            answer = await self._range(request)
        except _RefusedError as exc:
            if exc.code != _CODE_OUT_OF_RANGE:
                raise
            raise store.CompactedError(str(exc)) from exc
        entries = messages.entries(answer.kvs)
        if len(entries) > 1 or any(entry.key != key for entry in entries):
            raise errors.StoreError("the store answered with another key")
        return store.GetResult(
            answer.header.revision, entries[0] if entries else None
        )

    async def range(
        self, prefix: str, *, stale: bool = False
    ) -> store.RangeResult:
        """Read all keys that begin with a prefix; always the newest."""
        answer = await self._range(messages.prefix_range(prefix))
        entries = messages.entries(answer.kvs)
        if answer.more or not all(
            entry.key.startswith(prefix) for entry in entries
        ):
            raise errors.StoreError("the store answered with other keys")
        return store.RangeResult(answer.header.revision, entries)

    async def compare_and_put(
        self,
        key: str,
        value: bytes,
        *,
        mod_revision: int,
        lease_id: int = 0,
    ) -> store.PutResult:
        """Write a key if it still has ``mod_revision``; 0 means absent."""
        if len(value) > store.MAX_VALUE_BYTES:
            raise errors.StoreError(
                f"the value has {len(value)} bytes, the store takes "
                f"{store.MAX_VALUE_BYTES}"
            )
        encoded = messages.encode_bytes(key.encode())
        put = {"key": encoded, "value": messages.encode_bytes(value)}
        if lease_id:
            put["lease"] = str(lease_id)
        data = await self._write(
            "kv/txn",
            {
                "compare": [
                    {
                        "key": encoded,
                        "target": "MOD",
                        "result": "EQUAL",
                        "mod_revision": str(mod_revision),
                    }
                ],
                "success": [{"request_put": put}],
                "failure": [{"request_range": {"key": encoded}}],
            },
        )
        answer = _decode_written(data, messages.TxnAnswer)
        revision = answer.header.revision
        if answer.succeeded:
            return store.PutResult(True, revision)
        entries = messages.entries(
            tuple(
                entry
                for response in answer.responses
                if response.response_range is not None
                for entry in response.response_range.kvs
            )
        )
        return store.PutResult(
            False, revision, entries[0] if entries else None
        )

    async def watch(
        self, key: str, *, start_revision: int, prefix: bool = False
    ) -> AsyncIterator[store.WatchBatch]:
        """Follow the changes of a key, or of all keys with a prefix."""
        if prefix:
            selection = messages.prefix_range(key)
        else:
            selection = {"key": messages.encode_bytes(key.encode())}
        next_revision = start_revision
        while True:
            request = {
                "create_request": selection
                | {"start_revision": str(next_revision)}
            }
            try:
                async for batch in self._watch_once(request, next_revision):
                    yield batch
                    for change in batch.changes:
                        next_revision = change.mod_revision + 1
            except _SilenceError:
                continue

    async def grant_lease(self, ttl_s: int) -> store.Lease:
        """Create a lease."""
        data = await self._write("lease/grant", {"TTL": str(ttl_s)})
        answer = _decode_written(data, messages.LeaseAnswer)
        if answer.lease_id == 0 or answer.ttl_s < 1:
            raise errors.StoreError("the store granted no lease")
        return store.Lease(answer.lease_id, answer.ttl_s)

    async def keep_lease_alive(self, lease_id: int) -> store.Lease:
        """Renew a lease; raise LeaseLapsedError when it is gone."""
        data = await self._write("lease/keepalive", {"ID": str(lease_id)})
        answer = _decode_written(data, messages.KeepAliveAnswer)
        if answer.result is None:
            raise errors.StoreError("the store did not renew the lease")
        if answer.result.ttl_s < 1:
            raise store.LeaseLapsedError(f"lease {lease_id} has lapsed")
        return store.Lease(lease_id, answer.result.ttl_s)

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; a lapsed lease is no error."""
        try:
            await self._write("lease/revoke", {"ID": str(lease_id)})
        except _RefusedError as exc:
            if exc.code != _CODE_NOT_FOUND:
                raise

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None or self._session.closed:
            # A connection from a pool may be closed by the store while a
            # write is sent, and then its outcome is unknown without need.
            # Calls are rare, so each has a connection of its own.
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True),
                trust_env=False,
            )
        return self._session

    def _ordered_endpoints(self) -> tuple[int, ...]:
        count = len(self._endpoints)
        return tuple((self._preferred + i) % count for i in range(count))

    async def _range(self, request: dict[str, str]) -> messages.RangeAnswer:
        failure: Exception | None = None
        for index in self._ordered_endpoints():
            try:
                data = await self._post(index, "kv/range", request)
                answer = messages.decode(data, messages.RangeAnswer)
            except _RefusedError as exc:
                if exc.code != _CODE_UNAVAILABLE:
                    raise
                failure = exc
            except _TRANSPORT_ERRORS as exc:
                failure = exc
            else:
                self._preferred = index
                return answer
        raise errors.StoreUnavailableError(
            f"the store did not answer: {_reason(failure)}"
        ) from failure

    async def _write(self, call: str, request: dict[str, object]) -> bytes:
        failure: Exception | None = None
        for index in self._ordered_endpoints():
            try:
                data = await self._post(index, call, request)
            except _CONNECT_ERRORS as exc:
                failure = exc
                continue
            except _RefusedError as exc:
                if exc.code != _CODE_UNAVAILABLE:
                    raise
                raise errors.StoreOutcomeUnknownError(str(exc)) from exc
            except _TRANSPORT_ERRORS as exc:
                raise errors.StoreOutcomeUnknownError(
                    f"the store's answer was lost: {_reason(exc)}"
                ) from exc
            self._preferred = index
            return data
        raise errors.StoreUnavailableError(
            f"the store was not reached: {_reason(failure)}"
        ) from failure

    async def _post(
        self, index: int, call: str, request: dict[str, object]
    ) -> bytes:
        async with self._open_session().post(
            f"{self._endpoints[index]}/v3/{call}",
            json=request,
            timeout=self._call_timeout,
            allow_redirects=False,
        ) as response:
            data = bytearray()
            async for chunk in response.content.iter_chunked(_READ_BYTES):
                data += chunk
                if len(data) > _MAX_ANSWER_BYTES:
                    raise aiohttp.ClientPayloadError("the answer is too long")
            if response.status != _HTTP_OK:
                raise _refused(response.status, bytes(data))
            return bytes(data)

    async def _watch_once(
        self, request: dict[str, object], start_revision: int
    ) -> AsyncIterator[store.WatchBatch]:
        failure: Exception | None = None
        for index in self._ordered_endpoints():
            connected = False
            try:
                async with self._open_session().post(
                    f"{self._endpoints[index]}/v3/watch",
                    json=request,
                    timeout=self._watch_timeout,
                    allow_redirects=False,
                ) as response:
                    if response.status != _HTTP_OK:
                        raise _refused(
                            response.status,
                            await response.content.read(_READ_BYTES),
                        )
                    async for line in _lines(response.content):
                        batch = messages.batch(line, start_revision)
                        connected = True
                        self._preferred = index
                        yield batch
                raise errors.StoreUnavailableError("the store ended the watch")
            except _RefusedError as exc:
                if exc.code != _CODE_UNAVAILABLE:
                    raise
                failure = exc
            except aiohttp.SocketTimeoutError as exc:
                if connected:
                    raise _SilenceError from exc
                failure = exc
            except _TRANSPORT_ERRORS as exc:
                failure = exc
            if connected:
                break
        raise errors.StoreUnavailableError(
            f"the watch failed: {_reason(failure)}"
        ) from failure


def check_endpoint(text: str) -> str:
    """Return an endpoint without a final slash.

    :raises ConfigError: when it is not the URL of a host
    """
    if not settings.is_endpoint(text):
        raise errors.ConfigError(
            f"{text!r} is not a URL such as http://127.0.0.1:2379"
        )
    return text.rstrip("/")


def _decode_written(data: bytes, kind: type[T]) -> T:
    """Decode the answer to a write, whose effect is not known otherwise."""
    try:
        return messages.decode(data, kind)
    except errors.StoreError as exc:
        raise errors.StoreOutcomeUnknownError(str(exc)) from exc


def _refused(status: int, data: bytes) -> _RefusedError:
    try:
        refusal = msgspec.json.decode(data, type=_Refusal)
    except (msgspec.MsgspecError, ValueError):
        refusal = _Refusal()
    text = " ".join((refusal.message or refusal.error).split())[:200]
    code = refusal.code
    if status >= _HTTP_SERVER_ERROR:
        # The gateway answers 503 also when a write may still take effect.
        code = _CODE_UNAVAILABLE
    return _RefusedError(f"the store answered HTTP {status}: {text}", code)


def _reason(exc: Exception | None) -> str:
    if isinstance(exc, aiohttp.ClientConnectorError):
        return f"cannot connect to {exc.host}:{exc.port}"
    text = " ".join(str(exc).split())
    return text or type(exc).__name__


async def _lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    buffer = bytearray()
    async for chunk in content.iter_any():
        buffer += chunk
        *lines, rest = buffer.split(b"\n")
        buffer = bytearray(rest)
        if len(buffer) > _MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError("a message is too long")
        for line in lines:
            if line.strip():
                yield bytes(line)
