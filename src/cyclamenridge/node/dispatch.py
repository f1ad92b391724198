"""Handling of datagrams from callers."""

from collections.abc import Callable

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge import errors
from cyclamenridge.feed import owner as feed_owner
from cyclamenridge.node import context as context_lib
from cyclamenridge.node import directory as directory_lib
from cyclamenridge.node import effects
from cyclamenridge.node import forwarding
from cyclamenridge.node import packets as packets_lib
from cyclamenridge.session import owner as session_owner
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from cyclamenridge.wire import token as token_lib

Address = address_lib.Address
Owner = directory_lib.Owner
Reason = caller.Reason
Token = token_lib.Token
TokenType = token_lib.TokenType

# Verifying a MAC and building a token takes most of the time of a
# datagram, and a caller sends the same token again and again.
MAX_CACHED_TOKENS = 32_768
_RETRY_MS = 200


class _Head(msgspec.Struct, frozen=True, array_like=True):
    """First parameter of the methods that carry a token."""

    token: caller.TokenBytes


_HEAD = msgspec.msgpack.Decoder(_Head)
_OPEN = msgspec.msgpack.Decoder(caller.Open)
_CALL = msgspec.msgpack.Decoder(caller.Call)
_CANCEL = msgspec.msgpack.Decoder(caller.Cancel)
_ACK = msgspec.msgpack.Decoder(caller.Ack)
_SUBSCRIBE = msgspec.msgpack.Decoder(caller.Subscribe)
_KEEPALIVE = msgspec.msgpack.Decoder(caller.Keepalive)
_DATAGRAM = msgspec.msgpack.Decoder(caller.Datagram)

# A verified token and the state of the owner that it names.
_Route = tuple[Token, Owner]
_Handler = Callable[
    [int, Address, int, msgspec.Raw, _Route, bytes, bool], None
]


class CallerDispatch:
    """Sends each caller datagram to its owner or handles it here."""

    def __init__(
        self,
        ctx: context_lib.Context,
        directory: directory_lib.Directory,
        sessions: session_owner.SessionOwner,
        feeds: feed_owner.FeedOwner,
        packets: packets_lib.PacketRelay,
        codec: forwarding.ForwardCodec,
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._sessions = sessions
        self._feeds = feeds
        self._packets = packets
        self._codec = codec
        self._tokens: dict[bytes, Token] = {}
        # Owners of the tokens as of one version of the directory.
        self._routes: dict[bytes, _Route] = {}
        self._packet_homes: dict[tuple[str, Address], Address] = {}
        self._routes_version = -1
        self._requests: dict[str, tuple[TokenType, _Handler]] = {
            "call": (TokenType.SESSION, self._call),
            "cancel": (TokenType.SESSION, self._cancel),
            "subscribe": (TokenType.SESSION, self._subscribe),
            "keepalive": (TokenType.FEED, self._keepalive),
        }
        self._notifications: dict[str, _Handler] = {
            "ack": self._ack,
            "close": self._close,
        }

    def datagram(
        self, now_ms: int, source: Address, data: bytes, *, forwarded: bool
    ) -> None:
        """Handle a datagram of a caller."""
        if len(data) > caller.MAX_DATAGRAM_BYTES:
            self._ctx.counters["datagrams_oversized"] += 1
            return
        try:
            message = rpc.decode(data)
            if isinstance(message, rpc.Request):
                self._request(now_ms, source, data, message, forwarded)
            elif isinstance(message, rpc.Notification):
                self._notification(now_ms, source, data, message, forwarded)
            else:
                self._ctx.counters["datagrams_malformed"] += 1
        except (errors.WireError, msgspec.DecodeError):
            self._ctx.counters["datagrams_malformed"] += 1

    def _request(
        self,
        now_ms: int,
        source: Address,
        data: bytes,
        message: rpc.Request,
        forwarded: bool,
    ) -> None:
        entry = self._requests.get(message.method)
        if entry is not None:
            wanted, handler = entry
            route = self._route(now_ms, message.params)
            if route[0].type is not wanted:
                raise errors.WireError("token is of another type")
            handler(
                now_ms,
                source,
                message.msgid,
                message.params,
                route,
                data,
                forwarded,
            )
        elif message.method == "open":
            self._open(
                now_ms, source, message.msgid, message.params, data, forwarded
            )
        else:
            self._ctx.counters["datagrams_malformed"] += 1
            self._ctx.refuse(source, message.msgid, Reason.BAD_REQUEST)

    def _notification(
        self,
        now_ms: int,
        source: Address,
        data: bytes,
        message: rpc.Notification,
        forwarded: bool,
    ) -> None:
        handler = self._notifications.get(message.method)
        if handler is not None:
            route = self._route(now_ms, message.params)
            handler(now_ms, source, 0, message.params, route, data, forwarded)
        elif message.method == "datagram":
            self._packet(now_ms, source, message.params, data, forwarded)
        else:
            self._ctx.counters["datagrams_malformed"] += 1

    def _open(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: msgspec.Raw,
        data: bytes,
        forwarded: bool,
    ) -> None:
        req = _OPEN.decode(params)
        if not forwarded:
            # The address of the caller is left out, since a resend may
            # leave through another translated address.
            key = f"{req.customer}/{req.nonce}".encode()
            chosen = self._directory.place(req.service, key)
            if chosen is not None and chosen.name != self._ctx.me.name:
                self._forward(chosen.peer_address, source, data)
                return
        self._sessions.table.open(now_ms, source, msgid, req)

    def _call(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: msgspec.Raw,
        route: _Route,
        data: bytes,
        forwarded: bool,
    ) -> None:
        token, owner = route
        if self._is_mine(source, token, owner, data, forwarded):
            self._sessions.call(
                now_ms, source, msgid, _CALL.decode(params), token.ident
            )
        elif owner is Owner.LOST:
            req = _CALL.decode(params)
            self._sessions.replies.unknown(
                source, msgid, req.seq, req.check, Reason.OWNER_LOST
            )

    def _cancel(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: msgspec.Raw,
        route: _Route,
        data: bytes,
        forwarded: bool,
    ) -> None:
        token, owner = route
        if self._is_mine(source, token, owner, data, forwarded):
            self._sessions.cancel(
                now_ms, source, msgid, _CANCEL.decode(params), token.ident
            )
        elif owner is Owner.LOST:
            req = _CANCEL.decode(params)
            self._sessions.replies.unknown(
                source, msgid, req.seq, 0, Reason.OWNER_LOST
            )

    def _ack(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: msgspec.Raw,
        route: _Route,
        data: bytes,
        forwarded: bool,
    ) -> None:
        token, owner = route
        if self._is_mine(source, token, owner, data, forwarded):
            self._sessions.ack(now_ms, _ACK.decode(params), token.ident)

    def _subscribe(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: msgspec.Raw,
        route: _Route,
        data: bytes,
        forwarded: bool,
    ) -> None:
        token, owner = route
        if self._is_mine(source, token, owner, data, forwarded):
            req = _SUBSCRIBE.decode(params)
            session = self._sessions.table.use(now_ms, token.ident)
            if session is None:
                self._ctx.refuse(source, msgid, Reason.OWNER_LOST)
            else:
                self._feeds.subscribe(now_ms, source, msgid, req, session)
        elif owner is Owner.LOST:
            self._ctx.refuse(source, msgid, Reason.OWNER_LOST)

    def _keepalive(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: msgspec.Raw,
        route: _Route,
        data: bytes,
        forwarded: bool,
    ) -> None:
        token, owner = route
        if not forwarded:
            dest = self._feed_destination(token, owner)
            if dest is not None:
                self._forward(dest, source, data)
                return
        self._feeds.keepalive(
            now_ms,
            source,
            msgid,
            _KEEPALIVE.decode(params),
            token,
            mine=owner is Owner.ME,
        )

    def _close(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: msgspec.Raw,
        route: _Route,
        data: bytes,
        forwarded: bool,
    ) -> None:
        token, owner = route
        if token.type is TokenType.SESSION:
            if self._is_mine(source, token, owner, data, forwarded):
                self._sessions.close(now_ms, token.ident)
            return
        if not forwarded:
            dest = self._feed_destination(token, owner)
            if dest is not None:
                self._forward(dest, source, data)
                return
        self._feeds.close(now_ms, token)

    def _packet(
        self,
        now_ms: int,
        source: Address,
        params: msgspec.Raw,
        data: bytes,
        forwarded: bool,
    ) -> None:
        packet = _DATAGRAM.decode(params)
        if not forwarded:
            dest = self._packet_home(packet.service, source)
            if dest != self._ctx.me.peer_address:
                self._forward(dest, source, data)
                return
        self._packets.from_caller(now_ms, source, packet)

    def _packet_home(self, service: str, source: Address) -> Address:
        """Return the balancer that keeps a flow without a token."""
        self._follow_directory()
        dest = self._packet_homes.get((service, source))
        if dest is None:
            chosen = self._directory.place(service, str(source).encode())
            dest = (chosen or self._ctx.me).peer_address
            if len(self._packet_homes) >= MAX_CACHED_TOKENS:
                self._packet_homes.clear()
            self._packet_homes[service, source] = dest
        return dest

    def _feed_destination(self, token: Token, owner: Owner) -> Address | None:
        """Return where a feed datagram goes; None: it is handled here."""
        if owner is Owner.PEER:
            return token.owner
        if owner is Owner.ME and not self._ctx.leaving:
            feed = self._feeds.get(token.ident)
            # A member that reaches the server can take the feed over.
            if feed is None or not self._feeds.unreachable(feed):
                return None
        service = self._ctx.service_names.get(token.service, "")
        successor = self._directory.place(
            service,
            token.ident.to_bytes(8, "big"),
            exclude_me=owner is Owner.ME,
        )
        if successor is None or successor.name == self._ctx.me.name:
            return None
        return successor.peer_address

    def _is_mine(
        self,
        source: Address,
        token: Token,
        owner: Owner,
        data: bytes,
        forwarded: bool,
    ) -> bool:
        """Tell whether a session is owned here; forward it if a peer is."""
        if owner is Owner.ME:
            return True
        if owner is not Owner.LOST:
            if forwarded:
                self._ctx.counters["forwarded_misrouted"] += 1
            else:
                self._forward(token.owner, source, data)
        return False

    def _forward(self, dest: Address, source: Address, data: bytes) -> None:
        self._ctx.counters["datagrams_forwarded"] += 1
        self._ctx.effects.append(
            effects.SendPeer(
                dest, self._codec.wrap(source, data), control=False
            )
        )

    def _route(self, now_ms: int, params: msgspec.Raw) -> _Route:
        data = _HEAD.decode(params).token
        self._follow_directory()
        route = self._routes.get(data)
        if route is None:
            token = self._token(data)
            route = (token, self._directory.owner(now_ms, token))
            if not self._directory.is_provisional(now_ms, token):
                if len(self._routes) >= MAX_CACHED_TOKENS:
                    self._routes.clear()
                self._routes[data] = route
        return route

    def _follow_directory(self) -> None:
        """Drop what was decided for an older version of the directory."""
        if self._routes_version != self._directory.version:
            self._routes_version = self._directory.version
            self._routes.clear()
            self._packet_homes.clear()

    def _token(self, data: bytes) -> Token:
        token = self._tokens.get(data)
        if token is None:
            try:
                token = self._ctx.tokens.decode(data)
            except errors.WireError:
                self._ctx.counters["tokens_refused"] += 1
                raise
            if len(self._tokens) >= MAX_CACHED_TOKENS:
                self._tokens.clear()
            self._tokens[data] = token
        return token
