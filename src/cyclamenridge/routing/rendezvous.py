"""Rendezvous (highest random weight) hashing."""

from collections.abc import Iterable
from collections.abc import Sequence
import functools

import xxhash


@functools.lru_cache(maxsize=65_536)
def _hash_seed(name: str) -> int:
    """Return the seed that makes the hash of a key depend on a candidate."""
    return xxhash.xxh3_64_intdigest(name.encode())


def weight(key: bytes, name: str) -> int:
    """Return the 64-bit weight of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(key, _hash_seed(name))


def ranked(key: bytes, names: Iterable[str]) -> list[str]:
    """Return the candidates from the highest weight to the lowest."""
    return sorted(names, key=lambda name: (-weight(key, name), name))


def choose(key: bytes, names: Sequence[str]) -> str:
    """Return the candidate with the highest weight.

    The result is the first one of ``ranked``. A loop avoids the cost of
    sorting, since this runs for each packet.
    """
    best, best_weight = names[0], -1
    for name in names:
        candidate_weight = xxhash.xxh3_64_intdigest(key, _hash_seed(name))
        if candidate_weight > best_weight:
            best, best_weight = name, candidate_weight
        elif candidate_weight == best_weight and name < best:
            best = name
    return best
