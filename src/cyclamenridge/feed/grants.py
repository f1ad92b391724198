"""Responses that grant feed tokens to callers."""

from cyclamenridge import address as address_lib
from cyclamenridge.feed import state as state_lib
from cyclamenridge.node import context as context_lib
from cyclamenridge.wire import caller
from cyclamenridge.wire import token as token_lib


class GrantSender:
    """Sends callers the current token of their feed."""

    def __init__(self, ctx: context_lib.Context) -> None:
        self._ctx = ctx

    def send(
        self,
        feed: state_lib.Feed,
        source: address_lib.Address,
        msgid: int,
        *,
        token: bytes | None = None,
    ) -> None:
        """Respond to ``subscribe`` or ``keepalive``.

        :param token: token of the caller, sent back if it is still valid;
            tokens are not stored, as each would take a sixth of the memory
            of a feed
        """
        feed.pending_msgid = None
        if token is None:
            me = self._ctx.me
            token = self._ctx.token_codec.encode(
                token_lib.Token(
                    type=token_lib.TokenType.FEED,
                    service=token_lib.name_hash(feed.ref.service),
                    owner=me.peer_address,
                    incarnation=me.incarnation,
                    ident=feed.ident,
                    server=token_lib.name_hash(feed.ref.server),
                    epoch=feed.epoch,
                )
            )
        self._ctx.respond(source, msgid, caller.FeedGrant(token, feed.ident))
