"""Port for the platform's key-value store."""

import abc
from collections.abc import AsyncIterator

import msgspec

from cyclamenridge import errors

# The platform accepts values of up to 1 MB.
MAX_VALUE_BYTES = 1_000_000


class WatchLostError(errors.StoreError):
    """A watch would miss changes; the key must be read again.

    The start revision was compacted, or the store was reset to an older
    revision.
    """


class CompactedError(errors.StoreError):
    """The requested revision is no longer kept or does not exist yet."""


class LeaseExpiredError(errors.StoreError):
    """The lease has expired or was revoked."""


class KeyValue(msgspec.Struct, frozen=True):
    """A key with its value.

    :param mod_revision: store revision of the last change of this key
    """

    key: str
    value: bytes
    mod_revision: int


class GetResult(msgspec.Struct, frozen=True):
    """Result of ``get``.

    :param revision: store revision at which the key was read; a watch
        without a gap starts at ``revision + 1``
    :param entry: None when the key is absent
    :param epoch: rises when the store is restored from an older copy and
        gives out revisions again; 0 if the store does not tell
    """

    revision: int
    entry: KeyValue | None
    epoch: int = 0


class RangeResult(msgspec.Struct, frozen=True):
    """Result of ``range``: the entries in the order of their keys.

    :param epoch: as in ``GetResult``
    """

    revision: int
    entries: tuple[KeyValue, ...]
    epoch: int = 0


class PutResult(msgspec.Struct, frozen=True):
    """Result of ``compare_and_put``.

    :param written: whether the comparison succeeded
    :param revision: store revision; the key's new one if it was written
    :param current: the existing entry if the comparison failed
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

    The first batch of a watch arrives at once, with the changes since the
    start revision if there are any. It confirms that the store accepted the
    watch.

    :param epoch: as in ``GetResult``
    """

    revision: int
    changes: tuple[Change, ...]
    epoch: int = 0


class Lease(msgspec.Struct, frozen=True):
    """A lease with its remaining time to live."""

    lease_id: int
    ttl_s: int


class KeyValueStore(abc.ABC):
    """Client of the store.

    Any call raises StoreUnavailableError when it certainly had no effect,
    and another StoreError when the store refused it or its response was not
    as expected. A write raises StoreOutcomeUnknownError when its response
    was lost.
    """

    @abc.abstractmethod
    async def get(self, key: str, *, revision: int = 0) -> GetResult:
        """Read one key, as it was at a store revision if one is given.

        :raises CompactedError: when that revision cannot be read
        """

    @abc.abstractmethod
    async def range(self, prefix: str, *, stale: bool = False) -> RangeResult:
        """Read all keys that begin with a prefix.

        :param stale: allow a read that may be seconds old, if the store
            can serve it at a lower cost
        """

    @abc.abstractmethod
    async def compare_and_put(
        self,
        key: str,
        value: bytes,
        *,
        mod_revision: int,
        previous_value: bytes | None = None,
        lease_id: int = 0,
    ) -> PutResult:
        """Write a key if it still has ``mod_revision``; 0 means absent.

        :param previous_value: value that the key has to have as well, since
            a restored store gives out revisions again; None for any
        """

    @abc.abstractmethod
    def watch(
        self,
        key: str,
        *,
        start_revision: int,
        prefix: bool = False,
        epoch: int = 0,
    ) -> AsyncIterator[WatchBatch]:
        """Watch the changes of a key, or of all keys with a prefix.

        The iteration ends only by an error. After WatchLostError the key
        must be read again; after any other error the watch may be reopened
        at the next revision.

        :param epoch: epoch that the start revision belongs to; the watch is
            lost if the store has another one. 0 if it is not known.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: int) -> Lease:
        """Create a lease."""

    @abc.abstractmethod
    async def keep_lease_alive(self, lease_id: int) -> Lease:
        """Renew a lease.

        :raises LeaseExpiredError: when it has expired or was revoked
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys; an expired one is no error."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
