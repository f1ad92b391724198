"""The stored form of a configuration, with its revision and history."""

import dataclasses
import hashlib
import re

import msgspec

from cyclamenridge import errors

# Lets an operator whose reply was lost find its own apply id after others
# have applied theirs.
HISTORY_LENGTH = 32
# The platform accepts values of up to 1 MB.
MAX_ENCODED_BYTES = 1_000_000

_DIGEST_BYTES = 16
_MAX_REVISION = 2**63 - 1
_APPLY_ID_PATTERN = re.compile(r"[a-z0-9-]{1,64}")


class DocumentError(errors.ConfigError):
    """Stored bytes that do not decode to a valid document."""


class BodyTooLongError(errors.ConfigError):
    """A body whose encoded document exceeds the size limit of the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """One accepted revision of the configuration.

    :param revision: counts from 1 and grows by one with each accepted file
    :param digest: BLAKE2b-128 of ``body`` in hexadecimal
    :param apply_id: identifies the apply operation that wrote this revision
    :param history: earlier apply operations as (revision, apply id), newest
        first, at most ``HISTORY_LENGTH``
    :param body: the accepted file as YAML text
    """

    revision: int
    digest: str
    apply_id: str
    history: tuple[tuple[int, str], ...]
    body: str


def digest(body: str) -> str:
    """Return the BLAKE2b-128 digest of a body in hexadecimal."""
    return hashlib.blake2b(
        body.encode(), digest_size=_DIGEST_BYTES
    ).hexdigest()


def successor(
    previous: Document | None, *, body: str, apply_id: str
) -> Document:
    """Return the document that follows ``previous``.

    Without a previous document the revision is 1.
    """
    if previous is None:
        return Document(1, digest(body), apply_id, (), body)
    history = ((previous.revision, previous.apply_id), *previous.history)
    return Document(
        previous.revision + 1,
        digest(body),
        apply_id,
        history[:HISTORY_LENGTH],
        body,
    )


def apply_id_at(document: Document, revision: int) -> str | None:
    """Return the apply id of a revision, None if it is not in the history."""
    if revision == document.revision:
        return document.apply_id
    return dict(document.history).get(revision)


def revision_of(document: Document, apply_id: str) -> int | None:
    """Return the revision that an apply operation wrote.

    None if the operation is not in the history.
    """
    if apply_id == document.apply_id:
        return document.revision
    for revision, recorded_id in document.history:
        if recorded_id == apply_id:
            return revision
    return None


def needs_renumbering(stored: Document, known: Document) -> bool:
    """Return whether a stored document follows one with its number or above.

    A store that is restored from an older copy gives out revisions again. A
    document that it accepts then has an apply operation that ``known``
    lacks, although ``known`` has recorded another one for its revision, or
    the other way round. Without such a record, ``stored`` is taken for an
    old copy if its revision is lower.
    """
    if revision_of(known, stored.apply_id) is not None:
        return False
    if revision_of(stored, known.apply_id) is not None:
        return stored.revision <= known.revision
    revision = min(stored.revision, known.revision)
    ids = (apply_id_at(stored, revision), apply_id_at(known, revision))
    return None not in ids and ids[0] != ids[1]


def renumbered(stored: Document, known: Document) -> Document:
    """Return a stored document as a successor of one from a lost history.

    The apply operations that ``known`` lacks get the revisions after it, so
    that each operation of both histories is recorded once.
    """
    oldest_revision = min((known.revision, *dict(known.history)))
    new_ids = [
        apply_id
        for revision, apply_id in (
            (stored.revision, stored.apply_id),
            *stored.history,
        )
        if revision >= oldest_revision and revision_of(known, apply_id) is None
    ]
    entries = (
        *(
            (known.revision + len(new_ids) - index, apply_id)
            for index, apply_id in enumerate(new_ids)
        ),
        (known.revision, known.apply_id),
        *known.history,
    )
    return dataclasses.replace(
        stored,
        revision=entries[0][0],
        history=entries[1 : HISTORY_LENGTH + 1],
    )


def encode(document: Document) -> bytes:
    """Encode a document for the store.

    :raises BodyTooLongError: if it exceeds ``MAX_ENCODED_BYTES``
    """
    data = msgspec.json.encode(document)
    if len(data) > MAX_ENCODED_BYTES:
        raise BodyTooLongError(
            f"the encoded document has {len(data)} bytes; allowed: at most "
            f"{MAX_ENCODED_BYTES}"
        )
    return data


def decode(data: bytes) -> Document:
    """Decode and validate a stored document.

    :raises DocumentError: if the bytes are not a valid document
    """
    try:
        document = msgspec.json.decode(data, type=Document)
        digest_matches = digest(document.body) == document.digest
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise DocumentError(f"the document is not valid: {exc}") from exc
    if not digest_matches:
        raise DocumentError(
            "the digest of the document does not match its body"
        )
    if not 1 <= document.revision <= _MAX_REVISION:
        raise DocumentError(f"revision {document.revision} is out of range")
    _check_history(document)
    return document


def _check_history(document: Document) -> None:
    if len(document.history) > HISTORY_LENGTH:
        raise DocumentError("the history of the document is too long")
    newer = document.revision
    for revision, _ in document.history:
        if not 1 <= revision < newer:
            raise DocumentError(
                "the history of the document is not in descending order of "
                "revisions"
            )
        newer = revision
    for apply_id in (document.apply_id, *dict(document.history).values()):
        if not _APPLY_ID_PATTERN.fullmatch(apply_id):
            raise DocumentError("an apply id of the document is not valid")
