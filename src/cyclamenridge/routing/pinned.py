"""Membership filters that name flows which a server change would move."""

from collections.abc import Iterator
import dataclasses

import rbloom
import xxhash

# A filter of this many flows stays below the payload of one datagram at
# 13 bits a flow.
FLOWS_PER_FILTER = 600
FALSE_POSITIVE_RATE = 0.002
MAX_FILTER_BYTES = 1100

_INT128_OFFSET = 1 << 127


def _hash128(key: bytes) -> int:
    return xxhash.xxh3_128_intdigest(key) - _INT128_OFFSET


@dataclasses.dataclass(frozen=True, slots=True)
class PinnedFilter:
    """Flows that stay with a server although hashing names another one.

    :param part: which part of the key space this filter covers
    :param parts: number of parts that the key space is divided into
    :param data: Bloom filter of the keys
    """

    server: str
    part: int
    parts: int
    data: bytes

    @property
    def is_completion(self) -> bool:
        """Tell whether this closes a set of filters."""
        return self.parts == 0


def completion(servers: tuple[str, ...]) -> PinnedFilter:
    """Return the message that all filters for these servers were sent."""
    digest = xxhash.xxh3_64_digest("\0".join(servers).encode())
    return PinnedFilter("", 0, 0, digest)


def build(server: str, keys: list[bytes]) -> Iterator[PinnedFilter]:
    """Build the filters that cover ``keys``, one datagram each."""
    parts = -(-len(keys) // FLOWS_PER_FILTER)
    groups: list[list[bytes]] = [[] for _ in range(parts)]
    for key in keys:
        groups[_part(key, parts)].append(key)
    for part, group in enumerate(groups):
        if group:
            yield PinnedFilter(server, part, parts, _encode(group))


def _part(key: bytes, parts: int) -> int:
    return xxhash.xxh32_intdigest(key) % parts


def _encode(keys: list[bytes]) -> bytes:
    bloom = rbloom.Bloom(len(keys), FALSE_POSITIVE_RATE, _hash128)
    bloom.update(keys)
    return bloom.save_bytes()


class PinnedSet:
    """Filters of one origin and one server, looked up by key."""

    def __init__(self, server: str, parts: int) -> None:
        self.server = server
        self.parts = parts
        self._blooms: dict[int, rbloom.Bloom] = {}

    def add(self, item: PinnedFilter) -> None:
        """Add one part; a part that is already there is replaced.

        :raises ValueError: the data is not a filter
        """
        self._blooms[item.part] = rbloom.Bloom.load_bytes(item.data, _hash128)

    def __contains__(self, key: bytes) -> bool:
        bloom = self._blooms.get(_part(key, self.parts))
        return bloom is not None and key in bloom
