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

_T = TypeVar("_T")

CALL_TIMEOUT_MS = 2000
CONNECT_TIMEOUT_MS = 500
# A half-open connection looks like a watch without changes, so a watch is
# reopened when it receives nothing for this long.
WATCH_IDLE_TIMEOUT_MS = 30_000

# 3,300 listed instances take about 1.2 MB, and a watch that lags may receive
# several values of up to 1 MB at once.
_MAX_RESPONSE_BYTES = 16_000_000
_READ_BYTES = 65_536
_HTTP_OK = 200
_HTTP_SERVER_ERROR = 500
# gRPC status codes.
_CODE_NOT_FOUND = 5
_CODE_OUT_OF_RANGE = 11
_CODE_UNAVAILABLE = 14
_CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_TRANSPORT_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class _StatusError(errors.StoreError):
    """The store responded with an error status.

    :ivar code: gRPC status code
    """

    def __init__(self, message: str, code: int) -> None:
        super().__init__(message)
        self.code = code


class _IdleTimeoutError(Exception):
    """A watch received nothing within the idle timeout."""


class _ErrorBody(msgspec.Struct, frozen=True):
    message: str = ""
    error: str = ""
    code: int = 0


class EtcdStore(store.KeyValueStore):
    """A store with one or several endpoints.

    A read is retried at the next endpoint after any failure. A write is
    retried only if no connection was established: a repeated write whose
    first attempt took effect would fail its comparison and look as if
    nothing had been written.
    """

    def __init__(
        self,
        endpoints: tuple[str, ...],
        *,
        call_timeout_ms: int = CALL_TIMEOUT_MS,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        watch_idle_timeout_ms: int = WATCH_IDLE_TIMEOUT_MS,
    ) -> None:
        self._endpoints = tuple(check_endpoint(url) for url in endpoints)
        if not self._endpoints:
            raise errors.ConfigError("no store endpoint is configured")
        self._preferred_index = 0
        self._call_timeout = aiohttp.ClientTimeout(
            total=call_timeout_ms / 1000,
            sock_connect=connect_timeout_ms / 1000,
        )
        self._watch_timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=connect_timeout_ms / 1000,
            sock_read=watch_idle_timeout_ms / 1000,
        )
        self._session: aiohttp.ClientSession | None = None

    async def get(self, key: str, *, revision: int = 0) -> store.GetResult:
        """Read one key, as it was at a store revision if one is given."""
        request = {"key": messages.encode_base64(key.encode())}
        if revision:
            request["revision"] = str(revision)
        try:
            response = await self._read_range(request)
        except _StatusError as exc:
            if exc.code != _CODE_OUT_OF_RANGE:
                raise
            raise store.CompactedError(str(exc)) from exc
        entries = messages.to_store_entries(response.kvs)
        if len(entries) > 1 or any(entry.key != key for entry in entries):
            raise errors.StoreError("the store returned a different key")
        return store.GetResult(
            response.header.revision, entries[0] if entries else None
        )

    async def range(
        self, prefix: str, *, stale: bool = False
    ) -> store.RangeResult:
        """Read all keys that begin with a prefix.

        ``stale`` has no effect: the result is always current.
        """
        response = await self._read_range(messages.prefix_range(prefix))
        entries = messages.to_store_entries(response.kvs)
        if response.more or not all(
            entry.key.startswith(prefix) for entry in entries
        ):
            raise errors.StoreError(
                "the store returned keys outside the prefix"
            )
        return store.RangeResult(response.header.revision, entries)

    async def compare_and_put(
        self,
        key: str,
        value: bytes,
        *,
        mod_revision: int,
        previous_value: bytes | None = None,
        lease_id: int = 0,
    ) -> store.PutResult:
        """Write a key if it still has ``mod_revision``; 0 means absent."""
        if len(value) > store.MAX_VALUE_BYTES:
            raise errors.StoreError(
                f"the value has {len(value)} bytes, the store accepts at "
                f"most {store.MAX_VALUE_BYTES}"
            )
        encoded = messages.encode_base64(key.encode())
        put = {"key": encoded, "value": messages.encode_base64(value)}
        if lease_id:
            put["lease"] = str(lease_id)
        compare = [
            {
                "key": encoded,
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(mod_revision),
            }
        ]
        if previous_value is not None:
            compare.append(
                {
                    "key": encoded,
                    "target": "VALUE",
                    "result": "EQUAL",
                    "value": messages.encode_base64(previous_value),
                }
            )
        data = await self._write(
            "kv/txn",
            {
                "compare": compare,
                "success": [{"request_put": put}],
                "failure": [{"request_range": {"key": encoded}}],
            },
        )
        response = _decode_write_response(data, messages.TxnResponse)
        revision = response.header.revision
        if response.succeeded:
            return store.PutResult(True, revision)
        entries = messages.to_store_entries(
            tuple(
                kv
                for op in response.responses
                if op.response_range is not None
                for kv in op.response_range.kvs
            )
        )
        return store.PutResult(
            False, revision, entries[0] if entries else None
        )

    async def watch(
        self,
        key: str,
        *,
        start_revision: int,
        prefix: bool = False,
        epoch: int = 0,
    ) -> AsyncIterator[store.WatchBatch]:
        """Watch the changes of a key, or of all keys with a prefix."""
        if prefix:
            selection = messages.prefix_range(key)
        else:
            selection = {"key": messages.encode_base64(key.encode())}
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
            except _IdleTimeoutError:
                continue

    async def grant_lease(self, ttl_s: int) -> store.Lease:
        """Create a lease."""
        data = await self._write("lease/grant", {"TTL": str(ttl_s)})
        response = _decode_write_response(data, messages.LeaseResponse)
        if response.lease_id == 0 or response.ttl_s < 1:
            raise errors.StoreError("the store granted no lease")
        return store.Lease(response.lease_id, response.ttl_s)

    async def keep_lease_alive(self, lease_id: int) -> store.Lease:
        """Renew a lease.

        :raises LeaseExpiredError: when it has expired or was revoked
        """
        data = await self._write("lease/keepalive", {"ID": str(lease_id)})
        response = _decode_write_response(
            data, messages.KeepAliveStreamMessage
        )
        if response.result is None:
            raise errors.StoreError("the store did not renew the lease")
        if response.result.ttl_s < 1:
            raise store.LeaseExpiredError(f"lease {lease_id} has expired")
        return store.Lease(lease_id, response.result.ttl_s)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys; an expired one is no error."""
        try:
            await self._write("lease/revoke", {"ID": str(lease_id)})
        except _StatusError as exc:
            if exc.code != _CODE_NOT_FOUND:
                raise

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None or self._session.closed:
            # The store may close an idle pooled connection while a write is
            # being sent, which would leave the outcome of the write unknown.
            # Calls are rare, so each call opens its own connection.
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True),
                trust_env=False,
            )
        return self._session

    def _ordered_endpoints(self) -> tuple[int, ...]:
        count = len(self._endpoints)
        return tuple((self._preferred_index + i) % count for i in range(count))

    async def _read_range(
        self, request: dict[str, str]
    ) -> messages.RangeResponse:
        failure: Exception | None = None
        for index in self._ordered_endpoints():
            try:
                data = await self._post(index, "kv/range", request)
                response = messages.decode(data, messages.RangeResponse)
            except _StatusError as exc:
                if exc.code != _CODE_UNAVAILABLE:
                    raise
                failure = exc
            except _TRANSPORT_ERRORS as exc:
                failure = exc
            else:
                self._preferred_index = index
                return response
        raise errors.StoreUnavailableError(
            f"the store did not respond: {_describe_failure(failure)}"
        ) from failure

    async def _write(self, path: str, request: dict[str, object]) -> bytes:
        failure: Exception | None = None
        for index in self._ordered_endpoints():
            try:
                data = await self._post(index, path, request)
            except _CONNECT_ERRORS as exc:
                failure = exc
                continue
            except _StatusError as exc:
                if exc.code != _CODE_UNAVAILABLE:
                    raise
                raise errors.StoreOutcomeUnknownError(str(exc)) from exc
            except _TRANSPORT_ERRORS as exc:
                raise errors.StoreOutcomeUnknownError(
                    "the response of the store was lost: "
                    f"{_describe_failure(exc)}"
                ) from exc
            self._preferred_index = index
            return data
        raise errors.StoreUnavailableError(
            f"the store is unreachable: {_describe_failure(failure)}"
        ) from failure

    async def _post(
        self, index: int, path: str, request: dict[str, object]
    ) -> bytes:
        async with self._open_session().post(
            f"{self._endpoints[index]}/v3/{path}",
            json=request,
            timeout=self._call_timeout,
            allow_redirects=False,
        ) as response:
            data = bytearray()
            async for chunk in response.content.iter_chunked(_READ_BYTES):
                data += chunk
                if len(data) > _MAX_RESPONSE_BYTES:
                    raise aiohttp.ClientPayloadError(
                        "the response is too long"
                    )
            if response.status != _HTTP_OK:
                raise _status_error(response.status, bytes(data))
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
                        raise _status_error(
                            response.status,
                            await response.content.read(_READ_BYTES),
                        )
                    async for line in _iter_lines(response.content):
                        batch = messages.decode_watch_batch(
                            line, start_revision
                        )
                        connected = True
                        self._preferred_index = index
                        yield batch
                raise errors.StoreUnavailableError("the store ended the watch")
            except _StatusError as exc:
                if exc.code != _CODE_UNAVAILABLE:
                    raise
                failure = exc
            except aiohttp.SocketTimeoutError as exc:
                if connected:
                    raise _IdleTimeoutError from exc
                failure = exc
            except _TRANSPORT_ERRORS as exc:
                failure = exc
            if connected:
                break
        raise errors.StoreUnavailableError(
            f"the watch failed: {_describe_failure(failure)}"
        ) from failure


def check_endpoint(text: str) -> str:
    """Validate the URL of an endpoint and remove its trailing slash.

    :raises ConfigError: when it is not the URL of a host
    """
    if not settings.is_endpoint(text):
        raise errors.ConfigError(
            f"{text!r} is not a URL such as http://127.0.0.1:2379"
        )
    return text.rstrip("/")


def _decode_write_response(data: bytes, response_type: type[_T]) -> _T:
    """Decode the response to a write.

    :raises StoreOutcomeUnknownError: when the response is invalid
    """
    try:
        return messages.decode(data, response_type)
    except errors.StoreError as exc:
        raise errors.StoreOutcomeUnknownError(str(exc)) from exc


def _status_error(status: int, data: bytes) -> _StatusError:
    try:
        error_body = msgspec.json.decode(data, type=_ErrorBody)
    except (msgspec.MsgspecError, ValueError):
        error_body = _ErrorBody()
    text = " ".join((error_body.message or error_body.error).split())[:200]
    code = error_body.code
    if status >= _HTTP_SERVER_ERROR:
        # The gateway also responds with 503 to a write that may still take
        # effect.
        code = _CODE_UNAVAILABLE
    return _StatusError(
        f"the store responded with HTTP {status}: {text}", code
    )


def _describe_failure(exc: Exception | None) -> str:
    if isinstance(exc, aiohttp.ClientConnectorError):
        return f"cannot connect to {exc.host}:{exc.port}"
    text = " ".join(str(exc).split())
    return text or type(exc).__name__


async def _iter_lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    buffer = bytearray()
    async for chunk in content.iter_any():
        buffer += chunk
        *lines, rest = buffer.split(b"\n")
        buffer = bytearray(rest)
        if len(buffer) > _MAX_RESPONSE_BYTES:
            raise aiohttp.ClientPayloadError("a message is too long")
        for line in lines:
            if line.strip():
                yield bytes(line)
