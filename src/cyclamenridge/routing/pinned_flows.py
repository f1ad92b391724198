"""Membership filters that name flows which a server change would move.

Such flows are pinned: they stay with their server although hashing over the
changed list of servers names another one.
"""

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
    """Return the hash as the signed 128-bit integer that rbloom expects."""
    return xxhash.xxh3_128_intdigest(key) - _INT128_OFFSET


@dataclasses.dataclass(frozen=True, slots=True)
class PinnedFilter:
    """Filter of flows that stay with a server.

    With 0 parts, it is the marker that ends the filters for a list of
    servers, and its data is the digest of the list.

    :param part: index of the part of the key space that it covers
    :param parts: number of parts that the key space is divided into
    :param data: Bloom filter of the keys
    """

    server: str
    part: int
    parts: int
    data: bytes

    @property
    def is_completion_marker(self) -> bool:
        """Whether this ends the filters for a list of servers."""
        return self.parts == 0


def completion_marker(servers: tuple[str, ...]) -> PinnedFilter:
    """Return the marker that ends the filters for a list of servers."""
    digest = xxhash.xxh3_64_digest("\0".join(servers).encode())
    return PinnedFilter("", 0, 0, digest)


def build_filters(server: str, keys: list[bytes]) -> Iterator[PinnedFilter]:
    """Build the filters that cover ``keys``, one for each datagram."""
    parts = -(-len(keys) // FLOWS_PER_FILTER)
    keys_by_part: list[list[bytes]] = [[] for _ in range(parts)]
    for key in keys:
        keys_by_part[_part(key, parts)].append(key)
    for part, part_keys in enumerate(keys_by_part):
        if part_keys:
            yield PinnedFilter(server, part, parts, _encode_bloom(part_keys))


def _part(key: bytes, parts: int) -> int:
    return xxhash.xxh32_intdigest(key) % parts


def _encode_bloom(keys: list[bytes]) -> bytes:
    bloom = rbloom.Bloom(len(keys), FALSE_POSITIVE_RATE, _hash128)
    bloom.update(keys)
    return bloom.save_bytes()


class PinnedSet:
    """Filters that one balancer sent for one server, looked up by key."""

    def __init__(self, server: str, parts: int) -> None:
        self.server = server
        self.parts = parts
        self._blooms: dict[int, rbloom.Bloom] = {}

    def add(self, item: PinnedFilter) -> None:
        """Add the filter of a part, or replace it.

        :raises ValueError: the data is not a Bloom filter
        """
        self._blooms[item.part] = rbloom.Bloom.load_bytes(item.data, _hash128)

    def __contains__(self, key: bytes) -> bool:
        bloom = self._blooms.get(_part(key, self.parts))
        return bloom is not None and key in bloom
