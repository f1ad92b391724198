"""Request queues of a service, by kind and customer.

The caller takes requests by kind. Within a kind, the customers are served by
deficit round robin, weighted by their shares.
"""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import heapq

from cyclamenridge.scheduling import types

# Entries of requests that left the queue which the expiry heap may always
# hold, so that the heap of a short queue is not rebuilt all the time.
_MIN_HEAP_REBUILD_SIZE = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A request in the queue.

    :param start_by_ms: it is refused when it is still queued at this time
    :param excluded_servers: servers that did not run it
    """

    request: types.QueuedRequest
    start_by_ms: int
    excluded_servers: frozenset[str] = frozenset()


class _CustomerQueue:
    """Requests of one customer, oldest first.

    :param quantum: requests that the customer may send in one round
    """

    def __init__(self, quantum: float) -> None:
        self.quantum = quantum
        self.deficit = 0.0
        self.entries: collections.OrderedDict[types.RequestKey, Entry] = (
            collections.OrderedDict()
        )


class KindQueue:
    """Requests of one kind, served by deficit round robin per customer."""

    def __init__(self, shares: Mapping[str, float]) -> None:
        self._shares = shares
        # The quantum of the smallest share is one request, so that each
        # turn serves at least one and ``pop`` takes constant time.
        self._min_share = min(shares.values(), default=1.0)
        self._customers: collections.OrderedDict[str, _CustomerQueue] = (
            collections.OrderedDict()
        )
        self._active_share = 0.0
        self.length = 0

    def __iter__(self) -> Iterator[Entry]:
        for customer in self._customers.values():
            yield from customer.entries.values()

    def share(self, customer: str) -> float:
        """Return the share of a customer; one that is not configured has 1."""
        return self._shares.get(customer, 1.0)

    def customer_length(self, customer: str) -> int:
        """Return the number of queued requests of a customer."""
        queue = self._customers.get(customer)
        return len(queue.entries) if queue else 0

    def requests_ahead(self, customer: str) -> float:
        """Estimate how many requests go before a new one of a customer."""
        queue = self._customers.get(customer)
        share = self.share(customer)
        active_share = self._active_share + (0 if queue else share)
        own_length = len(queue.entries) if queue else 0
        return min(self.length, (own_length + 1) * active_share / share - 1)

    def push(self, entry: Entry, *, front: bool) -> None:
        """Add a request.

        :param front: the request is the next one that ``pop`` returns
        """
        name = entry.request.customer
        queue = self._customers.get(name)
        if queue is None:
            queue = _CustomerQueue(
                max(1.0, self.share(name) / self._min_share)
            )
            self._customers[name] = queue
            self._active_share += self.share(name)
        queue.entries[entry.request.key] = entry
        if front:
            queue.entries.move_to_end(entry.request.key, last=False)
            self._customers.move_to_end(name, last=False)
            queue.deficit = max(queue.deficit, 1.0)
        self.length += 1

    def peek(self) -> Entry | None:
        """Return the next request without taking it."""
        for queue in self._customers.values():
            return next(iter(queue.entries.values()))
        return None

    def pop(self) -> Entry | None:
        """Take the next request."""
        if not self._customers:
            return None
        name, queue = next(iter(self._customers.items()))
        if queue.deficit < 1:
            queue.deficit += queue.quantum
        queue.deficit -= 1
        entry = queue.entries.popitem(last=False)[1]
        self.length -= 1
        if not queue.entries:
            self._remove_customer(name)
        elif queue.deficit < 1:
            self._customers.move_to_end(name)
        return entry

    def remove(self, request: types.QueuedRequest) -> None:
        """Take a given request out."""
        queue = self._customers[request.customer]
        del queue.entries[request.key]
        self.length -= 1
        if not queue.entries:
            self._remove_customer(request.customer)

    def _remove_customer(self, name: str) -> None:
        del self._customers[name]
        self._active_share -= self.share(name)
        if not self._customers:
            self._active_share = 0.0


class ServiceQueue:
    """All queued requests of a service at one balancer."""

    def __init__(
        self, kinds: tuple[str, ...], *, shares: Mapping[str, float]
    ) -> None:
        self.kinds = {kind: KindQueue(shares) for kind in kinds}
        self._entries: dict[types.RequestKey, Entry] = {}
        self._expiry_heap: list[tuple[int, types.RequestKey]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Entry]:
        for kind in self.kinds.values():
            yield from kind

    def __contains__(self, key: types.RequestKey) -> bool:
        return key in self._entries

    def push(self, entry: Entry, *, front: bool = False) -> None:
        """Add a request."""
        self._entries[entry.request.key] = entry
        heapq.heappush(
            self._expiry_heap, (entry.start_by_ms, entry.request.key)
        )
        self.kinds[entry.request.kind].push(entry, front=front)
        # Entries of requests that left the queue are removed in bulk, which
        # keeps the amortized cost per request constant.
        if (
            len(self._expiry_heap)
            > 2 * len(self._entries) + _MIN_HEAP_REBUILD_SIZE
        ):
            self._expiry_heap = [
                (queued.start_by_ms, key)
                for key, queued in self._entries.items()
            ]
            heapq.heapify(self._expiry_heap)

    def pop(self, kind: str) -> Entry | None:
        """Take the next request of a kind."""
        entry = self.kinds[kind].pop()
        if entry is not None:
            del self._entries[entry.request.key]
        return entry

    def remove(self, key: types.RequestKey) -> Entry | None:
        """Take a given request out; None when it is not queued."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            self.kinds[entry.request.kind].remove(entry.request)
        return entry

    def pop_expired(self, now_ms: int) -> Iterator[Entry]:
        """Take out the requests that must not start any more."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now_ms:
            start_by_ms, key = heapq.heappop(self._expiry_heap)
            entry = self._entries.get(key)
            if entry is not None and entry.start_by_ms == start_by_ms:
                self.remove(key)
                yield entry
