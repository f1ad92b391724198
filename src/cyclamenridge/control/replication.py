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

# Earlier documents that a transfer may refer to. A peer that missed more
# revisions gets the whole document.
KEPT_BASES = 3
# Chunks asked for at once. One answer of the peer stays under 5 KB, so a
# transfer is paced by the round trips and by the budget of the peers.
CHUNKS_PER_FETCH = 4
FETCH_TIMEOUT_MS = 250
# A peer whose budget is exhausted does not answer; the waits grow to this.
MAX_FETCH_WAIT_MS = 2000
MAX_SOURCES = 8
# A transfer that is longer than this would take the budgets of the peers
# for many seconds. The store is asked first, which answers 2,000 reads a
# second, and the peers go on when it did not help within the time.
LONG_TRANSFER_CHUNKS = 8
STORE_FIRST_MS = 1500
# Long transfers are served to one peer at a time, so that the first one
# ends soon and its receiver becomes a source for the others.
TURN_MS = 2500
MAX_CHUNKS = transfer.MAX_DOCUMENT_BYTES // messages.MAX_CHUNK_BYTES + 1


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A fetch to send."""

    dest: Address
    body: messages.Fetch


@dataclasses.dataclass(slots=True)
class _Fetching:
    """A transfer in progress."""

    revision: int
    base: int
    sources: list[Address]
    deadline_ms: int
    attempts: int = 0
    earliest_ms: int = 0
    held: bool = False
    identity: int = 0
    total: int = 0
    chunks: dict[int, bytes] = dataclasses.field(default_factory=dict)
    asked: tuple[int, ...] = ()


class Replicator:
    """Holds the document in force and fetches newer ones from peers."""

    def __init__(
        self, rng: random.Random, counters: collections.Counter[str]
    ) -> None:
        self._rng = rng
        self._counters = counters
        self.document: Document | None = None
        self._bases: collections.OrderedDict[int, Document] = (
            collections.OrderedDict()
        )
        self._blobs: dict[int, bytes] = {}
        self._fetching: _Fetching | None = None
        self._conflict = 0
        self._store_asked = 0
        self._store_wanted = False
        self._turn: Address | None = None
        self._turn_ms = 0
        # Set after a transfer relative to a base failed, because the peers
        # may hold another document under the base's revision.
        self._whole = False

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 for none."""
        return 0 if self.document is None else self.document.revision

    @property
    def digest(self) -> int:
        """Return the short digest of the document in force."""
        return transfer.short_digest(self.document)

    @property
    def fetching(self) -> bool:
        """Return whether a transfer is in progress."""
        return self._fetching is not None

    def adopt(self, document: Document) -> bool:
        """Put a document in force if it is newer and intact."""
        if document.revision <= self.revision:
            if (
                self.document is not None
                and document.revision == self.revision
                and document.digest != self.document.digest
            ):
                self.note_conflict(document.revision)
            return False
        if transfer.body_digest(document.body) != document.digest:
            self._counters["config_digest_mismatch"] += 1
            return False
        if self.document is not None:
            self._bases[self.revision] = self.document
            if len(self._bases) > KEPT_BASES:
                self._bases.popitem(last=False)
        self.document = document
        self._blobs.clear()
        if self._fetching and self._fetching.revision <= document.revision:
            self._fetching = None
        self._counters["config_adopted"] += 1
        return True

    def note_conflict(self, revision: int) -> None:
        """Count a second document with the revision that is in force."""
        if self._conflict != revision:
            self._conflict = revision
            self._counters["config_conflict"] += 1

    def heard(
        self, now_ms: int, source: Address, revision: int, digest: int
    ) -> Request | None:
        """Take note of a peer's revision; return a fetch if it is newer."""
        if revision == self.revision and revision and digest != self.digest:
            self.note_conflict(revision)
        fetching = self._fetching
        if revision <= self.revision or (
            fetching is not None and revision < fetching.revision
        ):
            return None
        if fetching is not None and revision == fetching.revision:
            self._add_source(now_ms, fetching, source)
            return None
        base = 0 if self._whole else self.revision
        self._fetching = _Fetching(revision, base, [source], now_ms)
        return self._ask(now_ms)

    def _add_source(
        self, now_ms: int, fetching: _Fetching, source: Address
    ) -> None:
        """Remember a source, the one heard last at the end."""
        if source in fetching.sources:
            fetching.sources.remove(source)
        fetching.sources.append(source)
        del fetching.sources[:-MAX_SOURCES]
        if fetching.attempts and now_ms >= fetching.earliest_ms:
            # The sources so far did not answer, this one is reachable.
            fetching.deadline_ms = now_ms

    def tick(self, now_ms: int) -> Request | None:
        """Ask another source when the last one did not answer in time."""
        fetching = self._fetching
        if fetching is None or now_ms < fetching.deadline_ms:
            return None
        if fetching.held:
            fetching.held = False
            return self._ask(now_ms)
        self._counters["config_fetch_timeouts"] += 1
        fetching.attempts += 1
        return self._ask(now_ms)

    def _ask(self, now_ms: int) -> Request:
        fetching = self._fetching
        assert fetching is not None
        missing: list[int] = []
        for index in range(fetching.total or 1):
            if index not in fetching.chunks:
                missing.append(index)
                if len(missing) == CHUNKS_PER_FETCH:
                    break
        first = missing[0]
        run = [first]
        for index in missing[1:]:
            if index != run[-1] + 1:
                break
            run.append(index)
        count = len(run) if fetching.total else CHUNKS_PER_FETCH
        fetching.asked = tuple(range(first, first + count))
        wait_ms = min(
            MAX_FETCH_WAIT_MS, FETCH_TIMEOUT_MS << min(fetching.attempts, 8)
        )
        fetching.deadline_ms = now_ms + self._rng.randint(
            FETCH_TIMEOUT_MS, max(FETCH_TIMEOUT_MS, wait_ms)
        )
        fetching.earliest_ms = now_ms + FETCH_TIMEOUT_MS
        sources = fetching.sources
        return Request(
            sources[-1] if fetching.attempts else self._rng.choice(sources),
            messages.Fetch(fetching.revision, fetching.base, first, count),
        )

    def serve(
        self, now_ms: int, source: Address, fetch: messages.Fetch
    ) -> list[messages.Chunk]:
        """Return the chunks that answer a fetch."""
        document = self.document
        if document is None or document.revision != fetch.wanted:
            self._counters["config_fetch_refused"] += 1
            return []
        base = self._bases.get(fetch.base)
        key = 0 if base is None else base.revision
        blob = self._blobs.get(key)
        if blob is None:
            blob = transfer.pack(document, base)
            self._blobs[key] = blob
        size = messages.MAX_CHUNK_BYTES
        total = -(-len(blob) // size)
        last = min(total, fetch.first + min(fetch.count, CHUNKS_PER_FETCH))
        if total > LONG_TRANSFER_CHUNKS:
            if source != self._turn and now_ms < self._turn_ms:
                # The first chunk tells a peer how long the transfer is.
                self._counters["config_fetch_busy"] += 1
                last = min(last, 1)
            else:
                self._turn = source
                self._turn_ms = now_ms + TURN_MS
        return [
            messages.Chunk(
                wanted=document.revision,
                base=key,
                transfer=transfer.identity(blob),
                index=index,
                total=total,
                data=blob[index * size : (index + 1) * size],
            )
            for index in range(fetch.first, last)
        ]

    def take_store_wanted(self) -> bool:
        """Return whether a read of the store would save a long transfer."""
        wanted, self._store_wanted = self._store_wanted, False
        return wanted

    def chunk(
        self, now_ms: int, chunk: messages.Chunk
    ) -> tuple[Document | None, Request | None]:
        """Take a chunk; return the document in force or the next fetch."""
        fetching = self._fetching
        if fetching is None or chunk.wanted != fetching.revision:
            self._counters["config_chunks_unused"] += 1
            return None, None
        if chunk.base not in (0, fetching.base):
            self._counters["config_chunks_unused"] += 1
            return None, None
        if chunk.total > MAX_CHUNKS:
            raise errors.ControlError("transfer is too long")
        if chunk.transfer != fetching.identity:
            # The source does not hold the base, or peers differ in it.
            fetching.identity = chunk.transfer
            fetching.total = chunk.total
            fetching.base = chunk.base
            fetching.chunks.clear()
        if chunk.total != fetching.total:
            raise errors.ControlError("chunks of one transfer disagree")
        fetching.chunks[chunk.index] = chunk.data
        fetching.attempts = 0
        if len(fetching.chunks) == fetching.total:
            return self._complete(fetching), None
        if (
            fetching.total > LONG_TRANSFER_CHUNKS
            and self._store_asked < fetching.revision
        ):
            self._store_asked = fetching.revision
            self._store_wanted = True
            fetching.deadline_ms = now_ms + STORE_FIRST_MS
            fetching.held = True
            return None, None
        if fetching.held:
            return None, None
        if all(
            index in fetching.chunks
            for index in fetching.asked
            if index < fetching.total
        ):
            return None, self._ask(now_ms)
        return None, None

    def _complete(self, fetching: _Fetching) -> Document | None:
        self._fetching = None
        blob = b"".join(
            fetching.chunks[index] for index in range(fetching.total)
        )
        base = None
        if fetching.base:
            base = (
                self.document
                if fetching.base == self.revision
                else self._bases.get(fetching.base)
            )
            if base is None:
                return None
        try:
            document = transfer.unpack(blob, base)
        except errors.ControlError:
            self._counters["config_digest_mismatch"] += 1
            self._whole = True
            return None
        if document.revision != fetching.revision:
            self._counters["config_digest_mismatch"] += 1
            return None
        self._whole = False
        return document if self.adopt(document) else None
