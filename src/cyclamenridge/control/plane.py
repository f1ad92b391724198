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
from cyclamenridge.control import store_schedule
from cyclamenridge.control import types
import cyclamenridge.errors as errors
from cyclamenridge.node import events
from cyclamenridge.routing import home_sets
from cyclamenridge.routing import pinned_flows

Address = address_lib.Address
Priority = budget.Priority

BALANCER_ROLE = "balancer"
# Minimum interval of reports of member changes. Changes are batched, since the
# node recomputes its home sets on each report, and a partition changes many
# members.
MEMBER_REPORT_INTERVAL_MS = 200
# Members that a new revision is announced to at once.
ANNOUNCE_MEMBERS = 4

_NO_OUTPUT = types.Output()


class ControlPlane:
    """Membership, replication and demand exchange of one balancer.

    ``counters`` holds monotonic counters; their keys are metric names.
    """

    def __init__(
        self,
        me: home_sets.Balancer,
        *,
        keys: tuple[bytes, ...],
        seeds: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self._me = me
        self._codec = codec_lib.Codec(keys)
        self._outbox = outbox.Outbox(
            outbox.Header(me.name, me.incarnation), self._codec, self.counters
        )
        self._peering = peering.Peering(
            me, seeds, rng, self._outbox, self.counters
        )
        self._replicator = replication.Replicator(rng, self.counters)
        self._store_watcher = store_schedule.StoreWatcher(
            me.name, rng, self.counters
        )
        self._demand_exchange = demand_lib.DemandExchange(rng)
        self._name_table = demand_lib.NameTable()
        self._demands: list[types.DemandReceived] = []
        self._filters: list[types.PinnedFilterReceived] = []
        self._adopted: document_lib.Document | None = None
        self._last_report_ms = -MEMBER_REPORT_INTERVAL_MS

    @property
    def document(self) -> document_lib.Document | None:
        """Return the document in force."""
        return self._replicator.document

    def members(self) -> tuple[types.Member, ...]:
        """Return this balancer and the other members."""
        return self._peering.members()

    def start(self, now_ms: int) -> types.Output:
        """Schedule the search for peers and for a document."""
        self._peering.start(now_ms)
        self._store_watcher.start(now_ms)
        return self._output()

    def tick(self, now_ms: int) -> types.Output:
        """Run the probes, requests, store calls and sends that are due."""
        self._peering.tick(now_ms)
        self._send_fetch(now_ms, self._replicator.tick(now_ms))
        if (
            self._peering.domain_members_changed
            and self._store_watcher.can_elect(now_ms)
        ):
            self._peering.domain_members_changed = False
            self._store_watcher.elect(
                self._me.failure_domain, list(self._peering.domain_members)
            )
        self._outbox.add_effects(
            *self._store_watcher.tick(now_ms, self.document)
        )
        self._send_demands(now_ms)
        report_due = now_ms - self._last_report_ms >= MEMBER_REPORT_INTERVAL_MS
        changed = report_due and self._peering.take_changed()
        if changed:
            self._last_report_ms = now_ms
        return self._output(members_changed=changed)

    def handle_datagram(
        self, now_ms: int, source: Address, data: bytes
    ) -> types.Output:
        """Handle a control message from another balancer."""
        try:
            message = self._codec.decode(data)
        except errors.ControlError:
            self.counters["control_malformed"] += 1
            return self._output()
        self.counters["control_datagrams_received"] += 1
        sender_known = self._peering.accept(now_ms, source, message)
        return self._dispatch(
            now_ms, source, message, sender_known=sender_known
        )

    def set_listed_instances(
        self, now_ms: int, listed: tuple[events.ListedInstance, ...]
    ) -> types.Output:
        """Update the balancers to probe from the platform's list."""
        del now_ms
        peers = [
            instance
            for instance in listed
            if instance.role == BALANCER_ROLE
            and instance.name != self._me.name
        ]
        self._peering.set_listed(
            frozenset(instance.name for instance in peers),
            tuple(instance.address for instance in peers),
        )
        return self._output()

    def handle_store_read(
        self, now_ms: int, read: events.StoreRead
    ) -> types.Output:
        """Handle an answer of the store to a read or watch."""
        previous = self.document
        if read.document is not None and self._replicator.adopt(read.document):
            self._announce_revision(now_ms)
        self._outbox.add_effects(
            *self._store_watcher.handle_read(
                now_ms, read, self.document, previous=previous
            )
        )
        return self._output()

    def handle_store_failure(
        self, now_ms: int, failed: events.StoreFailed
    ) -> types.Output:
        """Handle a failed store call or the end of the watch."""
        del failed
        self._store_watcher.handle_failure(now_ms)
        return self._output()

    def set_demands(
        self, now_ms: int, demands: tuple[types.DemandTarget, ...]
    ) -> None:
        """Replace the demands that are sent to peers once a second."""
        self._demand_exchange.set_targets(now_ms, demands)

    def send_pinned_filter(
        self,
        now_ms: int,
        member: str,
        service: str,
        item: pinned_flows.PinnedFilter,
    ) -> bool:
        """Send a member a filter of flows without a token.

        :returns: False if the budget does not allow it now
        """
        entry = self._peering.table.entries.get(member)
        if entry is None:
            return True
        return self._outbox.send(
            now_ms,
            entry.address,
            messages.Pinned(service, item),
            Priority.FILTER,
        )

    def leave(self, now_ms: int) -> types.Output:
        """Announce that this balancer accepts no new sessions."""
        self._peering.leave(now_ms)
        return self._output()

    def _output(self, *, members_changed: bool = False) -> types.Output:
        sent = self._outbox.take_effects()
        if not (
            sent
            or members_changed
            or self._adopted
            or self._demands
            or self._filters
        ):
            return _NO_OUTPUT
        out = types.Output(
            effects=sent,
            adopted_document=self._adopted,
            demands=tuple(self._demands),
            filters=tuple(self._filters),
            members_changed=members_changed,
        )
        self._demands.clear()
        self._filters.clear()
        self._adopted = None
        return out

    def _dispatch(
        self,
        now_ms: int,
        source: Address,
        message: messages.Message,
        *,
        sender_known: bool,
    ) -> types.Output:
        if not sender_known:
            return self._output()
        self._send_fetch(
            now_ms,
            self._replicator.handle_peer_revision(
                now_ms, source, message.revision, message.digest
            ),
        )
        self._request_wanted_read(now_ms)
        match message.body:
            case messages.Fetch() as fetch:
                self._serve_fetch(now_ms, source, fetch)
            case messages.Chunk() as chunk:
                self._handle_chunk(now_ms, chunk)
            case messages.Pinned() as body:
                self._filters.append(
                    types.PinnedFilterReceived(
                        message.sender, body.service, body.filter
                    )
                )
            case messages.Demands() as body:
                for demand in body.demands:
                    self._name_table.learn(demand)
                    self._demands.append(
                        types.DemandReceived(message.sender, demand)
                    )
            case messages.Shares() as body:
                self._handle_shares(now_ms, source, message.sender, body)
            case messages.NamesWanted():
                self._demand_exchange.resend_names(message.sender)
            case body:
                self._peering.handle(now_ms, source, message.sender, body)
        return self._output()

    def _send_fetch(
        self, now_ms: int, req: replication.Request | None
    ) -> None:
        if req is not None:
            self._outbox.send(now_ms, req.dest, req.body, Priority.CONFIG)

    def _serve_fetch(
        self, now_ms: int, source: Address, fetch: messages.Fetch
    ) -> None:
        chunks = self._replicator.chunks_for(now_ms, source, fetch)
        for chunk in chunks:
            self._outbox.send(now_ms, source, chunk, Priority.CHUNK)
        if not chunks and self._replicator.revision > fetch.wanted:
            # The header contains the revision that the peer should fetch.
            self._outbox.send(
                now_ms, source, messages.Announce(), Priority.CONFIG
            )

    def _handle_chunk(self, now_ms: int, chunk: messages.Chunk) -> None:
        try:
            document, req = self._replicator.handle_chunk(now_ms, chunk)
        except errors.ControlError:
            self.counters["control_malformed"] += 1
            return
        if document is not None:
            self._announce_revision(now_ms)
        self._send_fetch(now_ms, req)
        self._request_wanted_read(now_ms)

    def _request_wanted_read(self, now_ms: int) -> None:
        if self._replicator.take_store_read_wanted():
            self._store_watcher.request_extra_read(now_ms)

    def _announce_revision(self, now_ms: int) -> None:
        """Announce the adopted revision to a few members.

        Headers contain it from now on, and the next output reports it.
        """
        self._adopted = self.document
        self._outbox.header.revision = self._replicator.revision
        self._outbox.header.digest = self._replicator.digest
        for entry in self._peering.table.sample(ANNOUNCE_MEMBERS):
            self._outbox.send(
                now_ms, entry.address, messages.Announce(), Priority.CONFIG
            )

    def _send_demands(self, now_ms: int) -> None:
        due = self._demand_exchange.due_members(now_ms)
        if not due or not self._outbox.can_send(now_ms, Priority.DEMAND):
            return
        for name in due:
            entry = self._peering.table.entries.get(name)
            if entry is not None and entry.state is not types.MemberState.DEAD:
                bodies = self._demand_exchange.pending_bodies(name)
                while bodies and self._outbox.send(
                    now_ms, entry.address, bodies[0], Priority.DEMAND
                ):
                    del bodies[0]
                if bodies:
                    return
            self._demand_exchange.mark_sent(now_ms, name)

    def _handle_shares(
        self, now_ms: int, source: Address, sender: str, body: messages.Shares
    ) -> None:
        for share in body.shares:
            demand = self._name_table.resolve(share)
            if demand is not None:
                self._demands.append(types.DemandReceived(sender, demand))
                continue
            self.counters["demand_names_unknown"] += 1
            self._outbox.send(
                now_ms, source, messages.NamesWanted(), Priority.DEMAND
            )
            return
