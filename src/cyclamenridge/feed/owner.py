"""Feeds of the callers that this node serves, and their take-over."""

import sys

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge.config import model
from cyclamenridge.feed import grants
from cyclamenridge.feed import pacing
from cyclamenridge.feed import state as state_lib
from cyclamenridge.feed import table as table_lib
from cyclamenridge.node import context as context_lib
from cyclamenridge.node import events
from cyclamenridge.node import links as links_lib
from cyclamenridge.node import services as services_lib
from cyclamenridge.session import state as session_state
from cyclamenridge.wire import backend
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from cyclamenridge.wire import token as token_lib

Address = address_lib.Address
Feed = state_lib.Feed
Reason = caller.Reason
ServerRef = events.ServerRef
State = state_lib.State

FEED_IDLE_MS = 60_000
MAX_ORPHANED_FLOWS = 1000
# Nonces of a session above which those of ended feeds are dropped.
MAX_SESSION_NONCES = 64
# A feed takes about 0.6 KB, including the address of the caller.
MAX_FEEDS = 400_000
# Late datagrams raise the epoch by a few. More increments in a row mean that
# two balancers compete for the feed; the caller's next keepalive decides.
MAX_EPOCH_INCREMENTS = 8
_MAX_PLACEMENTS = 3
_RETRY_MS = 500
_OVERLOADED_RETRY_MS = 1000

_ATTACHED = msgspec.msgpack.Decoder(backend.Attached)
_MOVED = msgspec.msgpack.Decoder(backend.Moved)
_EVENT = msgspec.msgpack.Decoder(backend.Event)


class FeedOwner:
    """Handles feeds: placement, attachment, events and take-over."""

    def __init__(
        self,
        ctx: context_lib.Context,
        services: services_lib.ServiceRuntimes,
        links: links_lib.LinkTable,
    ) -> None:
        self._ctx = ctx
        self._services = services
        self._links = links
        self._table = table_lib.FeedTable(services)
        self._grant_sender = grants.GrantSender(ctx)
        # Epoch by feed id of flows that a server may have created although
        # the feed was placed on another one, because the link was lost
        # before the response.
        self._orphaned_flows: dict[ServerRef, dict[int, int]] = {}
        self.pacer = pacing.AttachPacer(self._table, self._attach)

    @property
    def feed_count(self) -> int:
        """Number of feeds."""
        return len(self._table)

    def get(self, ident: int) -> Feed | None:
        """Return a feed."""
        return self._table.get(ident)

    def is_server_unreachable(self, feed: Feed) -> bool:
        """Tell whether this node has no link to the server of a feed."""
        return self._links.identity(feed.ref) is None

    def handle_subscribe(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: caller.Subscribe,
        session: session_state.Session,
    ) -> None:
        """Open a feed, or find the feed of a resent subscription."""
        existing = self._table.get(
            session.feeds_by_nonce.get(params.nonce, -1)
        )
        if existing is not None:
            self._table.touch(now_ms, existing, source)
            if existing.state is State.ATTACHED:
                self._grant_sender.send(existing, source, msgid)
            else:
                existing.pending_msgid = msgid
            return
        cfg = self._ctx.config
        kind = cfg.kinds.get(params.kind) if cfg is not None else None
        if self._ctx.leaving:
            self._ctx.send_refusal(source, msgid, Reason.LEAVING)
        elif (
            kind is None
            or kind.service != session.service
            or kind.mode is not model.Mode.FEED
        ):
            self._ctx.send_refusal(source, msgid, Reason.BAD_REQUEST)
        elif len(self._table) >= MAX_FEEDS:
            self._ctx.send_refusal(
                source, msgid, Reason.OVERLOADED, _OVERLOADED_RETRY_MS
            )
        else:
            feed = Feed(
                self._ctx.rng.getrandbits(64),
                kind=sys.intern(params.kind),
                customer=session.customer,
                epoch=1,
                create=True,
                source=source,
                last_seq=params.last_seq,
                now_ms=now_ms,
            )
            feed.pending_msgid = msgid
            feed.confirmed = True
            if self._place(now_ms, feed, session.service):
                self._store_nonce(session, params.nonce, feed)

    def _store_nonce(
        self, session: session_state.Session, nonce: int, feed: Feed
    ) -> None:
        """Store the nonce by which a resent subscription finds its feed."""
        if len(session.feeds_by_nonce) >= MAX_SESSION_NONCES:
            session.feeds_by_nonce = {
                stored_nonce: ident
                for stored_nonce, ident in session.feeds_by_nonce.items()
                if ident in self._table
            }
        session.feeds_by_nonce[nonce] = feed.ident

    def handle_keepalive(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: caller.Keepalive,
        token: token_lib.Token,
        *,
        own_token: bool,
    ) -> None:
        """Keep a feed alive, and attach it to this node if it is not.

        :param own_token: the token was granted by this process
        """
        feed = self._table.get(token.ident)
        if feed is None or (not own_token and token.epoch >= feed.epoch):
            self._take_over(now_ms, source, msgid, params, token, feed)
            return
        self._table.touch(now_ms, feed, source)
        feed.caller_seq = max(feed.caller_seq, params.last_seq)
        if feed.state is not State.ATTACHED:
            feed.pending_msgid = msgid
            return
        if feed.needs_attach(now_ms, own_token=own_token):
            feed.confirmed = feed.confirmed or own_token
            self._attach(now_ms, feed, feed.epoch)
        current = own_token and token.epoch == feed.epoch
        self._grant_sender.send(
            feed, source, msgid, token=params.token if current else None
        )

    def handle_close(self, now_ms: int, token: token_lib.Token) -> None:
        """End a feed at the request of its caller."""
        feed = self._table.get(token.ident)
        if feed is not None:
            self._detach(now_ms, feed.ref, feed.ident, feed.epoch)
            self._table.remove(now_ms, feed)
            return
        service = self._ctx.service_names_by_hash.get(token.service, "")
        ref = self._services.server_by_hash(service, token.server)
        if ref is not None:
            self._detach(now_ms, ref, token.ident, token.epoch)

    def handle_event(self, ref: ServerRef, params: msgspec.Raw) -> None:
        """Forward an event of a server to the caller."""
        try:
            event = _EVENT.decode(params)
        except msgspec.DecodeError:
            self._ctx.counters["link_messages_malformed"] += 1
            return
        feed = self._table.get(event.flow_id)
        if feed is None or feed.ref != ref:
            self._ctx.counters["events_without_feed"] += 1
            return
        if event.seq > feed.sent_seq:
            feed.sent_seq = event.seq
        data = rpc.notification(
            "event", caller.Event(feed.ident, event.seq, event.payload)
        )
        if len(data) > caller.MAX_DATAGRAM_BYTES:
            self._ctx.counters["events_too_large"] += 1
            return
        self._ctx.counters["events_sent"] += 1
        self._ctx.send_to_caller(feed.source, data)

    def handle_moved(self, ref: ServerRef, params: msgspec.Raw) -> None:
        """Handle the notification that another balancer attached a feed.

        If the caller still uses a token of this node, its next keepalive
        takes the feed back, instead of only the next periodic verification.
        """
        try:
            moved = _MOVED.decode(params)
        except msgspec.DecodeError:
            self._ctx.counters["link_messages_malformed"] += 1
            return
        feed = self._table.get(moved.flow_id)
        if feed is not None and feed.ref == ref and moved.epoch > feed.epoch:
            feed.confirmed = False

    def on_response(
        self,
        now_ms: int,
        ref: ServerRef,
        pending: links_lib.PendingCall,
        response: rpc.Response,
    ) -> None:
        """Handle the response of a server to ``attach``."""
        feed = self._table.get(pending.ident)  # type: ignore[call-overload]
        if pending.method != "attach" or feed is None or feed.ref != ref:
            return
        if pending.attempt != feed.attach_attempt:
            return
        if response.error is None:
            try:
                _ATTACHED.decode(response.result)
            except msgspec.DecodeError:
                self._ctx.counters["link_messages_malformed"] += 1
                return
            self._handle_attached(now_ms, feed)
        elif response.error == backend.AttachError.STALE_EPOCH:
            self._handle_stale_epoch(now_ms, feed)
        elif response.error == backend.AttachError.UNKNOWN_FLOW:
            self._drop_broken(now_ms, feed)
        elif feed.create and not feed.counted_by_scheduler:
            self._place(now_ms, feed, feed.ref.service)
        else:
            self._refuse_waiting_caller(now_ms, feed, Reason.OVERLOADED)

    def on_link_up(
        self, now_ms: int, ref: ServerRef, identity: backend.Identity
    ) -> None:
        """Attach the feeds of a server on its new link."""
        for ident, epoch in self._orphaned_flows.pop(ref, {}).items():
            self._detach(now_ms, ref, ident, epoch)
        for ident in self._table.idents_at_server(ref):
            feed = self._table[ident]
            if feed.incarnation not in (None, identity.incarnation):
                self._drop_broken(now_ms, feed)
            else:
                self.pacer.enqueue(ident)
        self.pacer.attach_queued(now_ms)

    def on_link_lost(self, now_ms: int, ref: ServerRef) -> None:
        """Mark the feeds of a server as waiting; place new ones elsewhere."""
        for ident in self._table.idents_at_server(ref):
            feed = self._table[ident]
            if feed.create and not feed.counted_by_scheduler:
                self._place(now_ms, feed, ref.service)
            else:
                self._table.mark_waiting(now_ms, feed)

    def tick(self, now_ms: int) -> None:
        """Attach queued feeds, refuse overdue requests, expire idle feeds."""
        self.pacer.attach_queued(now_ms)
        for feed in list(self._table.waiting.values()):
            if now_ms - feed.waiting_since_ms < state_lib.ATTACH_TIMEOUT_MS:
                continue
            # An unreachable server may still run. Its flows are given up
            # only when the server itself reports that it does not know them.
            if feed.pending_msgid is not None:
                self._refuse_waiting_caller(now_ms, feed, Reason.NO_SERVER)
        while (
            feed := self._table.find_idle(now_ms, FEED_IDLE_MS)
        ) is not None:
            # Without a keepalive with a token of this node, the caller may
            # use another node, so the flow must not be detached.
            if feed.confirmed:
                self._detach(now_ms, feed.ref, feed.ident, feed.epoch)
            self._ctx.counters["feeds_expired"] += 1
            self._table.remove(now_ms, feed)

    def _take_over(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: caller.Keepalive,
        token: token_lib.Token,
        feed: Feed | None,
    ) -> None:
        """Take over a feed from another node: attach it at the next epoch."""
        if feed is None:
            service = self._ctx.service_names_by_hash.get(token.service, "")
            runtime = self._services.get_or_create(now_ms, service)
            ref = self._services.server_by_hash(service, token.server)
            if runtime is None or ref is None:
                # This node may not have received the newest configuration.
                self._ctx.send_refusal(
                    source, msgid, Reason.NO_SERVER, _RETRY_MS
                )
                return
            if self._ctx.leaving or len(self._table) >= MAX_FEEDS:
                self._ctx.send_refusal(
                    source, msgid, Reason.LEAVING, _RETRY_MS
                )
                return
            feed = Feed(
                token.ident,
                kind="",
                customer="",
                epoch=token.epoch,
                create=False,
                source=source,
                last_seq=params.last_seq,
                now_ms=now_ms,
            )
            self._table.add(feed, ref, runtime)
        self._ctx.counters["feeds_rehomed"] += 1
        self._table.touch(now_ms, feed, source)
        feed.caller_seq = max(feed.caller_seq, params.last_seq)
        feed.pending_msgid = msgid
        feed.confirmed = False
        feed.epoch_increments = 0
        self._attach(now_ms, feed, token.epoch + 1)

    def _place(self, now_ms: int, feed: Feed, service: str) -> bool:
        """Choose a server for a new feed and attach it there."""
        runtime = self._services.get_or_create(now_ms, service)
        if feed.ident in self._table:
            feed.tried_servers |= {feed.ref.server}
            orphaned = self._orphaned_flows.setdefault(feed.ref, {})
            if self._links.identity(feed.ref) is None and (
                len(orphaned) < MAX_ORPHANED_FLOWS
            ):
                orphaned[feed.ident] = feed.epoch
            self._table.remove(now_ms, feed)
        server = None
        if runtime is not None and len(feed.tried_servers) < _MAX_PLACEMENTS:
            server = runtime.scheduler.place_feed(now_ms, feed.tried_servers)
        if runtime is None or server is None:
            if feed.pending_msgid is not None:
                reason = (
                    Reason.OVERLOADED
                    if feed.tried_servers
                    else Reason.NO_SERVER
                )
                self._ctx.send_refusal(
                    feed.source,
                    feed.pending_msgid,
                    reason,
                    _OVERLOADED_RETRY_MS,
                )
            return False
        self._table.add(feed, ServerRef(service, server), runtime)
        self._attach(now_ms, feed, feed.epoch)
        return True

    def _attach(self, now_ms: int, feed: Feed, epoch: int) -> None:
        if epoch > state_lib.MAX_EPOCH:
            self._drop_broken(now_ms, feed)
            return
        feed.epoch = epoch
        feed.last_attach_ms = now_ms
        feed.attach_attempt += 1
        sent = self._links.request(
            now_ms,
            feed.ref,
            "attach",
            backend.Attach(
                flow_id=feed.ident,
                epoch=epoch,
                kind=feed.kind,
                customer=feed.customer,
                last_seq=feed.caller_seq,
                create=feed.create and not feed.counted_by_scheduler,
            ),
            ident=feed.ident,
            attempt=feed.attach_attempt,
        )
        feed.attaching = sent
        feed.attach_seq = feed.caller_seq
        if not sent or feed.state is not State.ATTACHED:
            self._table.mark_waiting(now_ms, feed)

    def _handle_attached(self, now_ms: int, feed: Feed) -> None:
        feed.attaching = False
        feed.epoch_increments = 0
        feed.acked_seq = max(feed.acked_seq, feed.attach_seq)
        identity = self._links.identity(feed.ref)
        if identity is not None:
            feed.incarnation = identity.incarnation
        self._table.waiting.pop(feed.ident, None)
        feed.waiting_since_ms = 0
        feed.state = State.ATTACHED
        runtime = self._services.get(feed.ref.service)
        if not feed.counted_by_scheduler and runtime is not None:
            feed.counted_by_scheduler = True
            runtime.scheduler.feed_attached(now_ms, feed.ref.server)
            self._ctx.counters["feeds_attached"] += 1
        if feed.pending_msgid is not None:
            self._grant_sender.send(feed, feed.source, feed.pending_msgid)

    def _handle_stale_epoch(self, now_ms: int, feed: Feed) -> None:
        """Retry at a higher epoch after another balancer attached the feed."""
        feed.attaching = False
        if self._ctx.leaving:
            self._ctx.counters["feeds_moved"] += 1
            self._table.remove(now_ms, feed)
            return
        feed.epoch_increments += 1
        if feed.epoch_increments > MAX_EPOCH_INCREMENTS:
            self._refuse_waiting_caller(now_ms, feed, Reason.OWNER_LOST)
        else:
            feed.state = State.WAITING
            self._attach(now_ms, feed, feed.epoch + 1)

    def _drop_broken(self, now_ms: int, feed: Feed) -> None:
        """Give up a feed whose flow the server no longer has."""
        self._ctx.counters["feeds_broken"] += 1
        if feed.pending_msgid is not None:
            self._ctx.send_refusal(
                feed.source, feed.pending_msgid, Reason.SERVER_LOST
            )
        self._table.remove(now_ms, feed)

    def _refuse_waiting_caller(
        self, now_ms: int, feed: Feed, reason: Reason
    ) -> None:
        """Refuse the waiting request of a caller, who may retry."""
        if feed.pending_msgid is not None:
            self._ctx.send_refusal(
                feed.source, feed.pending_msgid, reason, _RETRY_MS
            )
            feed.pending_msgid = None
        if feed.state is not State.ATTACHED:
            # The next keepalive restores the feed from the caller's token.
            self._table.remove(now_ms, feed)

    def _detach(
        self, now_ms: int, ref: ServerRef, ident: int, epoch: int
    ) -> None:
        self._links.request(
            now_ms, ref, "detach", backend.Detach(ident, epoch), ident=ident
        )
