"""Encoding of documents for transfer, whole or as a delta."""

import hashlib
import zlib

import msgspec
import xxhash

from cyclamenridge.config import document as document_lib
import cyclamenridge.errors as errors

# Limit of a decompressed transfer. The store accepts values of up to 1 MB, and
# the other fields of _Transfer need some space.
MAX_DOCUMENT_BYTES = 1_100_000
_ZLIB_LEVEL = 6

Document = document_lib.Document


class _Transfer(msgspec.Struct, frozen=True, array_like=True):
    """A document whose body replaces the middle of the base's body.

    :param prefix: number of bytes copied from the start of the base
    :param suffix: number of bytes copied from the end of the base
    """

    revision: int
    digest: str
    apply_id: str
    history: tuple[tuple[int, str], ...]
    prefix: int
    suffix: int
    middle: bytes


def body_digest(body: str) -> str:
    """Return the BLAKE2b digest of a document body, in hex."""
    return hashlib.blake2b(
        body.encode("utf-8", "surrogatepass"), digest_size=16
    ).hexdigest()


def short_digest(document: Document | None) -> int:
    """Return the first 8 bytes of a document's digest, 0 for none."""
    if document is None:
        return 0
    return int(document.digest[:16], 16)


def transfer_id(packed: bytes) -> int:
    """Return the hash that identifies a transfer."""
    return xxhash.xxh3_64_intdigest(packed)


def pack(document: Document, base: Document | None) -> bytes:
    """Encode a document, as a delta if the receiver holds ``base``.

    An edit usually affects one place of the file, so the common prefix and
    suffix of the two bodies are not sent.
    """
    body = document.body.encode()
    prefix = suffix = 0
    if base is not None:
        base_body = base.body.encode()
        prefix = _common_prefix(base_body, body)
        limit = min(len(base_body), len(body)) - prefix
        suffix = min(limit, _common_prefix(base_body[::-1], body[::-1]))
    transfer = _Transfer(
        revision=document.revision,
        digest=document.digest,
        apply_id=document.apply_id,
        history=document.history,
        prefix=prefix,
        suffix=suffix,
        middle=body[prefix : len(body) - suffix],
    )
    return zlib.compress(msgspec.msgpack.encode(transfer), _ZLIB_LEVEL)


def unpack(packed: bytes, base: Document | None) -> Document:
    """Decode a transfer.

    :raises ControlError: if it is malformed or its digest does not match
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(packed, MAX_DOCUMENT_BYTES)
        if not decompressor.eof:
            raise errors.ControlError("transfer is truncated or too large")
        transfer = msgspec.msgpack.decode(raw, type=_Transfer)
        base_body = b"" if base is None else base.body.encode()
        if (
            transfer.prefix < 0
            or transfer.suffix < 0
            or transfer.prefix + transfer.suffix > len(base_body)
        ):
            raise errors.ControlError("transfer copies bytes beyond its base")
        body = (
            base_body[: transfer.prefix]
            + transfer.middle
            + base_body[len(base_body) - transfer.suffix :]
        )
        document = Document(
            revision=transfer.revision,
            digest=transfer.digest,
            apply_id=transfer.apply_id,
            history=transfer.history,
            body=body.decode(),
        )
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise errors.ControlError("transfer cannot be decoded") from exc
    if body_digest(document.body) != document.digest:
        raise errors.ControlError("document does not match its digest")
    return document


def _common_prefix(left: bytes, right: bytes) -> int:
    """Return the length of the common prefix, found by bisection."""
    low, high = 0, min(len(left), len(right))
    while low < high:
        middle = (low + high + 1) // 2
        if left[low:middle] == right[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low
