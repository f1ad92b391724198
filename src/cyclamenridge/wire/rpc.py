"""MessagePack-RPC messages, used by the caller and backend protocols."""

import enum
from typing import Any

import msgspec

from cyclamenridge import errors


class MessageType(enum.IntEnum):
    """First element of each MessagePack-RPC message."""

    REQUEST = 0
    RESPONSE = 1
    NOTIFICATION = 2


class Request(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """A request that expects a response with the same ``msgid``."""

    msgid: int
    method: str
    params: msgspec.Raw


class Response(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The response to a request; ``error`` is nil on success."""

    msgid: int
    error: Any
    result: msgspec.Raw


class Notification(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A message that expects no response."""

    method: str
    params: msgspec.Raw


Message = Request | Response | Notification

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()
# Plain integers, because encoding an enum member would take half of the
# time of encoding a message.
_REQUEST = int(MessageType.REQUEST)
_RESPONSE = int(MessageType.RESPONSE)
_NOTIFICATION = int(MessageType.NOTIFICATION)


def decode(data: bytes) -> Message:
    """Decode one message.

    :raises WireError: when it is not a MessagePack-RPC message
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise errors.WireError(str(exc)) from exc


def request(msgid: int, method: str, params: msgspec.Struct) -> bytes:
    """Encode a request."""
    return _ENCODER.encode((_REQUEST, msgid, method, params))


def response(msgid: int, result: msgspec.Struct) -> bytes:
    """Encode a successful response."""
    return _ENCODER.encode((_RESPONSE, msgid, None, result))


def error_response(msgid: int, error: Any) -> bytes:
    """Encode a response that carries an error."""
    return _ENCODER.encode((_RESPONSE, msgid, error, None))


def notification(method: str, params: msgspec.Struct) -> bytes:
    """Encode a notification."""
    return _ENCODER.encode((_NOTIFICATION, method, params))
