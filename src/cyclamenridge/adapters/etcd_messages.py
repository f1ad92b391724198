"""Responses of the JSON gateway of etcd v3, validated on decoding.

The gateway encodes 64-bit integers as strings and bytes as base64, and omits
fields that have their default value.
"""

import base64
from typing import Annotated
from typing import TypeVar

import msgspec

from cyclamenridge import errors
from cyclamenridge.ports import store

_T = TypeVar("_T")

Int64 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Revision = Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]
# The TTL of an expired lease is 0, or -1 in some responses.
TimeToLive = Annotated[int, msgspec.Meta(ge=-1, lt=2**31)]


class Header(msgspec.Struct, frozen=True):
    """Response header with the current store revision."""

    revision: Revision


class KeyValue(msgspec.Struct, frozen=True):
    """A key with its value and the revision of its last change."""

    key: bytes
    value: bytes = b""
    mod_revision: Int64 = 0


class RangeResponse(msgspec.Struct, frozen=True):
    """Response to a range request."""

    header: Header
    kvs: tuple[KeyValue, ...] = ()
    more: bool = False


class TxnRangeResponse(msgspec.Struct, frozen=True):
    """Range response within a transaction; its header may be missing."""

    kvs: tuple[KeyValue, ...] = ()


class ResponseOp(msgspec.Struct, frozen=True):
    """Response to the read that runs when the comparison fails."""

    response_range: TxnRangeResponse | None = None


class TxnResponse(msgspec.Struct, frozen=True):
    """Response to a transaction."""

    header: Header
    succeeded: bool = False
    responses: tuple[ResponseOp, ...] = ()


class Event(msgspec.Struct, frozen=True):
    """A change of a key; the gateway omits the type PUT."""

    kv: KeyValue
    type: str = "PUT"


class WatchResponse(msgspec.Struct, frozen=True):
    """One response of a watch."""

    header: Header
    created: bool = False
    canceled: bool = False
    compact_revision: Int64 = 0
    cancel_reason: str = ""
    events: tuple[Event, ...] = ()


class StreamError(msgspec.Struct, frozen=True):
    """An error that ends a stream."""

    message: str = ""


class WatchStreamMessage(msgspec.Struct, frozen=True):
    """One line of a watch stream: a response or an error."""

    result: WatchResponse | None = None
    error: StreamError | None = None


class LeaseResponse(msgspec.Struct, frozen=True):
    """Response to creating or renewing a lease."""

    lease_id: Int64 = msgspec.field(default=0, name="ID")
    ttl_s: TimeToLive = msgspec.field(default=0, name="TTL")


class KeepAliveStreamMessage(msgspec.Struct, frozen=True):
    """One line of a lease keepalive stream: a response or an error."""

    result: LeaseResponse | None = None
    error: StreamError | None = None


def decode(data: bytes, response_type: type[_T]) -> _T:
    """Decode a response.

    :raises StoreError: when it does not match the schema
    """
    try:
        return msgspec.json.decode(data, type=response_type, strict=False)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise errors.StoreError(
            f"the response of the store is invalid: {exc}"
        ) from exc


def encode_base64(data: bytes) -> str:
    """Encode bytes as the gateway expects them."""
    return base64.b64encode(data).decode()


def prefix_range(prefix: str) -> dict[str, str]:
    """Return the key range of a prefix: from it to the next prefix."""
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {"key": encode_base64(start), "range_end": encode_base64(end)}


def to_store_entries(kvs: tuple[KeyValue, ...]) -> tuple[store.KeyValue, ...]:
    """Convert entries to the type of the store port."""
    return tuple(
        store.KeyValue(_decode_key(kv), kv.value, kv.mod_revision)
        for kv in kvs
    )


def _decode_key(kv: KeyValue) -> str:
    try:
        return kv.key.decode()
    except UnicodeError as exc:
        raise errors.StoreError(
            "a key in the store is not valid UTF-8"
        ) from exc


def decode_watch_batch(line: bytes, start_revision: int) -> store.WatchBatch:
    """Decode one line of a watch.

    :param start_revision: revision that the watch was requested from
    :raises WatchLostError: when the watch cannot continue without a gap
    """
    response = decode(line, WatchStreamMessage)
    result = response.result
    if result is None:
        text = response.error.message if response.error else "no result"
        raise errors.StoreError(f"the watch ended: {text[:200]}")
    if result.canceled:
        reason = (
            result.cancel_reason
            or f"revisions before {result.compact_revision} are compacted"
        )
        raise store.WatchLostError(f"the store ended the watch: {reason}")
    if result.created and result.header.revision + 1 < start_revision:
        raise store.WatchLostError(
            f"the store is at revision {result.header.revision}, which is "
            f"older than the last seen revision {start_revision - 1}"
        )
    return store.WatchBatch(
        result.header.revision,
        tuple(
            store.Change(
                _decode_key(event.kv),
                None if event.type == "DELETE" else event.kv.value,
                event.kv.mod_revision,
            )
            for event in result.events
        ),
    )
