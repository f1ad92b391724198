"""Compressed form of a document, whole or relative to another one."""

import hashlib
import zlib

import msgspec
import xxhash

from cyclamenridge.config import document as document_lib
import cyclamenridge.errors as errors

# The store takes values of up to 1 MB; the envelope needs a little more.
MAX_DOCUMENT_BYTES = 1_100_000
_LEVEL = 6

Document = document_lib.Document


class _Transfer(msgspec.Struct, frozen=True, array_like=True):
    """A document whose body replaces the middle of a base's body.

    ``prefix`` and ``suffix`` are the bytes kept of the base.
    """

    revision: int
    digest: str
    apply_id: str
    history: tuple[tuple[int, str], ...]
    prefix: int
    suffix: int
    middle: bytes


def body_digest(body: str) -> str:
    """Return the digest of a body."""
    return hashlib.blake2b(
        body.encode("utf-8", "surrogatepass"), digest_size=16
    ).hexdigest()


def short_digest(document: Document | None) -> int:
    """Return the digest's form in the header of messages."""
    if document is None:
        return 0
    return int(document.digest[:16], 16)


def identity(blob: bytes) -> int:
    """Return the number that tells transfers apart."""
    return xxhash.xxh3_64_intdigest(blob)


def pack(document: Document, base: Document | None) -> bytes:
    """Return the transfer of a document to a peer that holds ``base``.

    An edit is usually confined to one place of the file, so what precedes
    and follows it is not sent.
    """
    body = document.body.encode()
    prefix = suffix = 0
    if base is not None:
        old = base.body.encode()
        prefix = _common_prefix(old, body)
        limit = min(len(old), len(body)) - prefix
        suffix = min(limit, _common_prefix(old[::-1], body[::-1]))
    transfer = _Transfer(
        revision=document.revision,
        digest=document.digest,
        apply_id=document.apply_id,
        history=document.history,
        prefix=prefix,
        suffix=suffix,
        middle=body[prefix : len(body) - suffix],
    )
    return zlib.compress(msgspec.msgpack.encode(transfer), _LEVEL)


def unpack(blob: bytes, base: Document | None) -> Document:
    """Return the document of a transfer.

    :raises ControlError: if it is malformed or its digest does not match
    """
    inflate = zlib.decompressobj()
    try:
        raw = inflate.decompress(blob, MAX_DOCUMENT_BYTES)
        if not inflate.eof:
            raise errors.ControlError("document is cut off or too large")
        transfer = msgspec.msgpack.decode(raw, type=_Transfer)
        old = b"" if base is None else base.body.encode()
        if (
            transfer.prefix < 0
            or transfer.suffix < 0
            or transfer.prefix + transfer.suffix > len(old)
        ):
            raise errors.ControlError("document refers to bytes of no base")
        body = (
            old[: transfer.prefix]
            + transfer.middle
            + old[len(old) - transfer.suffix :]
        )
        document = Document(
            revision=transfer.revision,
            digest=transfer.digest,
            apply_id=transfer.apply_id,
            history=transfer.history,
            body=body.decode(),
        )
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise errors.ControlError("document cannot be decoded") from exc
    if body_digest(document.body) != document.digest:
        raise errors.ControlError("document does not match its digest")
    return document


def _common_prefix(left: bytes, right: bytes) -> int:
    """Return the length of the common prefix by bisection."""
    low, high = 0, min(len(left), len(right))
    while low < high:
        middle = (low + high + 1) // 2
        if left[low:middle] == right[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low
