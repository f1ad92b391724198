"""Protocol by which balancers learn of each other."""

import collections
import dataclasses
import random

from cyclamenridge import address as address_lib
from cyclamenridge.control import budget
from cyclamenridge.control import membership
from cyclamenridge.control import messages
from cyclamenridge.control import outbox
from cyclamenridge.control import pages
from cyclamenridge.control import probing
from cyclamenridge.control import spread
from cyclamenridge.control import types
from cyclamenridge.node import effects
from cyclamenridge.routing import homes

Address = address_lib.Address
Priority = budget.Priority
State = types.MemberState

# Members, of the whole fleet, that tell a suspect at once what is claimed.
WARNINGS_PER_SUSPECT = 6
# Without ticks for this long the node was paused or starved.
STALL_MS = 400
# Above this use of the budget acks carry no updates.
PIGGYBACK_LIMIT_BYTES = 25_000


class Peering:
    """Probes the other balancers and keeps the member list."""

    def __init__(
        self,
        me: homes.Balancer,
        seeds: tuple[Address, ...],
        rng: random.Random,
        out: outbox.Outbox,
        counters: collections.Counter[str],
    ) -> None:
        self._me = me
        self._rng = rng
        self._out = out
        self._counters = counters
        self.table = membership.MemberTable(
            rng, counters, self._member_changed
        )
        self._spreader = spread.Spreader(self.table, out)
        self._pages = pages.PageExchange(self.table, out, rng, self._claim)
        self._prober = probing.Prober(me.peer_address, seeds, self.table, rng)
        self._superseded = False
        # Members of this node's failure domain that may watch the store.
        self.domain: set[str] = {me.name}
        self.domain_changed = True
        self._last_ms = 0
        self._changed = False
        self._members: tuple[types.Member, ...] | None = None

    def start(self, now_ms: int) -> None:
        """Begin to look for peers."""
        self._last_ms = now_ms
        self._pages.start(now_ms)
        self._prober.start(now_ms)
        self._spreader.later(self._self_update())

    def tick(self, now_ms: int) -> None:
        """Send the probes that are due and let suspects expire."""
        late_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        if late_ms > STALL_MS:
            # Answers may wait in the socket, so nobody is to blame.
            self._counters["stalls"] += 1
            self.table.postpone(late_ms)
            self._prober.woke(now_ms)
        for died in self.table.expire(now_ms):
            self._spreader.now(now_ms, died)
        for step in self._prober.tick(now_ms):
            self._probe(now_ms, step)
        self._pages.tick(now_ms)

    def members(self) -> tuple[types.Member, ...]:
        """Return this balancer and the other members."""
        if self._members is None:
            mine = self._self_update()
            self._members = (
                types.Member(mine.balancer, mine.state),
                *(
                    types.Member(entry.update.balancer, entry.state)
                    for entry in self.table.entries.values()
                ),
            )
        return self._members

    def take_changed(self) -> bool:
        """Return whether members changed since the last call."""
        changed, self._changed = self._changed, False
        return changed

    def listed(
        self, names: frozenset[str], peers: tuple[Address, ...]
    ) -> None:
        """Take the balancers that the platform lists."""
        self.table.listed(names)
        self._prober.set_candidates(peers)

    def leave(self, now_ms: int) -> None:
        """Tell the members that this balancer takes no new sessions."""
        if self._out.header.leaving:
            return
        self._out.header.leaving = True
        self._raise_counter(now_ms, self._out.header.counter + 1)

    def accept(
        self, now_ms: int, source: Address, message: messages.Message
    ) -> bool:
        """Apply the header and the updates of a message.

        :return: False if it must not be used, because it is a replay or
            does not come from another balancer
        """
        if message.sender == self._me.name:
            self._namesake(now_ms, source, message.incarnation)
            return False
        holder = self.table.by_address.get(source, message.sender)
        entry = self._identify(now_ms, message, source)
        refute = None
        if entry is not None:
            if not entry.window.accept(message.incarnation, message.sequence):
                self._counters["control_replayed"] += 1
                return False
            refute = self._heard(now_ms, entry, message)
            if holder != message.sender:
                # Another process answers at this member's address.
                self._counters["member_address_conflicts"] += 1
                self._suspect(now_ms, holder)
        for update in message.updates:
            self._claim(now_ms, message.sender, update)
        if isinstance(message.body, messages.Ping):
            self._ack(now_ms, source, message.body, entry, refute)
        elif refute is not None:
            self._warn(now_ms, refute)
        if entry is None:
            self._ping_stranger(now_ms, source)
        return entry is not None

    def answer(
        self,
        now_ms: int,
        source: Address,
        name: str,
        body: messages.Body,
    ) -> None:
        """Handle a message about members that was accepted."""
        match body:
            case messages.Ack():
                self._acked(now_ms, name, body)
            case messages.PingReq():
                nonce = self._prober.relay(
                    now_ms, source, body.nonce, body.target
                )
                ping = messages.Ping(nonce)
                self._out.send(now_ms, body.address, ping, Priority.ACK)
            case messages.PageRequest():
                self._pages.serve(now_ms, source, body)
            case messages.Page():
                self._pages.take(now_ms, name, body)

    def _member_changed(
        self, old: messages.Update | None, new: messages.Update | None
    ) -> None:
        self._changed = True
        self._members = None
        known = new or old
        assert known is not None
        name = known.balancer.name
        may_watch = (
            new is not None
            and new.balancer.failure_domain == self._me.failure_domain
            and new.state in (State.ALIVE, State.SUSPECT)
        )
        if may_watch != (name in self.domain):
            (self.domain.add if may_watch else self.domain.discard)(name)
            self.domain_changed = True
        before = "unknown" if old is None else old.state.name.lower()
        after = "forgotten" if new is None else new.state.name.lower()
        if before != after:
            self._out.add(
                effects.StateChanged(f"member {name}", before, after)
            )

    def _self_update(self) -> messages.Update:
        head = self._out.header
        state = State.LEAVING if head.leaving else State.ALIVE
        return messages.Update(self._me, head.counter, state)

    def _raise_counter(self, now_ms: int, counter: int) -> None:
        self._out.header.counter = counter
        self._members = None
        self._changed = True
        self._spreader.now(now_ms, self._self_update())

    def _probe(self, now_ms: int, step: probing.Step) -> None:
        match step:
            case probing.Probe(lost=True):
                self._ping_stranger(now_ms, step.address)
            case probing.Probe():
                ping = messages.Ping(step.nonce)
                self._out.send(
                    now_ms,
                    step.address,
                    ping,
                    Priority.PROBE,
                    self._spreader.updates(),
                )
            case probing.IndirectProbe():
                req = messages.PingReq(step.nonce, step.name, step.address)
                for entry in self.table.sample(
                    probing.INDIRECT_MEMBERS, exclude=step.name
                ):
                    self._out.send(now_ms, entry.address, req, Priority.PROBE)
            case probing.Unanswered():
                self._suspect(now_ms, step.name)

    def _suspect(self, now_ms: int, name: str) -> None:
        update = self.table.suspect(now_ms, name)
        if update is not None:
            self._spreader.now(now_ms, update)
            self._warn(now_ms, update)

    def _ping_stranger(self, now_ms: int, address: Address) -> None:
        """Ask whoever has an address who it is, and tell who this is."""
        self._out.send(
            now_ms,
            address,
            messages.Ping(self._prober.new_nonce(), introduce=True),
            Priority.MEMBERS,
            (self._self_update(),),
        )

    def _warn(self, now_ms: int, claim: messages.Update) -> None:
        """Tell a member what is claimed of it, so that it can refute."""
        self._out.send(
            now_ms,
            claim.balancer.peer_address,
            messages.Ping(self._prober.new_nonce()),
            Priority.PROBE,
            (claim,),
        )

    def _identify(
        self, now_ms: int, message: messages.Message, source: Address
    ) -> membership.Entry | None:
        """Return the entry of the sender, adding it if it tells who it is."""
        entry = self.table.entries.get(message.sender)
        if entry is not None and (
            message.incarnation <= entry.update.balancer.incarnation
            or source == entry.address
        ):
            return entry
        for update in message.updates:
            if update.balancer.name == message.sender and update.version == (
                message.incarnation,
                message.counter,
            ):
                if entry is None:
                    entry = self.table.add(now_ms, update)
                else:
                    self.table.claim(now_ms, update)
                if entry is not None:
                    self._spreader.later(update)
                return entry
        return None

    def _heard(
        self, now_ms: int, entry: membership.Entry, message: messages.Message
    ) -> messages.Update | None:
        known = entry.update
        direct = messages.Update(
            dataclasses.replace(
                known.balancer, incarnation=message.incarnation
            ),
            message.counter,
            State.LEAVING if message.leaving else State.ALIVE,
        )
        refute = self.table.heard(now_ms, entry, direct)
        if known.state is State.DEAD and entry.state is not State.DEAD:
            # Probably a partition healed; pages bring the other members.
            self._pages.hurry(now_ms)
        if entry.update.version > known.version:
            self._spreader.now(now_ms, entry.update)
        return refute

    def _namesake(
        self, now_ms: int, source: Address, incarnation: int
    ) -> None:
        """Handle a message of a process with the name of this one."""
        if incarnation > self._me.incarnation:
            self._supersede()
        elif incarnation < self._me.incarnation:
            self._counters["member_name_conflicts"] += 1
            self._out.send(
                now_ms, source, messages.Announce(), Priority.MEMBERS
            )
        else:
            self._counters["control_replayed"] += 1

    def _supersede(self) -> None:
        if self._superseded:
            return
        self._superseded = True
        self._counters["member_superseded"] += 1
        self._out.add(
            effects.StateChanged(
                f"member {self._me.name}",
                "running",
                "superseded",
                "a newer process has this name",
            )
        )

    def _claim(
        self,
        now_ms: int,
        sender: str,
        update: messages.Update,
        *,
        page: bool = False,
    ) -> None:
        """Apply a claim of a peer.

        :param page: it is of the member list, so a member that is new to
            this node is not new to the fleet
        """
        name = update.balancer.name
        if name == self._me.name:
            self._claim_of_me(now_ms, update)
            return
        if name == sender:
            return
        entry = self.table.entries.get(name)
        before = None if entry is None else entry.state
        self.table.doubtful = ""
        passed_on = self.table.claim(now_ms, update)
        if passed_on is None:
            if update.state is State.ALIVE and name in self.table.dead:
                self._prober.recheck(name)
            elif self.table.doubtful:
                self._prober.verify(name)
            return
        if before is not None and before is not passed_on.state:
            self._spreader.now(now_ms, passed_on)
        elif before is not None or not page:
            self._spreader.later(passed_on)
        if (
            passed_on.state is State.SUSPECT
            and self._rng.random() * self.table.live_count
            < WARNINGS_PER_SUSPECT
        ):
            self._warn(now_ms, passed_on)

    def _claim_of_me(self, now_ms: int, update: messages.Update) -> None:
        head = self._out.header
        if update.balancer.incarnation > head.incarnation:
            self._supersede()
        elif update.balancer.incarnation == head.incarnation:
            accused = update.state in (State.SUSPECT, State.DEAD)
            if update.counter > head.counter or (
                accused and update.counter == head.counter
            ):
                self._counters["member_refutations"] += 1
                self._raise_counter(now_ms, update.counter + 1)

    def _ack(
        self,
        now_ms: int,
        source: Address,
        ping: messages.Ping,
        entry: membership.Entry | None,
        refute: messages.Update | None,
    ) -> None:
        updates: tuple[messages.Update, ...] = ()
        if self._out.used(now_ms) < PIGGYBACK_LIMIT_BYTES:
            updates = self._spreader.updates()
        if ping.introduce or entry is None:
            updates = (self._self_update(), *updates)
        if refute is not None:
            updates = (refute, *updates)
        self._out.send(
            now_ms,
            source,
            messages.Ack(ping.nonce),
            Priority.MEMBERS if ping.introduce else Priority.ACK,
            updates,
        )

    def _acked(self, now_ms: int, name: str, ack: messages.Ack) -> None:
        if ack.target:
            self._prober.answered(ack.target, ack.nonce)
            return
        self._prober.answered(name, ack.nonce)
        relay = self._prober.relayed(now_ms, name, ack.nonce)
        if relay is not None:
            self._out.send(
                now_ms,
                relay.asker,
                messages.Ack(relay.asker_nonce, target=name),
                Priority.ACK,
            )
