"""Control plane of a balancer: members, configuration and demands."""

import collections
import random

from cyclamenridge import address as address_lib
from cyclamenridge.config import document as document_lib
from cyclamenridge.control import budget
from cyclamenridge.control import codec as codec_lib
from cyclamenridge.control import demand as demand_lib
from cyclamenridge.control import messages
from cyclamenridge.control import outbox
from cyclamenridge.control import peering
from cyclamenridge.control import replication
from cyclamenridge.control import storewatch
from cyclamenridge.control import types
import cyclamenridge.errors as errors
from cyclamenridge.node import events
from cyclamenridge.routing import homes
from cyclamenridge.routing import pinned

Address = address_lib.Address
Priority = budget.Priority

BALANCER_ROLE = "balancer"
# Changes of members are reported together, since each report makes the
# node compute its home sets again, and a partition changes many members.
REPORT_MS = 200
# Members that are told of a new revision at once.
ANNOUNCE_MEMBERS = 4

_NOTHING = types.Output()


class ControlPlane:
    """Membership, replication and demand exchange of one balancer.

    ``counters`` holds monotonic counters, their keys are metric names.
    """

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
        self._codec = codec_lib.Codec(keys)
        self._out = outbox.Outbox(
            outbox.Header(me.name, me.incarnation), self._codec, self.counters
        )
        self._peering = peering.Peering(
            me, seeds, rng, self._out, self.counters
        )
        self._replicator = replication.Replicator(rng, self.counters)
        self._store = storewatch.StoreWatcher(me.name, rng, self.counters)
        self._demand = demand_lib.DemandExchange(rng)
        self._names = demand_lib.NameTable()
        self._demands: list[types.DemandReceived] = []
        self._filters: list[types.FilterReceived] = []
        self._adopted: document_lib.Document | None = None
        self._reported_ms = -REPORT_MS

    @property
    def document(self) -> document_lib.Document | None:
        """Return the document in force."""
        return self._replicator.document

    def members(self) -> tuple[types.Member, ...]:
        """Return this balancer and the other members."""
        return self._peering.members()

    def start(self, now_ms: int) -> types.Output:
        """Begin to look for peers and for a document."""
        self._peering.start(now_ms)
        self._store.start(now_ms)
        return self._output()

    def tick(self, now_ms: int) -> types.Output:
        """Do what is due."""
        self._peering.tick(now_ms)
        self._fetch(now_ms, self._replicator.tick(now_ms))
        if self._peering.domain_changed and self._store.electing(now_ms):
            self._peering.domain_changed = False
            self._store.elect(
                self._me.failure_domain, list(self._peering.domain)
            )
        self._out.add(*self._store.tick(now_ms, self.document))
        self._send_demands(now_ms)
        report = now_ms - self._reported_ms >= REPORT_MS
        changed = report and self._peering.take_changed()
        if changed:
            self._reported_ms = now_ms
        return self._output(members_changed=changed)

    def datagram(
        self, now_ms: int, source: Address, data: bytes
    ) -> types.Output:
        """Take a control message of another balancer."""
        try:
            message = self._codec.decode(data)
        except errors.ControlError:
            self.counters["control_malformed"] += 1
            return self._output()
        self.counters["control_datagrams_received"] += 1
        known = self._peering.accept(now_ms, source, message)
        return self._receive(now_ms, source, message, known=known)

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
        self._peering.listed(
            frozenset(instance.name for instance in peers),
            tuple(instance.address for instance in peers),
        )
        return self._output()

    def store_read(self, now_ms: int, read: events.StoreRead) -> types.Output:
        """Take the document that the store holds."""
        if read.document is not None and self._replicator.adopt(read.document):
            self._announce(now_ms)
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
        entry = self._peering.table.entries.get(member)
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
        self._peering.leave(now_ms)
        return self._output()

    def _output(self, *, members_changed: bool = False) -> types.Output:
        sent = self._out.take()
        if not (
            sent
            or members_changed
            or self._adopted
            or self._demands
            or self._filters
        ):
            return _NOTHING
        out = types.Output(
            effects=sent,
            adopted=self._adopted,
            demands=tuple(self._demands),
            filters=tuple(self._filters),
            members_changed=members_changed,
        )
        self._demands.clear()
        self._filters.clear()
        self._adopted = None
        return out

    def _receive(
        self,
        now_ms: int,
        source: Address,
        message: messages.Message,
        *,
        known: bool,
    ) -> types.Output:
        if not known:
            return self._output()
        self._fetch(
            now_ms,
            self._replicator.heard(
                now_ms, source, message.revision, message.digest
            ),
        )
        match message.body:
            case messages.Fetch() as fetch:
                self._serve(now_ms, source, fetch)
            case messages.Chunk() as chunk:
                self._take_chunk(now_ms, chunk)
            case messages.Pinned() as told:
                self._filters.append(
                    types.FilterReceived(
                        message.sender, told.service, told.filter
                    )
                )
            case messages.Demands() as told:
                for demand in told.demands:
                    self._names.learn(demand)
                    self._demands.append(
                        types.DemandReceived(message.sender, demand)
                    )
            case messages.Shares() as told:
                self._take_shares(now_ms, source, message.sender, told)
            case messages.NamesWanted():
                self._demand.names_wanted(message.sender)
            case body:
                self._peering.answer(now_ms, source, message.sender, body)
        return self._output()

    def _fetch(self, now_ms: int, req: replication.Request | None) -> None:
        if req is not None:
            self._out.send(now_ms, req.dest, req.body, Priority.CONFIG)

    def _serve(
        self, now_ms: int, source: Address, fetch: messages.Fetch
    ) -> None:
        chunks = self._replicator.serve(now_ms, source, fetch)
        for chunk in chunks:
            self._out.send(now_ms, source, chunk, Priority.CHUNK)
        if not chunks and self._replicator.revision > fetch.wanted:
            # The header tells the peer which revision to ask for instead.
            self._out.send(
                now_ms, source, messages.Announce(), Priority.CONFIG
            )

    def _take_chunk(self, now_ms: int, chunk: messages.Chunk) -> None:
        try:
            document, req = self._replicator.chunk(now_ms, chunk)
        except errors.ControlError:
            self.counters["control_malformed"] += 1
            return
        if document is not None:
            self._announce(now_ms)
        self._fetch(now_ms, req)
        if self._replicator.take_store_wanted():
            self._store.read_soon(now_ms)

    def _announce(self, now_ms: int) -> None:
        """Put the new revision into headers and tell a few members."""
        self._adopted = self.document
        self._out.header.revision = self._replicator.revision
        self._out.header.digest = self._replicator.digest
        for entry in self._peering.table.sample(ANNOUNCE_MEMBERS):
            self._out.send(
                now_ms, entry.address, messages.Announce(), Priority.CONFIG
            )

    def _send_demands(self, now_ms: int) -> None:
        due = self._demand.due(now_ms)
        if not due or not self._out.has_room(now_ms, Priority.DEMAND):
            return
        for name in due:
            entry = self._peering.table.entries.get(name)
            if entry is not None and entry.state is not types.MemberState.DEAD:
                bodies = self._demand.bodies(name)
                while bodies and self._out.send(
                    now_ms, entry.address, bodies[0], Priority.DEMAND
                ):
                    del bodies[0]
                if bodies:
                    return
            self._demand.sent(now_ms, name)

    def _take_shares(
        self, now_ms: int, source: Address, sender: str, told: messages.Shares
    ) -> None:
        for share in told.shares:
            demand = self._names.resolve(share)
            if demand is not None:
                self._demands.append(types.DemandReceived(sender, demand))
                continue
            self.counters["demand_names_unknown"] += 1
            self._out.send(
                now_ms, source, messages.NamesWanted(), Priority.DEMAND
            )
            return
