"""Control plane of a balancer: members, configuration and demands."""

import collections
import dataclasses
import random

from cyclamenridge import address as address_lib
from cyclamenridge.config import document as document_lib
from cyclamenridge.control import budget
from cyclamenridge.control import codec
from cyclamenridge.control import demand
from cyclamenridge.control import gossip
from cyclamenridge.control import membership
from cyclamenridge.control import messages
from cyclamenridge.control import outbox
from cyclamenridge.control import probing
from cyclamenridge.control import replication
from cyclamenridge.control import storewatch
from cyclamenridge.control import types
import cyclamenridge.errors as errors
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.routing import homes
from cyclamenridge.routing import pinned
from cyclamenridge.scheduling import types as scheduling

Address = address_lib.Address
Priority = budget.Priority
State = types.MemberState

BALANCER_ROLE = "balancer"
# Members that are told of a new revision or of a planned stop at once.
ANNOUNCE_MEMBERS = 4
# Members, of the whole fleet, that tell a suspect at once what is claimed.
WARNINGS_PER_SUSPECT = 6
# Without ticks for this long the node was paused or starved.
STALL_MS = 400
# A page of the member list is asked for this often until the list has been
# read once, and at the slow rate after that.
PAGE_FAST_MS = 600
PAGE_SLOW_MS = 10_000
PAGE_MEMBERS = 24
# A fresh node does not suspect anybody yet: while a fleet starts at once,
# the seeds cannot answer everybody.
WARM_UP_MS = 3000
# Above this use of the budget acks carry no updates.
PIGGYBACK_LIMIT_BYTES = 25_000


class ControlPlane:
    """Membership, replication and demand exchange of one balancer."""

    def __init__(
        self,
        me: homes.Balancer,
        *,
        keys: tuple[bytes, ...],
        seeds: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self._me = me
        self._rng = rng
        self._codec = codec.Codec(keys)
        self._out = outbox.Outbox(
            outbox.Header(me.name, me.incarnation), self._codec, self.counters
        )
        self._table = membership.MemberTable(
            rng, self.counters, self._member_changed
        )
        self._gossip = gossip.GossipQueue()
        self._prober = probing.Prober(me.peer_address, seeds, self._table, rng)
        self._replicator = replication.Replicator(rng, self.counters)
        self._store = storewatch.StoreWatcher(me.name, rng, self.counters)
        self._demand = demand.DemandExchange(rng)
        self._superseded = False
        # Members of this node's failure domain that may watch the store.
        self._domain: set[str] = {me.name}
        self._election_due = True
        self._last_ms = 0
        self._start_ms = 0
        self._page_after = ""
        self._page_ms = 0
        self._page_fast = True
        self._page_news = False
        self._demands: list[types.DemandReceived] = []
        self._filters: list[types.FilterReceived] = []
        self._adopted: document_lib.Document | None = None
        self._changed = False
        self._members: tuple[types.Member, ...] | None = None

    @property
    def document(self) -> document_lib.Document | None:
        """Return the document in force."""
        return self._replicator.document

    def members(self) -> tuple[types.Member, ...]:
        """Return this balancer and the other members."""
        if self._members is None:
            mine = self._self_update()
            self._members = (
                types.Member(mine.balancer, mine.state),
                *(
                    types.Member(entry.update.balancer, entry.state)
                    for entry in self._table.entries.values()
                ),
            )
        return self._members

    def start(self, now_ms: int) -> types.Output:
        """Begin to look for peers and for a document."""
        self._last_ms = self._start_ms = now_ms
        self._page_ms = now_ms + self._rng.randrange(PAGE_FAST_MS)
        self._prober.start(now_ms)
        self._gossip.add(self._self_update())
        self._store.start(now_ms)
        return self._output()

    def tick(self, now_ms: int) -> types.Output:
        """Do what is due."""
        late_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        if late_ms > STALL_MS:
            self.counters["stalls"] += 1
            self._table.postpone(late_ms)
            self._prober.woke(now_ms)
        for died in self._table.expire(now_ms):
            self._gossip.add(died)
        for step in self._prober.tick(now_ms):
            self._probe(now_ms, step)
        self._fetch(now_ms, self._replicator.tick(now_ms))
        if self._election_due and self._store.electing(now_ms):
            self._election_due = False
            self._store.elect(self._me.failure_domain, list(self._domain))
        self._out.add(*self._store.tick(now_ms, self.document))
        if now_ms >= self._page_ms:
            self._ask_page(now_ms)
        self._send_demands(now_ms)
        return self._output()

    def datagram(
        self, now_ms: int, source: Address, data: bytes
    ) -> types.Output:
        """Take a control message of another balancer."""
        try:
            self._receive(now_ms, source, self._codec.decode(data))
        except errors.ControlError:
            self.counters["control_malformed"] += 1
        return self._output()

    def instances(
        self, now_ms: int, listed: tuple[events.ListedInstance, ...]
    ) -> types.Output:
        """Take the platform's list; its balancers are candidates."""
        del now_ms
        peers = [
            instance
            for instance in listed
            if instance.role == BALANCER_ROLE
            and instance.name != self._me.name
        ]
        self._table.listed(frozenset(instance.name for instance in peers))
        self._prober.set_candidates(
            tuple(instance.address for instance in peers)
        )
        return self._output()

    def store_read(self, now_ms: int, read: events.StoreRead) -> types.Output:
        """Take the document that the store holds."""
        if read.document is not None and self._replicator.adopt(read.document):
            self._adopted_new(now_ms)
        self._out.add(*self._store.read(now_ms, read, self.document))
        return self._output()

    def store_failed(
        self, now_ms: int, failed: events.StoreFailed
    ) -> types.Output:
        """Take note that the store did not answer."""
        del failed
        self._store.failed(now_ms)
        return self._output()

    def set_demands(
        self, now_ms: int, demands: tuple[types.DemandTarget, ...]
    ) -> None:
        """Replace the demands that are told once a second."""
        self._demand.set(now_ms, demands)

    def send_filter(
        self, now_ms: int, member: str, service: str, item: pinned.PinnedFilter
    ) -> bool:
        """Tell a member about flows without a token.

        :returns: False when the budget is used up and it has to wait
        """
        entry = self._table.entries.get(member)
        if entry is None:
            return True
        return self._out.send(
            now_ms,
            entry.address,
            messages.Pinned(service, item),
            Priority.FILTER,
        )

    def leave(self, now_ms: int) -> types.Output:
        """Tell the members that this balancer takes no new sessions."""
        if not self._out.header.leaving:
            self._out.header.leaving = True
            self._raise_counter(self._out.header.counter + 1)
            for entry in self._table.sample(ANNOUNCE_MEMBERS):
                self._out.send(
                    now_ms,
                    entry.address,
                    messages.Announce(),
                    Priority.PROBE,
                    (self._self_update(),),
                )
        return self._output()

    def _output(self) -> types.Output:
        out = types.Output(
            effects=self._out.take(),
            adopted=self._adopted,
            demands=tuple(self._demands),
            filters=tuple(self._filters),
            members_changed=self._changed,
        )
        self._demands.clear()
        self._filters.clear()
        self._adopted = None
        self._changed = False
        return out

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
        if may_watch != (name in self._domain):
            (self._domain.add if may_watch else self._domain.discard)(name)
            self._election_due = True
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

    def _raise_counter(self, counter: int) -> None:
        self._out.header.counter = counter
        self._members = None
        self._changed = True
        self._gossip.add(self._self_update())

    def _updates(self) -> tuple[messages.Update, ...]:
        return self._gossip.take(self._table.live_count + 1)

    def _probe(self, now_ms: int, step: probing.Step) -> None:
        match step:
            case probing.Probe(lost=True):
                self._ping_stranger(now_ms, step.address)
            case probing.Probe():
                self._out.send(
                    now_ms,
                    step.address,
                    messages.Ping(step.nonce),
                    Priority.PROBE,
                    self._updates(),
                )
            case probing.IndirectProbe():
                req = messages.PingReq(step.nonce, step.name, step.address)
                for entry in self._table.sample(
                    probing.INDIRECT_MEMBERS, exclude=step.name
                ):
                    self._out.send(now_ms, entry.address, req, Priority.PROBE)
            case probing.Unanswered():
                if now_ms - self._start_ms < WARM_UP_MS:
                    return
                update = self._table.suspect(now_ms, step.name)
                if update is not None:
                    self._gossip.add(update)
                    self._warn(now_ms, update)

    def _ping_stranger(self, now_ms: int, address: Address) -> None:
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

    def _fetch(self, now_ms: int, req: replication.Request | None) -> None:
        if req is not None:
            self._out.send(now_ms, req.dest, req.body, Priority.CONFIG)

    def _adopted_new(self, now_ms: int) -> None:
        self._adopted = self.document
        self._out.header.revision = self._replicator.revision
        self._out.header.digest = self._replicator.digest
        for entry in self._table.sample(ANNOUNCE_MEMBERS):
            self._out.send(
                now_ms, entry.address, messages.Announce(), Priority.CONFIG
            )

    def _ask_page(self, now_ms: int) -> None:
        interval_ms = PAGE_FAST_MS if self._page_fast else PAGE_SLOW_MS
        self._page_ms = now_ms + self._rng.randint(
            interval_ms * 3 // 4, interval_ms * 5 // 4
        )
        for entry in self._table.sample(1):
            self._out.send(
                now_ms,
                entry.address,
                messages.PageRequest(self._page_after),
                Priority.MEMBERS,
            )

    def _send_demands(self, now_ms: int) -> None:
        for name in self._demand.due(now_ms):
            entry = self._table.entries.get(name)
            if (
                entry is not None
                and entry.state is not State.DEAD
                and not self._send_demand(
                    now_ms, entry.address, self._demand.demands(name)
                )
            ):
                break
            self._demand.sent(now_ms, name)

    def _send_demand(
        self,
        now_ms: int,
        dest: Address,
        demands: tuple[scheduling.ServiceDemand, ...],
    ) -> bool:
        data = self._out.encode(messages.Demands(demands))
        if len(data) > messages.MAX_DATAGRAM_BYTES and len(demands) > 1:
            half = len(demands) // 2
            first = self._send_demand(now_ms, dest, demands[:half])
            return first and self._send_demand(now_ms, dest, demands[half:])
        return self._out.send_data(now_ms, dest, data, Priority.DEMAND)

    def _receive(
        self, now_ms: int, source: Address, message: messages.Message
    ) -> None:
        self.counters["control_datagrams_received"] += 1
        if message.sender == self._me.name:
            self._namesake(now_ms, source, message.incarnation)
            return
        entry = self._identify(now_ms, source, message)
        refute = None
        if entry is not None:
            if not entry.window.accept(message.incarnation, message.sequence):
                self.counters["control_replayed"] += 1
                return
            refute = self._heard(now_ms, source, entry, message)
        for update in message.updates:
            self._claim(now_ms, message.sender, update)
        self._fetch(
            now_ms,
            self._replicator.heard(
                now_ms, source, message.revision, message.digest
            ),
        )
        if isinstance(message.body, messages.Ping):
            self._ack(now_ms, source, message.body, entry, refute)
        elif refute is not None:
            self._warn(now_ms, refute)
        if entry is None:
            self._ping_stranger(now_ms, source)
        else:
            self._answer(now_ms, source, entry, message.body)

    def _identify(
        self, now_ms: int, source: Address, message: messages.Message
    ) -> membership.Entry | None:
        """Return the entry of the sender, adding it if it tells who it is."""
        entry = self._table.entries.get(message.sender)
        if entry is not None and (
            message.incarnation <= entry.update.balancer.incarnation
            or source == entry.address
        ):
            return entry
        for update in message.updates:
            if (
                update.balancer.name == message.sender
                and update.balancer.incarnation == message.incarnation
                and update.version == (message.incarnation, message.counter)
            ):
                if entry is None:
                    entry = self._table.add(now_ms, update)
                else:
                    self._table.claim(now_ms, update)
                if entry is not None:
                    self._gossip.add(update)
                return entry
        return None

    def _heard(
        self,
        now_ms: int,
        source: Address,
        entry: membership.Entry,
        message: messages.Message,
    ) -> messages.Update | None:
        known = entry.update
        if known.balancer.peer_address == source:
            other = self._table.by_address.get(source)
            if other is not None and other != message.sender:
                self._suspect_namesake(now_ms, other)
        state = State.LEAVING if message.leaving else State.ALIVE
        direct = messages.Update(
            dataclasses.replace(
                known.balancer, incarnation=message.incarnation
            ),
            message.counter,
            state,
        )
        refute = self._table.heard(now_ms, entry, direct)
        if known.state is State.DEAD and entry.state is not State.DEAD:
            # Probably a partition healed; pages bring the other members.
            self._page_fast = True
            self._page_ms = min(self._page_ms, now_ms + PAGE_FAST_MS)
        if entry.update.version > known.version:
            self._gossip.add(entry.update)
        return refute

    def _suspect_namesake(self, now_ms: int, name: str) -> None:
        """Suspect a member whose address answers under another name."""
        self.counters["member_address_conflicts"] += 1
        update = self._table.suspect(now_ms, name)
        if update is not None:
            self._gossip.add(update)

    def _namesake(
        self, now_ms: int, source: Address, incarnation: int
    ) -> None:
        """Handle a message of a process with the name of this one."""
        if incarnation > self._me.incarnation:
            self._supersede()
        elif incarnation < self._me.incarnation:
            self.counters["member_name_conflicts"] += 1
            self._out.send(
                now_ms, source, messages.Announce(), Priority.MEMBERS
            )
        else:
            self.counters["control_replayed"] += 1

    def _supersede(self) -> None:
        if not self._superseded:
            self._superseded = True
            self.counters["member_superseded"] += 1
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
            self._claim_of_me(update)
            return
        if name == sender:
            return
        news = name in self._table.entries or not page
        passed_on = self._table.claim(now_ms, update)
        if passed_on is not None:
            if news:
                self._gossip.add(passed_on)
            live = self._table.live_count
            if (
                passed_on.state is State.SUSPECT
                and self._rng.random() * live < WARNINGS_PER_SUSPECT
            ):
                self._warn(now_ms, passed_on)
        elif update.state is State.ALIVE and name in self._table.dead:
            self._prober.recheck(name)

    def _claim_of_me(self, update: messages.Update) -> None:
        head = self._out.header
        if update.balancer.incarnation > head.incarnation:
            self._supersede()
        elif update.balancer.incarnation == head.incarnation:
            accused = update.state in (State.SUSPECT, State.DEAD)
            if update.counter > head.counter or (
                accused and update.counter == head.counter
            ):
                self.counters["member_refutations"] += 1
                self._raise_counter(update.counter + 1)

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
            updates = self._updates()
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

    def _answer(
        self,
        now_ms: int,
        source: Address,
        entry: membership.Entry,
        body: messages.Body,
    ) -> None:
        name = entry.update.balancer.name
        match body:
            case messages.Ack():
                self._acked(now_ms, name, body)
            case messages.PingReq():
                nonce = self._prober.relay(
                    now_ms, source, body.nonce, body.target
                )
                self._out.send(
                    now_ms,
                    body.address,
                    messages.Ping(nonce),
                    Priority.ACK,
                )
            case messages.PageRequest():
                self._send_page(now_ms, source, body.after)
            case messages.Page():
                self._take_page(now_ms, name, body)
            case messages.Fetch():
                for chunk in self._replicator.serve(body):
                    self._out.send(now_ms, source, chunk, Priority.CHUNK)
            case messages.Chunk():
                document, req = self._replicator.chunk(now_ms, body)
                if document is not None:
                    self._adopted_new(now_ms)
                self._fetch(now_ms, req)
            case messages.Pinned():
                self._filters.append(
                    types.FilterReceived(name, body.service, body.filter)
                )
            case messages.Demands():
                self._demands.extend(
                    types.DemandReceived(name, told) for told in body.demands
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

    def _take_page(
        self, now_ms: int, sender: str, page: messages.Page
    ) -> None:
        known = len(self._table.entries)
        for update in page.members:
            self._claim(now_ms, sender, update, page=True)
        self._page_news |= len(self._table.entries) > known
        self._page_after = page.next
        if not page.next:
            # A round that brought a new member is followed by another one,
            # since the peers of a starting fleet know few members.
            self._page_fast = self._page_news
            self._page_news = False

    def _send_page(self, now_ms: int, dest: Address, after: str) -> None:
        members = PAGE_MEMBERS
        while members:
            data = self._out.encode(self._table.page(after, members))
            if len(data) <= messages.MAX_DATAGRAM_BYTES:
                self._out.send_data(now_ms, dest, data, Priority.MEMBERS)
                return
            members //= 2
