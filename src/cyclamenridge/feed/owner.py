"""Feeds whose caller this node serves, and their re-homing."""

import sys

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge.config import model
from cyclamenridge.feed import flow as flow_lib
from cyclamenridge.feed import grants
from cyclamenridge.feed import pacing
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
Feed = flow_lib.Feed
Reason = caller.Reason
ServerRef = events.ServerRef
State = flow_lib.State

FEED_IDLE_MS = 60_000
MAX_ORPHANS = 1000
# Subscriptions of a session above which those of ended feeds are dropped.
MAX_NONCES = 64
# A feed takes about 0.6 KB with the caller's address.
MAX_FEEDS = 400_000
# Late datagrams make the epoch grow by a few; more in one go means that
# two balancers compete, and the caller's next keepalive decides.
MAX_EPOCH_STEPS = 8
_MAX_PLACEMENTS = 3
_RETRY_MS = 500
_OVERLOADED_RETRY_MS = 1000

_ATTACHED = msgspec.msgpack.Decoder(backend.Attached)
_MOVED = msgspec.msgpack.Decoder(backend.Moved)
_EVENT = msgspec.msgpack.Decoder(backend.Event)


class FeedOwner:
    """Owns feeds: placement, attachment, events and re-homing."""

    def __init__(
        self,
        ctx: context_lib.Context,
        services: services_lib.Services,
        links: links_lib.LinkTable,
    ) -> None:
        self._ctx = ctx
        self._services = services
        self._links = links
        self._table = table_lib.FeedTable(services)
        self._granter = grants.Granter(ctx)
        # Flows that a server may have created although the feed was then
        # placed elsewhere, because the link broke before the answer.
        self._orphans: dict[ServerRef, dict[int, int]] = {}
        self.pacer = pacing.AttachPacer(self._table, self._attach)

    @property
    def feed_count(self) -> int:
        """Number of feeds."""
        return len(self._table)

    def get(self, ident: int) -> Feed | None:
        """Return a feed."""
        return self._table.get(ident)

    def unreachable(self, feed: Feed) -> bool:
        """Tell whether the server of a feed cannot be reached from here."""
        return self._links.identity(feed.ref) is None

    def subscribe(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: caller.Subscribe,
        session: session_state.Session,
    ) -> None:
        """Open a feed, or find the one that a resend asks for."""
        known = self._table.get(session.feeds_by_nonce.get(params.nonce, -1))
        if known is not None:
            self._table.use(now_ms, known, source)
            if known.state is State.ATTACHED:
                self._granter.grant(known, source, msgid)
            else:
                known.waiter = msgid
            return
        cfg = self._ctx.config
        kind = cfg.kinds.get(params.kind) if cfg is not None else None
        if self._ctx.leaving:
            self._ctx.refuse(source, msgid, Reason.LEAVING)
        elif (
            kind is None
            or kind.service != session.service
            or kind.mode is not model.Mode.FEED
        ):
            self._ctx.refuse(source, msgid, Reason.BAD_REQUEST)
        elif len(self._table) >= MAX_FEEDS:
            self._ctx.refuse(
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
            feed.waiter = msgid
            feed.confirmed = True
            if self._place(now_ms, feed, session.service):
                self._remember(session, params.nonce, feed)

    def _remember(
        self, session: session_state.Session, nonce: int, feed: Feed
    ) -> None:
        """Let a resend of a subscription find its feed."""
        if len(session.feeds_by_nonce) >= MAX_NONCES:
            session.feeds_by_nonce = {
                known: ident
                for known, ident in session.feeds_by_nonce.items()
                if ident in self._table
            }
        session.feeds_by_nonce[nonce] = feed.ident

    def keepalive(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: caller.Keepalive,
        token: token_lib.Token,
        *,
        mine: bool,
    ) -> None:
        """Serve a feed, attaching it here when it is not.

        :param mine: the token was granted by this process
        """
        feed = self._table.get(token.ident)
        if feed is None or (not mine and token.epoch >= feed.epoch):
            self._take_over(now_ms, source, msgid, params, token, feed)
            return
        self._table.use(now_ms, feed, source)
        feed.caller_seq = max(feed.caller_seq, params.last_seq)
        if feed.state is not State.ATTACHED:
            feed.waiter = msgid
            return
        if feed.needs_attach(now_ms, mine=mine):
            feed.confirmed = feed.confirmed or mine
            self._attach(now_ms, feed, feed.epoch)
        current = mine and token.epoch == feed.epoch
        self._granter.grant(
            feed, source, msgid, token=params.token if current else None
        )

    def close(self, now_ms: int, token: token_lib.Token) -> None:
        """End a feed at the request of its caller."""
        feed = self._table.get(token.ident)
        if feed is not None:
            self._detach(now_ms, feed.ref, feed.ident, feed.epoch)
            self._table.remove(now_ms, feed)
            return
        service = self._ctx.service_names.get(token.service, "")
        ref = self._services.server_by_hash(service, token.server)
        if ref is not None:
            self._detach(now_ms, ref, token.ident, token.epoch)

    def event(self, now_ms: int, ref: ServerRef, params: msgspec.Raw) -> None:
        """Pass an event of a server on to the caller."""
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
            feed.sent_ms = now_ms
        data = rpc.notification(
            "event", caller.Event(feed.ident, event.seq, event.payload)
        )
        if len(data) > caller.MAX_DATAGRAM_BYTES:
            self._ctx.counters["events_too_large"] += 1
            return
        self._ctx.counters["events_sent"] += 1
        self._ctx.send(feed.source, data)

    def moved(self, ref: ServerRef, params: msgspec.Raw) -> None:
        """Take the news that another balancer attached a feed.

        If the caller still uses the token of this node, its next keepalive
        takes the feed back; without the news that would wait for the
        check of quiet feeds.
        """
        try:
            moved = _MOVED.decode(params)
        except msgspec.DecodeError:
            self._ctx.counters["link_messages_malformed"] += 1
            return
        feed = self._table.get(moved.flow_id)
        if feed is not None and feed.ref == ref and moved.epoch > feed.epoch:
            feed.confirmed = False

    def answered(
        self,
        now_ms: int,
        ref: ServerRef,
        pending: links_lib.Pending,
        answer: rpc.Response,
    ) -> None:
        """Take the answer of a server to ``attach``."""
        feed = self._table.get(pending.ident)  # type: ignore[call-overload]
        if pending.method != "attach" or feed is None or feed.ref != ref:
            return
        if pending.attempt != feed.attach_number:
            return
        if answer.error is None:
            try:
                _ATTACHED.decode(answer.result)
            except msgspec.DecodeError:
                self._ctx.counters["link_messages_malformed"] += 1
                return
            self._attached(now_ms, feed)
        elif answer.error == backend.AttachError.STALE_EPOCH:
            self._stale(now_ms, feed)
        elif answer.error == backend.AttachError.UNKNOWN_FLOW:
            self._broken(now_ms, feed)
        elif feed.create and not feed.counted:
            self._place(now_ms, feed, feed.ref.service)
        else:
            self._fail(now_ms, feed, Reason.OVERLOADED)

    def link_up(
        self, now_ms: int, ref: ServerRef, identity: backend.Identity
    ) -> None:
        """Attach the feeds of a server on its new link."""
        for ident, epoch in self._orphans.pop(ref, {}).items():
            self._detach(now_ms, ref, ident, epoch)
        for ident in self._table.at_server(ref):
            feed = self._table[ident]
            if feed.incarnation not in (None, identity.incarnation):
                self._broken(now_ms, feed)
            else:
                self.pacer.add(ident)
        self.pacer.step(now_ms)

    def link_lost(self, now_ms: int, ref: ServerRef) -> None:
        """Note that the feeds of a server get no events for now."""
        for ident in self._table.at_server(ref):
            feed = self._table[ident]
            if feed.create and not feed.counted:
                self._place(now_ms, feed, ref.service)
            else:
                self._table.wait(now_ms, feed)

    def tick(self, now_ms: int) -> None:
        """Expire feeds and waits, and attach what is queued."""
        self.pacer.step(now_ms)
        for feed in list(self._table.waiting.values()):
            if now_ms - feed.waiting_ms < flow_lib.ATTACH_LIMIT_MS:
                continue
            # A server that cannot be reached may live. Its flows are given
            # up only when it says itself that it does not know them.
            if feed.waiter is not None:
                self._fail(now_ms, feed, Reason.NO_SERVER)
        while (feed := self._table.idle(now_ms, FEED_IDLE_MS)) is not None:
            # Without a keepalive that names this node the caller may
            # use a token of another one, so the flow is left alone.
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
        """Attach a feed whose owner is gone, at the next epoch."""
        if feed is None:
            service = self._ctx.service_names.get(token.service, "")
            runtime = self._services.acquire(now_ms, service)
            ref = self._services.server_by_hash(service, token.server)
            if runtime is None or ref is None:
                # This node may not have the newest configuration yet.
                self._ctx.refuse(source, msgid, Reason.NO_SERVER, _RETRY_MS)
                return
            if self._ctx.leaving or len(self._table) >= MAX_FEEDS:
                self._ctx.refuse(source, msgid, Reason.LEAVING, _RETRY_MS)
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
        self._table.use(now_ms, feed, source)
        feed.caller_seq = max(feed.caller_seq, params.last_seq)
        feed.waiter = msgid
        feed.confirmed = False
        feed.steps = 0
        self._attach(now_ms, feed, token.epoch + 1)

    def _place(self, now_ms: int, feed: Feed, service: str) -> bool:
        """Choose a server for a new feed and attach it there."""
        runtime = self._services.acquire(now_ms, service)
        if feed.ident in self._table:
            feed.tried |= {feed.ref.server}
            orphans = self._orphans.setdefault(feed.ref, {})
            if self._links.identity(feed.ref) is None and (
                len(orphans) < MAX_ORPHANS
            ):
                orphans[feed.ident] = feed.epoch
            self._table.remove(now_ms, feed)
        server = None
        if runtime is not None and len(feed.tried) < _MAX_PLACEMENTS:
            server = runtime.scheduler.place_feed(now_ms, feed.tried)
        if runtime is None or server is None:
            if feed.waiter is not None:
                reason = Reason.OVERLOADED if feed.tried else Reason.NO_SERVER
                self._ctx.refuse(
                    feed.source, feed.waiter, reason, _OVERLOADED_RETRY_MS
                )
            return False
        self._table.add(feed, ServerRef(service, server), runtime)
        self._attach(now_ms, feed, feed.epoch)
        return True

    def _attach(self, now_ms: int, feed: Feed, epoch: int) -> None:
        if epoch > flow_lib.MAX_EPOCH:
            self._broken(now_ms, feed)
            return
        feed.epoch = epoch
        feed.attach_ms = now_ms
        feed.attach_number += 1
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
                create=feed.create and not feed.counted,
            ),
            ident=feed.ident,
            attempt=feed.attach_number,
        )
        feed.attaching = sent
        feed.sending_seq = feed.caller_seq
        if not sent or feed.state is not State.ATTACHED:
            self._table.wait(now_ms, feed)

    def _attached(self, now_ms: int, feed: Feed) -> None:
        feed.attaching = False
        feed.steps = 0
        feed.acked_seq = max(feed.acked_seq, feed.sending_seq)
        identity = self._links.identity(feed.ref)
        if identity is not None:
            feed.incarnation = identity.incarnation
        self._table.waiting.pop(feed.ident, None)
        feed.waiting_ms = 0
        feed.state = State.ATTACHED
        runtime = self._services.get(feed.ref.service)
        if not feed.counted and runtime is not None:
            feed.counted = True
            runtime.scheduler.feed_attached(now_ms, feed.ref.server)
            self._ctx.counters["feeds_attached"] += 1
        if feed.waiter is not None:
            self._granter.grant(feed, feed.source, feed.waiter)

    def _stale(self, now_ms: int, feed: Feed) -> None:
        """Go on after another balancer attached the feed."""
        feed.attaching = False
        if self._ctx.leaving:
            self._ctx.counters["feeds_moved"] += 1
            self._table.remove(now_ms, feed)
            return
        feed.steps += 1
        if feed.steps > MAX_EPOCH_STEPS:
            self._fail(now_ms, feed, Reason.OWNER_LOST)
        else:
            feed.state = State.WAITING
            self._attach(now_ms, feed, feed.epoch + 1)

    def _broken(self, now_ms: int, feed: Feed) -> None:
        """Give up a feed whose flow the server no longer has."""
        self._ctx.counters["feeds_broken"] += 1
        if feed.waiter is not None:
            self._ctx.refuse(feed.source, feed.waiter, Reason.SERVER_LOST)
        self._table.remove(now_ms, feed)

    def _fail(self, now_ms: int, feed: Feed, reason: Reason) -> None:
        """Tell a waiting caller to try again."""
        if feed.waiter is not None:
            self._ctx.refuse(feed.source, feed.waiter, reason, _RETRY_MS)
            feed.waiter = None
        if feed.state is not State.ATTACHED:
            # The next keepalive starts again from the caller's token.
            self._table.remove(now_ms, feed)

    def _detach(
        self, now_ms: int, ref: ServerRef, ident: int, epoch: int
    ) -> None:
        self._links.request(
            now_ms, ref, "detach", backend.Detach(ident, epoch), ident=ident
        )
