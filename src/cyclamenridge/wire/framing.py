"""Framing of messages on a TCP stream: a 4-byte length, then the message."""

import struct

from cyclamenridge import errors

_LENGTH = struct.Struct(">I")

# Above the largest payload that the configuration allows (8,000,000 bytes).
MAX_FRAME_BYTES = 8_000_000 + 64 * 1024


def encode(message: bytes) -> bytes:
    """Return a message with its length."""
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
        """Add received bytes and return the messages that are whole."""
        self._buffer += data
        messages = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer, start)
            if size > self._max_bytes:
                raise errors.WireError(
                    f"frame of {size} bytes exceeds {self._max_bytes}"
                )
            end = start + _LENGTH.size + size
            if len(self._buffer) < end:
                break
            messages.append(bytes(self._buffer[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return messages
