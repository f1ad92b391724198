"""Membership protocol: failure detection, dissemination and list pages."""

import collections
import dataclasses
import random

from cyclamenridge import address as address_lib
from cyclamenridge.control import budget
from cyclamenridge.control import dissemination
from cyclamenridge.control import member_pages
from cyclamenridge.control import membership
from cyclamenridge.control import messages
from cyclamenridge.control import outbox
from cyclamenridge.control import probing
from cyclamenridge.control import types
from cyclamenridge.node import effects
from cyclamenridge.routing import home_sets

Address = address_lib.Address
Priority = budget.Priority
State = types.MemberState

# Expected number of members, in the whole fleet, that notify a suspect of the
# suspicion at once.
NOTIFICATIONS_PER_SUSPECT = 6
# A longer gap between two ticks means that the process was paused or starved.
STALL_THRESHOLD_MS = 400
# If more than this was sent within the budget's window, Acks carry no updates.
PIGGYBACK_LIMIT_BYTES = 25_000


class Peering:
    """Runs the membership protocol and maintains the member list."""

    def __init__(
        self,
        me: home_sets.Balancer,
        seeds: tuple[Address, ...],
        rng: random.Random,
        out: outbox.Outbox,
        counters: collections.Counter[str],
    ) -> None:
        self._me = me
        self._rng = rng
        self._outbox = out
        self._counters = counters
        self.table = membership.MemberTable(
            rng, counters, self._member_changed
        )
        self._disseminator = dissemination.Disseminator(self.table, out)
        self._pages = member_pages.PageExchange(
            self.table, out, rng, self._apply_update
        )
        self._prober = probing.Prober(me.peer_address, seeds, self.table, rng)
        self._superseded = False
        # Members of this node's failure domain that may watch the store.
        self.domain_members: set[str] = {me.name}
        self.domain_members_changed = True
        self._last_tick_ms = 0
        self._members_changed = False
        self._cached_members: tuple[types.Member, ...] | None = None

    def start(self, now_ms: int) -> None:
        """Schedule the first probes and page requests."""
        self._last_tick_ms = now_ms
        self._pages.start(now_ms)
        self._prober.start(now_ms)
        self._disseminator.enqueue(self._self_update())

    def tick(self, now_ms: int) -> None:
        """Send probes and page requests that are due; expire suspects."""
        delay_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if delay_ms > STALL_THRESHOLD_MS:
            # Acks may still wait in the socket, so a missing one is no sign
            # of a failed member.
            self._counters["stalls"] += 1
            self.table.extend_suspicions(delay_ms)
            self._prober.reset(now_ms)
        for dead in self.table.expire(now_ms):
            self._disseminator.send_now(now_ms, dead)
        for action in self._prober.tick(now_ms):
            self._send_probe(now_ms, action)
        self._pages.tick(now_ms)

    def members(self) -> tuple[types.Member, ...]:
        """Return this balancer and the other members."""
        if self._cached_members is None:
            mine = self._self_update()
            self._cached_members = (
                types.Member(mine.balancer, mine.state),
                *(
                    types.Member(entry.update.balancer, entry.state)
                    for entry in self.table.entries.values()
                ),
            )
        return self._cached_members

    def take_changed(self) -> bool:
        """Return whether members changed since the last call."""
        changed, self._members_changed = self._members_changed, False
        return changed

    def set_listed(
        self, names: frozenset[str], peers: tuple[Address, ...]
    ) -> None:
        """Set the names and addresses of balancers the platform lists."""
        self.table.set_listed(names)
        self._prober.set_candidates(peers)

    def leave(self, now_ms: int) -> None:
        """Announce that this balancer accepts no new sessions."""
        if self._outbox.header.leaving:
            return
        self._outbox.header.leaving = True
        self._raise_counter(now_ms, self._outbox.header.counter + 1)

    def accept(
        self, now_ms: int, source: Address, message: messages.Message
    ) -> bool:
        """Apply the header and the updates of a message.

        :return: False if the body must be ignored, because the message is a
            replay, the sender is unknown or has the name of this balancer
        """
        if message.sender == self._me.name:
            self._handle_name_conflict(now_ms, source, message.incarnation)
            return False
        address_owner = self.table.by_address.get(source, message.sender)
        entry = self._find_or_add_sender(now_ms, message, source)
        suspicion = None
        if entry is not None:
            if not entry.replay_window.accept(
                message.incarnation, message.sequence
            ):
                self._counters["control_replayed"] += 1
                return False
            suspicion = self._apply_header(now_ms, entry, message)
            if address_owner != message.sender:
                # Another process now uses the address of this member.
                self._counters["member_address_conflicts"] += 1
                self._suspect(now_ms, address_owner)
        for update in message.updates:
            self._apply_update(now_ms, message.sender, update)
        if isinstance(message.body, messages.Ping):
            self._send_ack(now_ms, source, message.body, entry, suspicion)
        elif suspicion is not None:
            self._notify_suspect(now_ms, suspicion)
        if entry is None:
            self._send_introduction(now_ms, source)
        return entry is not None

    def handle(
        self,
        now_ms: int,
        source: Address,
        sender: str,
        body: messages.Body,
    ) -> None:
        """Handle the body of an accepted membership message."""
        match body:
            case messages.Ack():
                self._handle_ack(now_ms, sender, body)
            case messages.PingReq():
                nonce = self._prober.add_relay(
                    now_ms, source, body.nonce, body.target
                )
                ping = messages.Ping(nonce)
                self._outbox.send(now_ms, body.address, ping, Priority.ACK)
            case messages.PageRequest():
                self._pages.send_page(now_ms, source, body)
            case messages.Page():
                self._pages.apply_page(now_ms, sender, body)

    def _member_changed(
        self, old: messages.Update | None, new: messages.Update | None
    ) -> None:
        self._members_changed = True
        self._cached_members = None
        known = new or old
        assert known is not None
        name = known.balancer.name
        may_watch = (
            new is not None
            and new.balancer.failure_domain == self._me.failure_domain
            and new.state in (State.ALIVE, State.SUSPECT)
        )
        if may_watch != (name in self.domain_members):
            (
                self.domain_members.add
                if may_watch
                else self.domain_members.discard
            )(name)
            self.domain_members_changed = True
        old_state = "unknown" if old is None else old.state.name.lower()
        new_state = "forgotten" if new is None else new.state.name.lower()
        if old_state != new_state:
            self._outbox.add_effects(
                effects.StateChanged(f"member {name}", old_state, new_state)
            )

    def _self_update(self) -> messages.Update:
        header = self._outbox.header
        state = State.LEAVING if header.leaving else State.ALIVE
        return messages.Update(self._me, header.counter, state)

    def _raise_counter(self, now_ms: int, counter: int) -> None:
        self._outbox.header.counter = counter
        self._cached_members = None
        self._members_changed = True
        self._disseminator.send_now(now_ms, self._self_update())

    def _send_probe(self, now_ms: int, action: probing.Action) -> None:
        match action:
            case probing.Probe(reconnect=True):
                self._send_introduction(now_ms, action.address)
            case probing.Probe():
                ping = messages.Ping(action.nonce)
                self._outbox.send(
                    now_ms,
                    action.address,
                    ping,
                    Priority.PROBE,
                    self._disseminator.piggyback(),
                )
            case probing.IndirectProbe():
                req = messages.PingReq(
                    action.nonce, action.name, action.address
                )
                for entry in self.table.sample(
                    probing.INDIRECT_MEMBERS, exclude=action.name
                ):
                    self._outbox.send(
                        now_ms, entry.address, req, Priority.PROBE
                    )
            case probing.ProbeFailed():
                self._suspect(now_ms, action.name)

    def _suspect(self, now_ms: int, name: str) -> None:
        update = self.table.suspect(now_ms, name)
        if update is not None:
            self._disseminator.send_now(now_ms, update)
            self._notify_suspect(now_ms, update)

    def _send_introduction(self, now_ms: int, address: Address) -> None:
        """Send this node's record and request that of the receiver."""
        self._outbox.send(
            now_ms,
            address,
            messages.Ping(self._prober.new_nonce(), introduce=True),
            Priority.MEMBERS,
            (self._self_update(),),
        )

    def _notify_suspect(self, now_ms: int, suspicion: messages.Update) -> None:
        """Send a member the suspicion against it, so that it can refute."""
        self._outbox.send(
            now_ms,
            suspicion.balancer.peer_address,
            messages.Ping(self._prober.new_nonce()),
            Priority.PROBE,
            (suspicion,),
        )

    def _find_or_add_sender(
        self, now_ms: int, message: messages.Message, source: Address
    ) -> membership.Entry | None:
        """Return the entry of the sender; add it from its own update.

        :return: None if the sender is unknown, or if its entry is outdated
            and the message does not contain its update
        """
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
                    applied = None if entry is None else update
                else:
                    applied = self.table.apply_reported(now_ms, update)
                if applied is not None:
                    self._disseminator.enqueue(applied)
                return entry
        return None

    def _apply_header(
        self, now_ms: int, entry: membership.Entry, message: messages.Message
    ) -> messages.Update | None:
        """Apply the sender's own state; return a suspicion to refute."""
        known = entry.update
        direct = messages.Update(
            dataclasses.replace(
                known.balancer, incarnation=message.incarnation
            ),
            message.counter,
            State.LEAVING if message.leaving else State.ALIVE,
        )
        suspicion = self.table.apply_direct(now_ms, entry, direct)
        if known.state is State.DEAD and entry.state is not State.DEAD:
            # Probably a partition healed; the pages of this member contain
            # others that were dead.
            self._pages.speed_up(now_ms)
        if entry.update.version > known.version:
            self._disseminator.send_now(now_ms, entry.update)
        return suspicion

    def _handle_name_conflict(
        self, now_ms: int, source: Address, incarnation: int
    ) -> None:
        """Handle a message from another process with this node's name."""
        if incarnation > self._me.incarnation:
            self._report_superseded()
        elif incarnation < self._me.incarnation:
            self._counters["member_name_conflicts"] += 1
            self._outbox.send(
                now_ms, source, messages.Announce(), Priority.MEMBERS
            )
        else:
            self._counters["control_replayed"] += 1

    def _report_superseded(self) -> None:
        if self._superseded:
            return
        self._superseded = True
        self._counters["member_superseded"] += 1
        self._outbox.add_effects(
            effects.StateChanged(
                f"member {self._me.name}",
                "running",
                "superseded",
                "a newer process has this name",
            )
        )

    def _apply_update(
        self,
        now_ms: int,
        sender: str,
        update: messages.Update,
        *,
        from_page: bool = False,
    ) -> None:
        """Apply an update that a peer reported.

        :param from_page: the update is part of a member list page, so a
            member that is new to this node is not new to the fleet and
            is not disseminated
        """
        name = update.balancer.name
        if name == self._me.name:
            self._handle_self_update(now_ms, update)
            return
        if name == sender:
            return
        entry = self.table.entries.get(name)
        old_state = None if entry is None else entry.state
        self.table.contradicted = ""
        applied = self.table.apply_reported(now_ms, update)
        if applied is None:
            if update.state is State.ALIVE and name in self.table.dead:
                self._prober.prioritize_reconnect(name)
            elif self.table.contradicted:
                self._prober.probe_next(name)
            return
        if old_state is not None and old_state is not applied.state:
            self._disseminator.send_now(now_ms, applied)
        elif old_state is not None or not from_page:
            self._disseminator.enqueue(applied)
        if (
            applied.state is State.SUSPECT
            and self._rng.random() * self.table.live_count
            < NOTIFICATIONS_PER_SUSPECT
        ):
            self._notify_suspect(now_ms, applied)

    def _handle_self_update(
        self, now_ms: int, update: messages.Update
    ) -> None:
        header = self._outbox.header
        if update.balancer.incarnation > header.incarnation:
            self._report_superseded()
        elif update.balancer.incarnation == header.incarnation:
            is_suspicion = update.state in (State.SUSPECT, State.DEAD)
            if update.counter > header.counter or (
                is_suspicion and update.counter == header.counter
            ):
                self._counters["member_refutations"] += 1
                self._raise_counter(now_ms, update.counter + 1)

    def _send_ack(
        self,
        now_ms: int,
        source: Address,
        ping: messages.Ping,
        entry: membership.Entry | None,
        suspicion: messages.Update | None,
    ) -> None:
        updates: tuple[messages.Update, ...] = ()
        if self._outbox.used_bytes(now_ms) < PIGGYBACK_LIMIT_BYTES:
            updates = self._disseminator.piggyback()
        if ping.introduce or entry is None:
            updates = (self._self_update(), *updates)
        if suspicion is not None:
            updates = (suspicion, *updates)
        self._outbox.send(
            now_ms,
            source,
            messages.Ack(ping.nonce),
            Priority.MEMBERS if ping.introduce else Priority.ACK,
            updates,
        )

    def _handle_ack(self, now_ms: int, sender: str, ack: messages.Ack) -> None:
        if ack.target:
            self._prober.record_ack(ack.target, ack.nonce)
            return
        self._prober.record_ack(sender, ack.nonce)
        relay = self._prober.pop_relay(now_ms, sender, ack.nonce)
        if relay is not None:
            self._outbox.send(
                now_ms,
                relay.requester,
                messages.Ack(relay.requester_nonce, target=sender),
                Priority.ACK,
            )
