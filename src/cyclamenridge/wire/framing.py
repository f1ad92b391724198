"""Framing of messages on a TCP stream: a 4-byte length prefix each."""

import struct

from cyclamenridge import errors

_LENGTH = struct.Struct(">I")

# The largest payload that the configuration allows, and 64 KiB for the rest
# of the message.
MAX_FRAME_BYTES = 8_000_000 + 64 * 1024


def encode(message: bytes) -> bytes:
    """Return a message with its length prefix."""
    if len(message) > MAX_FRAME_BYTES:
        raise errors.WireError(
            f"message of {len(message)} bytes exceeds {MAX_FRAME_BYTES}"
        )
    return _LENGTH.pack(len(message)) + message


class FrameDecoder:
    """Splits a byte stream into messages."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the messages completed by them.

        :raises WireError: when a length prefix exceeds the limit
        """
        self._buffer += data
        messages = []
        offset = 0
        while len(self._buffer) - offset >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer, offset)
            if size > self._max_bytes:
                raise errors.WireError(
                    f"frame of {size} bytes exceeds {self._max_bytes}"
                )
            end = offset + _LENGTH.size + size
            if len(self._buffer) < end:
                break
            messages.append(bytes(self._buffer[offset + _LENGTH.size : end]))
            offset = end
        del self._buffer[:offset]
        return messages
