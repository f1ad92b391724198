"""Rendezvous (highest random weight) hashing."""

from collections.abc import Iterable
from collections.abc import Sequence

import xxhash


def weight(key: bytes, name: str) -> int:
    """Return the 64-bit weight of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(name.encode() + b"\0" + key)


def ranked(key: bytes, names: Iterable[str]) -> list[str]:
    """Return the candidates from the highest weight to the lowest."""
    return sorted(names, key=lambda name: (-weight(key, name), name))


def choose(key: bytes, names: Sequence[str]) -> str:
    """Return the candidate with the highest weight."""
    return min(names, key=lambda name: (-weight(key, name), name))
