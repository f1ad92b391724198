"""Requests sent to servers, and the choice of the next server."""

import collections
import dataclasses
import random

from cyclamenridge.scheduling import division as division_lib
from cyclamenridge.scheduling import options as options_lib
from cyclamenridge.scheduling import picker
from cyclamenridge.scheduling import retry
from cyclamenridge.scheduling import servers
from cyclamenridge.scheduling import types
from cyclamenridge.scheduling import usage

# A server answers ``busy`` within a round trip; an attempt that is out for
# longer was accepted.
ACCEPTED_AFTER_MS = 20
# An idle balancer without retry budget tries a server this often.
LONE_TRY_INTERVAL_MS = 200
MIN_BUSY_HOLD_MS = 2
MAX_BUSY_HOLD_MS = 100


@dataclasses.dataclass(slots=True)
class Running:
    """A request that was sent to a server.

    :param reserved_token: it holds a token of the retry budget
    :param by_floor: it started because of the floor of its kind
    """

    request: types.QueuedRequest
    server: servers.Server
    started_ms: int
    excluded: frozenset[str]
    reserved_token: bool
    by_floor: bool


class Attempts:
    """Keeps the requests at servers and chooses where the next one goes."""

    def __init__(
        self,
        table: servers.ServerTable,
        division: division_lib.SlotDivision,
        use: usage.KindUsage,
        *,
        rng: random.Random,
        options: options_lib.Options,
    ) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.slow_start_ms = 0
        self.retry_percent = 0.0
        self._table = table
        self._division = division
        self._usage = use
        self._rng = rng
        self._options = options
        self._picker = picker.FreeSlotPicker(rng)
        self._running: dict[types.RequestKey, Running] = {}
        self._unsure: collections.deque[Running] = collections.deque()
        self._budget: retry.RetryBudget | None = None
        self._last_start_ms = 0

    def __len__(self) -> int:
        return len(self._running)

    def budget(self, now_ms: int) -> retry.RetryBudget:
        """Return the retry budget as of now."""
        if self._budget is None:
            self._budget = retry.RetryBudget(now_ms)
        self._budget.percent = self.retry_percent
        self._budget.refill(now_ms)
        return self._budget

    def own_slot_free(self) -> bool:
        """Whether the balancer uses less than its share."""
        return len(self._running) < self._division.owned_total

    def may_start(self) -> bool:
        """Whether any server could be chosen now."""
        return (
            not self._running
            or self.own_slot_free()
            or not self._options.own_slots_only
            or self._may_try_foreign()
        )

    def _may_try_foreign(self) -> bool:
        # Without spare slots, each free one is about to be used by its
        # owner; to take it would let low kinds here delay high ones there.
        return self._options.foreign_slots and (
            not self._division.owned_total
            or self._division.allocation.spare > 0
        )

    def choose(
        self, now_ms: int, excluded: frozenset[str]
    ) -> tuple[servers.Server | None, bool]:
        """Return a server, and whether a token was reserved for it."""
        candidates = self._candidates(now_ms, excluded)
        residual_ms = self._usage.residual_ms()
        if not self._options.own_slots_only:
            server = self._picker.foreign(now_ms, candidates, residual_ms)
            return server, False
        budget = self.budget(now_ms)
        if self.own_slot_free():
            server = self._picker.own(
                now_ms, candidates, self._division.owned, residual_ms
            )
            if server is not None:
                keep = 0 if server.surely_free(now_ms) else retry.OWN_KEEP
                if budget.take(keep=keep):
                    return server, True
                # An idle balancer goes on without a token, but slowly,
                # because a request that is turned down is then refused.
                if budget.percent <= 0 or (
                    not self._running
                    and now_ms - self._last_start_ms >= LONE_TRY_INTERVAL_MS
                ):
                    return server, False
        if not self._may_try_foreign():
            return None, False
        server = self._picker.foreign(
            now_ms,
            candidates,
            residual_ms,
            sure=not budget.has(keep=retry.FOREIGN_KEEP),
        )
        if server is None or not budget.take():
            return None, False
        self.counters["foreign_tries"] += 1
        return server, True

    def _candidates(
        self, now_ms: int, excluded: frozenset[str]
    ) -> list[servers.Server]:
        usable = self._table.available(now_ms)
        # A request that every server turned down may go to any of them.
        if excluded and any(s.name not in excluded for s in usable):
            usable = [s for s in usable if s.name not in excluded]
        return [
            server
            for server in usable
            if now_ms >= server.busy_until_ms
            and now_ms >= server.next_start_ms
        ]

    def started(self, running: Running) -> None:
        """Take in that a request is sent."""
        now_ms = running.started_ms
        kind = running.request.kind
        server = running.server
        server.in_flight += 1
        server.tried_ms = self._last_start_ms = now_ms
        warmth = server.warmth(now_ms, self.slow_start_ms)
        if warmth < 1:
            server.next_start_ms = now_ms + round(
                self._usage.work_ms(kind) * (1 / warmth - 1)
            )
        self._usage.started(now_ms, kind, by_floor=running.by_floor)
        self._running[running.request.key] = running
        if running.reserved_token:
            self._unsure.append(running)

    def ended(
        self, now_ms: int, key: types.RequestKey, server: str
    ) -> Running | None:
        """Take in that a request is no longer at a server."""
        running = self._running.get(key)
        if running is None or running.server.name != server:
            return None
        del self._running[key]
        running.server.in_flight -= 1
        self._usage.ended(
            now_ms,
            running.request.kind,
            now_ms - running.started_ms,
            by_floor=running.by_floor,
        )
        return running

    def busy(self, now_ms: int, server: servers.Server) -> None:
        """Leave a server without a free slot alone for a moment."""
        freed_ms = self._usage.residual_ms() / server.slots
        hold_ms = min(MAX_BUSY_HOLD_MS, max(MIN_BUSY_HOLD_MS, freed_ms))
        server.busy(
            now_ms, hold_ms=round(hold_ms * self._rng.uniform(0.5, 1.5))
        )

    def give_back(self, now_ms: int, running: Running) -> None:
        """Return the token of a request that a server accepted."""
        if running.reserved_token:
            running.reserved_token = False
            self.budget(now_ms).give_back()

    def give_back_accepted(self, now_ms: int) -> None:
        """Return the tokens of requests that were surely accepted."""
        while (
            self._unsure
            and now_ms - self._unsure[0].started_ms >= ACCEPTED_AFTER_MS
        ):
            self.give_back(now_ms, self._unsure.popleft())
