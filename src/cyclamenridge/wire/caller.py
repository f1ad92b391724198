"""Messages of the caller protocol (MessagePack-RPC over UDP)."""

import enum
from typing import Annotated

import msgspec
import xxhash

MAX_DATAGRAM_BYTES = 1400
MAX_PART_BYTES = 1024
MAX_PARTS = 8192

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]
TokenBytes = Annotated[bytes, msgspec.Meta(max_length=64)]
Sequence = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]


class Outcome(enum.StrEnum):
    """Outcome of a request as reported to its caller."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    PENDING = "pending"


class Reason(enum.StrEnum):
    """Reason for an outcome other than ``ANSWERED`` or for a refusal."""

    NONE = ""
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    EXPIRED = "expired"
    CANCELLED = "cancelled"
    NO_SERVER = "no_server"
    BAD_REQUEST = "bad_request"
    SEQ_REUSED = "seq_reused"
    SERVER_LOST = "server_lost"
    OWNER_LOST = "owner_lost"
    WINDOW_PASSED = "window_passed"
    TOO_LARGE = "too_large"


class Open(msgspec.Struct, frozen=True, array_like=True):
    """Request a session with a service.

    :param nonce: random number that identifies retransmissions
    """

    service: Name
    customer: Name
    nonce: Sequence


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Response to ``open``: the routing token of the session."""

    token: TokenBytes


class Call(msgspec.Struct, frozen=True, array_like=True):
    """One part of a request.

    :param attempt: number of the transmission, from 1
    :param deadline_ms: time left until the deadline
    :param part: index of this part, from 0
    :param parts: number of parts of the request
    :param check: ``payload_check`` of the whole payload
    """

    token: TokenBytes
    seq: Sequence
    kind: Name
    attempt: Annotated[int, msgspec.Meta(ge=1, le=1000)]
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=600_000)]
    part: Annotated[int, msgspec.Meta(ge=0, lt=MAX_PARTS)]
    parts: Annotated[int, msgspec.Meta(ge=1, le=MAX_PARTS)]
    check: Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
    payload: Annotated[bytes, msgspec.Meta(max_length=MAX_PART_BYTES)]


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """One part of the outcome of a request.

    While ``outcome`` is ``PENDING``, ``part`` is the index of the first part
    of the request that has not arrived yet.
    """

    seq: Sequence
    check: int
    outcome: Outcome
    reason: Reason = Reason.NONE
    retry_after_ms: int = 0
    part: int = 0
    parts: int = 1
    payload: bytes = b""


class Cancel(msgspec.Struct, frozen=True, array_like=True):
    """Cancel a request."""

    token: TokenBytes
    seq: Sequence


class Ack(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative acknowledgement: all parts below ``part`` have arrived.

    When ``part`` equals the number of parts, the balancer frees the reply.
    """

    token: TokenBytes
    seq: Sequence
    part: int


class Subscribe(msgspec.Struct, frozen=True, array_like=True):
    """Open a feed within a session.

    :param nonce: random number that identifies retransmissions
    :param last_seq: events up to this number are not needed
    """

    token: TokenBytes
    kind: Name
    nonce: Sequence
    last_seq: Sequence


class FeedGrant(msgspec.Struct, frozen=True, array_like=True):
    """Response to ``subscribe`` and ``keepalive``: the current token."""

    token: TokenBytes
    feed_id: int


class Keepalive(msgspec.Struct, frozen=True, array_like=True):
    """Keep a feed alive and acknowledge its events.

    :param last_seq: all events up to this number have arrived
    """

    token: TokenBytes
    last_seq: Sequence


class Close(msgspec.Struct, frozen=True, array_like=True):
    """End a session or a feed."""

    token: TokenBytes


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """A packet without a routing token."""

    service: Name
    payload: Annotated[bytes, msgspec.Meta(max_length=MAX_PART_BYTES)]


class Event(msgspec.Struct, frozen=True, array_like=True):
    """A message that a feed delivers to its caller."""

    feed_id: int
    seq: int
    payload: bytes


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """Error of ``open``, ``subscribe`` and ``keepalive``.

    :param retry_after_ms: when to retry; 0 when a retry is of no use
    """

    reason: Reason
    retry_after_ms: int = 0


def payload_check(payload: bytes) -> int:
    """Return the checksum of a request's payload.

    The balancer verifies the payload that it assembles from the parts, and
    the caller verifies that a reply belongs to its payload, not to another
    one with the same sequence number.
    """
    return xxhash.xxh32_intdigest(payload)
