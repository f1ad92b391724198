"""Exchange of the member list in pages, for anti-entropy."""

import random
from typing import Protocol

from cyclamenridge import address as address_lib
from cyclamenridge.control import budget
from cyclamenridge.control import membership
from cyclamenridge.control import messages
from cyclamenridge.control import outbox

Address = address_lib.Address

# Interval of page requests until one pass over the list has found no new
# member, and after that.
FAST_INTERVAL_MS = 600
SLOW_INTERVAL_MS = 10_000
MEMBERS_PER_PAGE = 24


class ApplyUpdate(Protocol):
    """Applies an update about a member that a peer reported."""

    def __call__(
        self,
        now_ms: int,
        sender: str,
        update: messages.Update,
        *,
        from_page: bool = False,
    ) -> None:
        """Apply an update.

        :param sender: name of the peer that reported the update
        :param from_page: the update is part of a member list page
        """


class PageExchange:
    """Reads the member lists of other members, one page at a time.

    Each page is requested from a random member, so that no member sends
    its whole list and the lists of several members are combined.
    """

    def __init__(
        self,
        table: membership.MemberTable,
        out: outbox.Outbox,
        rng: random.Random,
        apply_update: ApplyUpdate,
    ) -> None:
        self._table = table
        self._outbox = out
        self._rng = rng
        self._apply_update = apply_update
        self._after = ""
        self._next_ms = 0
        self._uses_fast_interval = True
        self._found_new = False

    def start(self, now_ms: int) -> None:
        """Schedule the first request at a random time."""
        self._next_ms = now_ms + self._rng.randrange(FAST_INTERVAL_MS)

    def speed_up(self, now_ms: int) -> None:
        """Request pages at the fast interval for at least this pass."""
        self._uses_fast_interval = True
        self._next_ms = min(self._next_ms, now_ms + FAST_INTERVAL_MS)

    def tick(self, now_ms: int) -> None:
        """Request the next page when it is due."""
        if now_ms < self._next_ms:
            return
        interval_ms = (
            FAST_INTERVAL_MS if self._uses_fast_interval else SLOW_INTERVAL_MS
        )
        self._next_ms = now_ms + self._rng.randint(
            interval_ms * 3 // 4, interval_ms * 5 // 4
        )
        for entry in self._table.sample(1):
            self._outbox.send(
                now_ms,
                entry.address,
                messages.PageRequest(self._after),
                budget.Priority.MEMBERS,
            )

    def apply_page(
        self, now_ms: int, sender: str, page: messages.Page
    ) -> None:
        """Apply the updates of a page and advance to the next page."""
        known_count = len(self._table.entries)
        for update in page.members:
            self._apply_update(now_ms, sender, update, from_page=True)
        self._found_new |= len(self._table.entries) > known_count
        self._after = page.next
        if not page.next:
            # Repeat the pass at the fast interval if it found a new member,
            # since the peers of a starting fleet know few members.
            self._uses_fast_interval = self._found_new
            self._found_new = False

    def send_page(
        self, now_ms: int, dest: Address, req: messages.PageRequest
    ) -> None:
        """Send the requested page, shortened until it fits a datagram."""
        members = MEMBERS_PER_PAGE
        while members:
            data = self._outbox.encode(self._table.page(req.after, members))
            if len(data) <= messages.MAX_DATAGRAM_BYTES:
                self._outbox.send_encoded(
                    now_ms, dest, data, budget.Priority.MEMBERS
                )
                return
            members //= 2
