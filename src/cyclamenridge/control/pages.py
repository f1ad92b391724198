"""Exchange of the member list in pages."""

import random
from typing import Protocol

from cyclamenridge import address as address_lib
from cyclamenridge.control import budget
from cyclamenridge.control import membership
from cyclamenridge.control import messages
from cyclamenridge.control import outbox

Address = address_lib.Address

# A page is asked for this often until a whole round brought nothing new,
# and at the slow rate after that.
FAST_MS = 600
SLOW_MS = 10_000
MEMBERS_PER_PAGE = 24


class Claim(Protocol):
    """Applies the claim of a peer about a member."""

    def __call__(
        self,
        now_ms: int,
        sender: str,
        update: messages.Update,
        *,
        page: bool = False,
    ) -> None:
        """Apply a claim."""


class PageExchange:
    """Reads the member list of other members, a page at a time.

    Each page is asked of another random member, so no member sends its
    whole list and the answers of the fleet complete each other.
    """

    def __init__(
        self,
        table: membership.MemberTable,
        out: outbox.Outbox,
        rng: random.Random,
        claim: Claim,
    ) -> None:
        self._table = table
        self._out = out
        self._rng = rng
        self._claim = claim
        self._after = ""
        self._next_ms = 0
        self._fast = True
        self._news = False

    def start(self, now_ms: int) -> None:
        """Begin at a random time."""
        self._next_ms = now_ms + self._rng.randrange(FAST_MS)

    def hurry(self, now_ms: int) -> None:
        """Read the whole list again."""
        self._fast = True
        self._next_ms = min(self._next_ms, now_ms + FAST_MS)

    def tick(self, now_ms: int) -> None:
        """Ask for the next page when it is due."""
        if now_ms < self._next_ms:
            return
        interval_ms = FAST_MS if self._fast else SLOW_MS
        self._next_ms = now_ms + self._rng.randint(
            interval_ms * 3 // 4, interval_ms * 5 // 4
        )
        for entry in self._table.sample(1):
            self._out.send(
                now_ms,
                entry.address,
                messages.PageRequest(self._after),
                budget.Priority.MEMBERS,
            )

    def take(self, now_ms: int, sender: str, page: messages.Page) -> None:
        """Apply a page and move on to the next one."""
        known = len(self._table.entries)
        for update in page.members:
            self._claim(now_ms, sender, update, page=True)
        self._news |= len(self._table.entries) > known
        self._after = page.next
        if not page.next:
            # A round that brought a new member is followed by another one,
            # since the peers of a starting fleet know few members.
            self._fast = self._news
            self._news = False

    def serve(
        self, now_ms: int, dest: Address, req: messages.PageRequest
    ) -> None:
        """Send the page that a member asks for."""
        members = MEMBERS_PER_PAGE
        while members:
            data = self._out.encode(self._table.page(req.after, members))
            if len(data) <= messages.MAX_DATAGRAM_BYTES:
                self._out.send_data(
                    now_ms, dest, data, budget.Priority.MEMBERS
                )
                return
            members //= 2
