"""Simulated callers, which send each datagram to a random node.

They retransmit until they get an answer and report outcomes, answers and
events to the oracle.
"""

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from cyclamenridge.wire import token as token_lib
from tests.node import fleet as fleet_lib

Outcome = caller.Outcome
Reason = caller.Reason
RETRANSMIT_INTERVAL_MS = 150
CALL_TIMEOUT_MS = 12_000
KEEPALIVE_INTERVAL_MS = 1000
TOKEN_CODEC = token_lib.TokenCodec(fleet_lib.KEYS)


class Session:
    """A session; ``token`` is None until it has been granted."""

    def __init__(self, service):
        self.service = service
        self.token = None
        self.ident = None
        self.next_seq = 1
        self.lost = False


class Request:
    """A request and what has arrived of its reply."""

    def __init__(self, session, seq, kind, payload, msgid, now_ms):
        self.session = session
        self.seq = seq
        self.kind = kind
        self.payload = payload
        self.msgid = msgid
        self.check = caller.payload_check(payload)
        size = caller.MAX_PART_BYTES
        self.parts = [
            payload[i : i + size] for i in range(0, max(1, len(payload)), size)
        ]
        self.first_missing_part = 0
        self.received_parts = {}
        self.outcome = None
        self.reason = None
        self.answer = None
        self.attempt = 0
        self.started_ms = now_ms
        self.deadline_ms = 4000

    @property
    def done(self):
        return self.outcome is not None


class Feed:
    """A feed and the events that have arrived.

    :ivar out_of_order: numbers of events that arrived before a gap closed
    :ivar lost: a balancer reported that the flow is gone
    :ivar refused: reason of a refused subscription, None if not refused
    """

    def __init__(self, session, kind, nonce):
        self.session = session
        self.kind = kind
        self.nonce = nonce
        self.token = None
        self.ident = None
        self.last_seq = 0
        self.out_of_order = set()
        self.lost = False
        self.refused = None
        self.keepalive_sent_ms = 0
        self.grants = 0


class Caller:
    """A caller with its sessions, requests and feeds.

    :ivar pending: calls that wait for a response, by ``msgid``
    :ivar reachable_nodes: names of the nodes it sends to; None for all
    """

    def __init__(self, fleet, oracle, index):
        self.fleet = fleet
        self.oracle = oracle
        self.address = address_lib.Address("10.0.0.1", 5000 + index)
        self.pending = {}
        self.requests = []
        self.feeds = []
        self.sessions = []
        self.reachable_nodes = None
        self.keepalive_interval_ms = KEEPALIVE_INTERVAL_MS
        self._last_msgid = index << 20
        fleet.callers[str(self.address)] = self
        fleet.call_later(RETRANSMIT_INTERVAL_MS, self._tick)

    # Sending

    def send(self, data, node=None):
        names = self.reachable_nodes or list(self.fleet.nodes)
        name = node or self.fleet.rng.choice(names)
        self.fleet.send_from_caller(self.address, data, name)

    def send_request(self, method, params, target, node=None, msgid=None):
        """Send a request and retransmit it until it is answered.

        :param target: the session or feed that the response belongs to
        """
        msgid = msgid or self.new_msgid()
        self.pending[msgid] = (method, params, target, self.fleet.now_ms)
        self.send(rpc.request(msgid, method, params), node)

    def new_msgid(self):
        self._last_msgid += 1
        return self._last_msgid

    def open(self, service):
        session = Session(service)
        self.sessions.append(session)
        nonce = self.fleet.rng.getrandbits(50)
        self.send_request(
            "open", caller.Open(service, "outfit", nonce), session
        )
        return session

    def call(
        self,
        session,
        kind,
        size=40,
        *,
        seq=None,
        node=None,
        deadline_ms=4000,
    ):
        if seq is None:
            seq = session.next_seq
            session.next_seq += 1
        padding = self.fleet.rng.randbytes(max(0, size - 30))
        payload = (
            f"{session.service}:{self._last_msgid}:{seq}:".encode() + padding
        )
        request = Request(
            session, seq, kind, payload, self.new_msgid(), self.fleet.now_ms
        )
        request.deadline_ms = deadline_ms
        self.requests.append(request)
        self.transmit(request, node)
        return request

    def transmit(self, request, node=None):
        """Send the next parts of a request, at most 8."""
        request.attempt += 1
        first = min(request.first_missing_part, len(request.parts) - 1)
        for part in range(first, min(len(request.parts), first + 8)):
            self.send(self.encode(request, part), node)

    def encode(self, request, part):
        """Return the datagram of one part of a request."""
        return rpc.request(
            request.msgid,
            "call",
            caller.Call(
                token=request.session.token,
                seq=request.seq,
                kind=request.kind,
                attempt=min(1000, request.attempt),
                deadline_ms=request.deadline_ms,
                part=part,
                parts=len(request.parts),
                check=request.check,
                payload=request.parts[part],
            ),
        )

    def cancel(self, request, node=None):
        params = caller.Cancel(request.session.token, request.seq)
        self.send(rpc.request(request.msgid, "cancel", params), node)

    def subscribe(self, session, kind):
        feed = Feed(session, kind, self.fleet.rng.getrandbits(50))
        self.feeds.append(feed)
        params = caller.Subscribe(session.token, kind, feed.nonce, 0)
        self.send_request("subscribe", params, feed)
        return feed

    def keepalive(self, feed, node=None):
        feed.keepalive_sent_ms = self.fleet.now_ms
        params = caller.Keepalive(feed.token, feed.last_seq)
        self.send_request("keepalive", params, feed, node)

    def send_packet(self, service, node=None):
        params = caller.Datagram(service, service.encode() + b":packet")
        self.send(rpc.notification("datagram", params), node)

    def _tick(self):
        self.fleet.call_later(RETRANSMIT_INTERVAL_MS, self._tick)
        now_ms = self.fleet.now_ms
        for msgid, entry in list(self.pending.items()):
            method, params, target, sent_ms = entry
            if method == "keepalive" and now_ms - sent_ms > 700:
                del self.pending[msgid]
            elif now_ms - sent_ms > CALL_TIMEOUT_MS:
                del self.pending[msgid]
                if method == "open":
                    target.lost = True
                else:
                    target.refused = "no answer"
            else:
                self.send(rpc.request(msgid, method, params))
        for request in self.requests:
            if now_ms - request.started_ms > CALL_TIMEOUT_MS:
                request.outcome = request.outcome or "timed out"
            elif not request.done:
                self.transmit(request)
        self.requests = [r for r in self.requests if not r.done]
        self.feeds = [f for f in self.feeds if not f.lost and not f.refused]
        for feed in self.feeds:
            if (
                feed.token
                and now_ms - feed.keepalive_sent_ms
                >= self.keepalive_interval_ms
            ):
                self.keepalive(feed)

    # Receiving

    def receive(self, data):
        message = rpc.decode(data)
        if isinstance(message, rpc.Notification):
            self._on_notification(message)
            return
        entry = self.pending.pop(message.msgid, None)
        if entry is None:
            self._on_reply(message)
            return
        method, _, target, _ = entry
        if message.error is not None:
            refusal = msgspec.convert(message.error, caller.Refusal)
            self._on_refusal(method, target, refusal)
        elif method == "open":
            grant = _decode(message, caller.Grant)
            target.token = grant.token
            target.ident = TOKEN_CODEC.decode(grant.token).ident
            self.oracle.register_session(target.ident, target.service)
        else:
            grant = _decode(message, caller.FeedGrant)
            target.token = grant.token
            target.ident = grant.feed_id
            target.grants += 1

    def _on_refusal(self, method, target, refusal):
        if method == "open":
            target.lost = True
        elif method == "subscribe":
            target.refused = refusal.reason
        elif refusal.retry_after_ms == 0:
            target.lost = True
            self.oracle.check_lost_feed(target, self._server_has_flow(target))

    def _server_has_flow(self, feed):
        """Tell whether the server named in the token has the flow.

        A flow that a balancer detached counts too: it was alive until then.
        """
        server_hash = TOKEN_CODEC.decode(feed.token).server
        return any(
            server.model is not None
            and (
                feed.ident in server.model.flows
                or feed.ident in server.model.detached
            )
            and token_lib.name_hash(ref.server) == server_hash
            for ref, server in self.fleet.servers.items()
        )

    def _on_reply(self, message):
        if message.error is not None:
            return
        for request in self.requests:
            if request.msgid == message.msgid and not request.done:
                break
        else:
            return
        reply = _decode(message, caller.Reply)
        if reply.seq != request.seq or reply.check != request.check:
            return
        if reply.outcome is Outcome.PENDING:
            request.first_missing_part = reply.part
            return
        request.received_parts[reply.part] = reply.payload
        if reply.outcome is not Outcome.ANSWERED:
            self._finish(request, reply)
            return
        count = 0
        while count in request.received_parts:
            count += 1
        ack = caller.Ack(request.session.token, request.seq, count)
        self.send(rpc.notification("ack", ack))
        if count == reply.parts:
            request.answer = b"".join(
                request.received_parts[i] for i in range(count)
            )
            self._finish(request, reply)
            self.oracle.check_answer(request, request.answer)

    def _finish(self, request, reply):
        """Record the outcome of a request and report it to the oracle."""
        request.outcome = reply.outcome
        request.reason = reply.reason
        if reply.reason in (Reason.OWNER_LOST, Reason.LEAVING):
            request.session.lost = True
        self.oracle.report_outcome(
            request.session.ident, request.seq, request.check, reply.outcome
        )

    def _on_notification(self, message):
        if message.method == "datagram":
            packet = msgspec.msgpack.decode(
                message.params, type=caller.Datagram
            )
            self.oracle.check_packet(packet.service, packet.payload)
            return
        event = msgspec.msgpack.decode(message.params, type=caller.Event)
        for feed in self.feeds:
            if feed.ident == event.feed_id:
                self.oracle.check_event(feed, event)
                feed.out_of_order.add(event.seq)
                while feed.last_seq + 1 in feed.out_of_order:
                    feed.last_seq += 1
                    feed.out_of_order.discard(feed.last_seq)


def _decode(message, cls):
    return msgspec.msgpack.decode(message.result, type=cls)
