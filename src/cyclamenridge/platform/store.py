"""Client of the platform's key-value store."""

import binascii
from collections.abc import AsyncIterator
from typing import TypeVar
import urllib.parse

import msgspec

from cyclamenridge.adapters import http
import cyclamenridge.address as address_lib
import cyclamenridge.errors as errors
from cyclamenridge.flow import fields
from cyclamenridge.ports import store

CONNECT_TIMEOUT_MS = 1000
CALL_TIMEOUT_MS = 2500
# A watch times out this long after its ``wait_ms``.
WATCH_MARGIN_MS = 1000
# The first call of a watch confirms the state that was read before, so it
# does not wait for a change.
_FIRST_WAIT_MS = 1
_MAX_PAGES = 1000
_EPOCH_HEADER = "store-era"

_T = TypeVar("_T")


class _Item(msgspec.Struct):
    key: str
    revision: int
    # Encoded in standard base64.
    value: str = ""
    deleted: bool = False


class _KeyResponse(msgspec.Struct):
    key: str
    value: str
    revision: int
    store_revision: int


class _RangeResponse(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    store_revision: int


class _WatchResponse(msgspec.Struct):
    events: list[_Item]
    store_revision: int


class _TransactionResponse(msgspec.Struct):
    revision: int


class _ConflictResponse(msgspec.Struct):
    items: list[_Item]


class _LeaseResponse(msgspec.Struct):
    ttl_ms: int
    lease: int = 0


class _MissingKeyResponse(msgspec.Struct):
    store_revision: int = 0


class PlatformStore(store.KeyValueStore):
    """HTTP client of the store.

    Calls share one connection; each watch has its own.
    """

    def __init__(
        self, address: address_lib.Address, *, watch_wait_ms: int
    ) -> None:
        self._address = address
        self._watch_wait_ms = watch_wait_ms
        self._calls = http.HttpClient(address)
        self._watches: set[http.HttpClient] = set()

    async def get(self, key: str, *, revision: int = 0) -> store.GetResult:
        """Read one key; older revisions are not available."""
        if revision:
            raise store.CompactedError(
                "the store keeps only the newest revision of a key"
            )
        response = await self._read("/kv-key", key=key)
        if response.status == 404:
            missing = _decode_response(response, _MissingKeyResponse)
            return store.GetResult(
                missing.store_revision, None, _epoch_of(response)
            )
        item = _decode_response(response, _KeyResponse)
        return store.GetResult(
            item.store_revision,
            store.KeyValue(item.key, _decode_value(item.value), item.revision),
            _epoch_of(response),
        )

    async def range(
        self, prefix: str, *, stale: bool = False
    ) -> store.RangeResult:
        """Read all keys that begin with a prefix, page by page.

        The pages are not a consistent snapshot. The result has the revision
        of the first one, so that a watch from there misses no change.
        """
        entries: dict[str, store.KeyValue] = {}
        revision = 0
        epoch: int | None = None
        after = ""
        for _ in range(_MAX_PAGES):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            if stale:
                query["stale_ok"] = "1"
            response = await self._read("/kv-range", **query)
            page = _decode_response(response, _RangeResponse)
            revision = revision or page.store_revision
            if epoch is None:
                epoch = _epoch_of(response)
            elif epoch != _epoch_of(response):
                raise errors.StoreError(
                    "the store changed its epoch meanwhile"
                )
            for item in page.items:
                entries[item.key] = store.KeyValue(
                    item.key, _decode_value(item.value), item.revision
                )
            if not page.has_more or not page.items:
                return store.RangeResult(
                    revision,
                    tuple(entries[key] for key in sorted(entries)),
                    epoch,
                )
            after = page.items[-1].key
        raise errors.StoreError("the store returned too many pages")

    async def compare_and_put(
        self,
        key: str,
        value: bytes,
        *,
        mod_revision: int,
        previous_value: bytes | None = None,
        lease_id: int = 0,
    ) -> store.PutResult:
        """Write a key if it still has ``mod_revision``; 0 means absent.

        :raises StoreError: for a ``previous_value``, because this store
            compares revisions only
        """
        if previous_value is not None:
            raise errors.StoreError("the store cannot compare values")
        body = {
            "expected_rev": [{"key": key, "revision": mod_revision}],
            "puts": [
                {
                    "key": key,
                    "value": binascii.b2a_base64(
                        value, newline=False
                    ).decode(),
                    "lease": lease_id,
                }
            ],
            "remove": [],
        }
        response = await self._write("POST", "/kv-txn", body)
        if response.status == 412:
            items = _decode_response(
                response, _ConflictResponse, status=412
            ).items
            existing = [i for i in items if i.key == key and i.revision]
            current = None
            if existing and not existing[0].deleted:
                current = store.KeyValue(
                    key, _decode_value(existing[0].value), existing[0].revision
                )
            return store.PutResult(False, 0, current)
        if response.status == 404:
            raise store.LeaseExpiredError(f"lease {lease_id} has expired")
        return store.PutResult(
            True, _decode_response(response, _TransactionResponse).revision
        )

    async def watch(
        self,
        key: str,
        *,
        start_revision: int,
        prefix: bool = False,
        epoch: int = 0,
    ) -> AsyncIterator[store.WatchBatch]:
        """Watch one key, or with ``prefix`` all keys that begin with it."""
        client = http.HttpClient(self._address)
        self._watches.add(client)
        after = start_revision - 1
        wait_ms = _FIRST_WAIT_MS
        try:
            while True:
                query = urllib.parse.urlencode(
                    {
                        "prefix": key,
                        "after": after,
                        "wait_ms": wait_ms,
                    }
                )
                response = await _call(
                    client,
                    "GET",
                    f"/kv-watch?{query}",
                    timeout_ms=wait_ms + WATCH_MARGIN_MS,
                )
                wait_ms = self._watch_wait_ms
                found_epoch = _epoch_of(response)
                if epoch and found_epoch and found_epoch != epoch:
                    raise store.WatchLostError(
                        f"the store went from epoch {epoch} to {found_epoch}"
                    )
                if response.status == 410:
                    raise store.WatchLostError(
                        f"history after revision {after} was compacted"
                    )
                batch = _decode_response(response, _WatchResponse)
                if batch.store_revision < after:
                    raise store.WatchLostError(
                        f"store revision went back from {after} "
                        f"to {batch.store_revision}"
                    )
                after = batch.store_revision
                yield store.WatchBatch(
                    after,
                    tuple(
                        store.Change(
                            item.key,
                            None
                            if item.deleted
                            else _decode_value(item.value),
                            item.revision,
                        )
                        for item in batch.events
                        if prefix or item.key == key
                    ),
                    _epoch_of(response),
                )
        finally:
            client.close()
            self._watches.discard(client)

    async def grant_lease(self, ttl_s: int) -> store.Lease:
        """Create a lease."""
        response = await self._write(
            "POST", "/kv-lease", {"ttl_ms": ttl_s * 1000}
        )
        lease = _decode_response(response, _LeaseResponse)
        return store.Lease(lease.lease, lease.ttl_ms // 1000)

    async def keep_lease_alive(self, lease_id: int) -> store.Lease:
        """Renew a lease; raises LeaseExpiredError when it has expired."""
        response = await self._write("POST", f"/kv-keep/{lease_id}", None)
        if response.status == 404:
            raise store.LeaseExpiredError(f"lease {lease_id} has expired")
        return store.Lease(
            lease_id, _decode_response(response, _LeaseResponse).ttl_ms // 1000
        )

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys; an expired one is no error."""
        response = await self._write(
            "DELETE", f"/kv-lease-end/{lease_id}", None
        )
        if response.status not in (200, 204, 404):
            raise _status_error(response)

    async def close(self) -> None:
        """Close all connections."""
        for client in (self._calls, *self._watches):
            client.close()

    async def _read(self, path: str, **query: str) -> http.Response:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return await _call(self._calls, "GET", target)

    async def _write(
        self, method: str, path: str, body: object | None
    ) -> http.Response:
        data = b"" if body is None else msgspec.json.encode(body)
        return await _call(self._calls, method, path, data, write=True)


async def _call(
    client: http.HttpClient,
    method: str,
    target: str,
    body: bytes = b"",
    *,
    write: bool = False,
    timeout_ms: int = CALL_TIMEOUT_MS,
) -> http.Response:
    try:
        response = await client.request(
            method,
            target,
            body,
            timeout_ms=timeout_ms,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
        )
    except http.ConnectError as exc:
        raise errors.StoreUnavailableError(str(exc)) from exc
    except http.NoResponseError as exc:
        if write:
            raise errors.StoreOutcomeUnknownError(str(exc)) from exc
        raise errors.StoreUnavailableError(str(exc)) from exc
    if response.status in (429, 503):
        # Both statuses guarantee that the call had no effect.
        raise errors.StoreUnavailableError(
            f"{method} {target}: status {response.status}"
        )
    return response


def _decode_response(
    response: http.Response, kind: type[_T], *, status: int = 200
) -> _T:
    if response.status != status and not (
        kind is _MissingKeyResponse and response.status == 404
    ):
        raise _status_error(response)
    try:
        return msgspec.json.decode(response.body, type=kind)
    except fields.DECODING_ERRORS as exc:
        if kind is _MissingKeyResponse:
            return kind()
        raise errors.StoreError(
            f"cannot decode response of the store: {exc}"
        ) from exc


def _epoch_of(response: http.Response) -> int:
    """Return the epoch of the store's history, 0 if it is not valid."""
    value = response.headers.get(_EPOCH_HEADER, "")
    return int(value) if value.isascii() and value.isdecimal() else 0


def _status_error(response: http.Response) -> errors.StoreError:
    text = response.body[:200].decode(errors="replace")
    return errors.StoreError(
        f"the store responded with status {response.status}: {text}"
    )


def _decode_value(text: str) -> bytes:
    """Decode the value of an item.

    Invalid base64 is returned as it is, so that decoding fails for this entry
    only and not for the whole response.
    """
    try:
        return binascii.a2b_base64(text, strict_mode=True)
    except (binascii.Error, ValueError):
        return text.encode()
