"""The member list and the rules for applying updates to it."""

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

# A suspect that does not refute the suspicion within this time is declared
# dead.
SUSPICION_MS = 1000
# A report that a member is suspect or dead is ignored if the member sent a
# message to this node within this time.
RECENT_CONTACT_MS = 1000
# How long a dead member is kept and probed. Regions may be disconnected for
# minutes; a removed instance disappears from the platform's list sooner.
DEAD_RETENTION_MS = 1_800_000
DEAD_UNLISTED_RETENTION_MS = 120_000
# Bounds the memory in case a faulty peer reports names that do not exist.
MAX_MEMBERS = 4096


@dataclasses.dataclass(slots=True)
class Entry:
    """State of another balancer as known to this node.

    :param last_heard_ms: time of the last message from the member itself
    :param dead_ms: time when the member was declared dead
    """

    update: messages.Update
    last_heard_ms: int
    replay_window: replay.ReplayWindow
    dead_ms: int = 0

    @property
    def state(self) -> State:
        """Return the state according to the update in effect."""
        return self.update.state

    @property
    def address(self) -> Address:
        """Return the address for datagrams to the member."""
        return self.update.balancer.peer_address


class MemberTable:
    """The other balancers and their states.

    ``on_change`` is called with the old and the new update of a member
    when the member is added (old is None) or removed (new is None), or
    when its state, incarnation, address or failure domain changes.
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
        # Sorted, for pages.
        self._names: list[str] = []
        # Names with the time when the suspect is declared dead or when the
        # dead member is considered for removal; sorted by this time.
        self._suspects: dict[str, int] = {}
        self.dead: dict[str, int] = {}
        self._live: list[str] = []
        self._live_index: dict[str, int] = {}
        self.by_address: dict[Address, str] = {}
        self._listed: frozenset[str] | None = None
        # Member whose reported suspicion was ignored last because this node
        # had recent contact with it.
        self.contradicted = ""

    @property
    def live_count(self) -> int:
        """Return how many other members are not dead."""
        return len(self._live)

    def sample(self, count: int, exclude: str = "") -> list[Entry]:
        """Return up to ``count`` random members that are not dead."""
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

    def apply_direct(
        self, now_ms: int, entry: Entry, direct: messages.Update
    ) -> messages.Update | None:
        """Apply the state that a member itself sent in a message header.

        :return: the suspicion or death that the member should refute, if any
        """
        entry.last_heard_ms = now_ms
        known = entry.update
        if direct.version < known.version:
            return None
        if direct.version == known.version and known.state in (
            State.ALIVE,
            State.LEAVING,
        ):
            return None
        suspicion = None
        if known.state in (State.SUSPECT, State.DEAD) and (
            direct.version == known.version
        ):
            suspicion = known
        self._set_update(now_ms, entry, direct)
        return suspicion

    def apply_reported(
        self, now_ms: int, update: messages.Update
    ) -> messages.Update | None:
        """Apply an update about a member that another peer reported.

        :return: the update to disseminate, None if nothing changed
        """
        entry = self.entries.get(update.balancer.name)
        if entry is None:
            if update.state is State.DEAD:
                return None
            return None if self.add(now_ms, update) is None else update
        known = entry.update
        if update.precedence <= known.precedence:
            return None
        if update.state in (State.SUSPECT, State.DEAD):
            return self._apply_suspicion(now_ms, entry, update)
        self._set_update(now_ms, entry, update)
        return update

    def _apply_suspicion(
        self, now_ms: int, entry: Entry, update: messages.Update
    ) -> messages.Update | None:
        same_version = update.version == entry.update.version
        if same_version and now_ms - entry.last_heard_ms < RECENT_CONTACT_MS:
            self._counters["member_claims_overruled"] += 1
            self.contradicted = update.balancer.name
            return None
        if update.state is State.DEAD and entry.state is not State.SUSPECT:
            # After a partition heals, peers report half of the fleet dead.
            # The members are suspected first, so that they can refute it.
            update = dataclasses.replace(update, state=State.SUSPECT)
            if update.precedence <= entry.update.precedence:
                return None
        self._set_update(now_ms, entry, update)
        return update

    def add(self, now_ms: int, update: messages.Update) -> Entry | None:
        """Add a new member; return None if the list is full."""
        name = update.balancer.name
        if len(self.entries) >= MAX_MEMBERS:
            self._counters["members_refused"] += 1
            return None
        entry = Entry(
            update,
            now_ms - RECENT_CONTACT_MS,
            replay.ReplayWindow(update.balancer.incarnation),
        )
        self.entries[name] = entry
        bisect.insort(self._names, name)
        self._add_to_indexes(now_ms, entry)
        self._on_change(None, update)
        return entry

    def suspect(self, now_ms: int, name: str) -> messages.Update | None:
        """Suspect a member; return the update if its state changed."""
        entry = self.entries.get(name)
        if entry is None or entry.state in (State.SUSPECT, State.DEAD):
            return None
        self._counters["members_suspected"] += 1
        update = dataclasses.replace(entry.update, state=State.SUSPECT)
        self._set_update(now_ms, entry, update)
        return update

    def expire(self, now_ms: int) -> list[messages.Update]:
        """Declare expired suspects dead; remove at most one dead member.

        :return: the updates of the members that were declared dead
        """
        declared_dead = []
        while self._suspects:
            name, deadline_ms = next(iter(self._suspects.items()))
            if deadline_ms > now_ms:
                break
            entry = self.entries[name]
            update = dataclasses.replace(entry.update, state=State.DEAD)
            self._set_update(now_ms, entry, update)
            self._counters["members_died"] += 1
            declared_dead.append(update)
        self._remove_one_dead(now_ms)
        return declared_dead

    def _remove_one_dead(self, now_ms: int) -> None:
        if not self.dead:
            return
        name, removal_check_ms = next(iter(self.dead.items()))
        if removal_check_ms > now_ms:
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

    def extend_suspicions(self, delay_ms: int) -> None:
        """Extend the time to refute by the time this node was stalled."""
        for name in self._suspects:
            self._suspects[name] += delay_ms

    def set_listed(self, names: frozenset[str]) -> None:
        """Set the names of the balancers that the platform lists."""
        self._listed = names

    def page(self, after: str, limit: int) -> messages.Page:
        """Return a page of the members after a name, without dead ones.

        :param limit: length of the page, before dead members are left out
        """
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

    def _set_update(
        self, now_ms: int, entry: Entry, update: messages.Update
    ) -> None:
        old = entry.update
        self._remove_from_indexes(entry)
        entry.update = update
        entry.replay_window.advance(update.balancer.incarnation)
        self._add_to_indexes(now_ms, entry)
        if old.state != update.state or old.balancer != update.balancer:
            self._on_change(old, update)

    def _remove_from_indexes(self, entry: Entry) -> None:
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

    def _add_to_indexes(self, now_ms: int, entry: Entry) -> None:
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
