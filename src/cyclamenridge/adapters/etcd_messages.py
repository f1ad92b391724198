"""Answers of the JSON gateway of etcd v3, validated on decoding.

The gateway writes 64-bit integers as strings, bytes as base64, and leaves
out fields that have their default value.
"""

import base64
from typing import Annotated
from typing import TypeVar

import msgspec

from cyclamenridge import errors
from cyclamenridge.ports import store

T = TypeVar("T")

Int64 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Revision = Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]
# A lease that is gone has a time to live of 0, or -1 in some answers.
TimeToLive = Annotated[int, msgspec.Meta(ge=-1, lt=2**31)]


class Header(msgspec.Struct, frozen=True):
    """Header with the store revision."""

    revision: Revision


class KeyValue(msgspec.Struct, frozen=True):
    """An entry."""

    key: bytes
    value: bytes = b""
    mod_revision: Int64 = 0


class RangeAnswer(msgspec.Struct, frozen=True):
    """Answer to a range request."""

    header: Header
    kvs: tuple[KeyValue, ...] = ()
    more: bool = False


class FailureRange(msgspec.Struct, frozen=True):
    """Range answer within a transaction, which may lack the header."""

    kvs: tuple[KeyValue, ...] = ()


class FailureResponse(msgspec.Struct, frozen=True):
    """Answer to the read that follows a comparison that did not hold."""

    response_range: FailureRange | None = None


class TxnAnswer(msgspec.Struct, frozen=True):
    """Answer to a transaction."""

    header: Header
    succeeded: bool = False
    responses: tuple[FailureResponse, ...] = ()


class Event(msgspec.Struct, frozen=True):
    """A change; the type PUT is left out."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True):
    """One message of a watch."""

    header: Header
    created: bool = False
    canceled: bool = False
    compact_revision: Int64 = 0
    cancel_reason: str = ""
    events: tuple[Event, ...] = ()


class StreamError(msgspec.Struct, frozen=True):
    """Error within a stream."""

    message: str = ""


class WatchAnswer(msgspec.Struct, frozen=True):
    """One line of a watch stream."""

    result: WatchResult | None = None
    error: StreamError | None = None


class LeaseAnswer(msgspec.Struct, frozen=True):
    """Answer to granting a lease."""

    lease_id: Int64 = msgspec.field(default=0, name="ID")
    ttl_s: TimeToLive = msgspec.field(default=0, name="TTL")


class KeepAliveAnswer(msgspec.Struct, frozen=True):
    """One line of a keepalive stream."""

    result: LeaseAnswer | None = None
    error: StreamError | None = None


class Empty(msgspec.Struct, frozen=True):
    """An answer whose content does not matter."""


def decode(data: bytes, kind: type[T]) -> T:
    """Decode an answer.

    :raises StoreError: when it does not have the published form
    """
    try:
        return msgspec.json.decode(data, type=kind, strict=False)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise errors.StoreError(
            f"the store's answer is not valid: {exc}"
        ) from exc


def encode_bytes(data: bytes) -> str:
    """Return bytes as the gateway writes them."""
    return base64.b64encode(data).decode()


def prefix_range(prefix: str) -> dict[str, str]:
    """Return the range of keys from a prefix up to its successor."""
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {"key": encode_bytes(start), "range_end": encode_bytes(end)}


def entries(kvs: tuple[KeyValue, ...]) -> tuple[store.KeyValue, ...]:
    """Return entries in the form of the store port."""
    return tuple(
        store.KeyValue(_key(kv), kv.value, kv.mod_revision) for kv in kvs
    )


def _key(kv: KeyValue) -> str:
    try:
        return kv.key.decode()
    except UnicodeError as exc:
        raise errors.StoreError("a key of the store is not UTF-8") from exc


def batch(line: bytes, start_revision: int) -> store.WatchBatch:
    """Decode one line of a watch that began at ``start_revision``.

    :raises WatchLostError: when the watch cannot continue without a gap
    """
    answer = decode(line, WatchAnswer)
    result = answer.result
    if result is None:
        text = answer.error.message if answer.error else "no result"
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
            f"older than {start_revision - 1} that was seen before"
        )
    return store.WatchBatch(
        result.header.revision,
        tuple(
            store.Change(
                _key(event.kv),
                None if event.type == "DELETE" else event.kv.value,
                event.kv.mod_revision,
            )
            for event in result.events
        ),
    )
