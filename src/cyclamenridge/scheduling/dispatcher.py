"""Selection of the server for a request, and requests at servers."""

import collections
import dataclasses
import random

from cyclamenridge.scheduling import local_share as local_share_lib
from cyclamenridge.scheduling import options as options_lib
from cyclamenridge.scheduling import picker
from cyclamenridge.scheduling import retry
from cyclamenridge.scheduling import servers
from cyclamenridge.scheduling import types
from cyclamenridge.scheduling import usage

# A server answers ``busy`` within a round trip, so an attempt that has been
# outstanding for longer was accepted.
ACCEPTED_AFTER_MS = 20
# Interval of attempts without a retry token while no request is in flight.
IDLE_ATTEMPT_INTERVAL_MS = 200
# For this long after an overload, a balancer uses its own slots only: the
# other members are probably overloaded too, and their demands are up to 1 s
# old.
OVERLOAD_PERIOD_MS = 1000
MIN_BUSY_BACKOFF_MS = 2
MAX_BUSY_BACKOFF_MS = 100


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request that was sent to a server.

    :param excluded_servers: servers that did not run the request before
    :param holds_token: it holds a token of the retry budget
    :param by_floor: the floor of its kind put it before higher kinds
    """

    request: types.QueuedRequest
    server: servers.Server
    started_ms: int
    excluded_servers: frozenset[str]
    holds_token: bool
    by_floor: bool


class Dispatcher:
    """Selects the server of the next request and tracks attempts."""

    def __init__(
        self,
        server_table: servers.ServerTable,
        local_share: local_share_lib.LocalShare,
        kind_usage: usage.KindUsage,
        *,
        rng: random.Random,
        options: options_lib.Options,
    ) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.slow_start_ms = 0
        self.retry_percent = 0.0
        self._servers = server_table
        self._share = local_share
        self._usage = kind_usage
        self._rng = rng
        self._options = options
        self._picker = picker.FreeSlotPicker(rng)
        self._in_flight: dict[types.RequestKey, Attempt] = {}
        # Attempts with a token that a server may still turn down, oldest
        # first.
        self._unconfirmed: collections.deque[Attempt] = collections.deque()
        self._budget: retry.RetryBudget | None = None
        self._last_start_ms = 0
        self._last_overload_ms: int | None = None

    def __len__(self) -> int:
        return len(self._in_flight)

    def retry_budget(self, now_ms: int) -> retry.RetryBudget:
        """Return the retry budget, refilled up to now."""
        if self._budget is None:
            self._budget = retry.RetryBudget(now_ms)
        self._budget.percent = self.retry_percent
        self._budget.refill(now_ms)
        return self._budget

    def has_own_slot(self) -> bool:
        """Whether fewer requests are in flight than there are own slots."""
        return len(self._in_flight) < self._share.owned_total

    def record_overload(self, now_ms: int) -> None:
        """Record that a request was refused for lack of slots."""
        self._last_overload_ms = now_ms

    def can_dispatch(self, now_ms: int) -> bool:
        """Whether any server could be chosen now."""
        return (
            not self._in_flight
            or self.has_own_slot()
            or not self._options.own_slots_only
            or self._may_use_foreign_slots(now_ms)
        )

    def _may_use_foreign_slots(self, now_ms: int) -> bool:
        # Without spare slots, each free one is about to be used by its
        # owner; to take it would let low kinds here delay high ones there.
        if not self._options.foreign_slots:
            return False
        if not self._share.owned_total:
            return True
        return self._share.allocation.spare > 0 and (
            self._last_overload_ms is None
            or now_ms - self._last_overload_ms > OVERLOAD_PERIOD_MS
        )

    def choose_server(
        self, now_ms: int, excluded_servers: frozenset[str]
    ) -> tuple[servers.Server | None, bool]:
        """Return a server, and whether a token was taken for the attempt."""
        candidates = self._candidates(now_ms, excluded_servers)
        residual_ms = self._usage.mean_residual_ms()
        if not self._options.own_slots_only:
            server = self._picker.pick_foreign(now_ms, candidates, residual_ms)
            return server, False
        budget = self.retry_budget(now_ms)
        if self.has_own_slot():
            server = self._picker.pick_own(
                now_ms, candidates, self._share.owned_by_server, residual_ms
            )
            if server is not None:
                reserve = (
                    0
                    if server.recently_free(now_ms)
                    else retry.OWN_SLOT_RESERVE_TOKENS
                )
                if budget.try_take(reserve=reserve):
                    return server, True
                # Without a token, an idle balancer still makes attempts, but
                # slowly, because a request that is turned down is refused.
                if budget.percent <= 0 or (
                    not self._in_flight
                    and now_ms - self._last_start_ms
                    >= IDLE_ATTEMPT_INTERVAL_MS
                ):
                    return server, False
        if not self._may_use_foreign_slots(now_ms):
            return None, False
        server = self._picker.pick_foreign(
            now_ms,
            candidates,
            residual_ms,
            recent_only=not budget.can_take(
                reserve=retry.FOREIGN_SLOT_RESERVE_TOKENS
            ),
        )
        if server is None or not budget.try_take():
            return None, False
        self.counters["foreign_tries"] += 1
        return server, True

    def _candidates(
        self, now_ms: int, excluded_servers: frozenset[str]
    ) -> list[servers.Server]:
        available = self._servers.available(now_ms)
        # A request that every server turned down may go to any of them.
        if excluded_servers and any(
            s.name not in excluded_servers for s in available
        ):
            available = [
                s for s in available if s.name not in excluded_servers
            ]
        return [
            server
            for server in available
            if now_ms >= server.backoff_until_ms
            and now_ms >= server.next_start_ms
        ]

    def record_start(self, attempt: Attempt) -> None:
        """Record that a request is sent to a server."""
        now_ms = attempt.started_ms
        kind = attempt.request.kind
        server = attempt.server
        server.in_flight += 1
        server.last_attempt_ms = self._last_start_ms = now_ms
        factor = server.slow_start_factor(now_ms, self.slow_start_ms)
        if factor < 1:
            server.next_start_ms = now_ms + round(
                self._usage.mean_run_ms(kind) * (1 / factor - 1)
            )
        self._usage.record_start(now_ms, kind, by_floor=attempt.by_floor)
        self._in_flight[attempt.request.key] = attempt
        if attempt.holds_token:
            self._unconfirmed.append(attempt)

    def record_end(
        self, now_ms: int, key: types.RequestKey, server: str
    ) -> Attempt | None:
        """Record that a request is no longer at a server.

        :returns: the attempt; None when the request is not at that server
        """
        attempt = self._in_flight.get(key)
        if attempt is None or attempt.server.name != server:
            return None
        del self._in_flight[key]
        attempt.server.in_flight -= 1
        self._usage.record_end(
            now_ms,
            attempt.request.kind,
            now_ms - attempt.started_ms,
            by_floor=attempt.by_floor,
        )
        return attempt

    def back_off(self, now_ms: int, server: servers.Server) -> None:
        """Send nothing to a busy server until a slot is likely to be free."""
        next_free_ms = self._usage.mean_residual_ms() / server.slots
        backoff_ms = min(
            MAX_BUSY_BACKOFF_MS, max(MIN_BUSY_BACKOFF_MS, next_free_ms)
        )
        server.record_busy(
            now_ms, backoff_ms=round(backoff_ms * self._rng.uniform(0.5, 1.5))
        )

    def return_token(self, now_ms: int, attempt: Attempt) -> None:
        """Return the token of a request that a server accepted."""
        if attempt.holds_token:
            attempt.holds_token = False
            self.retry_budget(now_ms).return_token()

    def return_accepted_tokens(self, now_ms: int) -> None:
        """Return the tokens of attempts that no ``busy`` can follow."""
        while (
            self._unconfirmed
            and now_ms - self._unconfirmed[0].started_ms >= ACCEPTED_AFTER_MS
        ):
            self.return_token(now_ms, self._unconfirmed.popleft())
