"""Replication of the configuration document between balancers."""

import collections
import dataclasses
import random

from cyclamenridge import address as address_lib
from cyclamenridge.config import document as document_lib
from cyclamenridge.control import messages
from cyclamenridge.control import transfer
import cyclamenridge.errors as errors

Address = address_lib.Address
Document = document_lib.Document

# Earlier documents that can be the base of a delta. A peer that missed more
# revisions gets the whole document.
MAX_BASES = 3
# Chunks requested at once. An answer stays under 5 KB, so a transfer is paced
# by the round trips and by the budgets of the peers.
CHUNKS_PER_FETCH = 4
FETCH_TIMEOUT_MS = 250
# Upper limit of the back-off. A peer whose budget is used up does not answer.
MAX_FETCH_WAIT_MS = 2000
MAX_SOURCES = 8
# A longer transfer would use up the budgets of the peers for many seconds. The
# store, which answers 2,000 reads a second, is read first; the transfer
# continues if the store has not provided the document within the wait.
LONG_TRANSFER_CHUNKS = 8
STORE_WAIT_MS = 1500
# Long transfers are served to one peer at a time for this long, so that the
# first one completes soon and its receiver becomes a source for the others.
LONG_TRANSFER_TURN_MS = 2500
MAX_CHUNKS = transfer.MAX_DOCUMENT_BYTES // messages.MAX_CHUNK_BYTES + 1


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A Fetch to send and its destination."""

    dest: Address
    body: messages.Fetch


@dataclasses.dataclass(slots=True)
class _IncomingTransfer:
    """A transfer that this node is receiving.

    :param sources: peers that hold the revision, the one heard last at the
        end
    :param attempts: timeouts since the last chunk
    :param retry_after_ms: earliest time to retry when a source is heard
    :param waiting_for_store: paused until the deadline, while the store is
        read
    :param transfer_id: ``transfer`` of the chunks so far
    :param requested: indexes of the chunks in the last Fetch
    """

    revision: int
    base: int
    sources: list[Address]
    deadline_ms: int
    attempts: int = 0
    retry_after_ms: int = 0
    waiting_for_store: bool = False
    transfer_id: int = 0
    total: int = 0
    chunks: dict[int, bytes] = dataclasses.field(default_factory=dict)
    requested: tuple[int, ...] = ()


class Replicator:
    """Holds the document in force and transfers it between peers."""

    def __init__(
        self, rng: random.Random, counters: collections.Counter[str]
    ) -> None:
        self._rng = rng
        self._counters = counters
        self.document: Document | None = None
        self._bases: collections.OrderedDict[int, Document] = (
            collections.OrderedDict()
        )
        self._packed_by_base: dict[int, bytes] = {}
        self._incoming: _IncomingTransfer | None = None
        self._conflicting_revision = 0
        self._store_read_revision = 0
        self._store_read_wanted = False
        self._served_peer: Address | None = None
        self._served_until_ms = 0
        # Set after a delta could not be applied, because the peers may hold
        # a different document with the revision of the base.
        self._delta_failed = False

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 for none."""
        return 0 if self.document is None else self.document.revision

    @property
    def digest(self) -> int:
        """Return the first 8 bytes of the document's digest, 0 for none."""
        return transfer.short_digest(self.document)

    def adopt(self, document: Document) -> bool:
        """Put a document in force if it is newer and matches its digest."""
        if document.revision <= self.revision:
            if (
                self.document is not None
                and document.revision == self.revision
                and document.digest != self.document.digest
            ):
                self.record_conflict(document.revision)
            return False
        if transfer.body_digest(document.body) != document.digest:
            self._counters["config_digest_mismatch"] += 1
            return False
        if self.document is not None:
            if document_lib.needs_renumbering(document, self.document):
                self.record_conflict(document.revision)
            self._bases[self.revision] = self.document
            if len(self._bases) > MAX_BASES:
                self._bases.popitem(last=False)
        self.document = document
        self._packed_by_base.clear()
        if self._incoming and self._incoming.revision <= document.revision:
            self._incoming = None
        self._counters["config_adopted"] += 1
        return True

    def record_conflict(self, revision: int) -> None:
        """Count, once for a revision, that two histories have given it out."""
        if self._conflicting_revision != revision:
            self._conflicting_revision = revision
            self._counters["config_conflict"] += 1

    def handle_peer_revision(
        self, now_ms: int, source: Address, revision: int, digest: int
    ) -> Request | None:
        """Compare a peer's revision; return a request if it is newer."""
        if revision == self.revision and revision and digest != self.digest:
            self.record_conflict(revision)
            # The stored document is renumbered if this node lacks it.
            self._store_read_wanted = True
        incoming = self._incoming
        if revision <= self.revision or (
            incoming is not None and revision < incoming.revision
        ):
            return None
        if incoming is not None and revision == incoming.revision:
            self._add_source(now_ms, incoming, source)
            return None
        base = 0 if self._delta_failed else self.revision
        self._incoming = _IncomingTransfer(revision, base, [source], now_ms)
        return self._next_request(now_ms)

    def _add_source(
        self, now_ms: int, incoming: _IncomingTransfer, source: Address
    ) -> None:
        """Add a source, or move it to the end of the list."""
        if source in incoming.sources:
            incoming.sources.remove(source)
        incoming.sources.append(source)
        del incoming.sources[:-MAX_SOURCES]
        if incoming.attempts and now_ms >= incoming.retry_after_ms:
            # The last request timed out, and this source is reachable.
            incoming.deadline_ms = now_ms

    def tick(self, now_ms: int) -> Request | None:
        """Return the next request if the deadline of the last one passed."""
        incoming = self._incoming
        if incoming is None or now_ms < incoming.deadline_ms:
            return None
        if incoming.waiting_for_store:
            incoming.waiting_for_store = False
            return self._next_request(now_ms)
        self._counters["config_fetch_timeouts"] += 1
        incoming.attempts += 1
        return self._next_request(now_ms)

    def _next_request(self, now_ms: int) -> Request:
        incoming = self._incoming
        assert incoming is not None
        missing: list[int] = []
        for index in range(incoming.total or 1):
            if index not in incoming.chunks:
                missing.append(index)
                if len(missing) == CHUNKS_PER_FETCH:
                    break
        first = missing[0]
        indexes = [first]
        for index in missing[1:]:
            if index != indexes[-1] + 1:
                break
            indexes.append(index)
        count = len(indexes) if incoming.total else CHUNKS_PER_FETCH
        incoming.requested = tuple(range(first, first + count))
        wait_ms = min(
            MAX_FETCH_WAIT_MS, FETCH_TIMEOUT_MS << min(incoming.attempts, 8)
        )
        incoming.deadline_ms = now_ms + self._rng.randint(
            FETCH_TIMEOUT_MS, max(FETCH_TIMEOUT_MS, wait_ms)
        )
        incoming.retry_after_ms = now_ms + FETCH_TIMEOUT_MS
        sources = incoming.sources
        return Request(
            sources[-1] if incoming.attempts else self._rng.choice(sources),
            messages.Fetch(incoming.revision, incoming.base, first, count),
        )

    def chunks_for(
        self, now_ms: int, source: Address, fetch: messages.Fetch
    ) -> list[messages.Chunk]:
        """Return the chunks that answer a fetch."""
        document = self.document
        if document is None or document.revision != fetch.wanted:
            self._counters["config_fetch_refused"] += 1
            return []
        base = self._bases.get(fetch.base)
        base_revision = 0 if base is None else base.revision
        packed = self._packed_by_base.get(base_revision)
        if packed is None:
            packed = transfer.pack(document, base)
            self._packed_by_base[base_revision] = packed
        size = messages.MAX_CHUNK_BYTES
        total = -(-len(packed) // size)
        end = min(total, fetch.first + min(fetch.count, CHUNKS_PER_FETCH))
        if total > LONG_TRANSFER_CHUNKS:
            if source != self._served_peer and now_ms < self._served_until_ms:
                # The first chunk contains the length of the transfer, by
                # which the peer decides to read the store.
                self._counters["config_fetch_busy"] += 1
                end = min(end, 1)
            else:
                self._served_peer = source
                self._served_until_ms = now_ms + LONG_TRANSFER_TURN_MS
        return [
            messages.Chunk(
                wanted=document.revision,
                base=base_revision,
                transfer=transfer.transfer_id(packed),
                index=index,
                total=total,
                data=packed[index * size : (index + 1) * size],
            )
            for index in range(fetch.first, end)
        ]

    def take_store_read_wanted(self) -> bool:
        """Return, once, whether to read the store.

        It is read before a long transfer and after a conflict.
        """
        wanted, self._store_read_wanted = self._store_read_wanted, False
        return wanted

    def handle_chunk(
        self, now_ms: int, chunk: messages.Chunk
    ) -> tuple[Document | None, Request | None]:
        """Add a chunk to the transfer.

        :return: the document if the transfer is complete and the document
            is in force, and the next request if one is due
        :raises ControlError: if the chunk contradicts the transfer
        """
        incoming = self._incoming
        if incoming is None or chunk.wanted != incoming.revision:
            self._counters["config_chunks_unused"] += 1
            return None, None
        if chunk.base not in (0, incoming.base):
            self._counters["config_chunks_unused"] += 1
            return None, None
        if chunk.total > MAX_CHUNKS:
            raise errors.ControlError("transfer is too long")
        if chunk.transfer != incoming.transfer_id:
            # The source does not have the base, or the peers have different
            # documents with its revision.
            incoming.transfer_id = chunk.transfer
            incoming.total = chunk.total
            incoming.base = chunk.base
            incoming.chunks.clear()
        if chunk.total != incoming.total:
            raise errors.ControlError("chunks of one transfer disagree")
        incoming.chunks[chunk.index] = chunk.data
        incoming.attempts = 0
        if len(incoming.chunks) == incoming.total:
            return self._complete(incoming), None
        if (
            incoming.total > LONG_TRANSFER_CHUNKS
            and self._store_read_revision < incoming.revision
        ):
            self._store_read_revision = incoming.revision
            self._store_read_wanted = True
            incoming.deadline_ms = now_ms + STORE_WAIT_MS
            incoming.waiting_for_store = True
            return None, None
        if incoming.waiting_for_store:
            return None, None
        if all(
            index in incoming.chunks
            for index in incoming.requested
            if index < incoming.total
        ):
            return None, self._next_request(now_ms)
        return None, None

    def _complete(self, incoming: _IncomingTransfer) -> Document | None:
        self._incoming = None
        packed = b"".join(
            incoming.chunks[index] for index in range(incoming.total)
        )
        base = None
        if incoming.base:
            base = (
                self.document
                if incoming.base == self.revision
                else self._bases.get(incoming.base)
            )
            if base is None:
                return None
        try:
            document = transfer.unpack(packed, base)
        except errors.ControlError:
            self._counters["config_digest_mismatch"] += 1
            self._delta_failed = True
            return None
        if document.revision != incoming.revision:
            self._counters["config_digest_mismatch"] += 1
            return None
        self._delta_failed = False
        return document if self.adopt(document) else None
