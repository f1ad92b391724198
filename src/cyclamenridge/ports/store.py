"""The platform's key-value store."""

import abc
from collections.abc import AsyncIterator

import msgspec

from cyclamenridge import errors

# The platform accepts values of up to 1 MB.
MAX_VALUE_BYTES = 1_000_000


class WatchLostError(errors.StoreError):
    """A watch cannot continue without a gap; the key must be read again.

    The start revision is compacted, or the store went back to an older
    revision.
    """


class CompactedError(errors.StoreError):
    """The store does not keep that old a revision, or has not reached it."""


class LeaseLapsedError(errors.StoreError):
    """The lease does not exist any more."""


class KeyValue(msgspec.Struct, frozen=True):
    """A key that exists.

    :param mod_revision: store revision of the last change of this key
    """

    key: str
    value: bytes
    mod_revision: int


class GetResult(msgspec.Struct, frozen=True):
    """Answer to ``get``.

    :param revision: store revision at which the key was read; a watch
        without a gap starts at ``revision + 1``
    :param entry: None when the key is absent
    """

    revision: int
    entry: KeyValue | None


class RangeResult(msgspec.Struct, frozen=True):
    """Answer to ``range``, in the order of the keys."""

    revision: int
    entries: tuple[KeyValue, ...]


class PutResult(msgspec.Struct, frozen=True):
    """Answer to ``compare_and_put``.

    :param written: whether the comparison held and the value was written
    :param revision: store revision; the key's new one if it was written
    :param current: the entry that the comparison met if it did not hold
    """

    written: bool
    revision: int
    current: KeyValue | None = None


class Change(msgspec.Struct, frozen=True):
    """A change of one key.

    :param value: None when the key was deleted
    """

    key: str
    value: bytes | None
    mod_revision: int


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes in the order of their revisions.

    The first batch of a watch has no changes and tells that the store
    accepted the watch.
    """

    revision: int
    changes: tuple[Change, ...]


class Lease(msgspec.Struct, frozen=True):
    """A lease with the time that it has left."""

    lease_id: int
    ttl_s: int


class KeyValueStore(abc.ABC):
    """Client of the store.

    Every call raises StoreUnavailableError when it surely had no effect, a
    write raises StoreOutcomeUnknownError when its answer was lost, and any
    call raises another StoreError when the store refused it or answered
    something else than expected.
    """

    @abc.abstractmethod
    async def get(self, key: str, *, revision: int = 0) -> GetResult:
        """Read one key, as it was at a store revision if one is given.

        :raises CompactedError: when that revision cannot be read
        """

    @abc.abstractmethod
    async def range(self, prefix: str, *, stale: bool = False) -> RangeResult:
        """Read all keys that begin with a prefix.

        :param stale: accept an answer that may be seconds old, if the store
            offers that at a lower price
        """

    @abc.abstractmethod
    async def compare_and_put(
        self,
        key: str,
        value: bytes,
        *,
        mod_revision: int,
        lease_id: int = 0,
    ) -> PutResult:
        """Write a key if it still has ``mod_revision``; 0 means absent."""

    @abc.abstractmethod
    def watch(
        self, key: str, *, start_revision: int, prefix: bool = False
    ) -> AsyncIterator[WatchBatch]:
        """Follow the changes of a key, or of all keys with a prefix.

        The iteration ends only by an error; WatchLostError says that the
        key must be read again, any other error that the watch may be opened
        again at the next revision.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: int) -> Lease:
        """Create a lease."""

    @abc.abstractmethod
    async def keep_lease_alive(self, lease_id: int) -> Lease:
        """Renew a lease; raise LeaseLapsedError when it is gone."""

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; a lapsed lease is no error."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
