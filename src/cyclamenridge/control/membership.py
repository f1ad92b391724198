"""The member list and the rules by which claims change it."""

import bisect
import collections
from collections.abc import Callable
import dataclasses
import random

from cyclamenridge import address as address_lib
from cyclamenridge.control import messages
from cyclamenridge.control import replay
from cyclamenridge.control import types

Address = address_lib.Address
State = types.MemberState

# A suspect has this long to refute before it is declared dead.
SUSPICION_MS = 1000
# A member that was heard this recently is alive whatever peers claim.
OWN_EVIDENCE_MS = 1000
# How long a dead member is kept and probed again. Regions lose contact for
# minutes, and instances that are gone leave the platform's list sooner.
DEAD_RETENTION_MS = 1_800_000
DEAD_UNLISTED_RETENTION_MS = 120_000
# Keeps a faulty peer that invents names from filling the memory.
MAX_MEMBERS = 4096


@dataclasses.dataclass(slots=True)
class Entry:
    """What is known of another balancer."""

    update: messages.Update
    heard_ms: int
    window: replay.ReplayWindow
    dead_ms: int = 0

    @property
    def state(self) -> State:
        """Return the state that holds for this node."""
        return self.update.state

    @property
    def address(self) -> Address:
        """Return where datagrams to the member go."""
        return self.update.balancer.peer_address


class MemberTable:
    """Other balancers and their states.

    ``on_change`` is called with the old and the new update of a member
    whenever one is added, removed (new is None) or changes its state or
    incarnation.
    """

    def __init__(
        self,
        rng: random.Random,
        counters: collections.Counter[str],
        on_change: Callable[
            [messages.Update | None, messages.Update | None], None
        ],
    ) -> None:
        self._rng = rng
        self._counters = counters
        self._on_change = on_change
        self.entries: dict[str, Entry] = {}
        # In the order of the names, for pages.
        self._names: list[str] = []
        # Both in the order of the deadlines.
        self._suspects: dict[str, int] = {}
        self.dead: dict[str, int] = {}
        self._live: list[str] = []
        self._live_index: dict[str, int] = {}
        self.by_address: dict[Address, str] = {}
        self._listed: frozenset[str] | None = None
        # Member of the last claim that this node's own evidence overruled.
        self.doubtful = ""

    @property
    def live_count(self) -> int:
        """Return how many other members are not dead."""
        return len(self._live)

    def sample(self, count: int, exclude: str = "") -> list[Entry]:
        """Return random members that are not dead."""
        names = self._rng.sample(
            self._live, min(count + bool(exclude), len(self._live))
        )
        chosen = [name for name in names if name != exclude]
        return [self.entries[name] for name in chosen[:count]]

    def live_names(self) -> list[str]:
        """Return the names of the members that are not dead."""
        return list(self._live)

    def is_live(self, name: str) -> bool:
        """Return whether a member is known and not dead."""
        return name in self._live_index

    def heard(
        self, now_ms: int, entry: Entry, direct: messages.Update
    ) -> messages.Update | None:
        """Apply the header of a message that a member itself sent.

        :return: the claim that the member should refute, if any
        """
        entry.heard_ms = now_ms
        known = entry.update
        if direct.version < known.version:
            return None
        if direct.version == known.version and known.state in (
            State.ALIVE,
            State.LEAVING,
        ):
            return None
        refute = None
        if known.state in (State.SUSPECT, State.DEAD) and (
            direct.version == known.version
        ):
            refute = known
        self._replace(now_ms, entry, direct)
        return refute

    def claim(
        self, now_ms: int, update: messages.Update
    ) -> messages.Update | None:
        """Apply a claim of a peer about another member.

        :return: the update to pass on, None if nothing changed
        """
        entry = self.entries.get(update.balancer.name)
        if entry is None:
            if update.state is State.DEAD:
                return None
            self.add(now_ms, update)
            return update
        known = entry.update
        if update.order <= known.order:
            return None
        if update.state in (State.SUSPECT, State.DEAD):
            return self._accused(now_ms, entry, update)
        self._replace(now_ms, entry, update)
        return update

    def _accused(
        self, now_ms: int, entry: Entry, update: messages.Update
    ) -> messages.Update | None:
        same = update.version == entry.update.version
        if same and now_ms - entry.heard_ms < OWN_EVIDENCE_MS:
            self._counters["member_claims_overruled"] += 1
            self.doubtful = update.balancer.name
            return None
        if update.state is State.DEAD and entry.state is not State.SUSPECT:
            # A healed partition brings claims that half of the fleet is
            # dead; each member gets the time to refute first.
            update = dataclasses.replace(update, state=State.SUSPECT)
            if update.order <= entry.update.order:
                return None
        self._replace(now_ms, entry, update)
        return update

    def add(self, now_ms: int, update: messages.Update) -> Entry | None:
        """Add a member that was not known."""
        name = update.balancer.name
        if len(self.entries) >= MAX_MEMBERS:
            self._counters["members_refused"] += 1
            return None
        entry = Entry(
            update,
            now_ms - OWN_EVIDENCE_MS,
            replay.ReplayWindow(update.balancer.incarnation),
        )
        self.entries[name] = entry
        bisect.insort(self._names, name)
        self._enter(now_ms, entry)
        self._on_change(None, update)
        return entry

    def suspect(self, now_ms: int, name: str) -> messages.Update | None:
        """Suspect a member that did not answer a probe."""
        entry = self.entries.get(name)
        if entry is None or entry.state in (State.SUSPECT, State.DEAD):
            return None
        self._counters["members_suspected"] += 1
        update = dataclasses.replace(entry.update, state=State.SUSPECT)
        self._replace(now_ms, entry, update)
        return update

    def expire(self, now_ms: int) -> list[messages.Update]:
        """Declare suspects dead and forget old dead members."""
        died = []
        while self._suspects:
            name, deadline_ms = next(iter(self._suspects.items()))
            if deadline_ms > now_ms:
                break
            entry = self.entries[name]
            update = dataclasses.replace(entry.update, state=State.DEAD)
            self._replace(now_ms, entry, update)
            self._counters["members_died"] += 1
            died.append(update)
        self._forget_one(now_ms)
        return died

    def _forget_one(self, now_ms: int) -> None:
        if not self.dead:
            return
        name, check_ms = next(iter(self.dead.items()))
        if check_ms > now_ms:
            return
        del self.dead[name]
        entry = self.entries[name]
        age_ms = now_ms - entry.dead_ms
        listed = self._listed is not None and name in self._listed
        unlisted = self._listed is not None and name not in self._listed
        if listed or (age_ms < DEAD_RETENTION_MS and not unlisted):
            self.dead[name] = now_ms + DEAD_UNLISTED_RETENTION_MS
            return
        update = entry.update
        del self.entries[name]
        del self._names[bisect.bisect_left(self._names, name)]
        self._counters["members_forgotten"] += 1
        self._on_change(update, None)

    def postpone(self, late_ms: int) -> None:
        """Give suspects the time back during which this node stood still."""
        for name in self._suspects:
            self._suspects[name] += late_ms

    def listed(self, names: frozenset[str]) -> None:
        """Note which members the platform lists."""
        self._listed = names

    def page(self, after: str, limit: int) -> messages.Page:
        """Return the next members after a name, without dead ones."""
        start = bisect.bisect_right(self._names, after)
        names = self._names[start : start + limit]
        more = start + limit < len(self._names)
        return messages.Page(
            members=tuple(
                self.entries[name].update
                for name in names
                if name in self._live_index
            ),
            next=names[-1] if more else "",
        )

    def _replace(
        self, now_ms: int, entry: Entry, update: messages.Update
    ) -> None:
        old = entry.update
        self._leave(entry)
        entry.update = update
        entry.window.advance(update.balancer.incarnation)
        self._enter(now_ms, entry)
        if old.state != update.state or old.balancer != update.balancer:
            self._on_change(old, update)

    def _leave(self, entry: Entry) -> None:
        name = entry.update.balancer.name
        self._suspects.pop(name, None)
        self.dead.pop(name, None)
        if self.by_address.get(entry.address) == name:
            del self.by_address[entry.address]
        index = self._live_index.pop(name, None)
        if index is not None:
            last = self._live.pop()
            if last != name:
                self._live[index] = last
                self._live_index[last] = index

    def _enter(self, now_ms: int, entry: Entry) -> None:
        name = entry.update.balancer.name
        if entry.state is State.DEAD:
            entry.dead_ms = now_ms
            self.dead[name] = now_ms + DEAD_UNLISTED_RETENTION_MS
            return
        if entry.state is State.SUSPECT:
            self._suspects[name] = now_ms + SUSPICION_MS
        self.by_address[entry.address] = name
        self._live_index[name] = len(self._live)
        self._live.append(name)
