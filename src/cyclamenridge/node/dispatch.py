"""Routes caller datagrams to their owner or to the local handlers."""

from collections.abc import Callable
from typing import Any

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
OwnerState = directory_lib.OwnerState
Reason = caller.Reason
Token = token_lib.Token
TokenType = token_lib.TokenType

# Verifying and decoding the token dominates the cost of a datagram, and a
# caller sends the same token in every datagram.
MAX_CACHED_TOKENS = 32_768


class _TokenParam(msgspec.Struct, frozen=True, array_like=True):
    """The leading token parameter of the methods that carry one."""

    token: caller.TokenBytes


_TOKEN_DECODER = msgspec.msgpack.Decoder(_TokenParam)
_OPEN_DECODER = msgspec.msgpack.Decoder(caller.Open)
_DATAGRAM_DECODER = msgspec.msgpack.Decoder(caller.Datagram)

# A verified token and the state of its owner.
_Route = tuple[Token, OwnerState]
_Handler = Callable[[int, Address, int, Any, _Route, bytes, bool], None]
_Method = tuple[type, msgspec.msgpack.Decoder, _Handler]


class CallerDispatcher:
    """Forwards each caller datagram to its owner or handles it locally."""

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
        # Caches for one version of the directory: the routes of tokens, and
        # the owners of flows without a token by service and source.
        self._routes: dict[bytes, _Route] = {}
        self._packet_owners: dict[tuple[str, Address], Address] = {}
        self._routes_version = -1
        self._methods = {
            "call": _request(caller.Call, self._call),
            "cancel": _request(caller.Cancel, self._cancel),
            "ack": _notification(caller.Ack, self._ack),
            "subscribe": _request(caller.Subscribe, self._subscribe),
            "keepalive": _request(caller.Keepalive, self._keepalive),
            "close": _notification(caller.Close, self._close),
        }

    def on_datagram(
        self, now_ms: int, source: Address, data: bytes, *, forwarded: bool
    ) -> None:
        """Handle a caller datagram, received directly or from a peer.

        :param forwarded: a peer forwarded it; it is not forwarded again
        """
        if len(data) > caller.MAX_DATAGRAM_BYTES:
            self._ctx.counters["datagrams_oversized"] += 1
            return
        try:
            self._handle(now_ms, source, data, forwarded)
        except (errors.WireError, msgspec.DecodeError):
            self._ctx.counters["datagrams_malformed"] += 1

    def _handle(
        self, now_ms: int, source: Address, data: bytes, forwarded: bool
    ) -> None:
        message = rpc.decode(data)
        kind = type(message)
        if kind is rpc.Response:
            raise errors.WireError("unexpected response from a caller")
        method = message.method
        entry = self._methods.get(method)
        if entry is not None:
            expected, decoder, handler = entry
            if kind is not expected:
                raise errors.WireError(f"wrong message type for {method}")
            encoded = _TOKEN_DECODER.decode(message.params).token
            if self._routes_version != self._directory.version:
                self._drop_stale_routes()
            route = self._routes.get(encoded) or self._find_route(
                now_ms, encoded
            )
            token, owner = route
            if not forwarded and (
                owner is OwnerState.PEER
                or (
                    owner is OwnerState.LEAVING
                    and token.type is TokenType.SESSION
                )
            ):
                self._forward(token.owner, source, data)
                return
            msgid = message.msgid if kind is rpc.Request else 0
            params = decoder.decode(message.params)
            handler(now_ms, source, msgid, params, route, data, forwarded)
        elif method == "open" and kind is rpc.Request:
            params = _OPEN_DECODER.decode(message.params)
            self._open(now_ms, source, message.msgid, params, data, forwarded)
        elif method == "datagram" and kind is rpc.Notification:
            packet = _DATAGRAM_DECODER.decode(message.params)
            self._packet(now_ms, source, packet, data, forwarded)
        else:
            self._ctx.counters["datagrams_malformed"] += 1
            if kind is rpc.Request:
                self._ctx.send_refusal(
                    source, message.msgid, Reason.BAD_REQUEST
                )

    def _open(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        req: caller.Open,
        data: bytes,
        forwarded: bool,
    ) -> None:
        if not forwarded:
            # The key leaves the source address out, because NAT may give a
            # retransmission a different one.
            key = f"{req.customer}/{req.nonce}".encode()
            member = self._directory.select_member(req.service, key)
            if member is not None and member.name != self._ctx.me.name:
                self._forward(member.peer_address, source, data)
                return
        self._sessions.table.handle_open(now_ms, source, msgid, req)

    def _call(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        req: caller.Call,
        route: _Route,
        data: bytes,
        forwarded: bool,
    ) -> None:
        token, owner = route
        if self._is_owned_here(token, owner):
            self._sessions.handle_call(now_ms, source, msgid, req, token.ident)
        elif owner is OwnerState.LOST:
            self._sessions.replies.send_unknown(
                source, msgid, req.seq, req.check, Reason.OWNER_LOST
            )

    def _cancel(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        req: caller.Cancel,
        route: _Route,
        data: bytes,
        forwarded: bool,
    ) -> None:
        token, owner = route
        if self._is_owned_here(token, owner):
            self._sessions.handle_cancel(
                now_ms, source, msgid, req, token.ident
            )
        elif owner is OwnerState.LOST:
            self._sessions.replies.send_unknown(
                source, msgid, req.seq, 0, Reason.OWNER_LOST
            )

    def _ack(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        req: caller.Ack,
        route: _Route,
        data: bytes,
        forwarded: bool,
    ) -> None:
        token, owner = route
        if self._is_owned_here(token, owner):
            self._sessions.handle_ack(now_ms, req, token.ident)

    def _subscribe(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        req: caller.Subscribe,
        route: _Route,
        data: bytes,
        forwarded: bool,
    ) -> None:
        token, owner = route
        session = None
        if self._is_owned_here(token, owner):
            session = self._sessions.table.touch(now_ms, token.ident)
        elif owner is not OwnerState.LOST:
            return
        if session is None:
            self._ctx.send_refusal(source, msgid, Reason.OWNER_LOST)
        else:
            self._feeds.handle_subscribe(now_ms, source, msgid, req, session)

    def _keepalive(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        req: caller.Keepalive,
        route: _Route,
        data: bytes,
        forwarded: bool,
    ) -> None:
        token, owner = route
        _check_type(token, TokenType.FEED)
        if not forwarded:
            dest = self._feed_destination(token, owner)
            if dest is not None:
                self._forward(dest, source, data)
                return
        self._feeds.handle_keepalive(
            now_ms,
            source,
            msgid,
            req,
            token,
            own_token=owner is OwnerState.LOCAL,
        )

    def _close(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        req: caller.Close,
        route: _Route,
        data: bytes,
        forwarded: bool,
    ) -> None:
        token, owner = route
        if token.type is TokenType.SESSION:
            if self._is_owned_here(token, owner):
                self._sessions.handle_close(now_ms, token.ident)
            return
        if not forwarded:
            dest = self._feed_destination(token, owner)
            if dest is not None:
                self._forward(dest, source, data)
                return
        self._feeds.handle_close(now_ms, token)

    def _packet(
        self,
        now_ms: int,
        source: Address,
        packet: caller.Datagram,
        data: bytes,
        forwarded: bool,
    ) -> None:
        if not forwarded:
            dest = self._packet_owner(packet.service, source)
            if dest != self._ctx.me.peer_address:
                self._forward(dest, source, data)
                return
        self._packets.relay_to_server(now_ms, source, packet)

    def _packet_owner(self, service: str, source: Address) -> Address:
        """Return the peer address of the owner of a flow without a token."""
        self._drop_stale_routes()
        dest = self._packet_owners.get((service, source))
        if dest is None:
            member = self._directory.select_member(
                service, str(source).encode()
            )
            dest = (member or self._ctx.me).peer_address
            if len(self._packet_owners) >= MAX_CACHED_TOKENS:
                self._packet_owners.clear()
            self._packet_owners[service, source] = dest
        return dest

    def _feed_destination(
        self, token: Token, owner: OwnerState
    ) -> Address | None:
        """Return the peer to forward a feed datagram to.

        None means that it is handled locally.
        """
        if owner is OwnerState.LOCAL and not self._ctx.leaving:
            feed = self._feeds.get(token.ident)
            # Without a link to the server, another member takes over.
            if feed is None or not self._feeds.is_server_unreachable(feed):
                return None
        service = self._ctx.service_names_by_hash.get(token.service, "")
        successor = self._directory.select_member(
            service,
            token.ident.to_bytes(8, "big"),
            exclude_me=owner is OwnerState.LOCAL,
        )
        if successor is None or successor.name == self._ctx.me.name:
            return None
        return successor.peer_address

    def _is_owned_here(self, token: Token, owner: OwnerState) -> bool:
        """Tell whether this node owns a session.

        Datagrams for a peer's session get here only if another node
        forwarded them to the wrong owner.
        """
        _check_type(token, TokenType.SESSION)
        if owner is OwnerState.LOCAL:
            return True
        if owner is not OwnerState.LOST:
            self._ctx.counters["forwarded_misrouted"] += 1
        return False

    def _forward(self, dest: Address, source: Address, data: bytes) -> None:
        self._ctx.counters["datagrams_forwarded"] += 1
        self._ctx.effects.append(
            effects.SendPeer(
                dest, self._codec.wrap(source, data), control=False
            )
        )

    def _find_route(self, now_ms: int, data: bytes) -> _Route:
        """Verify a token, look its owner up and cache the result."""
        token = self._decode_token(data)
        route = (token, self._directory.owner_state(now_ms, token))
        if not self._directory.is_provisional(now_ms, token):
            if len(self._routes) >= MAX_CACHED_TOKENS:
                self._routes.clear()
            self._routes[data] = route
        return route

    def _drop_stale_routes(self) -> None:
        """Clear the routing caches if the directory has changed."""
        if self._routes_version != self._directory.version:
            self._routes_version = self._directory.version
            self._routes.clear()
            self._packet_owners.clear()

    def _decode_token(self, data: bytes) -> Token:
        token = self._tokens.get(data)
        if token is None:
            try:
                token = self._ctx.token_codec.decode(data)
            except errors.WireError:
                self._ctx.counters["tokens_refused"] += 1
                raise
            if len(self._tokens) >= MAX_CACHED_TOKENS:
                self._tokens.clear()
            self._tokens[data] = token
        return token


def _request(params: type, handler: _Handler) -> _Method:
    return rpc.Request, msgspec.msgpack.Decoder(params), handler


def _notification(params: type, handler: _Handler) -> _Method:
    return rpc.Notification, msgspec.msgpack.Decoder(params), handler


def _check_type(token: Token, expected: TokenType) -> None:
    if token.type is not expected:
        raise errors.WireError("wrong token type for this method")
