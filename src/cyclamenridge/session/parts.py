"""Splitting and reassembly of payloads larger than one datagram."""

from cyclamenridge.wire import caller

# Size of a buffer without its parts, and of its entry for each part.
_BUFFER_BYTES = 100
_ENTRY_BYTES = 8


class PartBuffer:
    """Reassembles a request from its parts.

    :ivar size: bytes received so far
    """

    __slots__ = ("_first_missing", "_parts", "size")

    def __init__(self, count: int) -> None:
        self._parts: list[bytes | None] = [None] * count
        self._first_missing = 0
        self.size = 0

    def add(self, index: int, payload: bytes) -> bool:
        """Store a part; return False for a duplicate or an invalid index."""
        if index >= len(self._parts) or self._parts[index] is not None:
            return False
        self._parts[index] = payload
        self.size += len(payload)
        while (
            self._first_missing < len(self._parts)
            and self._parts[self._first_missing] is not None
        ):
            self._first_missing += 1
        return True

    @property
    def first_missing(self) -> int:
        """Index of the first part that has not arrived."""
        return self._first_missing

    @property
    def complete(self) -> bool:
        """Tell whether all parts have arrived."""
        return self._first_missing == len(self._parts)

    def join(self) -> bytes:
        """Return the payload; all parts must have arrived."""
        return b"".join(part for part in self._parts if part is not None)


def buffer_bytes(part_count: int) -> int:
    """Return the size of the buffer of a request without the parts, in bytes.

    It is allocated with the first part. A request of one part needs none.
    """
    if part_count == 1:
        return 0
    return _BUFFER_BYTES + _ENTRY_BYTES * part_count


def count(payload: bytes) -> int:
    """Return the number of parts in which a payload is sent."""
    return max(1, -(-len(payload) // caller.MAX_PART_BYTES))


def part(payload: bytes, index: int) -> bytes:
    """Return one part of a payload."""
    start = index * caller.MAX_PART_BYTES
    return payload[start : start + caller.MAX_PART_BYTES]
